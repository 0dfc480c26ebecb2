"""Appends records to the current segment, and begins the next one when it is full.

Every method that touches the disk may raise `OSError`; the caller must then call `abandon`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ...claims.states import Step
from . import records, retention
from .errors import RecordTooLargeError
from .retention import Segment
from .start_records import StartRecords
from .storage import Files, Handle, segment_name


@dataclass(frozen=True, slots=True)
class Owner:
    """The instance that a log belongs to."""

    name: str
    boot: bytes  # id of the machine's boot, within which times of the monotonic clock are comparable


@dataclass(slots=True)
class Entry:
    """A record to be written."""

    step: Step
    key: bytes
    recorded_at: int
    expires_at: int
    own_part: bytes
    settled_notice: int = 0  # with this record, the effects of all notices up to this one are recorded


class RecordLocation(NamedTuple):
    """The location of a record."""

    segment: int
    offset: int


class SegmentAppender:
    """Writes the newest segment of a log."""

    def __init__(
        self,
        files: Files,
        owner: Owner,
        segments: dict[int, Segment],
        start_records: StartRecords,
        *,
        max_disk_bytes: int,
        power: bool,
        report_step: Callable[[str], None],
    ) -> None:
        """`segments` is the log's table of segments, to which new ones are added."""
        self.current: Segment | None = None
        self.next_number = 1
        self._files = files
        self._owner = owner
        self._segments = segments
        self._start_records = start_records
        self._segment_bytes = retention.segment_bytes(max_disk_bytes)
        self._power = power
        self._report_step = report_step
        self._longest_window_us = 0  # the longest window of a key seen so far
        self._handle: Handle | None = None
        self._has_unsynced_data = False
        self._has_unsynced_name = False
        self._pool_started_at: int | None = None
        self._settled_notice = 0  # the field of the last record

    def restore(self, pool_started_at: int | None, settled_notice: int) -> None:
        """Continue from the state that recovery has found."""
        self._pool_started_at = pool_started_at
        self._settled_notice = settled_notice

    def append(self, entries: Iterable[Entry], unix_ms: int) -> list[RecordLocation]:
        """Write a group of records, in one write if it fits into the segment; returns their locations."""
        locations: list[RecordLocation] = []
        buffer = bytearray()
        for entry in entries:
            self._longest_window_us = max(self._longest_window_us, entry.expires_at - entry.recorded_at)
            size = records.record_size(len(entry.own_part))
            if size > records.MAX_RECORD:
                raise RecordTooLargeError(f"key {entry.key.hex()}: record of {size} bytes is too large")
            segment = self.current
            pad = records.padding(segment.size, size) if segment is not None else 0
            if segment is None or self._is_full(segment, pad + size, entry.recorded_at):
                self._write(buffer)
                segment = self._begin_segment(entry.recorded_at, unix_ms)
                pad = records.padding(segment.size, size)
            buffer += bytes(pad)
            segment.size += pad
            locations.append(RecordLocation(segment.number, segment.size))
            buffer += records.encode_record(
                segment.number,
                entry.step,
                entry.key,
                entry.recorded_at,
                entry.expires_at,
                entry.settled_notice,
                entry.own_part,
            )
            self._count_record(entry, segment, size)
        self._write(buffer)
        return locations

    def _is_full(self, segment: Segment, record_bytes: int, now: int) -> bool:
        return retention.is_full(segment, record_bytes, self._segment_bytes, self._longest_window_us, now)

    def _count_record(self, entry: Entry, segment: Segment, size: int) -> None:
        self._settled_notice = entry.settled_notice
        segment.add_record(size, entry.expires_at)
        if entry.step is Step.LINK:
            self._pool_started_at = records.parse_link(entry.own_part)
        self._start_records.record_appended(entry.step, entry.key, segment, size)

    def _write(self, buffer: bytearray) -> None:
        if buffer:
            assert self._handle is not None
            self._has_unsynced_data = True
            self._handle.write(bytes(buffer))
            buffer.clear()

    def _begin_segment(self, begun_at: int, unix_ms: int) -> Segment:
        """Begin a new segment.

        Its first record repeats the current link to the worker pool, since older segments may be dropped.
        """
        self.sync()
        self._close_handle()
        number = self.next_number
        self.next_number += 1
        segment = Segment(number, begun_at)
        self._handle = self._files.create(segment_name(number))
        self._report_step("rotation")
        self._segments[number] = segment
        self.current = segment
        self._has_unsynced_data = True
        self._has_unsynced_name = True
        header = records.Header(number, self._owner.boot, begun_at, unix_ms, self._owner.name)
        data = records.encode_header(header)
        if self._pool_started_at is not None:
            own_part = records.encode_link(self._pool_started_at)
            link = records.encode_record(
                number, Step.LINK, records.NO_KEY, begun_at, begun_at, self._settled_notice, own_part
            )
            data += link
            segment.add_record(len(link), begun_at)
        self._handle.write(data)
        return segment

    def sync(self) -> None:
        """If records have to survive a power cut, wait until those that were appended do."""
        if not self._power or not self._has_unsynced_data or self._handle is None:
            return
        self._handle.sync()
        if self._has_unsynced_name:
            self._files.sync_folder()
        self._has_unsynced_data = False
        self._has_unsynced_name = False

    def _close_handle(self) -> None:
        if self._handle is not None:
            self._handle.close()
        self._handle = None
        self.current = None

    def abandon(self) -> None:
        """Stop writing to the current segment after an `OSError`, without a sync."""
        self._close_handle()
        self._has_unsynced_data = False
        self._has_unsynced_name = False

    def close(self) -> None:
        """Sync and close the current segment."""
        try:
            self.sync()
        finally:
            self._close_handle()
