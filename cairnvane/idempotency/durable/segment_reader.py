"""Reads the segments in a folder and reports damage. Every function may raise `OSError`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import index as key_index
from . import records
from .errors import FolderError, InvalidHeaderError, NewerVersionError
from .storage import Files, segment_number


@dataclass(slots=True)
class Report:
    """What reading a folder has found, as lines of text."""

    segments: int = 0
    bytes: int = 0
    damaged: list[str] = field(default_factory=list)  # a record may be lost
    torn: list[str] = field(default_factory=list)  # last writes that were cut short, as by a crash
    foreign: list[str] = field(default_factory=list)  # files that are not segments, and are not changed

    def add_damage(self, name: str, damages: list[records.Damage], end_offset: int) -> bool:
        """Report the damage in a segment whose last good record ends at `end_offset`.

        Returns whether the last damage is a torn write. Damage before a good record, or beyond the largest
        size of a segment, is not.
        """
        is_torn = bool(damages) and end_offset <= damages[-1].offset < key_index.OFFSET_LIMIT
        for damage in damages[:-1] if is_torn else damages:
            self.damaged.append(f"{name}: {damage}")
        if is_torn:
            self.torn.append(f"{name}: {damages[-1]}, and behind byte {end_offset} nothing counts")
        return is_torn


def segment_names(files: Files) -> list[tuple[int, str]]:
    """The number and file name of each segment in a folder, oldest first."""
    numbered = ((segment_number(name), name) for name in files.names())
    return sorted((number, name) for number, name in numbered if number is not None)


def check_owner(file: str, header: records.Header, instance_name: str) -> None:
    """Raise `FolderError` if the segment belongs to another instance."""
    if header.name != instance_name:
        raise FolderError(f"{file}: belongs to the instance {header.name!r}, not to {instance_name!r}")


def check_folder(files: Files, instance_name: str) -> None:
    """Raise `FolderError` if another instance or a newer version wrote the folder. Changes nothing."""
    for number, file in segment_names(files):
        header = read_header(files, number, file, Report())
        if header is not None:
            check_owner(file, header, instance_name)


def read_records(
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


def read_header(files: Files, number: int, name: str, report: Report) -> records.Header | None:
    """The header of a segment; None, with a line in the report, if the file is not a segment.

    Raises `FolderError` if a newer version wrote it.
    """
    try:
        header = records.parse_header(files.read(name, 0, records.HEADER_BYTES))
        if header.number != number:
            raise InvalidHeaderError(f"its header names segment {header.number}")
    except NewerVersionError as error:
        raise FolderError(f"{name}: {error}") from None
    except InvalidHeaderError as error:
        report.foreign.append(f"{name}: {error}; left alone")
        return None
    report.segments += 1
    report.bytes += files.size(name)
    return header
