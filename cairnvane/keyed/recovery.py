"""What an earlier life's segments say, all taken together. No I/O: it is fed with what was read.

The monotonic clock of another boot says nothing here. What was written under it is taken to have been written
when its segment began, and the segment to have begun now: no time that nobody can vouch for counts against a
key's window. The system's Unix clock, which may be set at any time, is never asked.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..keys import Begun, Recovered
from . import index as places
from . import record, state
from .index import Index
from .plan import Segment
from .state import IllegalStep, State, Step

# Keys are told to the decision module in steps of this size, rounded up: it only counts them.
KEPT_STEP_US = 100_000
# When a pool started of which nothing is left; no clock shows this.
LONG_GONE = -(1 << 62)
# So many illegal steps are named; the rest is counted.
MOST_NAMED = 20


class TooLarge(Exception):
    """More keys are within their window than the memory has room for."""


@dataclass(slots=True)
class Run:
    """A run without a recorded end."""

    segment: Segment
    size: int
    payload: bytes
    shift: int
    state: State = State.INTENDED
    call_pos: int = 0


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

    def begin(self, header: record.Header) -> Segment:
        """The next segment; what follows is in it."""
        self._shift = 0 if header.boot == self._boot else self._now - header.at
        return self._use(Segment(header.number, header.at + self._shift))

    def _use(self, segment: Segment) -> Segment:
        self._segment = segment
        return segment

    def _state(self, token: bytes) -> State:
        if (run := self.runs.get(token)) is not None:
            return run.state
        if token in self._void:
            return State.VOID
        found = self._index.get(token)
        if found is None or not self._index.counts(found[1], self._now - self._unread):
            return State.UNKNOWN
        return places.state(found[0])

    def take(self, kind: int, offset: int, payload: bytes) -> None:
        """A record of the segment."""
        self.counts.records += 1
        token, _, until, pos = record.common(payload)
        until += self._shift
        size = record.HEAD_BYTES + len(payload)
        self._segment.add(size, until)
        if kind == Step.LINK:
            started = record.link(payload[record.COMMON_BYTES :])
            if started != self.pool_started:  # a new pool counts from 1
                self.pos = pos
            # Of another boot: the pool that it speaks of can't be there any more, and no other is it.
            self.pool_started = started if self._shift == 0 else LONG_GONE
            return
        self.pos = max(self.pos, pos)
        if until + self._unread <= self._now:
            self.counts.aged += 1
            self.runs.pop(token, None)
            return
        try:
            after = state.advance(self._state(token), Step(kind))
        except IllegalStep as error:
            self._name(f"{token.hex()}: {error}")
            return
        self._carry_out(Step(kind), after, token, offset, payload, until, size)

    def _name(self, what: str) -> None:
        if len(self.counts.illegal) < MOST_NAMED:
            self.counts.illegal.append(what)
        else:
            self.counts.more_illegal += 1

    def _carry_out(
        self, step: Step, after: State, token: bytes, offset: int, payload: bytes, until: int, size: int,
    ) -> None:
        if step is Step.INTENT:
            self._void.pop(token, None)
            if token in self.runs:
                self._segment.dead += size
            else:
                self.runs[token] = Run(self._segment, size, payload, self._shift)
        elif step is Step.CALL:
            run = self.runs[token]
            run.state, run.call_pos = after, record.call(payload[record.COMMON_BYTES :])
            self._segment.dead += size
        else:
            if (begun := self.runs.pop(token, None)) is not None:
                begun.segment.dead += begun.size
            if step is Step.NEVER:
                self._void[token] = None
                return
            same, _ = record.end(payload[record.COMMON_BYTES :][:16])
            word = places.place(self._segment.number, offset, same, after)
            if not self._index.put(token, word, until):
                raise TooLarge(f"more than {self._index.capacity:,} keys are within their window")
            left = -(-(until - self._now) // KEPT_STEP_US)
            self._kept[left] = self._kept.get(left, 0) + 1

    def conclude(self) -> Recovered:
        """What the host takes up."""
        begun = tuple(self._begun(token, run) for token, run in self.runs.items())
        kept = tuple((count, left * KEPT_STEP_US) for left, count in sorted(self._kept.items()) if left > 0)
        return Recovered(begun, kept, self.pos, self.pool_started)

    def _begun(self, token: bytes, run: Run) -> Begun:
        told = record.parse(Step.INTENT, run.payload)
        uid, same, due, memory, lane = record.intent(told.rest)
        return Begun(
            token, uid, lane, same, told.until + run.shift, due + run.shift, memory,
            run.call_pos if run.state is State.CALLING else 0)
