"""Rewrites one segment without its dead records: those that have expired or were superseded.

Reads no clock.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from contextlib import closing

from ...claims.states import Step
from . import index as key_index
from . import records
from .index import Index
from .retention import Segment
from .segment_reader import read_records
from .start_records import StartRecords
from .storage import TEMPORARY, Files, Handle, segment_name

_MOVE = struct.Struct("<16sQQ")  # key, its word in the index before and after
# The number of bytes that a compaction writes in one step, between two groups of records.
STEP_BYTES = 4 * records.BLOCK
# Returned instead of a word for a live record that is not in the index.
_NOT_INDEXED = 0


class Compaction:
    """The compaction of one segment."""

    def __init__(
        self,
        files: Files,
        segments: dict[int, Segment],
        start_records: StartRecords,
        index: Index,
        number: int,
        now: int,
        *,
        power: bool,
        max_read_delay_us: int,
        report_step: Callable[[str], None],
    ) -> None:
        """`segments` is the log's table of segments; `number` is that of the segment to rewrite."""
        self._files = files
        self._segments = segments
        self._start_records = start_records
        self._index = index
        self._number = number
        self._now = now
        self._power = power
        self._max_read_delay_us = max_read_delay_us
        self._report_step = report_step
        self._name = segment_name(number)
        self._temporary = self._name + TEMPORARY
        # Packed `_MOVE` entries, since there may be a million of them.
        self._moves = bytearray()

    def run(self) -> Iterator[None]:
        """Write the live records to a new file that then replaces the old one, a few blocks in each step.

        The locations in the index are updated once the new file has the segment's name. If the process ends
        before that, the old file remains.
        """
        old = self._segments[self._number]
        new = Segment(self._number, old.begun_at)
        header = records.parse_header(self._files.read(self._name, 0, records.HEADER_BYTES))
        if self._temporary in self._files.names():
            self._files.remove(self._temporary)
        with closing(self._files.create(self._temporary)) as handle:
            yield from self._write_live_records(handle, header, new)
            if self._power:
                handle.sync()
        if self._number not in self._segments:  # the segment was dropped meanwhile
            self._files.remove(self._temporary)
            return
        self._replace(old, new)

    def _write_live_records(self, handle: Handle, header: records.Header, new: Segment) -> Iterator[None]:
        time_shift_us = new.begun_at - header.at
        handle.write(records.encode_header(header))
        buffer = bytearray()
        for found in read_records(self._files, self._name, header):
            if isinstance(found, records.Damage):
                continue
            kind, offset, payload = found
            buffer += self._live_record(Step(kind), offset, payload, time_shift_us, new)
            if len(buffer) >= STEP_BYTES:
                handle.write(bytes(buffer))
                buffer.clear()
                yield
        handle.write(bytes(buffer))

    def _live_record(
        self, step: Step, offset: int, payload: bytes, time_shift_us: int, new: Segment
    ) -> bytes:
        """The bytes to write for a record of the old segment; empty if the record is dead."""
        key, recorded_at, expires_at, settled_notice = records.unpack_common(payload)
        word = self._live_word(step, key, expires_at + time_shift_us, offset)
        if word is None:
            return b""
        size = records.HEAD_BYTES + len(payload)
        pad = records.padding(new.size, size)
        new.size += pad
        own_part = payload[records.COMMON_BYTES :]
        if word != _NOT_INDEXED:
            new_word = key_index.pack_word(
                self._number, new.size, key_index.fingerprint_tag(own_part), key_index.unpack_state(word)
            )
            self._moves += _MOVE.pack(key, word, new_word)
        new.add_record(size, expires_at + time_shift_us)
        return bytes(pad) + records.encode_record(
            self._number, step, key, recorded_at, expires_at, settled_notice, own_part
        )

    def _live_word(self, step: Step, key: bytes, expires_at: int, offset: int) -> int | None:
        """The word of a record in the index, `_NOT_INDEXED`, or None if the record is dead."""
        if step is Step.LINK:
            return _NOT_INDEXED
        if expires_at + self._max_read_delay_us <= self._now:
            return None
        if step in (Step.RESULT, Step.FAULT):
            return self._indexed_word(key, offset)
        if step is Step.NEVER or key in self._start_records:
            return _NOT_INDEXED
        return None

    def _indexed_word(self, key: bytes, offset: int) -> int | None:
        """The word of a key in the index, if it points at this record."""
        found = self._index.get(key)
        if found is None:
            return None
        location = key_index.WordLocation(self._number % key_index.SEGMENT_NUMBER_MODULUS, offset)
        return found.word if key_index.unpack_location(found.word) == location else None

    def _replace(self, old: Segment, new: Segment) -> None:
        self._report_step("compaction")
        self._files.replace(self._name, self._temporary)
        self._report_step("compacted")
        self._segments[self._number] = new
        self._start_records.segment_replaced(old, new)
        for key, old_word, new_word in _MOVE.iter_unpack(self._moves):
            self._index.replace_word(key, old_word, new_word)
        if self._power:
            self._files.sync_folder()
