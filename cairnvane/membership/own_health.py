"""What a server sees beside the channel that speaks of itself: whether balancers still come, and whether its
own host thread still works. No I/O, no clock.

Both are evidence for the verdict on being cut off, and the second is a reason to doubt oneself before anyone
else: a process whose members' thread answers while its host stands still would else pass for well.
"""

from __future__ import annotations

# Balancers are missed after so many times the usual gap between two requests, and no sooner than this: by
# chance a gap comes to that once in e to the 20th.
MISSED_GAPS, MIN_SILENCE_US = 20, 2_000_000
# The usual gap is learned over about so many requests; before as many it is not known.
LEARNING_REQUESTS = 32
# The host is asked for a word so often, and is held up if it gives none for so long.
ASK_INTERVAL_US, UNRESPONSIVE_AFTER_US = 500_000, 1_000_000


class RequestArrivals:
    """When requests come. `note` may be called from several threads: a lost one makes no difference."""

    def __init__(self) -> None:
        self._last = self._count = 0
        self._gap = 0.0

    def record(self, now: int) -> None:
        """One was read."""
        if self._last:
            weight = 1 / min(LEARNING_REQUESTS, self._count + 1)
            self._gap += weight * (min(now - self._last, MIN_SILENCE_US) - self._gap)
            self._count += 1
        self._last = now

    def are_arriving(self, now: int) -> bool | None:
        """Whether balancers still bring requests; None while nobody knows how often they do."""
        if self._count < LEARNING_REQUESTS:
            return None
        return now - self._last < max(MIN_SILENCE_US, MISSED_GAPS * self._gap)

    def per_second(self, now: int) -> float:
        """How many come."""
        if not self._count:
            return 0.0
        return 1e6 / max(1.0, self._gap, (now - self._last) / MISSED_GAPS)


class EventLoopMonitor:
    """Whether the host thread works: it is asked for a word, one at a time."""

    def __init__(self) -> None:
        self._asked: int | None = None  # when the word was asked for that has not come
        self._next = 0

    def should_ask(self, now: int) -> bool:
        """Whether to ask the host for a word now; if so, `beat` is told once it has come."""
        if self._asked is not None or now < self._next:
            return False
        self._asked, self._next = now, now + ASK_INTERVAL_US
        return True

    def answered(self) -> None:
        """The word came; from the host thread."""
        self._asked = None

    def is_responsive(self, now: int) -> bool:
        """Whether the host gave its word of late."""
        asked = self._asked
        return asked is None or now - asked < UNRESPONSIVE_AFTER_US
