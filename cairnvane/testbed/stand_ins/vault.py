"""Stand-ins for the downstream dependency (the vault) and for the service registry."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import Counter

from .concurrency_history import ConcurrencyHistory
from .sockets import Listener, read_http

# After a breakdown under overload the vault rejects all calls for this time.
OUTAGE_S = 1.0
_REJECTION = b"HTTP/1.1 503 No\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n"
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbalance"
# Malformed replies: a negative length, a truncated body, an endless header, random bytes. The call has run.
_GARBLED_RESPONSES = (
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nbalance",
    b"HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\nbal",
    b"HTTP/1.1 200 OK\r\n" + b"X-Pad: 0123456789\r\n" * 5_000,
    b"\x00\xff" * 40,
)


class StandInVault:
    """A dependency that answers every call and counts calls by their body.

    With `slots`, it slows down proportionally when more calls than slots are in flight, and breaks down for
    `OUTAGE_S` when their number reaches `falls_at` times the slots. The testbed injects faults by setting the
    public fields `slowdown`, `down`, `silent` and `garbled_share`.
    """

    def __init__(
        self, took_s: float = 0.002, slots: int = 0, falls_at: float = 5.0, linger_s: float = 0.0
    ) -> None:
        """`took_s`: the duration of a call without faults and overload.

        `linger_s`: the maximum time that a call stays in flight after its client has abandoned it.
        """
        self._linger_s = linger_s
        self.calls: Counter[bytes] = Counter()
        self.slowdown = 1.0  # fault: factor on the duration of calls
        self.down = False  # fault: calls are rejected without having run
        self.silent = False  # fault: calls are accepted and never answered
        self.garbled_share = 0.0  # fault: fraction of malformed replies, each of which ends its connection
        self.in_flight_history = ConcurrencyHistory()  # calls in flight over time
        self._random = random.Random(took_s)
        self.in_flight = 0
        self.max_in_flight = 0
        self.outages = 0  # breakdowns under overload
        self.rejected = 0
        self.calls_during_faults = 0  # calls that arrived while it was slow, down, silent or broken down
        self.over_capacity_s = 0.0  # time with more calls in flight than slots
        self._in_flight_changed_at = time.monotonic()
        self._outage_until = 0.0
        self._slots = slots
        self._falls_at = falls_at
        self._took_s = took_s
        self._lock = threading.Lock()  # guards all counts and times above
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.close = self._listener.close

    def _serve(self, sock: socket.socket) -> None:
        while (request := read_http(sock)) is not None:
            with self._lock:
                duration_s = self._admit()
                if duration_s is not None:
                    self.calls[request.body] += 1
                    self._change_in_flight(1)
                    self.max_in_flight = max(self.max_in_flight, self.in_flight)
            if duration_s is None:
                sock.sendall(_REJECTION)
                continue
            is_abandoned = self._is_abandoned_within(sock, duration_s)
            with self._lock:
                self._change_in_flight(-1)
            if is_abandoned:
                return
            if self.silent:
                sock.recv(1)  # returns when the client disconnects
                return
            if self._random.random() < self.garbled_share:
                sock.sendall(self._random.choice(_GARBLED_RESPONSES))
                return
            sock.sendall(_RESPONSE)

    def _is_abandoned_within(self, sock: socket.socket, duration_s: float) -> bool:
        """Wait for the duration of a call; True if its client abandons it, which ends it after `linger_s`."""
        ends_at = time.monotonic() + duration_s
        sock.settimeout(duration_s)
        try:
            sock.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            return False
        finally:
            sock.settimeout(None)
        time.sleep(max(0.0, min(self._linger_s, ends_at - time.monotonic())))
        return True

    def _change_in_flight(self, change: int) -> None:
        now = time.monotonic()
        if self._slots and self.in_flight > self._slots:
            self.over_capacity_s += now - self._in_flight_changed_at
        self._in_flight_changed_at = now
        self.in_flight += change
        self.in_flight_history.record(now, self.in_flight)

    def highest_mean_calls(self, window_s: float) -> float:
        """Highest mean number of calls in flight over any window of `window_s` seconds."""
        with self._lock:
            return self.in_flight_history.highest_mean(window_s, time.monotonic())

    def _admit(self) -> float | None:
        """The duration of this call in seconds; None if it is rejected without having run."""
        now = time.monotonic()
        self.calls_during_faults += self.slowdown > 1 or self.down or self.silent or now < self._outage_until
        if self._slots and self.in_flight >= self._falls_at * self._slots and now >= self._outage_until:
            self._outage_until = now + OUTAGE_S
            self.outages += 1
        if self.down or now < self._outage_until:
            self.rejected += 1
            return None
        overload = max(1.0, self.in_flight / self._slots) if self._slots else 1.0
        return self._took_s * self.slowdown * overload


class StandInRoster:
    """A service registry that accepts every report."""

    def __init__(self) -> None:
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        self.close = self._listener.close

    def _serve(self, sock: socket.socket) -> None:
        while read_http(sock) is not None:
            sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
