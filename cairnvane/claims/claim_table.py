"""Whose a token is, and to what end it came: concluded from the records in their order. No I/O, no clock.

All lives read the same records in the same order, and nothing here asks for the time: what has aged is told
by the times in the records. So all of them come to the same conclusions, however late each one reads.

- A claim counts if its token is unknown, was given up as never begun, or if it was made behind the end of the
  claim before.
- Only the life that holds a claim can end it or give it up.
- Behind the seal of a segment nothing counts.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

from . import states
from .records import DIGEST_BYTES, SEAL, Record
from .states import IllegalStepError, KeyState, Step


class Place(NamedTuple):
    """Where a record stands."""

    segment: int
    offset: int
    length: int


@dataclass(slots=True)
class Entry:
    """What is known of a token."""

    life: int
    same: bytes  # the digest of class and body
    at: int  # when it was claimed
    until: int  # tries that reached the machine before are repeats
    state: KeyState
    place: Place | None = None  # of its result
    result: bytes | None = None  # held only while no file has it


class ClaimTable:
    """The tokens, fed with records. `unread`: how much later a try may be read than it came."""

    def __init__(self, unread: int) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.sealed: set[int] = set()
        self.ends: dict[int, int] = {}  # when the last key of a segment no longer counts
        self.lost = 0  # claims that came second
        self.illegal = 0  # steps that can't follow: of a claim that does not count, or twice
        self._unread = unread
        self._old: list[tuple[int, bytes]] = []

    def take(self, record: Record, place: Place) -> None:
        """The next record, which stands there."""
        segment = place.segment
        if segment in self.sealed:
            return
        if record.kind == SEAL:
            self.sealed.add(segment)
            return
        self.ends[segment] = max(self.ends.get(segment, 0), record.until)
        if record.kind == Step.INTENT:
            self._claim(record)
        else:
            self._end(record, place)

    def _claim(self, record: Record) -> None:
        entry = self.entries.get(record.token)
        if entry is not None and entry.state is not KeyState.VOID and record.at < entry.until:
            if (entry.life, entry.at) != (record.life, record.at):  # else it is said again, after a failure
                self.lost += 1
            return
        self.entries[record.token] = Entry(
            record.life, record.rest[:DIGEST_BYTES], record.at, record.until, KeyState.INTENDED
        )
        heapq.heappush(self._old, (record.until + self._unread, record.token))

    def _end(self, record: Record, place: Place) -> None:
        entry = self.entries.get(record.token)
        if entry is None or entry.life != record.life or entry.until != record.until:
            self.illegal += 1
            return
        step = Step(record.kind)
        try:
            entry.state = states.advance(entry.state, step)
        except IllegalStepError:
            again = (entry.state, step) in ((KeyState.FINISHED, Step.RESULT), (KeyState.FAILED, Step.FAULT))
            if again and entry.place is None:  # the same end, said again once a file takes it
                entry.place, entry.result = place, None
            else:
                self.illegal += 1
            return
        if step is Step.RESULT:
            entry.place = place

    def holds(self, token: bytes, life: int, at: int) -> bool:
        """Whether the claim that this life made then is the one that counts."""
        entry = self.entries.get(token)
        return entry is not None and (entry.life, entry.at) == (life, at)

    def find(self, token: bytes, arrived: int) -> Entry | None:
        """What a try that reached the machine then repeats."""
        entry = self.entries.get(token)
        if entry is None or entry.state is KeyState.VOID or arrived >= entry.until:
            return None
        return entry

    def expire(self, now: int) -> int:
        """Let go of what no try can repeat any more; how many went."""
        gone = 0
        while self._old and self._old[0][0] <= now:
            _, token = heapq.heappop(self._old)
            entry = self.entries.get(token)
            if entry is not None and entry.until + self._unread <= now:
                del self.entries[token]
                gone += 1
        return gone

    def droppable(self, segments: list[int], now: int) -> list[int]:
        """Of these, oldest first, the sealed ones in which nothing counts any more."""
        numbers = []
        for number in segments:
            if number not in self.sealed or self.ends.get(number, 0) + self._unread > now:
                break
            numbers.append(number)
        return numbers

    def dropped(self, segment: int) -> None:
        """A segment is no more."""
        self.sealed.discard(segment)
        self.ends.pop(segment, None)
