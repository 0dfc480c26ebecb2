"""Detects which incarnations of this bid server are alive, stopped or dead, and which of them can serve.

Each incarnation has a locked file, into which it writes a heartbeat once a second. The kernel releases the
lock when the process ends for any reason. An incarnation that holds its lock but has written no heartbeat for
`HEARTBEAT_TIMEOUT_US` is stopped, for example by a debugger, a SIGSTOP or a paused machine. Its runs may
still end.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import threading
import time
from enum import Enum
from pathlib import Path
from typing import NamedTuple
from zlib import crc32

from .. import clock

# The folder of the incarnations' files. It lies in `$TMPDIR` with a subfolder for each server name, or in the
# folder of cached results.
INCARNATIONS_FOLDER = "cairnvane-lives"
HEARTBEAT_INTERVAL_S = 1.0
# An incarnation whose last heartbeat is older than this is taken for stopped: it has missed five heartbeats.
HEARTBEAT_TIMEOUT_US = 5_000_000
_FILE_MODE = 0o600
_FOLDER_MODE = 0o700
_HEARTBEAT = struct.Struct("<4sIQI?3x")  # magic, checksum of the rest, time, process id, whether it can serve
_MAGIC = b"CVA1"
_CHECKSUM_OFFSET = len(_MAGIC)
_CHECKED_START = 8  # the checksum covers the heartbeat from this offset on
# What `publish` wrote stands from this offset on, in parts of equal size. Earlier versions know only the
# heartbeat.
_PUBLISHED_OFFSET = 64
_MAX_PUBLISHED_BYTES = 256
_PUBLISHED_HEADER = struct.Struct("<4sII")  # magic, checksum and size
_PUBLISHED_MAGIC = b"CVP1"


class Liveness(Enum):
    """The state of an incarnation, as other processes see it."""

    ALIVE = "alive"
    STOPPED = "stopped"  # it may continue at any moment
    DEAD = "dead"


class PublishedPart(Enum):
    """What an incarnation publishes; the values are places in its file."""

    CALLS = 0
    CONNECTIONS = 1

    @property
    def offset(self) -> int:
        """The offset in the file."""
        return _PUBLISHED_OFFSET + int(self.value) * _MAX_PUBLISHED_BYTES


def _published_checksum(content: bytes) -> int:
    """The checksum of published content and its size; without the size, an empty one would be valid."""
    return crc32(content, crc32(len(content).to_bytes(4, "little")))


def _decode_published(data: bytes) -> bytes | None:
    """Decode published content; None if it is incomplete or being written."""
    if len(data) < _PUBLISHED_HEADER.size:
        return None
    magic, checksum, size = _PUBLISHED_HEADER.unpack_from(data)
    content = data[_PUBLISHED_HEADER.size : _PUBLISHED_HEADER.size + size]
    is_whole = magic == _PUBLISHED_MAGIC and len(content) == size
    is_whole = is_whole and _published_checksum(content) == checksum
    return content if is_whole else None


class IncarnationStatus(NamedTuple):
    """The status of an incarnation, as read from its file and lock."""

    liveness: Liveness
    is_ready: bool  # it can serve


class Incarnations:
    """Maintains this incarnation's file and reads those of the others. Safe to call from any thread."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        # The number of this incarnation. Later ones have higher numbers, since all use the machine's clock.
        self.number = time.monotonic_ns()
        self._fd: int | None = None  # the descriptor of this incarnation's locked file
        self._fd_lock = threading.RLock()  # guards it, so that it is not closed while another thread writes
        self._published: dict[PublishedPart, bytes] = {}
        self._is_ready = False
        self._is_marked_ready = False  # the heartbeat that says so has been written, or can't be
        self._pid = os.getpid()

    @property
    def folder(self) -> Path:
        """The folder of the incarnations' files."""
        return self._folder

    @property
    def is_entered(self) -> bool:
        """Whether other incarnations can see this one."""
        return self._fd is not None

    @property
    def is_marked_ready(self) -> bool:
        """Whether `mark_ready` has been completed."""
        return self._is_marked_ready

    def enter(self) -> None:
        """Create this incarnation's file, and delete those of dead incarnations; raises `OSError`."""
        with self._fd_lock:
            self._folder.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)
            self._delete_files_of_dead()
            self._fd = self._create_locked_file()

    def publish(self, part: PublishedPart, content: bytes) -> None:
        """Let the other incarnations read this content, in place of what this part held before."""
        checksum = _published_checksum(content)
        data = _PUBLISHED_HEADER.pack(_PUBLISHED_MAGIC, checksum, len(content)) + content
        with self._fd_lock, contextlib.suppress(OSError):
            self._published[part] = data
            if self._fd is not None:
                os.pwrite(self._fd, data, part.offset)

    def published(self, incarnation: int, part: PublishedPart) -> bytes | None:
        """Return what that incarnation has published.

        None if it has published nothing, is just doing so, or has no file.
        """
        try:
            fd = os.open(self._path(incarnation), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            data = os.pread(fd, _MAX_PUBLISHED_BYTES, part.offset)
        except OSError:
            return None
        finally:
            os.close(fd)
        return _decode_published(data)

    def heartbeat(self) -> None:
        """Write a heartbeat; if the file was removed, create it again."""
        with self._fd_lock, contextlib.suppress(OSError):
            if self._fd is not None and os.fstat(self._fd).st_nlink == 0:
                os.close(self._fd)
                self._fd = None
            if self._fd is None:
                self.enter()
            else:
                os.pwrite(self._fd, self._encode_heartbeat(), 0)

    def mark_ready(self) -> None:
        """Publish to the other incarnations that this one can serve."""
        self._is_ready = True
        self.heartbeat()
        self._is_marked_ready = True

    def leave(self) -> None:
        """Delete this incarnation's file. Called when the process ends."""
        with self._fd_lock:
            if self._fd is None:
                return
            with contextlib.suppress(OSError):
                self._path(self.number).unlink()
            os.close(self._fd)
            self._fd = None

    def others(self) -> list[int]:
        """Return the numbers of all other incarnations that have a file, also of dead ones, oldest first."""
        try:
            file_names = [path.name for path in self._folder.iterdir()]
        except OSError:
            return []
        return sorted(int(name) for name in file_names if name.isdigit() and int(name) != self.number)

    def liveness(self, incarnation: int) -> Liveness:
        """Return whether that incarnation is alive, stopped or dead."""
        return self.status(incarnation).liveness

    def has_successor(self) -> bool:
        """Whether a successor exists: a later incarnation that is alive and can serve."""
        return any(
            other > self.number and self.status(other) == (Liveness.ALIVE, True) for other in self.others()
        )

    def living_others(self) -> list[int]:
        """Return the numbers of the other incarnations that are not dead, oldest first."""
        return [other for other in self.others() if self.liveness(other) is not Liveness.DEAD]

    def is_alone(self) -> bool:
        """Whether all other incarnations are dead; a stopped one may continue."""
        return not self.living_others()

    def _path(self, incarnation: int) -> Path:
        return self._folder / f"{incarnation:020d}"

    def _delete_files_of_dead(self) -> None:
        for incarnation in self.others():
            if self.liveness(incarnation) is Liveness.DEAD:
                with contextlib.suppress(OSError):
                    self._path(incarnation).unlink()

    def _create_locked_file(self) -> int:
        """Create and lock this incarnation's file; return its descriptor.

        The file is locked before it gets its final name, since others take an incarnation whose file is not
        locked for dead.
        """
        temporary_path = self._folder / f"new-{self._pid}-{self.number}"
        fd = os.open(temporary_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, _FILE_MODE)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.pwrite(fd, self._encode_heartbeat(), 0)
            for part, data in self._published.items():
                os.pwrite(fd, data, part.offset)
            temporary_path.rename(self._path(self.number))
        except OSError:
            os.close(fd)
            with contextlib.suppress(OSError):
                temporary_path.unlink()
            raise
        return fd

    def _encode_heartbeat(self) -> bytes:
        packed = _HEARTBEAT.pack(_MAGIC, 0, clock.now(), self._pid, self._is_ready)
        checked_bytes = packed[_CHECKED_START:]
        return _MAGIC + crc32(checked_bytes).to_bytes(4, "little") + checked_bytes

    def status(self, incarnation: int) -> IncarnationStatus:
        """Read the status of an incarnation from its file and lock."""
        if incarnation == self.number:
            return IncarnationStatus(Liveness.ALIVE, self._is_ready)
        heartbeat = self._read_heartbeat(incarnation)
        if heartbeat is None:
            return IncarnationStatus(Liveness.DEAD, is_ready=False)
        is_whole = len(heartbeat) == _HEARTBEAT.size
        checksum = int.from_bytes(heartbeat[_CHECKSUM_OFFSET:_CHECKED_START], "little")
        if not is_whole or crc32(heartbeat[_CHECKED_START:]) != checksum:
            return IncarnationStatus(Liveness.ALIVE, is_ready=False)  # it is being written just now
        _, _, written_at, _, is_ready = _HEARTBEAT.unpack(heartbeat)
        is_overdue = clock.now() - written_at > HEARTBEAT_TIMEOUT_US
        return IncarnationStatus(Liveness.STOPPED if is_overdue else Liveness.ALIVE, is_ready)

    def _read_heartbeat(self, incarnation: int) -> bytes | None:
        """Return the last heartbeat of an incarnation; None if it is dead: no file, or no lock on it."""
        try:
            fd = os.open(self._path(incarnation), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return None  # the lock is free
        except OSError:
            return os.pread(fd, _HEARTBEAT.size, 0)
        finally:
            os.close(fd)
