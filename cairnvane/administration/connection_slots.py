"""Who waits at the door, for how long, and who goes when no place is left: decisions, with no socket.

Times are seconds of the monotonic clock. A caller is any object that its owner can close.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, TypeVar

# An answer is due within 1 s of the call; a call that has not come whole by then never will in time.
CALL_WAIT_S = 1.0
# A caller that has its answer may read it for so long before the connection is closed for good.
READ_WAIT_S = 0.5
# With all places taken, each newcomer costs another caller its place, and who says nothing may come back at
# once: so many a second are taken in, which is under a tenth of a core, and 400 wait for 0.4 s.
MOST_PER_S = 1_000
# Each has so long to speak before it may lose its place: staff's call may follow its connection a moment
# later. Where only the pace saw to that, callers who had said half kept theirs, and newcomers were soon gone.
GRACE_S = 0.1
# The pace is kept over so long: so many may come in one go.
PACE_S = 0.032


class Phase(IntEnum):
    """How far a caller has come; who is first here goes first."""

    ANSWERED = 0  # it has its answer, and is only waited for to take it
    SILENT = 1  # nothing was said
    HALF = 2  # a part of its call


Key = TypeVar("Key")


@dataclass(slots=True)
class _Place:
    phase: Phase
    since: float
    until: float


class ConnectionSlots(Generic[Key]):
    """The places, `most` of them."""

    def __init__(self, most: int, call_wait_s: float = CALL_WAIT_S) -> None:
        self._most, self._call_wait_s = most, call_wait_s
        self._places: dict[Key, _Place] = {}
        self._rate = min(MOST_PER_S, most / GRACE_S)
        self._burst = max(1.0, self._rate * PACE_S)
        self._allowed, self._counted_at = self._burst, 0.0

    def __len__(self) -> int:
        return len(self._places)

    def pause(self, now: float) -> float:
        """How long no newcomer is taken in; 0: one may come now."""
        if len(self._places) < self._most:
            return 0.0
        self._refill(now)
        return 0.0 if self._allowed >= 1 and self.first_to_go(now) is not None else PACE_S / 2

    def _refill(self, now: float) -> None:
        self._allowed = min(self._burst, self._allowed + (now - self._counted_at) * self._rate)
        self._counted_at = now

    def enter(self, key: Key, now: float) -> Key | None:
        """A newcomer, for whom `pause` was 0. Who has to go for it, if anyone."""
        gone = None
        if len(self._places) >= self._most:
            self._allowed -= 1
            gone = self.first_to_go(now)
            if gone is not None:
                del self._places[gone]
        self._places[key] = _Place(Phase.SILENT, now, now + self._call_wait_s)
        return gone

    def first_to_go(self, now: float) -> Key | None:
        """Who loses its place first, of those that have had the time to speak: a whole call never waits, so
        none is ever turned away."""
        # In the order of coming; `min` keeps the first of equals.
        may = (
            key
            for key, place in self._places.items()
            if place.phase is Phase.ANSWERED or place.since <= now - GRACE_S
        )
        return min(may, key=lambda key: self._places[key].phase, default=None)

    def said(self, key: Key) -> None:
        """It has said a part of its call."""
        place = self._places[key]
        place.phase = max(place.phase, Phase.HALF)

    def answered(self, key: Key, now: float) -> None:
        """It has its answer."""
        place = self._places[key]
        place.phase, place.until = Phase.ANSWERED, now + READ_WAIT_S

    def leave(self, key: Key) -> None:
        """It is gone."""
        self._places.pop(key, None)

    def over(self, now: float) -> list[tuple[Key, Phase]]:
        """Whose time is over, and how far each had come; they have left their places."""
        ended = [(key, place.phase) for key, place in self._places.items() if place.until <= now]
        for key, _ in ended:
            del self._places[key]
        return ended

    def next_end(self) -> float | None:
        """When the next one's time is over."""
        return min((place.until for place in self._places.values()), default=None)
