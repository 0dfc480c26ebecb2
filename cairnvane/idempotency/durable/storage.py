"""The file operations that the log needs: a protocol, and its implementation on the operating system."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import re
import uuid
from pathlib import Path
from typing import Protocol

from ... import clock
from .errors import FolderInUseError

# Segments hold the results of clients, which no other user of the machine may read.
FILE_MODE = 0o600
FOLDER_MODE = 0o700
LOCK = "lock"
_SEGMENT = re.compile(r"([0-9a-f]{16})\.seg")
TEMPORARY = ".tmp"


class Handle(Protocol):
    """A file that is open for appending."""

    def write(self, data: bytes) -> None:
        """Append all of `data`, or raise `OSError`."""

    def sync(self) -> None:
        """Make the written data survive a power cut. After an `OSError` none of it may be relied on."""

    def close(self) -> None:
        """Close the file; never raises."""


class Files(Protocol):
    """The files of one folder. Every method may raise `OSError`."""

    def names(self) -> list[str]:
        """The names of the files in the folder."""

    def size(self, name: str) -> int:
        """The size of a file in bytes."""

    def create(self, name: str) -> Handle:
        """Create a file; no file of that name may exist."""

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read as many of these bytes as there are."""

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""

    def replace(self, name: str, by: str) -> None:
        """Atomically rename the file `by` to `name`, which it replaces."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def sync_folder(self) -> None:
        """Make created, renamed and deleted names survive a power cut."""


class Folder(Files, Protocol):
    """A folder that at most one process owns at a time."""

    def make(self) -> None:
        """Create the folder if it is not there."""

    def lock(self) -> None:
        """Take ownership of the folder; `FolderInUseError` if another process has it."""

    def unlock(self) -> None:
        """Give up ownership."""


class ReadOnlyFiles:
    """The files of a folder that another process owns, for reading only."""

    def __init__(self, files: Files) -> None:
        self.names = files.names
        self.size = files.size
        self.read = files.read

    def create(self, name: str) -> Handle:
        """Never called: nothing is appended."""
        raise AssertionError(f"{name}: the folder belongs to another process")

    def cut(self, name: str, size: int) -> None:
        """Do nothing: what looks like a torn write may be in progress."""

    def replace(self, name: str, by: str) -> None:
        """Do nothing: nothing is compacted."""

    def remove(self, name: str) -> None:
        """Do nothing: what looks like a leftover file may be in use."""

    def sync_folder(self) -> None:
        """Do nothing: nothing was changed."""


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"{number:016x}.seg"


def segment_number(name: str) -> int | None:
    """The number of the segment with this file name; None if it is not the name of a segment."""
    found = _SEGMENT.fullmatch(name)
    return int(found[1], 16) if found else None


def boot_id() -> bytes:
    """The 16 bytes that identify this boot of the machine.

    If the system reports no boot id, each process counts as a separate boot: keys are then kept a little
    longer than necessary.
    """
    boot = clock.boot_id()
    return bytes.fromhex(boot) if boot is not None else uuid.uuid4().bytes


class _OsHandle:
    """A file of the operating system that is open for appending."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._fd, remaining)
            remaining = remaining[written:]

    def sync(self) -> None:
        os.fdatasync(self._fd)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            os.close(self._fd)


class OsFiles:
    """A folder of the operating system. A lock on it is released when the process ends, however it ends."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock: int | None = None  # the descriptor of the lock file, while this process owns the folder

    def make(self) -> None:
        """Create the folder if it is not there."""
        self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)

    def lock(self) -> None:
        """Take ownership, or raise `FolderInUseError`. Does nothing if this process owns the folder."""
        if self._lock is not None:
            return
        path = self._folder / LOCK
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            if error.errno not in (errno.EWOULDBLOCK, errno.EACCES):
                raise
            raise FolderInUseError(f"{self._folder}: in use by another process") from None
        self._lock = fd

    def unlock(self) -> None:
        """Give up ownership."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def names(self) -> list[str]:
        """The names of the files in the folder."""
        return [path.name for path in self._folder.iterdir()]

    def size(self, name: str) -> int:
        """The size of a file in bytes."""
        return (self._folder / name).stat().st_size

    def create(self, name: str) -> Handle:
        """Create a file that only this user may read."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        return _OsHandle(os.open(self._folder / name, flags, FILE_MODE))

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Read as many of these bytes as there are."""
        fd = os.open(self._folder / name, os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(fd, length, offset)
        finally:
            os.close(fd)

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""
        os.truncate(self._folder / name, size)

    def replace(self, name: str, by: str) -> None:
        """Atomically rename the file `by` to `name`, which it replaces."""
        (self._folder / by).replace(self._folder / name)

    def remove(self, name: str) -> None:
        """Delete a file."""
        (self._folder / name).unlink()

    def sync_folder(self) -> None:
        """Make created, renamed and deleted names survive a power cut."""
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
