"""Reads the segments of the claim log in order, while all incarnations append to them."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass

from . import records
from .claim_table import ClaimTable, Entry, RecordLocation
from .errors import FolderRemovedError
from .records import Record
from .storage import Folder, Segment

logger = logging.getLogger(__name__)

_FIRST_SEGMENT = 1


@dataclass(slots=True)
class OpenSegment:
    """An open segment and the position up to which it was read. Sizes are in bytes."""

    number: int
    file: Segment
    offset: int = 0  # the records up to here were read
    seen_size: int = 0  # the size of the file when it was last read


class SegmentReader:
    """The open segments, whose records it applies to the claim table.

    All methods are called with the claim log's lock held. Methods that read or write files raise `OSError`.
    """

    def __init__(
        self,
        folder: Folder,
        table: ClaimTable,
        incarnation: int,
        before_recreation: Callable[[], None],
    ) -> None:
        """`before_recreation` is called after the folder was removed and before it is created again."""
        self.current: OpenSegment  # the newest segment, to which records are appended
        self.own_records = 0  # number of records of this incarnation that were applied before a seal
        self._folder = folder
        self._table = table
        self._incarnation = incarnation
        self._before_recreation = before_recreation
        self._segments: dict[int, OpenSegment] = {}  # oldest first

    def load(self) -> None:
        """Open and read all existing segments; the last one becomes the current one."""
        for segment in self._segments.values():
            segment.file.close()
        self._segments.clear()
        numbers = self._folder.segment_numbers()
        for number in numbers or [_FIRST_SEGMENT]:
            with contextlib.suppress(FileNotFoundError):  # another incarnation has deleted the segment
                self._open_segment(number, create=not numbers)
        if not self._segments:
            raise FolderRemovedError(f"the folder of segments {numbers} is being removed")
        self.follow()

    def follow(self) -> None:
        """Read everything that any incarnation has written since the last call."""
        while True:
            segment = self.current
            size, is_linked = segment.file.status()
            if size != segment.seen_size:
                self._read(segment, size)
            if segment.number in self._table.sealed_segments:
                self._open_next_segment()
            elif is_linked:
                return
            else:
                self._recreate_folder()
                return

    def try_follow(self) -> bool:
        """Do the same as `follow`, but return False instead of raising an error if the folder fails."""
        try:
            self.follow()
        except OSError:
            return False
        return True

    def apply_appended(self, record: Record, length: int) -> bool:
        """Apply a record that was just appended to the current segment, without reading it back.

        This is possible only if the size shows that the record directly follows the data that was read, so
        that no other incarnation has written in between; otherwise returns False. In most cases it is
        possible, and it saves half of the cost.
        """
        segment = self.current
        size, is_linked = segment.file.status()
        if not is_linked or segment.offset != segment.seen_size or size != segment.seen_size + length:
            return False
        self._table.apply(record, RecordLocation(segment.number, segment.offset, length))
        segment.offset = size
        segment.seen_size = size
        self.own_records += 1
        return True

    def result(self, key: bytes, entry: Entry) -> bytes | None:
        """Return the result of a finished run; None if it can't be read any more. Never raises."""
        if entry.result_location is None:
            return entry.unwritten_result
        segment_number, offset, length = entry.result_location
        segment = self._segments.get(segment_number)
        if segment is None:
            return None
        try:
            found = records.scan(segment.file.read(offset, length)).records
        except OSError as error:
            logger.warning("result not readable in segment %s at %s: %s", segment_number, offset, error)
            return None
        if len(found) != 1 or found[0].record.key != key:
            return None
        return found[0].record.rest[records.FINGERPRINT_BYTES :]

    def segment_numbers(self) -> list[int]:
        """Return the numbers of the open segments, oldest first."""
        return list(self._segments)

    def total_bytes(self) -> int:
        """Return the number of bytes that were read from the open segments."""
        return sum(segment.offset for segment in self._segments.values())

    def files(self) -> list[Segment]:
        """Return the files of the open segments, oldest first."""
        return [segment.file for segment in self._segments.values()]

    def delete(self, number: int) -> None:
        """Delete and close a segment."""
        self._folder.remove(number)
        self._segments.pop(number).file.close()
        self._table.forget_segment(number)

    def _open_segment(self, number: int, create: bool) -> None:
        """Open a segment, make it the current one, and read it."""
        segment = OpenSegment(number, self._folder.open(number, create))
        records.check_version(segment.file.read(0, records.HEADER_BYTES))
        self._segments[number] = segment
        self.current = segment
        self._read(segment, segment.file.status().size)

    def _open_next_segment(self) -> None:
        """Open the oldest existing segment after the current, sealed one; create one if there is none."""
        while True:
            current = self.current.number
            later = [number for number in self._folder.segment_numbers() if number > current]
            try:
                self._open_segment(later[0] if later else current + 1, create=not later)
                return
            except FileNotFoundError:
                continue  # it was deleted meanwhile, so a later one exists

    def _read(self, segment: OpenSegment, size: int) -> None:
        """Apply the records that were written to a segment since it was last read."""
        table = self._table
        while segment.offset < size:
            data = segment.file.read(segment.offset, size - segment.offset)
            if not data:
                break
            scan = records.scan(data)
            for offset, length, record in scan.records:
                is_sealed = segment.number in table.sealed_segments
                table.apply(record, RecordLocation(segment.number, segment.offset + offset, length))
                if record.incarnation == self._incarnation and not is_sealed:
                    self.own_records += 1
            if scan.passed_over:
                logger.warning("segment %s: %s bytes passed over", segment.number, scan.passed_over)
            segment.offset += scan.used
            if not scan.used:
                break  # the rest is a record that is being written or was cut short
        segment.seen_size = size

    def _recreate_folder(self) -> None:
        """Create the folder again after it was removed."""
        logger.warning("claim log folder was removed; creating it again")
        self._before_recreation()
        self._folder.create()
        self._table.forget_all_segments()
        self.load()
