"""Which incarnation holds the claim of a key, and how its run ended: derived from the records in order.

No I/O and no clock: expiry follows from the times in the records. All incarnations read the same records in
the same order, so all of them come to the same conclusions, however late each one reads.

- A claim counts if its key is unknown, if the claim before it was given up as never started, or if it was
  made after the claim before it had expired.
- Only the incarnation that holds a claim can end it or give it up.
- Nothing behind the seal of a segment counts.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

from . import states
from .records import FINGERPRINT_BYTES, SEAL, Record
from .states import IllegalStepError, KeyState, Step

# `Step(kind)` takes several times as long, and this is done for each record.
_STEPS_BY_NUMBER = {step.value: step for step in Step}
# An end that is written a second time, after a failed write that may have come through.
_REPEATED_ENDS = ((KeyState.FINISHED, Step.RESULT), (KeyState.FAILED, Step.FAULT))


class RecordLocation(NamedTuple):
    """Where a record stands; offset and length in bytes."""

    segment: int
    offset: int
    length: int


@dataclass(slots=True)
class Entry:
    """What is recorded of a key. Times are microseconds of the machine's monotonic clock."""

    incarnation: int  # the incarnation that holds the claim
    fingerprint: bytes  # the request's fingerprint
    claimed_at: int  # when it was claimed
    expires_at: int  # when it expires: requests that arrived earlier are duplicates
    state: KeyState
    result_location: RecordLocation | None = None
    unwritten_result: bytes | None = None  # held only while no file has it


class ClaimTable:
    """The keys and their claims, built from records in their order.

    `max_read_delay` is how much later than its arrival a request may be read, in microseconds.
    """

    def __init__(self, max_read_delay: int) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.sealed_segments: set[int] = set()
        self.rejected_claims = 0  # made while another claim of the key counted
        self.illegal_steps = 0  # of a claim that does not count, or made twice
        self._max_read_delay = max_read_delay
        self._last_expiry: dict[int, int] = {}  # by segment: when its last key expires
        self._expiry_queue: list[tuple[int, bytes]] = []  # a heap: when a key can be forgotten, and the key

    def apply(self, record: Record, place: RecordLocation) -> None:
        """Apply the next record, which stands at this place."""
        segment = place.segment
        if segment in self.sealed_segments:
            return
        if record.kind == SEAL:
            self.sealed_segments.add(segment)
            return
        if record.expires_at > self._last_expiry.get(segment, 0):
            self._last_expiry[segment] = record.expires_at
        if record.kind == Step.INTENT:
            self._apply_claim(record)
        else:
            self._apply_end(record, place)

    def is_holder(self, key: bytes, incarnation: int, claimed_at: int) -> bool:
        """Whether the claim that this incarnation made at this time is the one that counts."""
        entry = self.entries.get(key)
        return entry is not None and (entry.incarnation, entry.claimed_at) == (incarnation, claimed_at)

    def find(self, key: bytes, arrived_at: int) -> Entry | None:
        """The entry that a request which arrived at this time is a duplicate of."""
        entry = self.entries.get(key)
        if entry is None or entry.state is KeyState.VOID or arrived_at >= entry.expires_at:
            return None
        return entry

    def expire(self, now: int) -> int:
        """Forget the keys of which no duplicate can be read any more; return how many."""
        forgotten = 0
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            _, key = heapq.heappop(self._expiry_queue)
            entry = self.entries.get(key)
            if entry is not None and entry.expires_at + self._max_read_delay <= now:
                del self.entries[key]
                forgotten += 1
        return forgotten

    def segment_expiry(self, segment: int) -> int:
        """When the last key of this segment expires; 0 if it holds none."""
        return self._last_expiry.get(segment, 0)

    def droppable_segments(self, segments: list[int], now: int) -> list[int]:
        """Of these segments, oldest first, the leading ones that are sealed and hold nothing that counts."""
        droppable = []
        for segment in segments:
            is_expired = self.segment_expiry(segment) + self._max_read_delay <= now
            if segment not in self.sealed_segments or not is_expired:
                break
            droppable.append(segment)
        return droppable

    def forget_segment(self, segment: int) -> None:
        """Note that a segment was deleted; the keys in it stay until they expire."""
        self.sealed_segments.discard(segment)
        self._last_expiry.pop(segment, None)

    def forget_all_segments(self) -> None:
        """Note that all segments are gone with their folder; the keys in them stay until they expire."""
        self.sealed_segments.clear()
        self._last_expiry.clear()

    def _apply_claim(self, record: Record) -> None:
        entry = self.entries.get(record.key)
        if entry is not None and entry.state is not KeyState.VOID and record.made_at < entry.expires_at:
            is_rewritten = (entry.incarnation, entry.claimed_at) == (
                record.incarnation,
                record.made_at,
            )  # after a failed write
            if not is_rewritten:
                self.rejected_claims += 1
            return
        self.entries[record.key] = Entry(
            record.incarnation,
            record.rest[:FINGERPRINT_BYTES],
            record.made_at,
            record.expires_at,
            KeyState.INTENDED,
        )
        heapq.heappush(self._expiry_queue, (record.expires_at + self._max_read_delay, record.key))

    def _apply_end(self, record: Record, place: RecordLocation) -> None:
        entry = self.entries.get(record.key)
        if entry is None or entry.incarnation != record.incarnation or entry.expires_at != record.expires_at:
            self.illegal_steps += 1
            return
        step = _STEPS_BY_NUMBER[record.kind]
        try:
            entry.state = states.advance(entry.state, step)
        except IllegalStepError:
            self._apply_repeated_end(entry, step, place)
            return
        if step is Step.RESULT:
            entry.result_location = place

    def _apply_repeated_end(self, entry: Entry, step: Step, place: RecordLocation) -> None:
        """Take over the place of an end that was held in memory until a file took it."""
        if (entry.state, step) in _REPEATED_ENDS and entry.result_location is None:
            entry.result_location = place
            entry.unwritten_result = None
        else:
            self.illegal_steps += 1
