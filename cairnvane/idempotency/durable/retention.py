"""When a segment is begun, dropped or compacted, and when there is no capacity for a key. No I/O, no clock.

Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from . import records
from .index import OFFSET_LIMIT

# The bound on disk space is divided into this many segments. Each is dropped whole, so as much may be unused.
SEGMENTS = 16
MIN_SEGMENT_BYTES = 2 * records.BLOCK
MAX_SEGMENT_BYTES = min(8 << 20, OFFSET_LIMIT)
# A segment takes what comes within this part of a key's window, so that it is not kept long for its last
# record, but at least for this long.
WINDOW_PARTS = 4
MIN_SEGMENT_AGE_US = 1_000_000
# Compaction is worth its writes only if this part of the disk space is used, and this part of the segment is
# dead.
COMPACT_ABOVE = 0.5
COMPACT_DEAD = 0.5
# The bytes that die by age are counted in steps of this size.
EXPIRY_SLOT_US = 1_000_000
# The largest result that the platform's protocol allows. A larger one exceeds the bound by the difference.
RESULT_BYTES = 4_096
# What one key takes on disk at most: two records, the one of the call, and the padding at the ends of blocks.
KEY_BYTES = records.INTENT_BYTES + records.END_BYTES + records.record_size(8) + RESULT_BYTES * 9 // 8
# A write that has not returned after this long is slow: no new key is admitted behind it.
SLOW_US = 100_000
# The retry-after while nothing better is known, and while the store is merely busy.
AWAY_US = 500_000
BUSY_AWAY_US = 50_000
# A disk that failed is retried after this long, and then after twice as long each time.
RETRY_US = 50_000
MAX_RETRY_US = 1_000_000
_MAX_RETRY_DOUBLINGS = 10
# The part of the memory for records on their way to the disk; the rest is the index.
QUEUE_SHARE = 0.25


@dataclass(slots=True)
class Segment:
    """What is known about one segment without reading it."""

    number: int
    begun_at: int  # when it was begun
    size: int = records.HEADER_BYTES
    last_expiry: int = 0  # when the last of its keys expires
    superseded_bytes: int = 0  # bytes of records that later records have superseded
    _bytes_by_end: dict[int, int] = field(default_factory=dict)  # by the step in which they expire

    def add(self, size: int, until: int) -> None:
        """A record was appended."""
        self.size += size
        self.note({until // EXPIRY_SLOT_US: size}, until)

    def note(self, by_end: dict[int, int], ends: int) -> None:
        """Count records: the bytes of them that expire in each step, the last at `ends`."""
        self.last_expiry = max(self.last_expiry, ends)
        for step, size in by_end.items():
            self._bytes_by_end[step] = self._bytes_by_end.get(step, 0) + size

    def dead_bytes(self, now: int) -> int:
        """Bytes that nobody needs any more."""
        aged = sum(size for step, size in self._bytes_by_end.items() if (step + 1) * EXPIRY_SLOT_US <= now)
        return min(self.size, self.superseded_bytes + aged)


def segment_bytes(max_disk_bytes: int) -> int:
    """How large a segment may grow, for a bound on disk space."""
    return max(MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, max_disk_bytes // SEGMENTS))


def is_full(segment: Segment, more: int, most: int, window: int, now: int) -> bool:
    """Whether the next record, of `more` bytes, begins a new segment; `window` is the longest seen."""
    if segment.size == records.HEADER_BYTES:
        return False
    if segment.size + more > most:
        return True
    return now - segment.begun_at >= max(MIN_SEGMENT_AGE_US, window // WINDOW_PARTS)


def droppable(segments: Iterable[Segment], max_read_delay_us: int, now: int) -> list[int]:
    """The oldest segments in which every key has expired.

    An expired segment behind one that is not stays: it may hold the end of a run whose start record stands
    before it.
    """
    numbers = []
    for segment in segments:
        if segment.last_expiry + max_read_delay_us > now:
            break
        numbers.append(segment.number)
    return numbers


def to_compact(segments: Sequence[Segment], max_disk_bytes: int, now: int) -> int | None:
    """The segment whose compaction frees the most, if space is wanted; None if none is worth it."""
    if sum(segment.size for segment in segments) <= COMPACT_ABOVE * max_disk_bytes:
        return None
    best = max(segments, key=lambda segment: segment.dead_bytes(now), default=None)
    if best is None or best.dead_bytes(now) < COMPACT_DEAD * best.size:
        return None
    return best.number


@dataclass(slots=True)  # not frozen, which is slower to make: one is made for each keyed arrival
class Load:
    """How full a store is at one moment. Times are microseconds, sizes bytes."""

    ready: bool  # recovery is complete
    failing: bool  # the last write failed
    writing_for: int  # how long the current write has taken
    entries: int
    max_entries: int
    first_end: int | None  # in how long the oldest entry expires; None: there is none
    open_keys: int  # admitted, their end not recorded
    disk: int
    max_disk_bytes: int
    first_drop: int | None  # in how long the oldest segment is dropped; None: there is none
    queued: int  # of records on their way to the disk
    max_queued_bytes: int


def wait_us(load: Load) -> int:
    """Microseconds until one more key can be stored; 0: now. An admitted key has capacity for its end."""
    if not load.ready or load.failing or load.writing_for > SLOW_US:
        return AWAY_US
    if load.queued > load.max_queued_bytes:
        return BUSY_AWAY_US
    waits = [0]
    if load.entries + load.open_keys >= load.max_entries:
        waits.append(max(BUSY_AWAY_US, load.first_end or 0))
    # The ends of the open keys and this key, in addition to a segment that is begun before an older one can
    # be dropped.
    needed = (load.open_keys + 1) * KEY_BYTES
    if load.disk + needed > load.max_disk_bytes:
        waits.append(max(BUSY_AWAY_US, load.first_drop if load.first_drop is not None else AWAY_US))
    return max(waits)


def retry_after(failures: int) -> int:
    """Microseconds of backoff after this many failures in a row."""
    doublings = min(failures - 1, _MAX_RETRY_DOUBLINGS)
    return min(MAX_RETRY_US, RETRY_US << doublings)


class NoticeProgress:
    """Which of the worker pool's notices need not be sent again.

    These are all up to one: their effect is recorded.
    """

    def __init__(self, pos: int = 0) -> None:
        self._last_read = pos
        # Notices that were read and whose record is not written, in order. A dict, since a set has no order.
        self._pending: dict[int, None] = {}

    def read(self, pos: int, pending: bool) -> None:
        """A notice was read; `pending`: a record of its effect follows."""
        self._last_read = max(self._last_read, pos)
        if pending:
            self._pending[pos] = None

    def written(self, settled: Iterable[int]) -> None:
        """The record that settles these notices is written."""
        for pos in settled:
            self._pending.pop(pos, None)

    @property
    def pos(self) -> int:
        """The last notice that need not be sent again."""
        return next(iter(self._pending)) - 1 if self._pending else self._last_read
