"""A model of a disk: it keeps synced data, and loses, tears or reorders the rest in a power cut.

It has the interface of the segment log's storage. It counts every step before which a real disk could be
interrupted, and can fail at one kind of step or lose power before a given step. `images` then yields the
contents that may be found.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field


class PowerCut(BaseException):
    """The machine has lost power. Not an `OSError`, since code on the machine cannot handle it."""


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""  # the content at the last sync

    def after_power_cut(self, outcome: str) -> bytes:
        """The content after a power cut with this outcome, one of `OUTCOMES`."""
        unsynced = len(self.data) - len(self.durable)
        if outcome == "kept" or unsynced <= 0:
            return bytes(self.data)
        if outcome == "half":
            return bytes(self.data[: len(self.durable) + unsynced // 2])
        if outcome == "zeros":  # the new length was written, the blocks were not
            return self.durable + bytes(unsynced)
        if outcome == "garbled":  # later blocks were written before earlier ones
            return self.durable + bytes(unsynced // 2) + bytes(self.data[len(self.durable) + unsynced // 2 :])
        return self.durable


# Possible results of a power cut for the unsynced part of a file.
OUTCOMES = ("lost", "kept", "half", "zeros", "garbled")


class Disk:
    """One folder on the simulated disk."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.steps = 0  # number of steps so far
        self.cut_at: int | None = None  # number of the step before which the power is cut
        self.fails: dict[str, int] = {}  # error number by kind of step
        self.gate = threading.Event()  # writes block until it is set
        self.gate.set()
        self._names = {name: _File(bytearray(data), data) for name, data in (files or {}).items()}
        # The directories that may be found after a power cut: one per change since the last sync of the
        # folder.
        self._directories: list[dict[str, _File]] = [dict(self._names)]
        self._locked = False

    def _step(self, kind: str) -> None:
        if self.cut_at is not None and self.steps >= self.cut_at:
            raise PowerCut
        self.steps += 1
        if kind in self.fails:
            raise OSError(self.fails[kind], f"{kind}: {errno.errorcode[self.fails[kind]]}")

    def images(self) -> Iterator[dict[str, bytes]]:
        """The contents that may be found after a power cut.

        Each possible directory is combined with one outcome for the unsynced parts of the files up to some
        name, and `kept` or `lost` for the files after it.
        """
        seen = set()
        for names in (self._directories[0], self._directories[-1], *self._directories[1:-1]):
            order = sorted(names)
            for outcome in OUTCOMES:
                for later_outcome in ("kept", "lost"):
                    for split in {0, len(order) // 2, len(order)}:
                        image = {
                            name: names[name].after_power_cut(outcome if position < split else later_outcome)
                            for position, name in enumerate(order)
                        }
                        key = tuple(sorted(image.items()))
                        if key not in seen:
                            seen.add(key)
                            yield image

    def content(self) -> dict[str, bytes]:
        """All files as a process sees them."""
        return {name: bytes(file.data) for name, file in self._names.items()}

    def make(self) -> None:
        """Do nothing: the folder always exists."""

    def lock(self) -> None:
        """Take the lock of the folder."""
        self._step("lock")
        self._locked = True

    def unlock(self) -> None:
        """Release the lock."""
        self._locked = False

    def names(self) -> list[str]:
        """Names of all files."""
        return list(self._names)

    def size(self, name: str) -> int:
        """Size of a file in bytes."""
        return len(self._get(name).data)

    def _get(self, name: str) -> _File:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, name)
        return self._names[name]

    def create(self, name: str) -> Handle:
        """Create a file for writing; `FileExistsError` if it exists."""
        self._step("create")
        if name in self._names:
            raise FileExistsError(errno.EEXIST, name)
        self._names[name] = _File()
        self._changed()
        return Handle(self, self._names[name])

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Up to `length` bytes from `offset` on."""
        if "read" in self.fails:
            raise OSError(self.fails["read"], "read")
        return bytes(self._get(name).data[offset : offset + length])

    def cut(self, name: str, size: int) -> None:
        """Truncate a file."""
        self._step("cut")
        file = self._get(name)
        del file.data[size:]
        file.durable = file.durable[:size]

    def replace(self, name: str, by: str) -> None:
        """Rename file `by` to this name, replacing the file that had it."""
        self._step("replace")
        self._names[name] = self._names.pop(by)
        self._changed()

    def remove(self, name: str) -> None:
        """Delete a file."""
        self._step("remove")
        self._get(name)
        del self._names[name]
        self._changed()

    def _changed(self) -> None:
        self._directories.append(dict(self._names))

    def sync_folder(self) -> None:
        """Make the directory durable."""
        self._step("sync_folder")
        self._directories = [dict(self._names)]


class Handle:
    """A file on the simulated disk that is open for writing."""

    def __init__(self, disk: Disk, file: _File) -> None:
        self._disk, self._file = disk, file

    def write(self, data: bytes) -> None:
        """Append data; a failed write has appended half of it."""
        self._disk.gate.wait()
        try:
            self._disk._step("write")
        except (OSError, PowerCut):
            self._file.data += data[: len(data) // 2]
            raise
        self._file.data += data

    def sync(self) -> None:
        """Make the content durable. A failed sync loses it, although it can still be read."""
        self._disk._step("sync")
        self._file.durable = bytes(self._file.data)

    def close(self) -> None:
        """Close the file: nothing to do."""
