"""Stand-ins for the peers of the server, implemented from the specification of each protocol.

`balancer` is a client that sends requests, `worker_pool` runs them, `vault` contains the downstream
dependency and the service registry, `management_server` the xDS server, and `disk` is a model of the storage
of the segment log.
"""
