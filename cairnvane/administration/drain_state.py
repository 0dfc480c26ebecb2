"""Whether an operator has drained this bid server: kept by one process, or shared by concurrent ones."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

# The file in the incarnations' folder.
DRAIN_FILE = "drained"
_DRAINED = b"1"
_NOT_DRAINED = b"0"
_FILE_MODE = 0o600


class DrainState(Protocol):
    """The state of a drain by call; it may be read and written from any thread."""

    def read(self) -> bool:
        """Return whether the bid server is drained."""

    def write(self, is_drained: bool) -> None:
        """Set whether the bid server is drained."""


class ProcessDrainState:
    """A `DrainState` that only this process knows."""

    def __init__(self) -> None:
        self._is_drained = False

    def read(self) -> bool:
        """Return whether this process is drained."""
        return self._is_drained

    def write(self, is_drained: bool) -> None:
        """Set whether this process is drained."""
        self._is_drained = is_drained


class SharedDrainState:
    """A `DrainState` in a file that all processes of one bid server read and write.

    It consists of one byte, so no write is ever half done. If the file can't be written, this process goes by
    what it was told itself; if it can't be read, by what was last read.
    """

    def __init__(self, path: Path, is_alone: bool) -> None:
        """`is_alone` is whether no other process serves: a drain ends with the last process."""
        self._path = path
        self._last_known = False
        self._is_write_failed = False
        if is_alone and path.exists():
            self.write(False)

    def read(self) -> bool:
        """Return whether the bid server is drained."""
        if self._is_write_failed:
            return self._last_known
        try:
            content = self._path.read_bytes()
        except OSError:
            return self._last_known
        if content in (_DRAINED, _NOT_DRAINED):
            self._last_known = content == _DRAINED
        return self._last_known

    def write(self, is_drained: bool) -> None:
        """Set whether the bid server is drained, for all of its processes."""
        self._last_known = is_drained
        self._is_write_failed = not self._write_file(_DRAINED if is_drained else _NOT_DRAINED)

    def _write_file(self, content: bytes) -> bool:
        """Write the file; False if that failed."""
        try:
            fd = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, _FILE_MODE)
        except OSError:
            return False
        try:
            return os.pwrite(fd, content, 0) == len(content)
        except OSError:
            return False
        finally:
            os.close(fd)
