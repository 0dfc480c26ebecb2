"""The log: records appended to segments in a folder. One thread at a time; it reads no clock.

Every method that touches the disk raises `OSError` as it comes. After one, `abandon` must be called: the
segment is left as it is, nothing that was not synced in it is believed, and the next append begins a new
one.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Generator, Iterable, Iterator
from dataclasses import dataclass, field

from ...claims.states import Step
from . import index as places
from . import records, retention
from .index import Index
from .recovery import Recovery
from .retention import Segment
from .storage import TEMPORARY, Files, FolderError, Handle, segment_name, segment_number

_MOVE = struct.Struct("<16sQQ")
# A compaction goes on by so much between two groups of records.
COMPACT_BYTES = 4 * records.BLOCK


@dataclass(slots=True)
class Entry:
    """A record to be written."""

    step: Step
    token: bytes
    at: int
    until: int
    rest: bytes
    pos: int = 0  # with this record, notices up to this one have had their effect recorded


@dataclass(slots=True)
class Report:
    """What reading a folder brought up, for people."""

    segments: int = 0
    bytes: int = 0
    damaged: list[str] = field(default_factory=list)  # a record may be lost
    torn: list[str] = field(default_factory=list)  # a last write that was cut short, as a crash leaves it
    foreign: list[str] = field(default_factory=list)  # left alone

    def take(self, name: str, bad: list[records.Damage], end: int) -> bool:
        """What is damaged in a segment whose last good record ends there; whether its end is torn. What
        stands before a good record, or behind all that a segment can be, is no last write that was cut
        short."""
        torn = bool(bad) and end <= bad[-1].offset < places.MOST_OFFSET
        for damage in bad[:-1] if torn else bad:
            self.damaged.append(f"{name}: {damage}")
        if torn:
            self.torn.append(f"{name}: {bad[-1]}, and behind byte {end} nothing counts")
        return torn


@dataclass(frozen=True, slots=True)
class Owner:
    """Whose log it is, and where its clock counts."""

    name: str
    boot: bytes


def segment_names(files: Files) -> list[tuple[int, str]]:
    """The segments in a folder, oldest first."""
    found = ((segment_number(name), name) for name in files.names())
    return sorted((number, name) for number, name in found if number is not None)


def own(file: str, header: records.Header, name: str) -> None:
    """Raise `FolderError` if this segment is not this instance's."""
    if header.name != name:
        raise FolderError(f"{file}: belongs to the instance {header.name!r}, not to {name!r}")


def check(files: Files, name: str) -> None:
    """Raise `FolderError` if the folder is another instance's or a newer version's; nothing is changed."""
    for number, file in segment_names(files):
        header = read_segment(files, number, file, Report())
        if header is not None:
            own(file, header, name)


def blocks(
    files: Files,
    name: str,
    header: records.Header,
) -> Iterator[tuple[int, int, bytes] | records.Damage]:
    """The records of a segment, a block in memory at a time."""
    for at in range(0, places.MOST_OFFSET, records.BLOCK):
        data = files.read(name, at, records.BLOCK)
        yield from records.scan(data, at, header.number)
        if len(data) < records.BLOCK:
            return
    if size := max(0, files.size(name) - places.MOST_OFFSET):
        yield records.Damage(places.MOST_OFFSET, "longer than any segment", size)


def read_segment(files: Files, number: int, name: str, report: Report) -> records.Header | None:
    """Its header, or None with a line in the report."""
    try:
        header = records.header(files.read(name, 0, records.HEADER_BYTES))
        if header.number != number:
            raise records.InvalidHeaderError(f"it says that it is segment {header.number}")
    except records.NewerVersionError as error:
        raise FolderError(f"{name}: {error}") from None
    except records.InvalidHeaderError as error:
        report.foreign.append(f"{name}: {error}; left alone")
        return None
    report.segments += 1
    report.bytes += files.size(name)
    return header


