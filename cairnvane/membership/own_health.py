"""What a server observes of itself outside of the members' channel. No I/O, no clock.

Whether balancers still send requests, and whether its own event loop still works. Both are evidence for the
verdict on being cut off, and the second lowers this member's trust in itself first of all: a process whose
members' thread answers while its event loop stands still would else pass for healthy.
"""

from __future__ import annotations

# Requests are missed after so many times the usual gap between two, and no sooner than this silence: by
# chance a gap comes to that once in e to the 20th.
MISSED_GAPS = 20
MIN_SILENCE_US = 2_000_000
# The usual gap is learned over about so many requests; before as many it is not known.
LEARNING_REQUESTS = 32
# How often the event loop is asked for an answer, and when it counts as unresponsive without one.
ASK_INTERVAL_US = 500_000
UNRESPONSIVE_AFTER_US = 1_000_000
US_PER_SECOND = 1e6


class RequestArrivals:
    """When requests arrive. `record` may be called from several threads: a lost update does no harm."""

    def __init__(self) -> None:
        self._last_at = 0
        self._count = 0
        self._gap = 0.0  # the usual one, microseconds

    def record(self, now: int) -> None:
        """A request was read."""
        if self._last_at:
            weight = 1 / min(LEARNING_REQUESTS, self._count + 1)
            gap = min(now - self._last_at, MIN_SILENCE_US)
            self._gap += weight * (gap - self._gap)
            self._count += 1
        self._last_at = now

    def are_arriving(self, now: int) -> bool | None:
        """Whether balancers still send requests; None while the usual gap is not known."""
        if self._count < LEARNING_REQUESTS:
            return None
        return now - self._last_at < max(MIN_SILENCE_US, MISSED_GAPS * self._gap)

    def per_second(self, now: int) -> float:
        """The rate of requests."""
        if not self._count:
            return 0.0
        return US_PER_SECOND / max(1.0, self._gap, (now - self._last_at) / MISSED_GAPS)


class EventLoopMonitor:
    """Whether the event loop works: it is asked for an answer, one at a time."""

    def __init__(self) -> None:
        self._asked_at: int | None = None  # None: there is no question without an answer
        self._next_ask_at = 0

    def should_ask(self, now: int) -> bool:
        """Whether to ask the event loop now; if so, call `answered` once it has answered."""
        if self._asked_at is not None or now < self._next_ask_at:
            return False
        self._asked_at = now
        self._next_ask_at = now + ASK_INTERVAL_US
        return True

    def answered(self) -> None:
        """The event loop has answered; called in its thread."""
        self._asked_at = None

    def is_responsive(self, now: int) -> bool:
        """Whether the event loop answered of late."""
        asked_at = self._asked_at  # read once: the event loop's thread may clear it meanwhile
        return asked_at is None or now - asked_at < UNRESPONSIVE_AFTER_US
