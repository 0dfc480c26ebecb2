"""Listening sockets of the stand-ins: a thread for each connection, ended with the stand-in."""

from __future__ import annotations

import contextlib
import random
import socket
import threading
from collections.abc import Callable

HOST = "127.0.0.1"
# Below the ports that outgoing connections get by themselves.
LEAST_PORT, MOST_PORT = 20_000, 32_000
# A port that was handed out is this process's until it ends, also while nobody listens there: who was killed
# comes back to it. Other rigs on this machine see so by an address that nothing else uses.
CLAIMS = "127.77.0.1"
_claims: list[socket.socket] = []


def free_ports(count: int, above: int = 0) -> list[int]:
    """Ports for datagrams and connections alike, with so many free ones above each."""
    ports: list[int] = []
    rng = random.SystemRandom()
    while len(ports) < count:
        first = rng.randrange(LEAST_PORT, MOST_PORT)
        claims = [_claim(port) for port in range(first, first + above + 1)]
        if all(claim is not None for claim in claims):
            _claims.extend(claim for claim in claims if claim is not None)
            ports.append(first)
            continue
        for claim in claims:
            if claim is not None:
                claim.close()
    return ports


def _claim(port: int) -> socket.socket | None:
    """None if the port is somebody's already."""
    claim = socket.socket(type=socket.SOCK_DGRAM)
    try:
        claim.bind((CLAIMS, port))
        with socket.create_server((HOST, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((HOST, port))
    except OSError:
        claim.close()
        return None
    return claim


class Listener:
    """Serves each connection by a script, on a loopback port of the system's choice."""

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._script = script
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._socket.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with self._lock:
            self._open.add(sock)
        with sock, contextlib.suppress(OSError):
            self._script(sock)
        with self._lock:
            self._open.discard(sock)

    def close(self) -> None:
        """Accept no more, and end what is open."""
        shut(self._socket)
        self._socket.close()
        with self._lock:
            left = list(self._open)
        for sock in left:
            shut(sock)


def shut(sock: socket.socket) -> None:
    """End a connection in both directions, if it still is one."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def read_http(sock: socket.socket) -> tuple[dict[str, str], bytes] | None:
    """A request's headers (in lower case) and body; None at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        if not (more := sock.recv(65_536)):
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:]
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    while len(body) < int(headers.get("content-length", "0")):
        if not (more := sock.recv(65_536)):
            return None
        body += more
    return headers, body
