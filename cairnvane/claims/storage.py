"""The ledger's files: segments that several processes append to, each write whole and in one place.

A segment is a file with a number; the kernel puts each O_APPEND write behind all before it. What is here may
be swapped for a model that fails at any step.
"""

from __future__ import annotations

import errno
import os
import re
from pathlib import Path
from typing import Protocol

# Segments hold callers' results: nobody else on the machine may read them.
_FILE_MODE, _FOLDER_MODE = 0o600, 0o700
_SEGMENT = re.compile(r"([0-9]{10})\.ledger")


class Segment(Protocol):
    """An open segment. All but `close` raise `OSError`."""

    def append(self, data: bytes) -> None:
        """Behind all that is there, in one write; after an `OSError` a part of it may be."""

    def look(self) -> tuple[int, bool]:
        """Its size in bytes, and whether it still has its name: it loses that when it is dropped as old, or
        its folder is removed. What it holds can be read on."""

    def read(self, offset: int, length: int) -> bytes:
        """As many of these bytes as there are."""

    def sync(self) -> None:
        """What was appended survives a power cut from now on."""

    def close(self) -> None:
        """Never raises."""


class Folder(Protocol):
    """Where they are. All raise `OSError`."""

    def make(self) -> None:
        """Create the folder, if it is not there."""

    def numbers(self) -> list[int]:
        """The segments that are there, oldest first."""

    def open(self, number: int, create: bool) -> Segment:
        """One of them; `create`: if it is not there, it is made."""

    def remove(self, number: int) -> None:
        """Delete one; no fault if another life did so before."""


class OsSegment:
    """A file of the system's."""

    def __init__(self, path: Path, create: bool) -> None:
        flags = os.O_RDWR | os.O_APPEND | os.O_CLOEXEC | (os.O_CREAT if create else 0)
        self._fd = os.open(path, flags, _FILE_MODE)

    def append(self, data: bytes) -> None:
        """See `Segment`."""
        if os.write(self._fd, data) != len(data):
            raise OSError(errno.ENOSPC, "a write was cut short")

    def look(self) -> tuple[int, bool]:
        """See `Segment`."""
        told = os.fstat(self._fd)
        return told.st_size, told.st_nlink > 0

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
    """A folder of the system's."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def _name(self, number: int) -> Path:
        return self.path / f"{number:010d}.ledger"

    def make(self) -> None:
        """See `Folder`."""
        self.path.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)

    def numbers(self) -> list[int]:
        """See `Folder`."""
        found = (_SEGMENT.fullmatch(name) for name in os.listdir(self.path))
        return sorted(int(one[1]) for one in found if one is not None)

    def open(self, number: int, create: bool) -> Segment:
        """See `Folder`."""
        return OsSegment(self._name(number), create)

    def remove(self, number: int) -> None:
        """See `Folder`."""
        self._name(number).unlink(missing_ok=True)
