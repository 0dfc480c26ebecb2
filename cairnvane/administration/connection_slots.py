"""Which administration connections may stay, for how long, and which is evicted when no slot is free.

Decisions only, with no socket. Times are seconds of the monotonic clock. A connection is any object that its
owner can close.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, NamedTuple, TypeVar

# An answer is due within 1 s of the connection; a request that is not whole by then is too late for it.
REQUEST_TIMEOUT_S = 1.0
# A client that has its answer may read it for so long before the connection is closed for good.
RESPONSE_READ_TIMEOUT_S = 0.5
# With all slots taken, each new connection evicts another, and a silent client may come back at once: so many
# a second are accepted, which costs under a tenth of a core, and 400 wait for 0.4 s.
MAX_ACCEPTS_PER_S = 1_000
# Each has so long to send something before it may be evicted: an operator's request may follow its connection
# a moment later. With the rate limit alone, clients that had sent half kept their slots, and new ones were
# soon evicted.
EVICTION_GRACE_S = 0.1
# The rate limit holds over so long: so many may be accepted at once.
RATE_LIMIT_WINDOW_S = 0.032


class Phase(IntEnum):
    """How far a connection has come; the lowest is evicted first."""

    ANSWERED = 0  # it has its answer, and is only waited for to read it
    SILENT = 1  # nothing was received
    PARTIAL = 2  # a part of its request was received


Key = TypeVar("Key")


class Expired(NamedTuple, Generic[Key]):
    """A connection whose time is over, and how far it had come."""

    key: Key
    phase: Phase


@dataclass(slots=True)
class _Slot:
    phase: Phase
    since: float
    deadline: float


class ConnectionSlots(Generic[Key]):
    """A bounded number of slots, and a token bucket for evictions while all are taken."""

    def __init__(self, max_slots: int, request_timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._max_slots = max_slots
        self._request_timeout_s = request_timeout_s
        self._slots: dict[Key, _Slot] = {}  # in the order of arrival
        self._tokens_per_s = min(MAX_ACCEPTS_PER_S, max_slots / EVICTION_GRACE_S)
        self._max_tokens = max(1.0, self._tokens_per_s * RATE_LIMIT_WINDOW_S)
        self._tokens = self._max_tokens
        self._refilled_at = 0.0

    def __len__(self) -> int:
        return len(self._slots)

    def accept_delay(self, now: float) -> float:
        """For how many seconds no connection is to be accepted; 0: one may come now."""
        if len(self._slots) < self._max_slots:
            return 0.0
        self._refill(now)
        if self._tokens >= 1 and self.eviction_candidate(now) is not None:
            return 0.0
        return RATE_LIMIT_WINDOW_S / 2

    def _refill(self, now: float) -> None:
        self._tokens = min(self._max_tokens, self._tokens + (now - self._refilled_at) * self._tokens_per_s)
        self._refilled_at = now

    def add(self, key: Key, now: float) -> Key | None:
        """Add a new connection, for which `accept_delay` was 0; the one that is evicted for it, if any."""
        evicted = None
        if len(self._slots) >= self._max_slots:
            self._tokens -= 1
            evicted = self.eviction_candidate(now)
            if evicted is not None:
                del self._slots[evicted]
        self._slots[key] = _Slot(Phase.SILENT, now, now + self._request_timeout_s)
        return evicted

    def eviction_candidate(self, now: float) -> Key | None:
        """The connection to evict first, of those that have had the time to send something.

        A whole request never waits, so none is ever rejected.
        """
        candidates = (
            key
            for key, slot in self._slots.items()
            if slot.phase is Phase.ANSWERED or slot.since <= now - EVICTION_GRACE_S
        )
        # `min` keeps the first of equals, which came first.
        return min(candidates, key=lambda key: self._slots[key].phase, default=None)

    def request_begun(self, key: Key) -> None:
        """A part of its request was received."""
        slot = self._slots[key]
        slot.phase = max(slot.phase, Phase.PARTIAL)

    def answered(self, key: Key, now: float) -> None:
        """It has its answer."""
        slot = self._slots[key]
        slot.phase = Phase.ANSWERED
        slot.deadline = now + RESPONSE_READ_TIMEOUT_S

    def remove(self, key: Key) -> None:
        """It is closed."""
        self._slots.pop(key, None)

    def expire(self, now: float) -> list[Expired[Key]]:
        """Remove and return the connections whose time is over."""
        expired = [Expired(key, slot.phase) for key, slot in self._slots.items() if slot.deadline <= now]
        for connection in expired:
            del self._slots[connection.key]
        return expired

    def next_deadline(self) -> float | None:
        """When the next connection's time is over; None without connections."""
        return min((slot.deadline for slot in self._slots.values()), default=None)
