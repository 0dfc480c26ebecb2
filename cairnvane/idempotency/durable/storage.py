"""The disk below the log: a small protocol, and the system's files behind it."""

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

# Segments hold callers' results: nobody else on the machine may read them.
FILE_MODE, FOLDER_MODE = 0o600, 0o700
LOCK = "lock"
_SEGMENT = re.compile(r"([0-9a-f]{16})\.seg")
TEMPORARY = ".tmp"


class FolderError(Exception):
    """The folder can't be used as it is; one line that says why."""


class InUse(FolderError):
    """Another process owns the folder."""


class Handle(Protocol):
    """A file that is being written."""

    def write(self, data: bytes) -> None:
        """Append all of it, or raise `OSError`."""

    def sync(self) -> None:
        """What was written survives a power cut from now on. After an `OSError` none of it counts."""

    def close(self) -> None:
        """No more is written; never raises."""


class Files(Protocol):
    """One folder. All but `close` raise `OSError`."""

    def names(self) -> list[str]:
        """What is in it."""

    def size(self, name: str) -> int:
        """In bytes."""

    def create(self, name: str) -> Handle:
        """A new file; one of that name must not be there."""

    def read(self, name: str, offset: int, length: int) -> bytes:
        """As many of these bytes as there are."""

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""

    def replace(self, name: str, by: str) -> None:
        """Give file `by` this name, in one step."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def sync_folder(self) -> None:
        """New, renamed and deleted names survive a power cut from now on."""


def segment_name(number: int) -> str:
    """A segment's file."""
    return f"{number:016x}.seg"


def segment_number(name: str) -> int | None:
    """The number of the segment in a file of this name; None if it is none."""
    found = _SEGMENT.fullmatch(name)
    return int(found[1], 16) if found else None


def boot_id() -> bytes:
    """Of this boot of the machine, 16 bytes. Where the system tells none, each process counts as a boot of
    its own: keys are then kept a little longer than they need to be."""
    told = clock.boot()
    return bytes.fromhex(told) if told is not None else uuid.uuid4().bytes


class _OsHandle:
    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(self._fd, left) :]

    def sync(self) -> None:
        os.fdatasync(self._fd)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            os.close(self._fd)


class OsFiles:
    """A folder of the system's; `lock` makes it this process's own until it ends, however it does."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock: int | None = None

    def make(self) -> None:
        """Create it if it is not there."""
        self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)

    def lock(self) -> None:
        """Take it, or raise `InUse`; nothing if it is taken."""
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
            raise InUse(f"{self._folder}: in use by another process") from None
        self._lock = fd

    def unlock(self) -> None:
        """Let go of it."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def names(self) -> list[str]:
        """What is in it."""
        return os.listdir(self._folder)

    def size(self, name: str) -> int:
        """In bytes."""
        return os.stat(self._folder / name).st_size

    def create(self, name: str) -> Handle:
        """A new file, for this user alone."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        return _OsHandle(os.open(self._folder / name, flags, FILE_MODE))

    def read(self, name: str, offset: int, length: int) -> bytes:
        """As many of these bytes as there are."""
        fd = os.open(self._folder / name, os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(fd, length, offset)
        finally:
            os.close(fd)

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""
        os.truncate(self._folder / name, size)

    def replace(self, name: str, by: str) -> None:
        """Give file `by` this name, in one step."""
        os.replace(self._folder / by, self._folder / name)

    def remove(self, name: str) -> None:
        """Delete a file."""
        os.unlink(self._folder / name)

    def sync_folder(self) -> None:
        """New, renamed and deleted names survive a power cut from now on."""
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
