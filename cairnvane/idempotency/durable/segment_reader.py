"""Reads the segments in a folder, and reports what is damaged. Every function may raise `OSError`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import index as key_index
from . import records
from .errors import FolderError, InvalidHeaderError, NewerVersionError
from .storage import Files, segment_number


@dataclass(slots=True)
class Report:
    """What reading a folder has found, for people."""

    segments: int = 0
    bytes: int = 0
    damaged: list[str] = field(default_factory=list)  # a record may be lost
    torn: list[str] = field(default_factory=list)  # a last write that was cut short, as a crash leaves it
    foreign: list[str] = field(default_factory=list)  # left alone

    def take(self, name: str, bad: list[records.Damage], end: int) -> bool:
        """Report the damage in a segment whose last good record ends at `end`; whether its end is torn.

        Damage before a good record, or beyond the largest size of a segment, is no last write that was cut
        short.
        """
        torn = bool(bad) and end <= bad[-1].offset < key_index.OFFSET_LIMIT
        for damage in bad[:-1] if torn else bad:
            self.damaged.append(f"{name}: {damage}")
        if torn:
            self.torn.append(f"{name}: {bad[-1]}, and behind byte {end} nothing counts")
        return torn


def segment_names(files: Files) -> list[tuple[int, str]]:
    """The number and file name of each segment in a folder, oldest first."""
    numbered = ((segment_number(name), name) for name in files.names())
    return sorted((number, name) for number, name in numbered if number is not None)


def check_owner(file: str, header: records.Header, instance_name: str) -> None:
    """Raise `FolderError` if this segment is another instance's."""
    if header.name != instance_name:
        raise FolderError(f"{file}: belongs to the instance {header.name!r}, not to {instance_name!r}")


def check(files: Files, instance_name: str) -> None:
    """Raise `FolderError` if the folder is another instance's or a newer version's; nothing is changed."""
    for number, file in segment_names(files):
        header = read_segment(files, number, file, Report())
        if header is not None:
            check_owner(file, header, instance_name)


def blocks(
    files: Files,
    name: str,
    header: records.Header,
) -> Iterator[records.RawRecord | records.Damage]:
    """The records of a segment as `records.scan` yields them, with one block in memory at a time."""
    for offset in range(0, key_index.OFFSET_LIMIT, records.BLOCK):
        data = files.read(name, offset, records.BLOCK)
        yield from records.scan(data, offset, header.number)
        if len(data) < records.BLOCK:
            return
    excess = max(0, files.size(name) - key_index.OFFSET_LIMIT)
    if excess:
        yield records.Damage(key_index.OFFSET_LIMIT, "longer than any segment", excess)


def read_segment(files: Files, number: int, name: str, report: Report) -> records.Header | None:
    """The header of a segment, or None with a line in the report.

    Raises `FolderError` if a newer version has written it.
    """
    try:
        header = records.parse_header(files.read(name, 0, records.HEADER_BYTES))
        if header.number != number:
            raise InvalidHeaderError(f"it says that it is segment {header.number}")
    except NewerVersionError as error:
        raise FolderError(f"{name}: {error}") from None
    except InvalidHeaderError as error:
        report.foreign.append(f"{name}: {error}; left alone")
        return None
    report.segments += 1
    report.bytes += files.size(name)
    return header
