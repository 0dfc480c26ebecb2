"""A stand-in vault and a stand-in roster."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

from .sockets import Listener, read_http


class StandInVault:
    """Answers every call, and counts them by what they are for."""

    def __init__(self, took_s: float = 0.002) -> None:
        self.calls: Counter[bytes] = Counter()
        self._took_s = took_s
        self._lock = threading.Lock()
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.close = self._listener.close

    def _serve(self, sock: socket.socket) -> None:
        while (told := read_http(sock)) is not None:
            with self._lock:
                self.calls[told[1]] += 1
            time.sleep(self._took_s)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbalance")


class StandInRoster:
    """Takes every report."""

    def __init__(self) -> None:
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.close = self._listener.close

    def _serve(self, sock: socket.socket) -> None:
        while read_http(sock) is not None:
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
