"""Reading the segments of the claim log in order, as all incarnations append to them."""

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
    """An open segment, and how far it has been read. Sizes are in bytes."""

    number: int
    file: Segment
    offset: int = 0  # up to here it has been read
    seen_size: int = 0  # its size when it was last read


class SegmentReader:
    """The open segments, and how far each has been read into the claim table.

    All methods need the claim log's lock; those that read or write files raise `OSError`.
    """

    def __init__(
        self,
        folder: Folder,
        table: ClaimTable,
        incarnation: int,
        before_recreation: Callable[[], None],
    ) -> None:
        """`before_recreation` is called when the folder was removed, before it is created again."""
        self.current: OpenSegment  # the newest segment, to append to
        self.own_records = 0  # records of this incarnation that were applied where they count
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
            with contextlib.suppress(FileNotFoundError):  # another incarnation has deleted it
                self._enter(number, create=not numbers)
        if not self._segments:
            raise FolderRemovedError(f"the folder of segments {numbers} is being removed")
        self.follow()

    def follow(self) -> None:
        """Read on to the end of all that any incarnation has written."""
        while True:
            segment = self.current
            size, is_linked = segment.file.status()
            if size != segment.seen_size:
                self._read(segment, size)
            if segment.number in self._table.sealed_segments:
                self._enter_next()
            elif is_linked:
                return
            else:
                self._recreate_folder()
                return

    def try_follow(self) -> bool:
        """Read on as `follow` does; False if the folder fails, and what was read so far has to do."""
        try:
            self.follow()
        except OSError:
            return False
        return True

    def apply_appended(self, record: Record, length: int) -> bool:
        """Apply a record that was just appended to the current segment, without reading it back.

        Only if the size says that it stands right behind all that was read, so nobody has written in between;
        else return False. Most often it does, and that saves half of the cost.
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
        """The result of a finished run; None if it can't be read any more. Never raises."""
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

    def numbers(self) -> list[int]:
        """The open segments, oldest first."""
        return list(self._segments)

    def total_bytes(self) -> int:
        """The bytes that were read of all open segments."""
        return sum(segment.offset for segment in self._segments.values())

    def files(self) -> list[Segment]:
        """The files of the open segments, oldest first."""
        return [segment.file for segment in self._segments.values()]

    def drop(self, number: int) -> None:
        """Delete a segment, and close it."""
        self._folder.remove(number)
        self._segments.pop(number).file.close()
        self._table.forget_segment(number)

    def _enter(self, number: int, create: bool) -> None:
        """Open a segment, make it the current one, and read it."""
        segment = OpenSegment(number, self._folder.open(number, create))
        records.check_version(segment.file.read(0, records.HEAD_BYTES))
        self._segments[number] = segment
        self.current = segment
        self._read(segment, segment.file.status().size)

    def _enter_next(self) -> None:
        """Go on to the segment behind a sealed one, the first of those that were not deleted meanwhile."""
        while True:
            current = self.current.number
            later = [number for number in self._folder.segment_numbers() if number > current]
            try:
                self._enter(later[0] if later else current + 1, create=not later)
                return
            except FileNotFoundError:
                continue  # deleted meanwhile: there is a later one

    def _read(self, segment: OpenSegment, size: int) -> None:
        """Apply what was written to a segment since it was last read."""
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
                break  # a record that is being written, or was cut short
        segment.seen_size = size

    def _recreate_folder(self) -> None:
        """Create the folder anew after someone has removed it."""
        logger.warning("claim log folder was removed; creating it again")
        self._before_recreation()
        self._folder.create()
        self._table.forget_all_segments()
        self.load()
