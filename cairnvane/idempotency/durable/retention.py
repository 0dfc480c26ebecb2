"""When a segment is begun, dropped or compacted, and when one more key has no room. No I/O, no clock.

Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from . import records
from .index import MOST_OFFSET

# The bound on the disk is divided into so many segments: each is dropped whole, so as much may lie idle.
SEGMENTS = 16
LEAST_SEGMENT, MOST_SEGMENT = 2 * records.BLOCK, min(8 << 20, MOST_OFFSET)
# A segment takes what comes within this part of a window, so that it is not kept long for its last record.
WINDOW_PARTS, LEAST_AGE_US = 4, 1_000_000
# Compaction is worth its writing only if space is wanted, and much of the segment is dead.
COMPACT_ABOVE, COMPACT_DEAD = 0.5, 0.5
# What is dead by age is known in steps of this size.
AGE_STEP_US = 1_000_000
# The largest result that the platform's protocol knows; a larger one goes over the bound by what it is
# larger.
RESULT_BYTES = 4_096
# What one key takes on disk at the most: two records, the call's, and what blocks lose at their ends.
KEY_BYTES = records.INTENT_BYTES + records.END_BYTES + records.size(8) + RESULT_BYTES * 9 // 8
# A write that has not come back after so long is slow: no new key is taken on behind it.
SLOW_US = 100_000
# How long callers are told to stay away while nothing better is known.
AWAY_US, BUSY_AWAY_US = 500_000, 50_000
# A disk that failed is tried again so soon, and then after twice as long each time.
RETRY_US, MOST_RETRY_US = 50_000, 1_000_000
# Of the memory, for what is on its way to the disk; the rest is the index.
QUEUE_SHARE = 0.25


@dataclass(slots=True)
class Segment:
    """What is known of one segment without reading it."""

    number: int
    began: int
    size: int = records.HEADER_BYTES
    ends: int = 0  # when the last of its keys no longer counts
    dead: int = 0  # bytes whose record a later one has made idle
    _by_end: dict[int, int] = field(default_factory=dict)  # bytes by when they are idle

    def add(self, size: int, until: int) -> None:
        """A record was written."""
        self.size += size
        self.note({until // AGE_STEP_US: size}, until)

    def note(self, by_end: dict[int, int], ends: int) -> None:
        """Records are in it: so many bytes of them idle at each step, the last at `ends`."""
        self.ends = max(self.ends, ends)
        for step, size in by_end.items():
            self._by_end[step] = self._by_end.get(step, 0) + size

    def dead_bytes(self, now: int) -> int:
        """Bytes that no one needs any more."""
        aged = sum(size for step, size in self._by_end.items() if (step + 1) * AGE_STEP_US <= now)
        return min(self.size, self.dead + aged)


def segment_bytes(most_disk: int) -> int:
    """How large a segment may grow."""
    return max(LEAST_SEGMENT, min(MOST_SEGMENT, most_disk // SEGMENTS))


def is_full(segment: Segment, more: int, most: int, window: int, now: int) -> bool:
    """Whether the next record, of `more` bytes, begins a new segment; `window` is the longest one seen."""
    if segment.size == records.HEADER_BYTES:
        return False
    return segment.size + more > most or now - segment.began >= max(LEAST_AGE_US, window // WINDOW_PARTS)


def droppable(segments: Iterable[Segment], unread: int, now: int) -> list[int]:
    """Segments in which all is past its window: a run of the oldest ones. One behind a younger one stays,
    since it may hold the end of a run whose beginning stands before it."""
    numbers = []
    for segment in segments:
        if segment.ends + unread > now:
            break
        numbers.append(segment.number)
    return numbers


def to_compact(segments: Sequence[Segment], most_disk: int, now: int) -> int | None:
    """The segment whose compaction frees the most, if space is wanted; None if none is worth it."""
    if sum(s.size for s in segments) <= COMPACT_ABOVE * most_disk:
        return None
    best = max(segments, key=lambda s: s.dead_bytes(now), default=None)
    worth = best is not None and best.dead_bytes(now) >= COMPACT_DEAD * best.size
    return best.number if worth and best is not None else None


@dataclass(slots=True)  # one is made for each keyed arrival
class Load:
    """What a store holds at one moment."""

    ready: bool  # what an earlier life left has been read
    failing: bool  # the last write failed
    writing_for: int  # how long the write that goes on has taken
    entries: int
    most_entries: int
    first_end: int | None  # in how long the oldest entry is let go; None: there is none
    open_keys: int  # taken on, their end not recorded
    disk: int
    most_disk: int
    first_drop: int | None  # in how long the oldest segment is dropped; None: there is none
    queued: int  # bytes
    most_queued: int


def wait_us(load: Load) -> int:
    """How long until one more key can be kept; 0: now. What is taken on has room for its end."""
    if not load.ready or load.failing or load.writing_for > SLOW_US:
        return AWAY_US
    if load.queued > load.most_queued:
        return BUSY_AWAY_US
    waits = [0]
    if load.entries + load.open_keys >= load.most_entries:
        waits.append(max(BUSY_AWAY_US, load.first_end or 0))
    # The open keys' ends and this key, beside a segment that is begun before an older one can go.
    needed = (load.open_keys + 1) * KEY_BYTES
    if load.disk + needed > load.most_disk:
        waits.append(max(BUSY_AWAY_US, load.first_drop if load.first_drop is not None else AWAY_US))
    return max(waits)


def retry_after(failures: int) -> int:
    """How long to leave a disk alone that has failed so often in a row."""
    return min(MOST_RETRY_US, RETRY_US << min(failures - 1, 10))


class Progress:
    """Which of the pool's notices need not come again: all up to one have had their effect recorded."""

    def __init__(self, pos: int = 0) -> None:
        self._read = pos
        self._owed: dict[int, None] = {}  # read, their record not written; in order

    def read(self, pos: int, owed: bool) -> None:
        """A notice was read; `owed`: a record of what it brought about follows."""
        self._read = max(self._read, pos)
        if owed:
            self._owed[pos] = None

    def written(self, settled: Iterable[int]) -> None:
        """The record that settles these is written."""
        for pos in settled:
            self._owed.pop(pos, None)

    @property
    def pos(self) -> int:
        """The last notice that need not come again."""
        return next(iter(self._owed)) - 1 if self._owed else self._read
