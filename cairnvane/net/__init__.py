"""Sockets and wire formats: the FastCGI server, and the clients of the services that it depends on.

`server` accepts balancers' connections. `connection`, `connection_lifecycle` and `record_handler` serve one
connection; its codecs are `fastcgi` and `request_parameters`. `worker_pool`, `vault` and `service_registry`
are the clients; the latter two use the HTTP client codec `http`. Protocol errors are subclasses of
`errors.ProtocolError`.
"""
