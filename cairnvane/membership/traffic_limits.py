"""Bounds on the members' traffic, counted anew with each second."""

from __future__ import annotations

from .. import clock

# A member of twelve sends 2 KB in 20 datagrams a second, with a third of them lost 4 KB in 30.
MAX_SENT_BYTES_PER_SECOND = 64 << 10
MAX_RECEIVED_PER_SECOND = 1_000
US_PER_SECOND = 1_000_000


class TrafficLimits:
    """Counts what this second has sent and received."""

    def __init__(self) -> None:
        self._second = 0
        self._received = 0
        self._sent_bytes = 0

    def allow_sending(self, size: int) -> bool:
        """Count bytes that are to be sent; whether they stay within the bound."""
        self._start_second()
        self._sent_bytes += size
        return self._sent_bytes <= MAX_SENT_BYTES_PER_SECOND

    def allow_receiving(self) -> bool:
        """Count a datagram that was received; whether it stays within the bound."""
        self._start_second()
        self._received += 1
        return self._received <= MAX_RECEIVED_PER_SECOND

    def _start_second(self) -> None:
        second = clock.now() // US_PER_SECOND
        if second != self._second:
            self._second = second
            self._received = 0
            self._sent_bytes = 0
