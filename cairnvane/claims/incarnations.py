"""Which processes of this bid server there are: alive, stopped or dead, and who can serve.

Each life has a file with a lock that falls with the process, whatever ended it, and says in it once a second
that it is well. A life that holds its lock and has said nothing for `LEASE_US` is stopped: a debugger, a
SIGSTOP, a machine that pauses. What it holds may still end.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import time
from enum import Enum
from pathlib import Path
from zlib import crc32

from .. import clock

# The folder of the lives' files: in `$TMPDIR` with one for each name in it, or in the folder of kept results.
LIVES = "cairnvane-lives"
# A life speaks up this often, and is taken for stopped after so long without a word: five of them missed.
BEAT_S = 1.0
LEASE_US = 5_000_000
_WORD = struct.Struct("<4sIQI?3x")  # magic, checksum of the rest, when, pid, whether it can serve
_MAGIC, _CHECKED_AT = b"CVA1", 8


class Liveness(Enum):
    """What can be told of a life from outside."""

    ALIVE = "alive"
    STOPPED = "stopped"  # it may go on at any moment
    DEAD = "dead"


class Incarnations:
    """This life's file, and a look at the others'. Safe to call from any thread."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.life = time.monotonic_ns()  # its number; a later life's is higher, as the clock is the machine's
        self._fd: int | None = None
        self._ready = False
        self._pid = os.getpid()

    def _path(self, life: int) -> Path:
        return self._folder / f"{life:020d}"

    def enter(self) -> None:
        """Be one of them; `OSError` if the folder can't be had."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        for life in self.others():  # what a dead life left is of no use to anyone
            if self.vital(life) is Liveness.DEAD:
                with contextlib.suppress(OSError):
                    self._path(life).unlink()
        # Locked before it has its name: nobody may meet it without a lock and take it for dead.
        unnamed = self._folder / f"new-{self._pid}-{self.life}"
        fd = os.open(unnamed, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.pwrite(fd, self._word(), 0)
            os.rename(unnamed, self._path(self.life))
        except OSError:
            os.close(fd)
            with contextlib.suppress(OSError):
                unnamed.unlink()
            raise
        self._fd = fd

    def _word(self) -> bytes:
        rest = _WORD.pack(_MAGIC, 0, clock.now(), self._pid, self._ready)[_CHECKED_AT:]
        return _MAGIC + crc32(rest).to_bytes(4, "little") + rest

    @property
    def entered(self) -> bool:
        """Other lives can see this one."""
        return self._fd is not None

    def beat(self) -> None:
        """Say that this life is well, and take its place anew if someone has removed it."""
        with contextlib.suppress(OSError):
            if self._fd is not None and os.fstat(self._fd).st_nlink == 0:
                os.close(self._fd)
                self._fd = None
            if self._fd is None:
                self.enter()
            else:
                os.pwrite(self._fd, self._word(), 0)

    def ready(self) -> None:
        """This life can serve."""
        self._ready = True
        self.beat()

    def others(self) -> list[int]:
        """Lives that have a file, whether they are alive or not."""
        try:
            names = os.listdir(self._folder)
        except OSError:
            return []
        return sorted(int(name) for name in names if name.isdigit() and int(name) != self.life)

    def vital(self, life: int) -> Liveness:
        """How that life is."""
        return self._look(life)[0]

    def _look(self, life: int) -> tuple[Liveness, bool]:
        """How that life is, and whether it can serve."""
        if life == self.life:
            return Liveness.ALIVE, self._ready
        try:
            fd = os.open(self._path(life), os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return Liveness.DEAD, False
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            return Liveness.DEAD, False  # nobody holds it
        except OSError:
            word = os.pread(fd, _WORD.size, 0)
        finally:
            os.close(fd)
        if len(word) < _WORD.size or crc32(word[_CHECKED_AT:]) != int.from_bytes(word[4:8], "little"):
            return Liveness.ALIVE, False  # it is speaking just now
        _, _, at, _, ready = _WORD.unpack(word)
        return (Liveness.STOPPED if clock.now() - at > LEASE_US else Liveness.ALIVE), ready

    def heir(self) -> bool:
        """Whether a later life is there, is well, and can serve."""
        return any(life > self.life and self._look(life) == (Liveness.ALIVE, True) for life in self.others())

    def alone(self) -> bool:
        """Whether no other life is there that may go on."""
        return all(self.vital(life) is Liveness.DEAD for life in self.others())

    def leave(self) -> None:
        """On the way out."""
        if self._fd is not None:
            with contextlib.suppress(OSError):
                self._path(self.life).unlink()
            os.close(self._fd)
            self._fd = None
