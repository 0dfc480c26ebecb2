"""Stand-ins for everything that the server talks to, written from the description of each protocol.

`balancer` sends requests as a client, `worker_pool` runs them, `vault` is the downstream dependency and the
service registry, `management_server` the xDS server, and `disk` models the storage below the segment log.
"""
