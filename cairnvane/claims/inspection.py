"""What the command line does with a ledger: read it, as any life would, and say how it stands. Nothing is
changed, and servers may go on using it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from .. import clock
from . import records
from .claim_table import ClaimTable, Place
from .incarnations import LIVES, Incarnations, Liveness
from .storage import OsFolder

# A try is read so much later than it came at the most, where no settings tell.
_UNREAD_US = 60_000_000


@dataclass(slots=True)
class Found:
    """What a ledger holds."""

    path: Path
    segments: int = 0
    bytes: int = 0
    records: int = 0
    passed_over: list[str] = field(default_factory=list)
    tail: int = 0  # bytes at the end that no record can be read from: being written, or cut short by a kill
    foreign: list[str] = field(default_factory=list)
    machine: ClaimTable = field(default_factory=lambda: ClaimTable(_UNREAD_US))
    lives: dict[int, Liveness] = field(default_factory=dict)

    @property
    def wrong(self) -> bool:
        """A record may be lost."""
        return bool(self.passed_over)

    def lines(self) -> list[str]:
        """For people."""
        states: dict[str, int] = {}
        for entry in self.machine.entries.values():
            name = entry.state.name.lower()
            states[name] = states.get(name, 0) + 1
        keys = ", ".join(f"{count} {name}" for name, count in states.items()) or "none"
        vital = ", ".join(f"{life} {how.value}" for life, how in self.lives.items()) or "none"
        machine = self.machine
        return [
            *(f"damaged: {line}" for line in self.passed_over),
            *(f"foreign: {line}" for line in self.foreign),
            *([f"torn: {self.tail} bytes at the end"] if self.tail else []),
            f"ledger {self.path.name}: {self.segments} segments, {self.bytes:,} bytes, "
            f"{self.records:,} records; keys: {keys}",
            f"claims that came second: {machine.lost}; steps that can't follow: {machine.illegal}",
            f"lives: {vital}",
        ]


def ledgers(folder: Path) -> list[Path]:
    """The ledgers that this folder is or holds."""
    if any(folder.glob("*.ledger")):
        return [folder]
    return sorted(path for path in folder.glob("ledger.*") if path.is_dir())


def look(path: Path) -> Found:
    """Read one; `record.NewerVersion` or `OSError` if it can't be."""
    found = Found(path)
    folder = OsFolder(path)
    for number in folder.numbers():
        segment = folder.open(number, create=False)
        try:
            data = segment.read(0, segment.look()[0])
        finally:
            segment.close()
        records.check_version(data)
        told = records.scan(data)
        for offset, length, one in told.records:
            found.machine.take(one, Place(number, offset, length))
        found.segments += 1
        found.bytes += len(data)
        found.records += len(told.records)
        found.tail = len(data) - told.used
        if told.passed_over:
            found.passed_over.append(f"segment {number}: {told.passed_over} bytes passed over")
    found.foreign = [one.name for one in path.iterdir() if one.suffix != ".ledger"]
    beside = path.parent / LIVES
    name = path.name.rpartition(".")[0]
    lives = Incarnations(path.parent.parent / LIVES / name if not beside.is_dir() else beside)
    lives.life = 0
    found.lives = {life: lives.vital(life) for life in lives.others()}
    return found


def show(path: Path) -> Iterator[dict[str, str]]:
    """A row for each key."""
    found, now = look(path), clock.now()
    here = path.name.rpartition(".")[2] == (clock.boot() or "unknown")[:8]
    for token, entry in found.machine.entries.items():
        vital = found.lives.get(entry.life, Liveness.DEAD)
        row = {
            "token": token.hex(),
            "state": entry.state.name.lower(),
            "counts_for_s": f"{max(0, entry.until - now) / 1e6:.1f}" if here else "of an earlier boot",
            "life": str(entry.life),
            "life_is": vital.value,
        }
        if entry.place is not None:
            size = entry.place.length - records.HEAD_BYTES - records.COMMON_BYTES - records.DIGEST_BYTES
            row["result_bytes"] = str(size)
        yield row
