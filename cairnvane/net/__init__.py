"""Sockets and wire formats: the FastCGI server, and the clients of what this server depends on.

`server` accepts balancers' connections (`connection`, `connection_lifecycle`, `record_handler`; the codecs
are `fastcgi` and `request_parameters`). `worker_pool`, `vault` and `service_registry` are the clients, of
which the latter two speak HTTP (`http`). Errors of the protocols have the base `errors.ProtocolError`.
"""
