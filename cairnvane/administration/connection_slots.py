"""Bounds the open administration connections: timeouts, and eviction when no slot is free.

This module decides only; it has no sockets. Times are seconds of the monotonic clock. A connection is
represented by any hashable key.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, NamedTuple, TypeVar

# A response is due within 1 s of the connection; a request that is incomplete by then times out.
REQUEST_TIMEOUT_S = 1.0
# After the response was sent, the client has this time to read it before the connection is closed.
RESPONSE_READ_TIMEOUT_S = 0.5
# While all slots are taken, each new connection evicts another one, and an evicted client may reconnect at
# once. This rate costs under a tenth of a core, and 400 waiting connections are accepted within 0.4 s.
MAX_ACCEPTS_PER_S = 1_000
# A new connection is not evicted within this time, since an operator's request may follow a moment after its
# connection. With the rate limit alone, clients that had sent part of a request kept their slots, and new
# connections were soon evicted.
EVICTION_GRACE_S = 0.1
# The window of the rate limit; its tokens may be used in one burst.
RATE_LIMIT_WINDOW_S = 0.032


class Phase(IntEnum):
    """The progress of a connection; the lowest phase is evicted first."""

    ANSWERED = 0  # the response was sent; the client may still be reading it
    SILENT = 1  # nothing was received
    PARTIAL = 2  # part of the request was received


Key = TypeVar("Key")


class Expired(NamedTuple, Generic[Key]):
    """A connection that timed out, and its phase."""

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
        """The seconds to wait before the next connection may be accepted; 0 if one may be accepted now."""
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
        """Add a new connection after `accept_delay` returned 0; returns the evicted connection, if any."""
        evicted = None
        if len(self._slots) >= self._max_slots:
            self._tokens -= 1
            evicted = self.eviction_candidate(now)
            if evicted is not None:
                del self._slots[evicted]
        self._slots[key] = _Slot(Phase.SILENT, now, now + self._request_timeout_s)
        return evicted

    def eviction_candidate(self, now: float) -> Key | None:
        """The connection to evict first, among those whose grace period is over.

        A complete request is answered at once, so eviction never rejects one.
        """
        candidates = (
            key
            for key, slot in self._slots.items()
            if slot.phase is Phase.ANSWERED or slot.since <= now - EVICTION_GRACE_S
        )
        # Among equals, `min` returns the first, which is the oldest connection.
        return min(candidates, key=lambda key: self._slots[key].phase, default=None)

    def request_started(self, key: Key) -> None:
        """Record that part of the request was received."""
        slot = self._slots[key]
        slot.phase = max(slot.phase, Phase.PARTIAL)

    def answered(self, key: Key, now: float) -> None:
        """Record that the response was sent."""
        slot = self._slots[key]
        slot.phase = Phase.ANSWERED
        slot.deadline = now + RESPONSE_READ_TIMEOUT_S

    def remove(self, key: Key) -> None:
        """Free the slot of a closed connection."""
        self._slots.pop(key, None)

    def expire(self, now: float) -> list[Expired[Key]]:
        """Remove and return the connections that have timed out."""
        expired = [Expired(key, slot.phase) for key, slot in self._slots.items() if slot.deadline <= now]
        for connection in expired:
            del self._slots[connection.key]
        return expired

    def next_deadline(self) -> float | None:
        """When the next connection times out; None without connections."""
        return min((slot.deadline for slot in self._slots.values()), default=None)
