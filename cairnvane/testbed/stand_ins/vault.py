"""A stand-in vault and a stand-in roster."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

from .sockets import Listener, read_http

# A vault that fell over refuses everybody for so long.
FALLEN_S = 1.0


class StandInVault:
    """Answers every call, and counts them by what they are for. With `slots`, it slows down when more calls
    are in its hands, and falls over when there are `falls_at` times as many."""

    def __init__(self, took_s: float = 0.002, slots: int = 0, falls_at: float = 5.0) -> None:
        self.calls: Counter[bytes] = Counter()
        self.slower = 1.0  # a fault: calls take so many times as long
        self.down = self.silent = False
        self.in_hand = self.most_in_hand = self.fell = self.refused = 0
        self.met_sick = 0  # calls that came while it was slow, down, silent or fallen
        self.over_s = 0.0  # while it had more than its slots in hand
        self._changed = time.monotonic()
        self._fallen_until = 0.0
        self._slots, self._falls_at = slots, falls_at
        self._took_s = took_s
        self._lock = threading.Lock()
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.close = self._listener.close

    def _serve(self, sock: socket.socket) -> None:
        while (told := read_http(sock)) is not None:
            with self._lock:
                takes_s = self._take()
                if takes_s is not None:
                    self.calls[told[1]] += 1
                    self._hold(1)
                    self.most_in_hand = max(self.most_in_hand, self.in_hand)
            if takes_s is None:
                sock.sendall(b"HTTP/1.1 503 No\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n")
                continue
            time.sleep(takes_s)
            with self._lock:
                self._hold(-1)
            if self.silent:
                sock.recv(1)  # until the caller gives up
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbalance")

    def _hold(self, more: int) -> None:
        now = time.monotonic()
        if self._slots and self.in_hand > self._slots:
            self.over_s += now - self._changed
        self._changed = now
        self.in_hand += more

    def _take(self) -> float | None:
        """How long this call takes; None: it is refused, unseen."""
        now = time.monotonic()
        self.met_sick += self.slower > 1 or self.down or self.silent or now < self._fallen_until
        if self._slots and self.in_hand >= self._falls_at * self._slots and now >= self._fallen_until:
            self._fallen_until = now + FALLEN_S
            self.fell += 1
        if self.down or now < self._fallen_until:
            self.refused += 1
            return None
        crowd = max(1.0, self.in_hand / self._slots) if self._slots else 1.0
        return self._took_s * self.slower * crowd


class StandInRoster:
    """Takes every report."""

    def __init__(self) -> None:
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.close = self._listener.close

    def _serve(self, sock: socket.socket) -> None:
        while read_http(sock) is not None:
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
