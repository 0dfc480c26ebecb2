"""The files of the claim log: segments to which several processes append, each record in a single write.

A segment is a numbered file. The kernel places each O_APPEND write behind all earlier ones. `Segment` and
`Folder` are protocols, so that tests can substitute a model that fails at any step.
"""

from __future__ import annotations

import errno
import os
import re
from pathlib import Path
from typing import NamedTuple, Protocol

# Segments contain callers' results, which other users of the machine must not read.
_FILE_MODE = 0o600
_FOLDER_MODE = 0o700
SEGMENT_SUFFIX = ".ledger"
_SEGMENT_NAME = re.compile(r"([0-9]{10})" + re.escape(SEGMENT_SUFFIX))


class SegmentStatus(NamedTuple):
    """The status of an open segment in the file system."""

    size: int  # bytes
    # Whether the file still has a name. It has none after it was deleted because of its age or with its
    # folder; its content can still be read.
    is_linked: bool


class Segment(Protocol):
    """An open segment. All methods but `close` raise `OSError`."""

    def append(self, data: bytes) -> None:
        """Append the data in one write; after an `OSError`, part of it may have been written."""

    def status(self) -> SegmentStatus:
        """Return its size, and whether its file still has a name."""

    def read(self, offset: int, length: int) -> bytes:
        """Return the bytes from `offset` on; fewer than `length` if the file ends before."""

    def sync(self) -> None:
        """Wait until all appended data would survive a power cut."""

    def close(self) -> None:
        """Close the file; never raises."""


class Folder(Protocol):
    """The folder of the segments. All methods raise `OSError`."""

    def create(self) -> None:
        """Create the folder if it does not exist."""

    def segment_numbers(self) -> list[int]:
        """Return the numbers of the existing segments, oldest first."""

    def open(self, number: int, create: bool) -> Segment:
        """Open a segment; with `create`, create it if it does not exist."""

    def remove(self, number: int) -> None:
        """Delete a segment; no error if another incarnation has already done so."""


class OsSegment:
    """A segment in a file of the operating system."""

    def __init__(self, path: Path, create: bool) -> None:
        flags = os.O_RDWR | os.O_APPEND | os.O_CLOEXEC
        if create:
            flags |= os.O_CREAT
        self._path = path
        self._fd = os.open(path, flags, _FILE_MODE)

    def append(self, data: bytes) -> None:
        """See `Segment`."""
        written = os.write(self._fd, data)
        if written != len(data):
            reason = f"a write was cut short at {written} of {len(data)} bytes"
            raise OSError(errno.ENOSPC, reason, str(self._path))

    def status(self) -> SegmentStatus:
        """See `Segment`."""
        status = os.fstat(self._fd)
        return SegmentStatus(status.st_size, status.st_nlink > 0)

    def read(self, offset: int, length: int) -> bytes:
        """See `Segment`."""
        return os.pread(self._fd, length, offset)

    def sync(self) -> None:
        """See `Segment`."""
        os.fdatasync(self._fd)

    def close(self) -> None:
        """See `Segment`."""
        os.close(self._fd)


class OsFolder:
    """A folder of the operating system."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def create(self) -> None:
        """See `Folder`."""
        self.path.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)

    def segment_numbers(self) -> list[int]:
        """See `Folder`."""
        matches = (_SEGMENT_NAME.fullmatch(path.name) for path in self.path.iterdir())
        return sorted(int(match[1]) for match in matches if match is not None)

    def open(self, number: int, create: bool) -> Segment:
        """See `Folder`."""
        return OsSegment(self._segment_path(number), create)

    def remove(self, number: int) -> None:
        """See `Folder`."""
        self._segment_path(number).unlink(missing_ok=True)

    def _segment_path(self, number: int) -> Path:
        return self.path / f"{number:010d}{SEGMENT_SUFFIX}"
