"""The shared folder of claims: one file a token, written once by the process that runs it.

A file holds a head line with the Unix time in milliseconds after which no try can repeat the run and the
digest of class and body, which all tries of one request have in common, and, once the run has ended, one
record with its outcome and result. It is created with O_EXCL, so of two processes that claim the same token
at once only one may run it. A record is believed only if its length holds: a reader may come in the middle
of the write.
"""

from __future__ import annotations

import contextlib
import heapq
import os
import tempfile
import threading
import time
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

# The folder for a name, in `$TMPDIR`.
FOLDER = "cairnvane-keys"
# Files of another process are looked over for their age so often; its own are removed by a heap.
SWEEP_OTHERS_S = 10.0
_HEAD = b"C %d %s\n"


class State(Enum):
    """What a look at a token finds."""

    NONE = "none"  # nobody claimed it: this process may run it
    MINE = "mine"  # this process claimed it, and knows it itself
    RUNNING = "running"  # another process claimed it, and its end is not written yet
    ENDED = "ended"  # another process ran it, to this end
    FORGED = "forged"  # another process claimed it for another class or body


@dataclass(frozen=True, slots=True)
class Found:
    """A look at a token."""

    state: State
    served: bool = False  # ENDED: with a result, which `result` is
    result: bytes = b""


NOT_FOUND, MINE, RUNNING, FORGED = map(Found, (State.NONE, State.MINE, State.RUNNING, State.FORGED))


class Claims:
    """One process's side of the folder. Safe to call from any thread."""

    def __init__(self, name: str, folder: Path | None = None) -> None:
        self._folder = (folder or Path(tempfile.gettempdir())) / FOLDER / name
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = threading.Lock()
        self._mine: dict[str, int] = {}  # token: Unix ms after which it is removed
        self._ends: list[tuple[int, str]] = []
        self._swept = time.monotonic()

    def _path(self, token: str) -> Path:
        return self._folder / token

    def claim(self, token: str, same: bytes, life_ms: int) -> bool:
        """Claim a run of this token, whose class and body have the digest `same`, for `life_ms` from now;
        False if another process has claimed it."""
        until = time.time_ns() // 1_000_000 + life_ms
        try:
            handle = os.open(self._path(token), os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        except FileExistsError:
            with self._lock:
                return token in self._mine  # its own claim, made again: the pool was told once more
        except OSError:
            return True  # the folder can't be had: this process serves as if alone
        try:
            os.write(handle, _HEAD % (until, same.hex().encode()))
        finally:
            os.close(handle)
        with self._lock:
            self._mine[token] = until
            heapq.heappush(self._ends, (until, token))
        return True

    def release(self, token: str) -> None:
        """The run of this process's claim provably never began: another try may run."""
        with self._lock:
            if self._mine.pop(token, None) is None:
                return
        with contextlib.suppress(OSError):
            self._path(token).unlink()

    def end(self, token: str, result: bytes | None) -> None:
        """The run of this process's claim has ended, with this result or (None) without one."""
        with self._lock:
            if token not in self._mine:
                return
        record = b"R %d %d\n" % (result is not None, len(result or b"")) + (result or b"")
        with contextlib.suppress(OSError):
            handle = os.open(self._path(token), os.O_WRONLY | os.O_APPEND)
            try:
                os.write(handle, record)
            finally:
                os.close(handle)

    def look(self, token: str, same: bytes) -> Found:
        """What this token is to this process, for a try whose class and body have the digest `same`."""
        with self._lock:
            if token in self._mine:
                return MINE
        try:
            data = self._path(token).read_bytes()
        except OSError:
            return NOT_FOUND
        head, whole, rest = data.partition(b"\n")
        if whole and head.rpartition(b" ")[2] != same.hex().encode():
            return FORGED
        record, newline, result = rest.partition(b"\n")
        parts = record.split(b" ")
        if not newline or len(parts) != 3 or parts[0] != b"R" or not parts[2].isdigit():
            return RUNNING
        if len(result) < int(parts[2]):
            return RUNNING  # still being written
        return Found(State.ENDED, parts[1] == b"1", result[: int(parts[2])])

    def sweep(self) -> None:
        """Remove what no try can repeat any more: this process's own by their ends, and now and then those
        of a process that is gone."""
        now = time.time_ns() // 1_000_000
        with self._lock:
            old = []
            while self._ends and self._ends[0][0] <= now:
                _, token = heapq.heappop(self._ends)
                if self._mine.pop(token, None) is not None:
                    old.append(token)
        for token in old:
            with contextlib.suppress(OSError):
                self._path(token).unlink()
        if time.monotonic() - self._swept < SWEEP_OTHERS_S:
            return
        self._swept = time.monotonic()
        with contextlib.suppress(OSError):
            for path in self._folder.iterdir():
                with self._lock:
                    if path.name in self._mine:
                        continue
                with contextlib.suppress(OSError, ValueError):
                    head = path.read_bytes().partition(b"\n")[0]
                    if int(head.split(b" ")[1]) <= now:
                        path.unlink()
