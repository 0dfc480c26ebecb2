"""Which incarnations of this bid server exist: alive, stopped or dead, and which of them can serve.

Each incarnation has a file with a lock that the kernel releases when its process ends, whatever ended it, and
writes a heartbeat into it once a second. An incarnation that holds its lock and has written no heartbeat for
`HEARTBEAT_TIMEOUT_US` is stopped: a debugger, a SIGSTOP, a machine that pauses. Its runs may still end.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import time
from enum import Enum
from pathlib import Path
from typing import NamedTuple
from zlib import crc32

from .. import clock

# The folder of the incarnations' files: in `$TMPDIR`, with one for each server name in it, or in the folder
# of cached results.
INCARNATIONS_FOLDER = "cairnvane-lives"
HEARTBEAT_INTERVAL_S = 1.0
# Without a heartbeat for so long, an incarnation is taken for stopped: it has missed five of them.
HEARTBEAT_TIMEOUT_US = 5_000_000
_FILE_MODE = 0o600
_FOLDER_MODE = 0o700
_HEARTBEAT = struct.Struct("<4sIQI?3x")  # magic, checksum of the rest, time, process id, whether it can serve
_MAGIC = b"CVA1"
_CHECKSUM_AT = len(_MAGIC)
_CHECKED_FROM = 8  # the checksum covers the heartbeat from this offset on


class Liveness(Enum):
    """What can be seen of an incarnation from outside."""

    ALIVE = "alive"
    STOPPED = "stopped"  # it may go on at any moment
    DEAD = "dead"


class IncarnationStatus(NamedTuple):
    """What an incarnation's file says."""

    liveness: Liveness
    is_ready: bool  # it can serve


class Incarnations:
    """This incarnation's file, and a view of the others'. Safe to call from any thread."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        # The number of this incarnation. Later ones have higher numbers, as the clock is the machine's.
        self.number = time.monotonic_ns()
        self._fd: int | None = None  # of this incarnation's file, which it keeps locked
        self._ready = False
        self._pid = os.getpid()

    @property
    def is_entered(self) -> bool:
        """Whether other incarnations can see this one."""
        return self._fd is not None

    def enter(self) -> None:
        """Create this incarnation's file, and delete those of dead ones; `OSError` if that is impossible."""
        self._folder.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)
        self._delete_dead()
        self._fd = self._create_locked_file()

    def heartbeat(self) -> None:
        """Write a heartbeat, into a new file if someone has removed it."""
        with contextlib.suppress(OSError):
            if self._fd is not None and os.fstat(self._fd).st_nlink == 0:
                os.close(self._fd)
                self._fd = None
            if self._fd is None:
                self.enter()
            else:
                os.pwrite(self._fd, self._encode_heartbeat(), 0)

    def mark_ready(self) -> None:
        """Tell the others that this incarnation can serve."""
        self._ready = True
        self.heartbeat()

    def leave(self) -> None:
        """Delete this incarnation's file, at the end of its process."""
        if self._fd is not None:
            with contextlib.suppress(OSError):
                self._path(self.number).unlink()
            os.close(self._fd)
            self._fd = None

    def others(self) -> list[int]:
        """The numbers of all other incarnations that have a file, dead ones too, oldest first."""
        try:
            names = [path.name for path in self._folder.iterdir()]
        except OSError:
            return []
        return sorted(int(name) for name in names if name.isdigit() and int(name) != self.number)

    def liveness(self, incarnation: int) -> Liveness:
        """Whether that incarnation is alive, stopped or dead."""
        return self.status(incarnation).liveness

    def has_successor(self) -> bool:
        """Whether a successor exists: a later incarnation that is alive and can serve."""
        return any(
            other > self.number and self.status(other) == (Liveness.ALIVE, True) for other in self.others()
        )

    def is_alone(self) -> bool:
        """Whether no other incarnation exists that may go on."""
        return all(self.liveness(other) is Liveness.DEAD for other in self.others())

    def _path(self, incarnation: int) -> Path:
        return self._folder / f"{incarnation:020d}"

    def _delete_dead(self) -> None:
        for incarnation in self.others():
            if self.liveness(incarnation) is Liveness.DEAD:
                with contextlib.suppress(OSError):
                    self._path(incarnation).unlink()

    def _create_locked_file(self) -> int:
        """Create and lock this incarnation's file; its descriptor.

        It is locked before it gets its name: without a lock, others would take this incarnation for dead.
        """
        unnamed = self._folder / f"new-{self._pid}-{self.number}"
        fd = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, _FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.pwrite(fd, self._encode_heartbeat(), 0)
            unnamed.rename(self._path(self.number))
        except OSError:
            os.close(fd)
            with contextlib.suppress(OSError):
                unnamed.unlink()
            raise
        return fd

    def _encode_heartbeat(self) -> bytes:
        unchecked = _HEARTBEAT.pack(_MAGIC, 0, clock.now(), self._pid, self._ready)
        checked = unchecked[_CHECKED_FROM:]
        return _MAGIC + crc32(checked).to_bytes(4, "little") + checked

    def status(self, incarnation: int) -> IncarnationStatus:
        """Read the status of an incarnation from its file and lock."""
        if incarnation == self.number:
            return IncarnationStatus(Liveness.ALIVE, self._ready)
        heartbeat = self._read_heartbeat(incarnation)
        if heartbeat is None:
            return IncarnationStatus(Liveness.DEAD, is_ready=False)
        is_whole = len(heartbeat) == _HEARTBEAT.size
        checksum = int.from_bytes(heartbeat[_CHECKSUM_AT:_CHECKED_FROM], "little")
        if not is_whole or crc32(heartbeat[_CHECKED_FROM:]) != checksum:
            return IncarnationStatus(Liveness.ALIVE, is_ready=False)  # it is being written just now
        _, _, written_at, _, is_ready = _HEARTBEAT.unpack(heartbeat)
        is_overdue = clock.now() - written_at > HEARTBEAT_TIMEOUT_US
        return IncarnationStatus(Liveness.STOPPED if is_overdue else Liveness.ALIVE, is_ready)

    def _read_heartbeat(self, incarnation: int) -> bytes | None:
        """The last heartbeat of an incarnation; None if it is dead: without a file, or without its lock."""
        try:
            fd = os.open(self._path(incarnation), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return None  # nobody holds the lock
        except OSError:
            return os.pread(fd, _HEARTBEAT.size, 0)
        finally:
            os.close(fd)
