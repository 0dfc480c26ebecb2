"""Rewrites one segment without the records that no longer count. It reads no clock."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from contextlib import closing

from ...claims.states import Step
from . import index as key_index
from . import records
from .index import Index
from .retention import Segment
from .segment_reader import blocks
from .start_records import StartRecords
from .storage import TEMPORARY, Files, Handle, segment_name

_MOVE = struct.Struct("<16sQQ")  # key, its word in the index before and after
# A compaction goes on by so much between two groups of records.
STEP_BYTES = 4 * records.BLOCK
# A record that counts though it does not stand in the index.
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
        """`segments` is the log's table; `number` is the segment that is rewritten."""
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
        # Packed, since there may be a million of them.
        self._moves = bytearray()

    def run(self) -> Iterator[None]:
        """Write what still counts into a new file that then replaces the old one, a few blocks a step.

        Places in the index move when the new file has the name: a process that ends before leaves the old
        file.
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
        if self._number not in self._segments:  # dropped meanwhile
            self._files.remove(self._temporary)
            return
        self._replace(old, new)

    def _write_live_records(self, handle: Handle, header: records.Header, new: Segment) -> Iterator[None]:
        shift = new.begun_at - header.at
        handle.write(records.encode_header(header))
        buffer = bytearray()
        for found in blocks(self._files, self._name, header):
            if isinstance(found, records.Damage):
                continue
            kind, offset, payload = found
            buffer += self._live_record(Step(kind), offset, payload, shift, new)
            if len(buffer) >= STEP_BYTES:
                handle.write(bytes(buffer))
                buffer.clear()
                yield
        handle.write(bytes(buffer))

    def _live_record(self, step: Step, offset: int, payload: bytes, shift: int, new: Segment) -> bytes:
        """The bytes to write for a record of the old segment; none if it no longer counts."""
        key, at, until, pos = records.unpack_common(payload)
        word = self._live_word(step, key, until + shift, offset)
        if word is None:
            return b""
        size = records.HEAD_BYTES + len(payload)
        pad = records.padding(new.size, size)
        new.size += pad
        rest = payload[records.COMMON_BYTES :]
        if word != _NOT_INDEXED:
            new_word = key_index.pack_word(
                self._number, new.size, key_index.fingerprint_tag(rest), key_index.unpack_state(word)
            )
            self._moves += _MOVE.pack(key, word, new_word)
        new.add(size, until + shift)
        return bytes(pad) + records.encode_record(self._number, step, key, at, until, pos, rest)

    def _live_word(self, step: Step, key: bytes, until: int, offset: int) -> int | None:
        """The word of a record in the index, `_NOT_INDEXED`, or None if the record no longer counts."""
        if step is Step.LINK:
            return _NOT_INDEXED
        if until + self._max_read_delay_us <= self._now:
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
