"""Decides when a segment is begun, dropped or compacted, and when there is no capacity for a key.

Does no I/O and reads no clock. Times are microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from . import records
from .index import OFFSET_LIMIT

# The bound on disk space is divided by this number to get the size of a segment. Segments are dropped whole,
# so space for up to one segment may be unused.
SEGMENTS_PER_STORE = 16
MIN_SEGMENT_BYTES = 2 * records.BLOCK
MAX_SEGMENT_BYTES = min(8 << 20, OFFSET_LIMIT)
# A segment takes records for a key's window divided by this number, so that its last record does not keep it
# long, but at least for `MIN_SEGMENT_AGE_US`.
SEGMENTS_PER_WINDOW = 4
MIN_SEGMENT_AGE_US = 1_000_000
# Compaction is worth its writes only if more than this fraction of the disk space is used, and at least this
# fraction of the segment's bytes is dead.
COMPACT_ABOVE = 0.5
COMPACT_DEAD = 0.5
# The bytes that become dead when their keys expire are counted in slots of this many microseconds.
EXPIRY_SLOT_US = 1_000_000
# The largest result that the platform's protocol allows, in bytes. A larger one exceeds the bound on disk
# space by the difference.
MAX_RESULT_BYTES = 4_096
# The most bytes that one key takes on disk: the records of its start, its end and its call, and the padding
# at block boundaries (an eighth of the largest result).
MAX_KEY_BYTES = records.INTENT_BYTES + records.END_BYTES + records.record_size(8) + MAX_RESULT_BYTES * 9 // 8
# A write that takes longer than this is slow: no new key is admitted until it has returned.
SLOW_WRITE_US = 100_000
# The retry delay given to clients while no better one is known, and while the store is only busy.
UNAVAILABLE_RETRY_US = 500_000
BUSY_RETRY_US = 50_000
# The delay before the first retry of a disk that failed; it doubles with each failure, up to the maximum.
MIN_DISK_RETRY_US = 50_000
MAX_DISK_RETRY_US = 1_000_000
_MAX_RETRY_DOUBLINGS = 10
# The fraction of the memory for records that wait to be written; the rest is for the index.
QUEUE_SHARE = 0.25


@dataclass(slots=True)
class Segment:
    """The size, age and dead bytes of one segment, known without reading it."""

    number: int
    begun_at: int
    size: int = records.HEADER_BYTES
    last_expiry: int = 0  # the latest expiry of its keys
    superseded_bytes: int = 0  # bytes of records that later records have superseded
    _bytes_by_slot: dict[int, int] = field(default_factory=dict)  # by the slot in which they expire

    def add_record(self, size: int, expires_at: int) -> None:
        """Count a record that was appended."""
        self.size += size
        self.add_bytes({expires_at // EXPIRY_SLOT_US: size}, expires_at)

    def add_bytes(self, bytes_by_slot: dict[int, int], last_expiry: int) -> None:
        """Count records by the slot in which they expire; `last_expiry` is the latest of them."""
        self.last_expiry = max(self.last_expiry, last_expiry)
        for slot, size in bytes_by_slot.items():
            self._bytes_by_slot[slot] = self._bytes_by_slot.get(slot, 0) + size

    def dead_bytes(self, now: int) -> int:
        """Bytes of records that have expired or were superseded."""
        expired = sum(
            size for slot, size in self._bytes_by_slot.items() if (slot + 1) * EXPIRY_SLOT_US <= now
        )
        return min(self.size, self.superseded_bytes + expired)


def segment_bytes(max_disk_bytes: int) -> int:
    """The largest size of a segment, for a bound on disk space."""
    return max(MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, max_disk_bytes // SEGMENTS_PER_STORE))


def is_full(segment: Segment, record_bytes: int, max_bytes: int, longest_window_us: int, now: int) -> bool:
    """Whether the next record, of `record_bytes`, has to begin a new segment."""
    if segment.size == records.HEADER_BYTES:
        return False
    if segment.size + record_bytes > max_bytes:
        return True
    return now - segment.begun_at >= max(MIN_SEGMENT_AGE_US, longest_window_us // SEGMENTS_PER_WINDOW)


def droppable_segments(segments: Iterable[Segment], max_read_delay_us: int, now: int) -> list[int]:
    """The numbers of the segments to drop: those before the oldest one with a key that has not expired.

    An expired segment after that one is kept: it may hold the end of a run whose start record is in an older
    segment.
    """
    numbers = []
    for segment in segments:
        if segment.last_expiry + max_read_delay_us > now:
            break
        numbers.append(segment.number)
    return numbers


def segment_to_compact(segments: Sequence[Segment], max_disk_bytes: int, now: int) -> int | None:
    """The number of the segment whose compaction frees the most; None if no compaction is worth it."""
    if sum(segment.size for segment in segments) <= COMPACT_ABOVE * max_disk_bytes:
        return None
    best = max(segments, key=lambda segment: segment.dead_bytes(now), default=None)
    if best is None or best.dead_bytes(now) < COMPACT_DEAD * best.size:
        return None
    return best.number


@dataclass(slots=True)  # not frozen, which is slower to create: one is created for each keyed arrival
class Load:
    """How full a store is at one moment. Times are in microseconds, sizes in bytes."""

    ready: bool  # recovery is complete
    failing: bool  # the last write failed
    writing_for: int  # how long the current write has taken
    entries: int
    max_entries: int
    time_to_first_expiry: int | None  # of the oldest entry; None: there is no entry
    open_keys: int  # keys that were admitted and have no recorded end
    disk: int
    max_disk_bytes: int
    time_to_first_drop: int | None  # of the oldest segment; None: there is no segment
    queued: int  # bytes of records that wait to be written
    max_queued_bytes: int


def capacity_wait_us(load: Load) -> int:
    """Microseconds until one more key can be stored; 0: now.

    An admitted key has capacity reserved for its end.
    """
    if not load.ready or load.failing or load.writing_for > SLOW_WRITE_US:
        return UNAVAILABLE_RETRY_US
    if load.queued > load.max_queued_bytes:
        return BUSY_RETRY_US
    waits = [0]
    if load.entries + load.open_keys >= load.max_entries:
        waits.append(max(BUSY_RETRY_US, load.time_to_first_expiry or 0))
    # Room for the records of the open keys and of this key, in addition to a segment that is begun before an
    # older one can be dropped.
    needed = (load.open_keys + 1) * MAX_KEY_BYTES
    if load.disk + needed > load.max_disk_bytes:
        waits.append(
            max(
                BUSY_RETRY_US,
                load.time_to_first_drop if load.time_to_first_drop is not None else UNAVAILABLE_RETRY_US,
            )
        )
    return max(waits)


def disk_retry_delay_us(failures: int) -> int:
    """The backoff after this many consecutive failures."""
    doublings = min(failures - 1, _MAX_RETRY_DOUBLINGS)
    return min(MAX_DISK_RETRY_US, MIN_DISK_RETRY_US << doublings)


class NoticeProgress:
    """Tracks which of the worker pool's notices need not be sent again.

    These are all notices up to `settled_notice`: their effects are recorded.
    """

    def __init__(self, settled_notice: int = 0) -> None:
        self._last_read = settled_notice
        # Notices that were read and whose record is not yet written. A dict, since it keeps their order.
        self._pending: dict[int, None] = {}

    def notice_read(self, notice: int, pending: bool) -> None:
        """A notice was read; `pending`: a record of its effect follows."""
        self._last_read = max(self._last_read, notice)
        if pending:
            self._pending[notice] = None

    def record_written(self, settled: Iterable[int]) -> None:
        """The record that settles these notices is written."""
        for notice in settled:
            self._pending.pop(notice, None)

    @property
    def settled_notice(self) -> int:
        """The last notice that need not be sent again."""
        return next(iter(self._pending)) - 1 if self._pending else self._last_read
