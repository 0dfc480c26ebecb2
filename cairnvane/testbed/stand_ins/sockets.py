"""Ports and listening sockets of the stand-ins, with one thread per connection."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple

HOST = "127.0.0.1"
# Ports are chosen below the range that the system uses for outgoing connections.
LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000
# A port stays reserved for this process until it exits, even while nothing listens on it, since a killed
# server is restarted on the same port. Other testbeds on this machine detect the reservation by a datagram
# socket on this address, which is used for nothing else.
RESERVATION_HOST = "127.77.0.1"
RECEIVE_BYTES = 65_536
BACKLOG = 256
_reservations: list[socket.socket] = []


class HttpRequest(NamedTuple):
    """An HTTP request that a stand-in received."""

    headers: dict[str, str]  # names in lower case
    body: bytes


def free_ports(count: int, above: int = 0) -> list[int]:
    """Reserve ports that are free for UDP and TCP, each followed by `above` more free ones."""
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
    """The socket that reserves this port; None if the port is in use or already reserved."""
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
    """Listens on a loopback port that the system assigns, and serves each connection with a function."""

    def __init__(self, handler: Callable[[socket.socket], None]) -> None:
        """`handler` runs in a separate thread for each connection, which is closed when it returns."""
        self._handler = handler
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
            self._handler(sock)
        with self._lock:
            self._connections.discard(sock)

    def close(self) -> None:
        """Stop listening and shut the open connections down."""
        shut(self._socket)
        self._socket.close()
        with self._lock:
            connections = list(self._connections)
        for sock in connections:
            shut(sock)


def shut(sock: socket.socket) -> None:
    """Shut a connection down in both directions if it is still open."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def read_http(sock: socket.socket) -> HttpRequest | None:
    """Read the next request from a connection; None at its end."""
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