class SegmentLog:
    """The segments of one owner in one folder."""

    def __init__(
        self,
        files: Files,
        owner: Owner,
        *,
        most_disk: int,
        power: bool,
        unread: int,
        points: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.segments: dict[int, Segment] = {}  # oldest first
        self.report = Report()
        self._files, self._owner, self._power, self._unread = files, owner, power, unread
        self._point = points  # told of each named point of the work on segments
        self._most = retention.segment_bytes(most_disk)
        self._most_disk = most_disk
        self._next = 1
        self._window = 0  # the longest seen
        self._handle: Handle | None = None
        self._current: Segment | None = None
        self._unsynced = self._new_name = False
        self._begun: dict[bytes, tuple[Segment, int]] = {}  # where the intents stand of which no end does
        self._link: int | None = None
        self._pos = 0  # of the last record
        self._compaction: Generator[None, None, None] | None = None

    @property
    def size(self) -> int:
        """What the segments take on disk."""
        return sum(segment.size for segment in self.segments.values())

    # --- what an earlier life left

    def recover(self, index: Index, now: int) -> Recovery:
        """Read all segments into the index. What is torn at their ends is cut off."""
        self.report = report = Report()
        self.segments = {}
        recovery = Recovery(index, self._owner.boot, self._unread, now)
        for name in self._files.names():
            if name.endswith(TEMPORARY) and segment_number(name.removesuffix(TEMPORARY)) is not None:
                self._files.remove(name)  # of a compaction that did not get done
        for number, name in segment_names(self._files):
            self._next = max(self._next, number + 1)
            header = read_segment(self._files, number, name, report)
            if header is None:
                continue
            own(name, header, self._owner.name)
            self._read(name, header, recovery)
        self._begun = {token: (run[0], run[1]) for token, run in recovery.runs.items()}
        self._link, self._pos = recovery.pool_started, recovery.pos
        return recovery

    def _read(self, name: str, header: records.Header, recovery: Recovery) -> None:
        segment = recovery.begin(header)
        bad, end = recovery.read(blocks(self._files, name, header))
        segment.size = self._files.size(name)
        if self.report.take(name, bad, end):
            self._files.cut(name, end)
            segment.size = end
        self.segments[header.number] = segment

    # --- appending

    def append(self, entries: Iterable[Entry], unix_ms: int) -> list[tuple[int, int]]:
        """Write a group, in one write where it fits into the segment; the segment and offset of each."""
        placed: list[tuple[int, int]] = []
        buffer = bytearray()
        for entry in entries:
            self._window = max(self._window, entry.until - entry.at)
            size = records.size(len(entry.rest))
            if size > records.MAX_RECORD:
                raise ValueError(f"a record of {size} bytes")
            segment = self._current
            pad = records.padding(segment.size, size) if segment is not None else 0
            if segment is None or retention.is_full(segment, pad + size, self._most, self._window, entry.at):
                self._write(buffer)
                segment = self._begin(entry.at, unix_ms)
                pad = records.padding(segment.size, size)
            buffer += bytes(pad)
            segment.size += pad
            placed.append((segment.number, segment.size))
            buffer += records.put(
                segment.number, entry.step, entry.token, entry.at, entry.until, entry.pos, entry.rest
            )
            self._pos = entry.pos
            segment.add(size, entry.until)
            self._account(entry, segment, size)
        self._write(buffer)
        return placed

    def _account(self, entry: Entry, segment: Segment, size: int) -> None:
        """Know which records later ones have made idle."""
        if entry.step is Step.INTENT:
            if entry.token in self._begun:
                segment.dead += size
            else:
                self._begun[entry.token] = segment, size
        elif entry.step in (Step.CALL, Step.LINK):
            segment.dead += size
            if entry.step is Step.LINK:
                self._link = records.link(entry.rest)
        elif (begun := self._begun.pop(entry.token, None)) is not None:
            begun[0].dead += begun[1]

    def _write(self, buffer: bytearray) -> None:
        if buffer:
            assert self._handle is not None
            self._unsynced = True
            self._handle.write(bytes(buffer))
            buffer.clear()

    def _begin(self, at: int, unix_ms: int) -> Segment:
        """A new segment, which opens with the link that holds: older segments may be dropped."""
        self.sync()
        self._close()
        number, self._next = self._next, self._next + 1
        segment = Segment(number, at)
        self._handle = self._files.create(segment_name(number))
        self._point("rotation")
        self.segments[number] = self._current = segment
        self._unsynced = self._new_name = True
        data = records.put_header(records.Header(number, self._owner.boot, at, unix_ms, self._owner.name))
        if self._link is not None:
            rest = records.put_link(self._link)
            data += records.put(number, Step.LINK, records.NO_TOKEN, at, at, self._pos, rest)
            segment.add(len(data) - records.HEADER_BYTES, at)
        self._handle.write(data)
        return segment

    def sync(self) -> None:
        """Where a power cut is to be survived, wait until what was appended would."""
        if not self._power or not self._unsynced or self._handle is None:
            return
        self._handle.sync()
        if self._new_name:
            self._files.sync_folder()
        self._unsynced = self._new_name = False

    def _close(self) -> None:
        if self._handle is not None:
            self._handle.close()
        self._handle = self._current = None

    def abandon(self) -> None:
        """After an `OSError`: leave the segment as it is."""
        self._close()
        self.stop_compacting()
        self._unsynced = self._new_name = False
        for number, segment in self.segments.items():  # what is really there; unknown is as it was planned
            try:
                segment.size = self._files.size(segment_name(number))
            except OSError:
                continue

    def stop_compacting(self) -> None:
        """Leave the segment that was being compacted as it was."""
        if self._compaction is not None:
            self._compaction.close()
            self._compaction = None

    def close(self) -> None:
        """Sync, and write no more."""
        try:
            self.sync()
        finally:
            self._close()

    # --- reading

    def fetch(self, word: int, token: bytes, same: bytes) -> bytes | None:
        """The result at a place of the index; None if what stands there is not this token's, or spoilt."""
        short, offset = places.where(word)
        number = next((n for n in self.segments if n % places.MOST_SEGMENT == short), None)
        if number is None:
            return None
        at = offset - offset % records.BLOCK
        data = self._files.read(segment_name(number), at, records.BLOCK)
        for found in records.scan(data[offset - at :], offset, number):
            if isinstance(found, records.Damage):
                return None
            kind, _, payload = found
            told = records.parse(kind, payload)
            digest, result = records.end(told.rest)
            right = told.step is Step.RESULT and told.token == token and digest == same
            return result if right else None
        return None

    # --- space

    def drop(self, now: int) -> int:
        """Delete the segments in which nothing counts any more; how many."""
        old = [s for s in self.segments.values() if s is not self._current]
        numbers = retention.droppable(old, self._unread, now)
        for number in numbers:
            self._files.remove(segment_name(number))
            self._point("drop")
            del self.segments[number]
        return len(numbers)

    def first_drop(self, now: int) -> int | None:
        """In how many microseconds the oldest segment can be dropped."""
        first = next(iter(self.segments.values()), None)
        return None if first is None else max(0, first.ends + self._unread - now)

    def compact_a_little(self, index: Index, now: int) -> bool:
        """Go on with a compaction, or begin one if it is worth it; False if there is nothing to do."""
        if self._compaction is None:
            old = [s for s in self.segments.values() if s is not self._current]
            number = retention.to_compact(old, self._most_disk, now)
            if number is None:
                return False
            self._compaction = self.compact(number, index, now)
        if next(self._compaction, self) is self:
            self._compaction = None
        return True

    def compact(self, number: int, index: Index, now: int) -> Generator[None, None, None]:
        """Write what still counts in a segment into a new file of its name, a few blocks a step. Places in
        the index move when the new file has the name: a process that ends before leaves the old one."""
        name = segment_name(number)
        temporary = name + TEMPORARY
        old = self.segments[number]
        header = records.header(self._files.read(name, 0, records.HEADER_BYTES))
        shift = old.began - header.at
        new, moves = Segment(number, old.began), bytearray()
        if temporary in self._files.names():
            self._files.remove(temporary)
        handle = self._files.create(temporary)
        try:
            handle.write(records.put_header(header))
            buffer = bytearray()
            for found in blocks(self._files, name, header):
                if isinstance(found, records.Damage):
                    continue
                kind, offset, payload = found
                size = records.HEAD_BYTES + len(payload)
                token, at, until, pos = records.common(payload)
                word = self._still(Step(kind), token, until + shift, number, offset, index, now)
                if word is None:
                    continue
                pad = records.padding(new.size, size)
                buffer += bytes(pad)
                new.size += pad
                if word:
                    mark = places.tag(payload[records.COMMON_BYTES :])
                    after = places.place(number, new.size, mark, places.state(word))
                    moves += _MOVE.pack(token, word, after)
                rest = payload[records.COMMON_BYTES :]
                buffer += records.put(number, Step(kind), token, at, until, pos, rest)
                new.add(size, until + shift)
                if len(buffer) >= COMPACT_BYTES:
                    handle.write(bytes(buffer))
                    buffer.clear()
                    yield
            handle.write(bytes(buffer))
            if self._power:
                handle.sync()
        finally:
            handle.close()
        if number not in self.segments:  # dropped meanwhile
            self._files.remove(temporary)
            return
        self._point("compaction")
        self._files.replace(name, temporary)
        self._point("compacted")
        self.segments[number] = new
        for token, (segment, size) in self._begun.items():
            if segment is old:
                self._begun[token] = new, size
        for token, before, after in _MOVE.iter_unpack(moves):
            index.move(token, before, after)
        if self._power:
            self._files.sync_folder()

    def _still(
        self,
        step: Step,
        token: bytes,
        until: int,
        number: int,
        offset: int,
        index: Index,
        now: int,
    ) -> int | None:
        """Whether a record still counts: None if not, its word in the index if it stands there, else 0."""
        if step is Step.LINK:
            return 0
        if until + self._unread <= now:
            return None
        if step in (Step.RESULT, Step.FAULT):
            found = index.get(token)
            here = found is not None and places.where(found[0]) == (number % places.MOST_SEGMENT, offset)
            return found[0] if found is not None and here else None
        if step is Step.NEVER:
            return 0
        return 0 if token in self._begun else None
