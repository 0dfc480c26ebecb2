"""An administration server in this process, and calls to it."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator

from peers import WAIT_S

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.connection_slots import REQUEST_TIMEOUT_S
from cairnvane.administration.endpoints import Endpoints
from cairnvane.administration.http_server import MAX_CONNECTIONS, AdministrationServer
from cairnvane.net import http


def call(address: tuple[str, int], verb: str, path: str) -> http.Reply:
    """The reply to one request, which has a connection for itself."""
    with socket.create_connection(address, WAIT_S) as sock:
        sock.sendall(http.request(verb, path, address, {}, b""))
        return http.read_reply(sock, time.monotonic() + WAIT_S)


@contextlib.contextmanager
def administration_server(
    can_serve: bool = True,
    max_connections: int = MAX_CONNECTIONS,
    request_timeout_s: float = REQUEST_TIMEOUT_S,
) -> Iterator[tuple[AdministrationServer, Readiness, RequestCounters]]:
    """A running server, the readiness that it shows and changes, and the counters that it shows."""
    readiness, counters = Readiness(lambda: can_serve), RequestCounters(("read", "write"))
    server = AdministrationServer(
        ("127.0.0.1", 0), Endpoints(readiness, counters), readiness, max_connections, request_timeout_s
    )
    server.start()
    try:
        yield server, readiness, counters
    finally:
        server.close()
