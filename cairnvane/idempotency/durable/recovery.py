"""Concludes the state of all keys from the segments of a log. No I/O: it is given what was read.

The monotonic clock of another boot says nothing here. Records of another boot are treated as written when
their segment began, and the segment as begun now: time that nobody has measured does not count against the
window of a key. The system's Unix clock, which may be set at any time, is never read.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ...claims import states
from ...claims.states import IllegalStepError, KeyState, Step
from ..store import RecoveredState, StartedRun
from . import index as places
from . import records
from .errors import IndexFullError
from .index import Index
from .retention import AGE_STEP_US, Segment

# The start of a worker pool of another boot, of which nothing is left; no clock shows this time.
LONG_GONE = -(1 << 62)
_STEPS = {int(step): step for step in Step}
# As plain numbers, since looking up an enum member takes as long as the work that depends on it.
INTENT, CALL, RESULT, FAULT, LINK = map(int, (Step.INTENT, Step.CALL, Step.RESULT, Step.FAULT, Step.LINK))
HEAD_BYTES = records.HEAD_BYTES
COMMON_BYTES = records.COMMON_BYTES
# This many illegal steps are described; the rest is counted.
MAX_DESCRIBED = 20


# A run without a recorded end: the segment of its start record, the record's size and payload, the shift of
# its times, and the notice whose call was about to be made (0: none was). No class of its own, which would be
# slower to make: one is made for each start record that is read.
Run = tuple[Segment, int, bytes, int, int]


@dataclass(slots=True)
class Counts:
    """What recovery has read, for people."""

    records: int = 0
    aged: int = 0  # records of keys that have expired
    illegal: list[str] = field(default_factory=list)
    more_illegal: int = 0


class SegmentReading(NamedTuple):
    """What reading a segment has found in addition to its records."""

    damages: list[records.Damage]
    end: int  # of the last good record


class Recovery:
    """Is given the records of all segments, oldest first.

    Raises `IndexFullError` if more keys are within their window than the index has room for.
    """

    def __init__(self, index: Index, boot: bytes, max_read_delay_us: int, now: int) -> None:
        self.counts = Counts()
        self.runs: dict[bytes, Run] = {}
        self.pos = 0  # notices up to this one have had their effect recorded
        self.pool_started: int | None = None  # when the last worker pool started; None: there was none
        self._index = index
        self._boot = boot
        self._max_read_delay_us = max_read_delay_us
        self._now = now
        self._never_started: set[bytes] = set()  # keys whose run provably never started
        self._indexed_by_end: dict[int, int] = {}  # number of keys by the step in which they expire
        self._shift = 0  # of the current segment's times

    def begin(self, header: records.Header) -> Segment:
        """Begin the next segment; the records that follow are in it."""
        self._shift = 0 if header.boot == self._boot else self._now - header.at
        self._segment = Segment(header.number, header.at + self._shift)
        return self._segment

    def _state(self, key: bytes) -> KeyState:
        run = self.runs.get(key)
        if run is not None:
            return KeyState.CALLING if run[4] else KeyState.INTENDED
        if key in self._never_started:
            return KeyState.VOID
        found = self._index.get(key)
        if found is None:
            return KeyState.UNKNOWN
        is_current = self._index.is_before_end(found.end_tick, self._now - self._max_read_delay_us)
        return places.unpack_state(found.word) if is_current else KeyState.AGED

    def read(
        self,
        scanned: Iterable[records.RawRecord | records.Damage],
    ) -> SegmentReading:
        """Process all that `records.scan` finds in the segment.

        Hundreds of thousands of records come here, so the two steps of an ordinary request are inlined, with
        all that they need in locals: the start of an unknown key, and the result of a started run.
        """
        segment = self._segment
        shift = self._shift
        runs = self.runs
        never_started = self._never_started
        indexed_by_end = self._indexed_by_end
        common = records.unpack_common
        get = self._index.get
        put = self._index.put
        finished = places.pack_word(segment.number, 0, 0, KeyState.FINISHED)
        oldest = self._now - self._max_read_delay_us
        pos = self.pos
        ends = 0
        end = records.HEADER_BYTES
        count = 0
        by_end: dict[int, int] = {}
        damages = []
        for item in scanned:
            if item.__class__ is records.Damage:
                damages.append(item)
                continue
            kind, offset, payload = item  # type: ignore[misc]
            key, _, until, record_pos = common(payload)
            until += shift
            size = HEAD_BYTES + len(payload)
            end = offset + size
            count += 1
            step = until // AGE_STEP_US
            by_end[step] = by_end.get(step, 0) + size
            if until > ends:
                ends = until
            if record_pos > pos:
                pos = record_pos
            if until > oldest:
                if kind == INTENT and key not in runs and key not in never_started and get(key) is None:
                    runs[key] = segment, size, payload, shift, 0
                    continue
                if kind == RESULT and (run := runs.pop(key, None)) is not None:
                    run[0].superseded_bytes += run[1]
                    mark = (payload[COMMON_BYTES] | payload[COMMON_BYTES + 1] << 8) & places.MARK_MASK
                    word = finished | offset << places.OFFSET_SHIFT | mark << places.MARK_SHIFT
                    if not put(key, word, until):
                        raise self._index_full()
                    indexed_by_end[step] = indexed_by_end.get(step, 0) + 1
                    continue
            self.pos = pos
            self._other(kind, key, offset, payload, until, size)
            pos = self.pos
        self.pos = pos
        self.counts.records += count
        segment.note(by_end, ends)
        return SegmentReading(damages, end)

    def _index_full(self) -> IndexFullError:
        return IndexFullError(f"more than {self._index.capacity:,} keys are within their window")

    def _other(self, kind: int, key: bytes, offset: int, payload: bytes, until: int, size: int) -> None:
        """Process a record that `read` does not inline: one in three of an ordinary log."""
        if kind == LINK:
            self._linked(payload)
            return
        if until + self._max_read_delay_us <= self._now:
            self.counts.aged += 1
            self.runs.pop(key, None)
            return
        try:
            after = states.advance(self._state(key), _STEPS[kind])
        except IllegalStepError as error:
            self._describe_illegal(f"{key.hex()}: {error}")
            return
        if kind in (RESULT, FAULT):
            self._ended(key, offset, payload, until, after)
        elif kind == INTENT:
            self._about_to_start(key, payload, size)
        elif kind == CALL:
            self.runs[key] = *self.runs[key][:4], records.parse_call(payload[COMMON_BYTES:])
            self._segment.superseded_bytes += size
        else:
            self._forget_run(key)
            self._never_started.add(key)

    def _ended(self, key: bytes, offset: int, payload: bytes, until: int, end_state: KeyState) -> None:
        self._forget_run(key)
        mark = places.fingerprint_tag(payload[COMMON_BYTES : COMMON_BYTES + 2])
        word = places.pack_word(self._segment.number, offset, mark, end_state)
        if not self._index.put(key, word, until):
            raise self._index_full()
        step = until // AGE_STEP_US
        self._indexed_by_end[step] = self._indexed_by_end.get(step, 0) + 1

    def _about_to_start(self, key: bytes, payload: bytes, size: int) -> None:
        self._never_started.discard(key)
        if key in self.runs:
            self._segment.superseded_bytes += size  # written again after a write that failed half way
        else:
            self.runs[key] = self._segment, size, payload, self._shift, 0

    def _linked(self, payload: bytes) -> None:
        started = records.parse_link(payload[COMMON_BYTES:])
        if started != self.pool_started:  # a new worker pool numbers its notices from 1 again
            self.pos = records.unpack_common(payload)[3]
        # A pool of another boot is gone, and no other pool is taken for it.
        self.pool_started = started if self._shift == 0 else LONG_GONE

    def _forget_run(self, key: bytes) -> None:
        run = self.runs.pop(key, None)
        if run is not None:
            segment, size = run[:2]
            segment.superseded_bytes += size

    def _describe_illegal(self, description: str) -> None:
        if len(self.counts.illegal) < MAX_DESCRIBED:
            self.counts.illegal.append(description)
        else:
            self.counts.more_illegal += 1

    def conclude(self) -> RecoveredState:
        """What the server takes over."""
        started_runs = tuple(self._started_run(run) for run in self.runs.values())
        lifetimes = (
            (count, (step + 1) * AGE_STEP_US - self._now)
            for step, count in sorted(self._indexed_by_end.items())
        )
        key_lifetimes = tuple((count, lifetime) for count, lifetime in lifetimes if lifetime > 0)
        return RecoveredState(started_runs, key_lifetimes, self.pos, self.pool_started)

    def _started_run(self, run: Run) -> StartedRun:
        _, _, payload, shift, call_notice = run
        record = records.parse_record(Step.INTENT, payload)
        start = records.parse_start(record.own_part)
        return StartedRun(
            key=record.key,
            uid=start.uid,
            class_name=start.class_name,
            fingerprint=start.fingerprint,
            expires_at=record.expires_at + shift,
            deadline=start.deadline + shift,
            memory=start.memory,
            call_notice=call_notice,
        )
