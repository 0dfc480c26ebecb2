"""The log: appends records to segments in a folder and reads them. Not thread-safe; reads no clock.

Every method that touches the disk may raise `OSError`. The caller must then call `abandon`: the segment is
left as it is, its records that were not synced do not count as written, and the next append begins a new
segment.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterable

from ...claims.states import Step
from . import index as key_index
from . import records, retention
from .appender import Entry, Owner, RecordLocation, SegmentAppender
from .compaction import Compaction
from .index import Index
from .recovery import Recovery
from .retention import Segment
from .segment_reader import Report, check_folder, check_owner, read_header, read_records, segment_names
from .start_records import StartRecords
from .storage import TEMPORARY, Files, segment_name, segment_number

__all__ = ["Entry", "Owner", "RecordLocation", "Report", "SegmentLog", "check_folder"]


def _ignore_step(name: str) -> None:
    """Do nothing: the steps are not observed."""


class SegmentLog:
    """The segments of one owner in one folder."""

    def __init__(
        self,
        files: Files,
        owner: Owner,
        *,
        max_disk_bytes: int,
        power: bool,
        max_read_delay_us: int,
        report_step: Callable[[str], None] = _ignore_step,
    ) -> None:
        """A log that takes up to `max_disk_bytes` on disk.

        `power`: whether synced records have to survive a power cut. `max_read_delay_us`: the longest time
        between the arrival of a duplicate and its being read. `report_step` is called with the name of each
        step of the work on segments.
        """
        self.segments: dict[int, Segment] = {}  # oldest first
        self.report = Report()
        self._files = files
        self._owner = owner
        self._power = power
        self._max_read_delay_us = max_read_delay_us
        self._max_disk_bytes = max_disk_bytes
        self._report_step = report_step
        self._start_records = StartRecords()
        self._appender = SegmentAppender(
            files,
            owner,
            self.segments,
            self._start_records,
            max_disk_bytes=max_disk_bytes,
            power=power,
            report_step=report_step,
        )
        self._compaction: Generator[None, None, None] | None = None

    @property
    def size(self) -> int:
        """The size of all segments on disk, in bytes."""
        return sum(segment.size for segment in self.segments.values())

    @property
    def current(self) -> Segment | None:
        """The segment to which records are appended."""
        return self._appender.current

    # --- recovery

    def recover(self, index: Index, now: int) -> Recovery:
        """Read all segments into the index. A torn write at the end of a segment is cut off."""
        self.report = Report()
        self.segments.clear()
        recovery = Recovery(index, self._owner.boot, self._max_read_delay_us, now)
        for name in self._files.names():
            if name.endswith(TEMPORARY) and segment_number(name.removesuffix(TEMPORARY)) is not None:
                self._files.remove(name)  # left by a compaction that did not complete
        for number, name in segment_names(self._files):
            self._appender.next_number = max(self._appender.next_number, number + 1)
            header = read_header(self._files, number, name, self.report)
            if header is None:
                continue
            check_owner(name, header, self._owner.name)
            self._read_segment(name, header, recovery)
        self._start_records.restore(recovery.runs)
        self._appender.restore(recovery.pool_started_at, recovery.settled_notice)
        return recovery

    def _read_segment(self, name: str, header: records.Header, recovery: Recovery) -> None:
        segment = recovery.begin_segment(header)
        reading = recovery.read(read_records(self._files, name, header))
        segment.size = self._files.size(name)
        if self.report.add_damage(name, reading.damages, reading.end_offset):
            self._files.cut(name, reading.end_offset)
            segment.size = reading.end_offset
        self.segments[header.number] = segment

    # --- appending

    def append(self, entries: Iterable[Entry], unix_ms: int) -> list[RecordLocation]:
        """Write a group of records, in one write if it fits into the segment; returns their locations."""
        return self._appender.append(entries, unix_ms)

    def sync(self) -> None:
        """If records have to survive a power cut, wait until those that were appended do."""
        self._appender.sync()

    def abandon(self) -> None:
        """Stop writing to the current segment after an `OSError`."""
        self._appender.abandon()
        self.stop_compacting()
        for number, segment in self.segments.items():
            try:
                segment.size = self._files.size(segment_name(number))
            except OSError:
                continue  # the size is unknown; the planned size is kept

    def close(self) -> None:
        """Sync and close the current segment."""
        self._appender.close()

    # --- reading

    def fetch(self, word: int, key: bytes, fingerprint: bytes) -> bytes | None:
        """The result at the location in an index word.

        None if the record there is damaged or belongs to another key or request fingerprint.
        """
        short_number, offset = key_index.unpack_location(word)
        number = self._full_number(short_number)
        if number is None:
            return None
        block_start = offset - offset % records.BLOCK
        block = self._files.read(segment_name(number), block_start, records.BLOCK)
        found = next(records.scan(block[offset - block_start :], offset, number), None)
        if found is None or isinstance(found, records.Damage):
            return None
        kind, _, payload = found
        record = records.parse_record(kind, payload)
        stored_fingerprint, result = records.parse_end(record.own_part)
        is_wanted = record.step is Step.RESULT and record.key == key and stored_fingerprint == fingerprint
        return result if is_wanted else None

    def _full_number(self, short_number: int) -> int | None:
        """The number of the segment that an index entry refers to; None if it was dropped."""
        for number in self.segments:
            if number % key_index.SEGMENT_NUMBER_MODULUS == short_number:
                return number
        return None

    # --- reclaiming space

    def drop(self, now: int) -> int:
        """Delete the segments without live records; returns how many were deleted."""
        numbers = retention.droppable_segments(self._closed_segments(), self._max_read_delay_us, now)
        for number in numbers:
            self._files.remove(segment_name(number))
            self._report_step("drop")
            del self.segments[number]
        return len(numbers)

    def time_to_first_drop(self, now: int) -> int | None:
        """Microseconds until the oldest segment can be dropped; None if there is no segment."""
        oldest = next(iter(self.segments.values()), None)
        return None if oldest is None else max(0, oldest.last_expiry + self._max_read_delay_us - now)

    def compact_step(self, index: Index, now: int) -> bool:
        """Continue a compaction, or begin one if it is worthwhile; False if there is nothing to do."""
        if self._compaction is None:
            number = retention.segment_to_compact(self._closed_segments(), self._max_disk_bytes, now)
            if number is None:
                return False
            self._compaction = self.compact(number, index, now)
        try:
            next(self._compaction)
        except StopIteration:
            self._compaction = None
        return True

    def compact(self, number: int, index: Index, now: int) -> Generator[None, None, None]:
        """Compact a segment, a few blocks in each step; see `Compaction`."""
        compaction = Compaction(
            self._files,
            self.segments,
            self._start_records,
            index,
            number,
            now,
            power=self._power,
            max_read_delay_us=self._max_read_delay_us,
            report_step=self._report_step,
        )
        yield from compaction.run()

    def stop_compacting(self) -> None:
        """Abort a compaction in progress; its segment stays as it was."""
        if self._compaction is not None:
            self._compaction.close()
            self._compaction = None

    def _closed_segments(self) -> list[Segment]:
        current = self._appender.current
        return [segment for segment in self.segments.values() if segment is not current]
