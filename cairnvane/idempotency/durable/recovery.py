"""Derives the state of all keys from the records of a log. No I/O: the caller passes what it has read.

Times of the monotonic clock under another boot of the machine are not comparable with those of this boot. The
times in a segment of another boot are therefore shifted as if the segment had been begun now, so the unknown
time that has passed since does not shorten the window of a key. The system's Unix clock, which may be set at
any time, is never read.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ...claims import states
from ...claims.states import IllegalStepError, KeyState, Step
from ..store import RecoveredState, StartedRun
from . import index as key_index
from . import records
from .errors import IndexFullError
from .index import Index
from .retention import EXPIRY_SLOT_US, Segment

# Stands for the start time of a worker pool of an earlier boot, which no longer runs. The clock never shows
# this time, so it matches no other pool.
EARLIER_BOOT_POOL_STARTED_AT = -(1 << 62)
_STEPS = {int(step): step for step in Step}
# Plain integers: looking up an enum member takes as long as the work that depends on it.
INTENT, CALL, RESULT, FAULT, LINK = map(int, (Step.INTENT, Step.CALL, Step.RESULT, Step.FAULT, Step.LINK))
HEAD_BYTES = records.HEAD_BYTES
COMMON_BYTES = records.COMMON_BYTES
# The number of illegal steps that are described; further ones are only counted.
MAX_ILLEGAL_DESCRIBED = 20

# A run without a recorded end: the segment of its start record, the record's size and payload, the shift of
# its times, and the notice whose call was about to be made (0: none). One is created for each start record
# that is read; a plain tuple takes less time to create than an instance of a class.
Run = tuple[Segment, int, bytes, int, int]


@dataclass(slots=True)
class Counts:
    """Counts of what recovery has read, for reports."""

    records: int = 0
    aged: int = 0  # records of keys that have expired
    illegal: list[str] = field(default_factory=list)
    more_illegal: int = 0


class SegmentReading(NamedTuple):
    """What reading a segment has found in addition to its records."""

    damages: list[records.Damage]
    end_offset: int  # where the last good record ends


class Recovery:
    """Processes the records of all segments, oldest segment first.

    Raises `IndexFullError` if more keys are within their window than the index has room for.
    """

    def __init__(self, index: Index, boot: bytes, max_read_delay_us: int, now: int) -> None:
        self.counts = Counts()
        self.runs: dict[bytes, Run] = {}
        self.settled_notice = 0  # the effects of all notices up to this one are recorded
        self.pool_started_at: int | None = None  # start of the last worker pool; None: there was none
        self._index = index
        self._boot = boot
        self._max_read_delay_us = max_read_delay_us
        self._now = now
        self._never_started: set[bytes] = set()  # keys whose run provably never started
        self._indexed_by_slot: dict[int, int] = {}  # number of keys by the slot in which they expire
        self._time_shift_us = 0  # added to the times in the current segment

    def begin_segment(self, header: records.Header) -> Segment:
        """Begin the next segment, to which the records of the next `read` belong."""
        self._time_shift_us = 0 if header.boot == self._boot else self._now - header.at
        self._segment = Segment(header.number, header.at + self._time_shift_us)
        return self._segment

    def _key_state(self, key: bytes) -> KeyState:
        run = self.runs.get(key)
        if run is not None:
            return KeyState.CALLING if run[4] else KeyState.INTENDED
        if key in self._never_started:
            return KeyState.VOID
        found = self._index.get(key)
        if found is None:
            return KeyState.UNKNOWN
        is_current = self._index.is_before_expiry(found.expiry_tick, self._now - self._max_read_delay_us)
        return key_index.unpack_state(found.word) if is_current else KeyState.AGED

    def read(
        self,
        scanned: Iterable[records.RawRecord | records.Damage],
    ) -> SegmentReading:
        """Process what `records.scan` yields for the segment.

        This loop handles hundreds of thousands of records, so the two records of an ordinary request are
        processed inline with local variables: the start of an unknown key, and the result of a started run.
        `_apply` processes all others.
        """
        segment = self._segment
        time_shift_us = self._time_shift_us
        runs = self.runs
        never_started = self._never_started
        indexed_by_slot = self._indexed_by_slot
        common = records.unpack_common
        get = self._index.get
        put = self._index.put
        finished = key_index.pack_word(segment.number, 0, 0, KeyState.FINISHED)
        expiry_cutoff = self._now - self._max_read_delay_us
        settled_notice = self.settled_notice
        last_expiry = 0
        end_offset = records.HEADER_BYTES
        count = 0
        bytes_by_slot: dict[int, int] = {}
        damages = []
        for item in scanned:
            if item.__class__ is records.Damage:
                damages.append(item)
                continue
            kind, offset, payload = item  # type: ignore[misc]
            key, _, expires_at, record_settled = common(payload)
            expires_at += time_shift_us
            size = HEAD_BYTES + len(payload)
            end_offset = offset + size
            count += 1
            expiry_slot = expires_at // EXPIRY_SLOT_US
            bytes_by_slot[expiry_slot] = bytes_by_slot.get(expiry_slot, 0) + size
            if expires_at > last_expiry:
                last_expiry = expires_at
            if record_settled > settled_notice:
                settled_notice = record_settled
            if expires_at > expiry_cutoff:
                if kind == INTENT and key not in runs and key not in never_started and get(key) is None:
                    runs[key] = segment, size, payload, time_shift_us, 0
                    continue
                if kind == RESULT and (run := runs.pop(key, None)) is not None:
                    run[0].superseded_bytes += run[1]
                    tag = (payload[COMMON_BYTES] | payload[COMMON_BYTES + 1] << 8) & key_index.TAG_MASK
                    word = finished | offset << key_index.OFFSET_SHIFT | tag << key_index.TAG_SHIFT
                    if not put(key, word, expires_at):
                        raise self._index_full()
                    indexed_by_slot[expiry_slot] = indexed_by_slot.get(expiry_slot, 0) + 1
                    continue
            self.settled_notice = settled_notice
            self._apply(kind, key, offset, payload, expires_at, size)
            settled_notice = self.settled_notice
        self.settled_notice = settled_notice
        self.counts.records += count
        segment.add_bytes(bytes_by_slot, last_expiry)
        return SegmentReading(damages, end_offset)

    def _index_full(self) -> IndexFullError:
        return IndexFullError(f"more than {self._index.capacity:,} keys are within their window")

    def _apply(self, kind: int, key: bytes, offset: int, payload: bytes, expires_at: int, size: int) -> None:
        """Process a record that `read` does not process inline: one in three of an ordinary log."""
        if kind == LINK:
            self._apply_link(payload)
            return
        if expires_at + self._max_read_delay_us <= self._now:
            self.counts.aged += 1
            self.runs.pop(key, None)
            return
        try:
            next_state = states.advance(self._key_state(key), _STEPS[kind])
        except IllegalStepError as error:
            self._describe_illegal(f"{key.hex()}: {error}")
            return
        if kind in (RESULT, FAULT):
            self._apply_end(key, offset, payload, expires_at, next_state)
        elif kind == INTENT:
            self._apply_start(key, payload, size)
        elif kind == CALL:
            self.runs[key] = *self.runs[key][:4], records.parse_call(payload[COMMON_BYTES:])
            self._segment.superseded_bytes += size
        else:
            self._forget_run(key)
            self._never_started.add(key)

    def _apply_end(
        self, key: bytes, offset: int, payload: bytes, expires_at: int, end_state: KeyState
    ) -> None:
        self._forget_run(key)
        tag = key_index.fingerprint_tag(payload[COMMON_BYTES : COMMON_BYTES + 2])
        word = key_index.pack_word(self._segment.number, offset, tag, end_state)
        if not self._index.put(key, word, expires_at):
            raise self._index_full()
        expiry_slot = expires_at // EXPIRY_SLOT_US
        self._indexed_by_slot[expiry_slot] = self._indexed_by_slot.get(expiry_slot, 0) + 1

    def _apply_start(self, key: bytes, payload: bytes, size: int) -> None:
        self._never_started.discard(key)
        if key in self.runs:
            self._segment.superseded_bytes += size  # repeated after a write that failed half way
        else:
            self.runs[key] = self._segment, size, payload, self._time_shift_us, 0

    def _apply_link(self, payload: bytes) -> None:
        started = records.parse_link(payload[COMMON_BYTES:])
        if started != self.pool_started_at:  # a new worker pool numbers its notices from 1 again
            self.settled_notice = records.unpack_common(payload)[3]
        # A pool of another boot no longer runs, and no other pool may be mistaken for it.
        self.pool_started_at = started if self._time_shift_us == 0 else EARLIER_BOOT_POOL_STARTED_AT

    def _forget_run(self, key: bytes) -> None:
        run = self.runs.pop(key, None)
        if run is not None:
            segment, size = run[:2]
            segment.superseded_bytes += size

    def _describe_illegal(self, description: str) -> None:
        if len(self.counts.illegal) < MAX_ILLEGAL_DESCRIBED:
            self.counts.illegal.append(description)
        else:
            self.counts.more_illegal += 1

    def conclude(self) -> RecoveredState:
        """The state that the server takes over, once all segments are read."""
        started_runs = tuple(self._started_run(run) for run in self.runs.values())
        lifetimes = (
            (count, (expiry_slot + 1) * EXPIRY_SLOT_US - self._now)
            for expiry_slot, count in sorted(self._indexed_by_slot.items())
        )
        key_lifetimes = tuple((count, lifetime) for count, lifetime in lifetimes if lifetime > 0)
        return RecoveredState(started_runs, key_lifetimes, self.settled_notice, self.pool_started_at)

    def _started_run(self, run: Run) -> StartedRun:
        _, _, payload, time_shift_us, call_notice = run
        record = records.parse_record(Step.INTENT, payload)
        start = records.parse_start(record.own_part)
        return StartedRun(
            key=record.key,
            uid=start.uid,
            class_name=start.class_name,
            fingerprint=start.fingerprint,
            expires_at=record.expires_at + time_shift_us,
            deadline=start.deadline + time_shift_us,
            memory=start.memory,
            call_notice=call_notice,
        )
