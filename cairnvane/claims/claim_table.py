"""Derives from the records, in their order, which incarnation holds the claim of a key and how its run ended.

Does no I/O and reads no clock: expiry follows from the times in the records. All incarnations read the same
records in the same order, so all of them get the same result, no matter when each one reads.

- A claim is valid if its key is unknown, if the previous claim was given up as never started, or if it was
  made after the previous claim had expired.
- Only the incarnation that holds a claim can end it or give it up.
- Records behind the seal of a segment are ignored.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

from . import states
from .records import FINGERPRINT_BYTES, SEAL, Record
from .states import IllegalStepError, KeyState, Step

# Looked up for each record; `Step(kind)` takes several times as long.
_STEPS_BY_NUMBER = {step.value: step for step in Step}
# The state and step of an end that is written again, after a failed write that may have reached the file.
_REPEATED_ENDS = ((KeyState.FINISHED, Step.RESULT), (KeyState.FAILED, Step.FAULT))


class RecordLocation(NamedTuple):
    """The location of a record in the log; offset and length in bytes."""

    segment: int
    offset: int
    length: int


@dataclass(slots=True)
class Entry:
    """The recorded state of a key. Times are microseconds of the machine's monotonic clock."""

    incarnation: int  # the incarnation that holds the claim
    fingerprint: bytes  # the request's fingerprint
    claimed_at: int
    expires_at: int  # requests that arrived before this time are duplicates
    state: KeyState
    result_location: RecordLocation | None = None
    unwritten_result: bytes | None = None  # kept only while the result is in no file


class ClaimTable:
    """The keys and their claims, built from the records in their order.

    `max_read_delay_us` is the longest time from the arrival of a request until it is read, in microseconds.
    """

    def __init__(self, max_read_delay_us: int) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.sealed_segments: set[int] = set()
        self.rejected_claims = 0  # made while another claim of the key was valid
        self.illegal_steps = 0  # steps of a claim that is not valid, or steps made twice
        self._max_read_delay = max_read_delay_us
        self._last_expiry: dict[int, int] = {}  # by segment: the time when its last key expires
        self._expiry_queue: list[tuple[int, bytes]] = []  # a heap of (time of removal, key)

    def apply(self, record: Record, location: RecordLocation) -> None:
        """Apply the next record, which was read from this location."""
        segment = location.segment
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
            self._apply_end(record, location)

    def is_holder(self, key: bytes, incarnation: int, claimed_at: int) -> bool:
        """Whether the claim that this incarnation made at this time is the valid one."""
        entry = self.entries.get(key)
        return entry is not None and (entry.incarnation, entry.claimed_at) == (incarnation, claimed_at)

    def find(self, key: bytes, arrived_at: int) -> Entry | None:
        """Return the entry of the original if a request that arrived at this time is a duplicate."""
        entry = self.entries.get(key)
        if entry is None or entry.state is KeyState.VOID or arrived_at >= entry.expires_at:
            return None
        return entry

    def expire(self, now: int) -> int:
        """Remove the keys of which no duplicate can be read any more; return their number."""
        removed_count = 0
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            _, key = heapq.heappop(self._expiry_queue)
            entry = self.entries.get(key)
            if entry is not None and entry.expires_at + self._max_read_delay <= now:
                del self.entries[key]
                removed_count += 1
        return removed_count

    def segment_expiry(self, segment: int) -> int:
        """Return the time when the last key of this segment expires; 0 if it has no keys."""
        return self._last_expiry.get(segment, 0)

    def deletable_segments(self, segments: list[int], now: int) -> list[int]:
        """Return the oldest segments before the first one that is not sealed or has an unexpired key.

        `segments` is ordered from oldest to newest.
        """
        deletable = []
        for segment in segments:
            is_expired = self.segment_expiry(segment) + self._max_read_delay <= now
            if segment not in self.sealed_segments or not is_expired:
                break
            deletable.append(segment)
        return deletable

    def forget_segment(self, segment: int) -> None:
        """Note that a segment was deleted; its keys stay in the table until they expire."""
        self.sealed_segments.discard(segment)
        self._last_expiry.pop(segment, None)

    def forget_all_segments(self) -> None:
        """Note that the folder was removed; the keys of its segments stay in the table until they expire."""
        self.sealed_segments.clear()
        self._last_expiry.clear()

    def _apply_claim(self, record: Record) -> None:
        entry = self.entries.get(record.key)
        if entry is not None and entry.state is not KeyState.VOID and record.made_at < entry.expires_at:
            # The same claim is written again if its first write failed.
            is_rewritten = (entry.incarnation, entry.claimed_at) == (record.incarnation, record.made_at)
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

    def _apply_end(self, record: Record, location: RecordLocation) -> None:
        entry = self.entries.get(record.key)
        if entry is None or entry.incarnation != record.incarnation or entry.expires_at != record.expires_at:
            self.illegal_steps += 1
            return
        step = _STEPS_BY_NUMBER[record.kind]
        try:
            entry.state = states.advance(entry.state, step)
        except IllegalStepError:
            self._apply_repeated_end(entry, step, location)
            return
        if step is Step.RESULT:
            entry.result_location = location

    def _apply_repeated_end(self, entry: Entry, step: Step, location: RecordLocation) -> None:
        """Store the location of an end that was kept in memory until it could be written."""
        if (entry.state, step) in _REPEATED_ENDS and entry.result_location is None:
            entry.result_location = location
            entry.unwritten_result = None
        else:
            self.illegal_steps += 1
