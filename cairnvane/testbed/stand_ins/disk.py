"""A model of a disk: it keeps what was synced, and loses, tears or reorders the rest when the power goes.

It is a `keyed.store.Folder`. Every step that a real disk could be stopped before is counted; the model can
be told to fail at one of them, or to lose its power there. After that, `images` are the disks that may be
found.
"""

from __future__ import annotations

import errno
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field


class PowerCut(BaseException):
    """The machine is gone. No `OSError`: nothing that runs on it gets to know."""


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""  # what a sync has promised

    def torn(self, how: str) -> bytes:
        """What may be found of it."""
        lost = len(self.data) - len(self.durable)
        if how == "kept" or lost <= 0:
            return bytes(self.data)
        if how == "half":
            return bytes(self.data[: len(self.durable) + lost // 2])
        if how == "zeros":  # the length was written, the blocks were not
            return self.durable + bytes(lost)
        if how == "garbled":  # the blocks were written in another order
            return self.durable + bytes(lost // 2) + bytes(self.data[len(self.durable) + lost // 2 :])
        return self.durable


TEARS = ("lost", "kept", "half", "zeros", "garbled")


class Disk:
    """One folder on the model."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.steps = 0  # that have been taken
        self.cut_at: int | None = None  # the power goes before this one
        self.fails: dict[str, int] = {}  # the error number of each kind of step, while it fails
        self.gate = threading.Event()  # a slow disk holds every write until this is set
        self.gate.set()
        self._names = {name: _File(bytearray(data), data) for name, data in (files or {}).items()}
        # The names as they may be found: one set for each change since the folder was last synced.
        self._found: list[dict[str, _File]] = [dict(self._names)]
        self._locked = False

    def _step(self, kind: str) -> None:
        if self.cut_at is not None and self.steps >= self.cut_at:
            raise PowerCut
        self.steps += 1
        if kind in self.fails:
            raise OSError(self.fails[kind], f"{kind}: {errno.errorcode[self.fails[kind]]}")

    def images(self) -> Iterator[dict[str, bytes]]:
        """What may be found when the power is back: any of the names' states, each with the unsynced parts of
        its files lost, kept or torn, and the files one way before and another behind each of them."""
        seen = set()
        for names in (self._found[0], self._found[-1], *self._found[1:-1]):
            order = sorted(names)
            for how in TEARS:
                for other in ("kept", "lost"):
                    for split in {0, len(order) // 2, len(order)}:
                        image = {
                            name: names[name].torn(how if at < split else other)
                            for at, name in enumerate(order)
                        }
                        key = tuple(sorted(image.items()))
                        if key not in seen:
                            seen.add(key)
                            yield image

    def content(self) -> dict[str, bytes]:
        """All files as a process sees them."""
        return {name: bytes(file.data) for name, file in self._names.items()}

    def make(self) -> None:
        """It is there."""

    def lock(self) -> None:
        """Own it."""
        self._step("lock")
        self._locked = True

    def unlock(self) -> None:
        """Let go of it."""
        self._locked = False

    def names(self) -> list[str]:
        """What is in it."""
        return list(self._names)

    def size(self, name: str) -> int:
        """In bytes."""
        return len(self._get(name).data)

    def _get(self, name: str) -> _File:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, name)
        return self._names[name]

    def create(self, name: str) -> Handle:
        """A new file."""
        self._step("create")
        if name in self._names:
            raise FileExistsError(errno.EEXIST, name)
        self._names[name] = _File()
        self._changed()
        return Handle(self, self._names[name])

    def read(self, name: str, offset: int, length: int) -> bytes:
        """As many of these bytes as there are."""
        if "read" in self.fails:
            raise OSError(self.fails["read"], "read")
        return bytes(self._get(name).data[offset : offset + length])

    def cut(self, name: str, size: int) -> None:
        """Shorten a file."""
        self._step("cut")
        file = self._get(name)
        del file.data[size:]
        file.durable = file.durable[:size]

    def replace(self, name: str, by: str) -> None:
        """Give file `by` this name."""
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
        self._found.append(dict(self._names))

    def sync_folder(self) -> None:
        """The names are safe."""
        self._step("sync_folder")
        self._found = [dict(self._names)]


class Handle:
    """A file on the model that is being written."""

    def __init__(self, disk: Disk, file: _File) -> None:
        self._disk, self._file = disk, file

    def write(self, data: bytes) -> None:
        """Append; a write that fails has written half."""
        self._disk.gate.wait()
        try:
            self._disk._step("write")
        except (OSError, PowerCut):
            self._file.data += data[: len(data) // 2]
            raise
        self._file.data += data

    def sync(self) -> None:
        """What was written is safe. One that fails has lost it, though a reader may not see that."""
        self._disk._step("sync")
        self._file.durable = bytes(self._file.data)

    def close(self) -> None:
        """No more is written."""
