"""Ports and listening sockets of the stand-ins: a thread for each connection, ended with the stand-in."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple

HOST = "127.0.0.1"
# Ports are taken from below the range that the system uses for outgoing connections.
LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000
# A port that was handed out belongs to this process until it ends, also while nobody listens there: a server
# that was killed comes back to it. Other testbeds on this machine recognize it by a datagram socket on this
# address, which nothing else uses.
RESERVATION_HOST = "127.77.0.1"
RECEIVE_BYTES = 65_536
BACKLOG = 256
_reservations: list[socket.socket] = []


class HttpRequest(NamedTuple):
    """A request as a stand-in reads it."""

    headers: dict[str, str]  # names in lower case
    body: bytes


def free_ports(count: int, above: int = 0) -> list[int]:
    """Ports that are free for datagrams and connections, each with `above` more free ones following it."""
    ports: list[int] = []
    rng = random.SystemRandom()
    while len(ports) < count:
        first = rng.randrange(LOWEST_PORT, HIGHEST_PORT)
        attempts = [_reserve(port) for port in range(first, first + above + 1)]
        reserved = [reservation for reservation in attempts if reservation is not None]
        if len(reserved) == len(attempts):
            _reservations.extend(reserved)
            ports.append(first)
            continue
        for reservation in reserved:
            reservation.close()
    return ports


def _reserve(port: int) -> socket.socket | None:
    """The socket that reserves this port; None if the port is in use or reserved already."""
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((RESERVATION_HOST, port))
        with socket.create_server((HOST, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    return reservation


class Listener:
    """Serves each connection by a script, on a loopback port of the system's choice."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        """`script` runs in a thread of its own for each connection, which is closed when it returns."""
        self._script = script
        self._socket = socket.create_server((HOST, 0), backlog=BACKLOG)
        self._lock = threading.Lock()  # guards `_connections`
        self._connections: set[socket.socket] = set()
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, name="stand-in accepts", daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._socket.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=self._serve, args=(sock,), name="stand-in connection", daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with self._lock:
            self._connections.add(sock)
        with sock, contextlib.suppress(OSError):
            self._script(sock)
        with self._lock:
            self._connections.discard(sock)

    def close(self) -> None:
        """Accept no more connections, and end the open ones."""
        shut(self._socket)
        self._socket.close()
        with self._lock:
            connections = list(self._connections)
        for sock in connections:
            shut(sock)


def shut(sock: socket.socket) -> None:
    """Shut a connection down in both directions, if it is still open."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def read_http(sock: socket.socket) -> HttpRequest | None:
    """The next request of a connection; None at its end."""
    data = b""
    while b"\r\n\r\n" not in data:
        if not (received := sock.recv(RECEIVE_BYTES)):
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:]
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    while len(body) < int(headers.get("content-length", "0")):
        if not (received := sock.recv(RECEIVE_BYTES)):
            return None
        body += received
    return HttpRequest(headers, body)
