"""Health signals of the server itself, observed outside the members' channel. No I/O, no clock.

The signals are whether balancers still send requests and whether the server's event loop responds. Both are
evidence for the partition verdict. An unresponsive event loop also degrades the local health score, since the
members' thread would still answer pings and the process would otherwise look healthy.
"""

from __future__ import annotations

# Requests count as missing after a silence of this many mean gaps, and not before the minimum silence. With
# random arrivals, a gap of 20 means occurs once in e^20 gaps.
MISSED_GAPS = 20
MIN_SILENCE_US = 2_000_000
# Number of requests over which the mean gap is averaged; it is unknown before this many.
LEARNING_REQUESTS = 32
# Interval between two probes of the event loop, and the time without an answer until it is unresponsive.
ASK_INTERVAL_US = 500_000
UNRESPONSIVE_AFTER_US = 1_000_000
US_PER_SECOND = 1e6


class RequestArrivals:
    """Tracks request arrivals. `record` may be called from several threads; a lost update is harmless."""

    def __init__(self) -> None:
        self._last_at = 0
        self._count = 0
        self._mean_gap_us = 0.0

    def record(self, now: int) -> None:
        """Record the arrival of a request."""
        if self._last_at:
            weight = 1 / min(LEARNING_REQUESTS, self._count + 1)
            gap = min(now - self._last_at, MIN_SILENCE_US)
            self._mean_gap_us += weight * (gap - self._mean_gap_us)
            self._count += 1
        self._last_at = now

    def are_arriving(self, now: int) -> bool | None:
        """Whether balancers still send requests; None while the mean gap is not known."""
        if self._count < LEARNING_REQUESTS:
            return None
        return now - self._last_at < max(MIN_SILENCE_US, MISSED_GAPS * self._mean_gap_us)

    def per_second(self, now: int) -> float:
        """The request rate; it falls during a silence."""
        if not self._count:
            return 0.0
        return US_PER_SECOND / max(1.0, self._mean_gap_us, (now - self._last_at) / MISSED_GAPS)


class EventLoopMonitor:
    """Probes whether the event loop responds, with one probe outstanding at a time."""

    def __init__(self) -> None:
        self._asked_at: int | None = None  # None: no probe is outstanding
        self._next_ask_at = 0

    def should_ask(self, now: int) -> bool:
        """Whether to probe the event loop now; if so, the event loop must call `answered`."""
        if self._asked_at is not None or now < self._next_ask_at:
            return False
        self._asked_at = now
        self._next_ask_at = now + ASK_INTERVAL_US
        return True

    def answered(self) -> None:
        """Record the answer of the event loop; called in its thread."""
        self._asked_at = None

    def is_responsive(self, now: int) -> bool:
        """Whether no probe has been outstanding for longer than the limit."""
        asked_at = self._asked_at  # read once, because the event loop's thread may clear it concurrently
        return asked_at is None or now - asked_at < UNRESPONSIVE_AFTER_US
