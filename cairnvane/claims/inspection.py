"""What the command line shows of a claim log: its segments read as any incarnation would, and its state.

Nothing is changed, and servers may go on using it.
"""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from .. import clock
from . import records
from .claim_table import ClaimTable, Entry, RecordLocation
from .incarnations import INCARNATIONS_FOLDER, Incarnations, Liveness
from .storage import SEGMENT_SUFFIX, OsFolder

# How much later than its arrival a request is read at the most, where no settings say so.
_MAX_READ_DELAY_US = 60_000_000
_FOLDER_PREFIX = "ledger"
# So many digits of the boot id stand in the name of a claim log's folder.
_BOOT_ID_DIGITS = 8
# What a record of a result holds beside the result.
_RESULT_OVERHEAD_BYTES = records.HEAD_BYTES + records.COMMON_BYTES + records.FINGERPRINT_BYTES


@dataclass(slots=True)
class ClaimLogReport:
    """What a claim log holds."""

    path: Path
    segments: int = 0
    bytes: int = 0
    records: int = 0
    passed_over: list[str] = field(default_factory=list)  # segments with data that no record was read from
    tail: int = 0  # unreadable bytes at the end: being written, or cut short by a kill
    foreign: list[str] = field(default_factory=list)  # files that are no segments
    table: ClaimTable = field(default_factory=lambda: ClaimTable(_MAX_READ_DELAY_US))
    incarnations: dict[int, Liveness] = field(default_factory=dict)

    @property
    def is_damaged(self) -> bool:
        """Whether a record may be lost."""
        return bool(self.passed_over)

    def lines(self) -> list[str]:
        """A report for people, one finding a line."""
        lines = [f"damaged: {finding}" for finding in self.passed_over]
        lines += [f"foreign: {name}" for name in self.foreign]
        if self.tail:
            lines.append(f"torn: {self.tail} bytes at the end")
        lines.append(
            f"ledger {self.path.name}: {self.segments} segments, {self.bytes:,} bytes, "
            f"{self.records:,} records; keys: {self._key_counts()}"
        )
        lines.append(
            f"claims that came second: {self.table.rejected_claims}; "
            f"steps that can't follow: {self.table.illegal_steps}"
        )
        lines.append(f"lives: {self._incarnation_list()}")
        return lines

    def _key_counts(self) -> str:
        counts = Counter(entry.state.name.lower() for entry in self.table.entries.values())
        return ", ".join(f"{count} {state}" for state, count in counts.items()) or "none"

    def _incarnation_list(self) -> str:
        statuses = (f"{number} {liveness.value}" for number, liveness in self.incarnations.items())
        return ", ".join(statuses) or "none"


def claim_log_folders(folder: Path) -> list[Path]:
    """The folders of the claim logs that this folder is or holds."""
    if any(folder.glob(f"*{SEGMENT_SUFFIX}")):
        return [folder]
    return sorted(path for path in folder.glob(f"{_FOLDER_PREFIX}.*") if path.is_dir())


def inspect(path: Path) -> ClaimLogReport:
    """Read a claim log; `records.NewerVersionError` or `OSError` if that is impossible."""
    found = ClaimLogReport(path)
    folder = OsFolder(path)
    for number in folder.segment_numbers():
        with contextlib.closing(folder.open(number, create=False)) as segment:
            data = segment.read(0, segment.status().size)
        _add_segment(found, number, data)
    found.foreign = [file.name for file in path.iterdir() if file.suffix != SEGMENT_SUFFIX]
    found.incarnations = _read_incarnations(path)
    return found


def show(path: Path) -> Iterator[dict[str, str]]:
    """Read a claim log, and yield a row for each key; errors as of `look`."""
    found = inspect(path)
    now = clock.now()
    boot_id = clock.boot_id() or "unknown"
    is_this_boot = path.name.rpartition(".")[2] == boot_id[:_BOOT_ID_DIGITS]
    for key, entry in found.table.entries.items():
        liveness = found.incarnations.get(entry.incarnation, Liveness.DEAD)
        remaining_s = f"{max(0, entry.expires_at - now) / 1e6:.1f}"
        row = {
            "token": key.hex(),
            "state": entry.state.name.lower(),
            "counts_for_s": remaining_s if is_this_boot else "of an earlier boot",
            "life": str(entry.incarnation),
            "life_is": liveness.value,
        }
        result_bytes = _result_bytes(entry)
        if result_bytes is not None:
            row["result_bytes"] = str(result_bytes)
        yield row


def _add_segment(found: ClaimLogReport, number: int, data: bytes) -> None:
    """Add the content of the next segment; `records.NewerVersionError`."""
    records.check_version(data)
    scan = records.scan(data)
    for offset, length, record in scan.records:
        found.table.apply(record, RecordLocation(number, offset, length))
    found.segments += 1
    found.bytes += len(data)
    found.records += len(scan.records)
    found.tail = len(data) - scan.used
    if scan.passed_over:
        found.passed_over.append(f"segment {number}: {scan.passed_over} bytes passed over")


def _read_incarnations(path: Path) -> dict[int, Liveness]:
    """The incarnations that use the claim log in this folder.

    Their files lie beside the folder if it is in the folder of cached results, else in a folder for each
    server name in `$TMPDIR`.
    """
    incarnations_folder = path.parent / INCARNATIONS_FOLDER
    if not incarnations_folder.is_dir():
        server_name = path.name.rpartition(".")[0]
        incarnations_folder = path.parent.parent / INCARNATIONS_FOLDER / server_name
    incarnations = Incarnations(incarnations_folder)
    incarnations.number = 0  # a reader is none of them
    return {number: incarnations.liveness(number) for number in incarnations.others()}


def _result_bytes(entry: Entry) -> int | None:
    """The size of a result; None if there is none."""
    if entry.result_location is None:
        return None
    return entry.result_location.length - _RESULT_OVERHEAD_BYTES
