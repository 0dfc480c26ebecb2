"""What an earlier life's segments say, all taken together. No I/O: it is fed with what was read.

The monotonic clock of another boot says nothing here. What was written under it is taken to have been written
when its segment began, and the segment to have begun now: no time that nobody can vouch for counts against a
key's window. The system's Unix clock, which may be set at any time, is never asked.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...claims import states
from ...claims.states import IllegalStepError, KeyState, Step
from ..store import RecoveredState, StartedRun
from . import index as places
from . import records
from .index import Index
from .retention import AGE_STEP_US, Segment

# When a pool started of which nothing is left; no clock shows this.
LONG_GONE = -(1 << 62)
_STEPS = {int(step): step for step in Step}
# As plain numbers: to look a member up takes as long as what it is compared for.
INTENT, CALL, RESULT, FAULT, LINK = map(int, (Step.INTENT, Step.CALL, Step.RESULT, Step.FAULT, Step.LINK))
HEAD_BYTES, COMMON_BYTES = records.HEAD_BYTES, records.COMMON_BYTES
# So many illegal steps are named; the rest is counted.
MOST_NAMED = 20


class TooLarge(Exception):
    """More keys are within their window than the memory has room for."""


# A run without a recorded end: its segment, the record's size and payload, the shift of its times, and the
# notice whose call was about to be made (0: none was). No class: one is made for each intent that is read.
Run = tuple[Segment, int, bytes, int, int]


@dataclass(slots=True)
class Counts:
    """For people."""

    records: int = 0
    aged: int = 0
    illegal: list[str] = field(default_factory=list)
    more_illegal: int = 0


class Recovery:
    """Fed with segments, oldest first."""

    def __init__(self, index: Index, boot: bytes, unread: int, now: int) -> None:
        self.counts = Counts()
        self.runs: dict[bytes, Run] = {}
        self.pos = 0
        self.pool_started: int | None = None
        self._index, self._boot, self._unread, self._now = index, boot, unread, now
        self._void: dict[bytes, None] = {}
        self._kept: dict[int, int] = {}
        self._shift = 0

    def begin(self, header: records.Header) -> Segment:
        """The next segment; what follows is in it."""
        self._shift = 0 if header.boot == self._boot else self._now - header.at
        self._segment = Segment(header.number, header.at + self._shift)
        return self._segment

    def _state(self, token: bytes) -> KeyState:
        if (run := self.runs.get(token)) is not None:
            return KeyState.CALLING if run[4] else KeyState.INTENDED
        if token in self._void:
            return KeyState.VOID
        found = self._index.get(token)
        if found is None:
            return KeyState.UNKNOWN
        counts = self._index.counts(found[1], self._now - self._unread)
        return places.state(found[0]) if counts else KeyState.AGED

    def read(
        self,
        found: Iterable[tuple[int, int, bytes] | records.Damage],
    ) -> tuple[list[records.Damage], int]:
        """All that `record.scan` finds in the segment; what was damaged, and where the last record ends.

        Hundreds of thousands of records come here. The two steps of a usual commit are spelled out, with all
        that they need at hand: an intent of an unknown key, and the result of a run that is open.
        """
        segment, shift, runs, void, kept = self._segment, self._shift, self.runs, self._void, self._kept
        common, get, put = records.common, self._index.get, self._index.put
        finished = places.place(segment.number, 0, 0, KeyState.FINISHED)
        oldest, pos, ends, end, count = self._now - self._unread, self.pos, 0, records.HEADER_BYTES, 0
        by_end: dict[int, int] = {}
        bad = []
        for one in found:
            if one.__class__ is records.Damage:
                bad.append(one)
                continue
            kind, offset, payload = one  # type: ignore[misc]
            token, _, until, record_pos = common(payload)
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
                if kind == INTENT and token not in runs and token not in void and get(token) is None:
                    runs[token] = segment, size, payload, shift, 0
                    continue
                if kind == RESULT and (run := runs.pop(token, None)) is not None:
                    run[0].dead += run[1]
                    mark = (payload[COMMON_BYTES] | payload[COMMON_BYTES + 1] << 8) & places.MARK_MASK
                    word = finished | offset << places.OFFSET_SHIFT | mark << places.MARK_SHIFT
                    if not put(token, word, until):
                        raise self._too_large()
                    kept[step] = kept.get(step, 0) + 1
                    continue
            self.pos = pos
            self._other(kind, token, offset, payload, until, size)
            pos = self.pos
        self.pos = pos
        self.counts.records += count
        segment.note(by_end, ends)
        return bad, end

    def _too_large(self) -> TooLarge:
        return TooLarge(f"more than {self._index.capacity:,} keys are within their window")

    def _other(self, kind: int, token: bytes, offset: int, payload: bytes, until: int, size: int) -> None:
        """What is not two in three records of a usual log."""
        if kind == LINK:
            return self._linked(payload)
        if until + self._unread <= self._now:
            self.counts.aged += 1
            self.runs.pop(token, None)
            return
        try:
            after = states.advance(self._state(token), _STEPS[kind])
        except IllegalStepError as error:
            return self._name(f"{token.hex()}: {error}")
        if kind in (RESULT, FAULT):
            self._forget_run(token)
            mark = places.tag(payload[COMMON_BYTES : COMMON_BYTES + 2])
            word = places.place(self._segment.number, offset, mark, after)
            if not self._index.put(token, word, until):
                raise self._too_large()
            step = until // AGE_STEP_US
            self._kept[step] = self._kept.get(step, 0) + 1
        elif kind == INTENT:
            self._void.pop(token, None)
            if token in self.runs:
                self._segment.dead += size
            else:
                self.runs[token] = self._segment, size, payload, self._shift, 0
        elif kind == CALL:
            self.runs[token] = *self.runs[token][:4], records.call(payload[COMMON_BYTES:])
            self._segment.dead += size
        else:
            self._forget_run(token)
            self._void[token] = None

    def _linked(self, payload: bytes) -> None:
        started = records.link(payload[COMMON_BYTES:])
        if started != self.pool_started:  # a new pool counts from 1
            self.pos = records.common(payload)[3]
        # Of another boot: the pool that it speaks of can't be there any more, and no other is it.
        self.pool_started = started if self._shift == 0 else LONG_GONE

    def _forget_run(self, token: bytes) -> None:
        if (begun := self.runs.pop(token, None)) is not None:
            begun[0].dead += begun[1]

    def _name(self, what: str) -> None:
        if len(self.counts.illegal) < MOST_NAMED:
            self.counts.illegal.append(what)
        else:
            self.counts.more_illegal += 1

    def conclude(self) -> RecoveredState:
        """What the host takes up."""
        begun = tuple(self._begun(token, run) for token, run in self.runs.items())
        ends = [(count, (step + 1) * AGE_STEP_US - self._now) for step, count in sorted(self._kept.items())]
        kept = tuple((count, left) for count, left in ends if left > 0)
        return RecoveredState(begun, kept, self.pos, self.pool_started)

    def _begun(self, token: bytes, run: Run) -> StartedRun:
        _, _, payload, shift, call_pos = run
        told = records.parse(Step.INTENT, payload)
        uid, same, due, memory, lane = records.intent(told.rest)
        return StartedRun(token, uid, lane, same, told.until + shift, due + shift, memory, call_pos)
