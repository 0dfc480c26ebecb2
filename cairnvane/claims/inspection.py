"""Reads a claim log for the command line, in the same way as an incarnation does.

Nothing is changed, and servers may use the claim log at the same time.
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

# The longest time from the arrival of a request until it is read, assumed since no settings are available.
_MAX_READ_DELAY_US = 60_000_000
_CLAIM_LOG_PREFIX = "ledger"
# The number of digits of the boot id in the name of a claim log's folder.
_BOOT_ID_DIGITS = 8
# The size of a result record without the result.
_RESULT_OVERHEAD_BYTES = records.HEADER_BYTES + records.COMMON_BYTES + records.FINGERPRINT_BYTES


@dataclass(slots=True)
class ClaimLogReport:
    """The content of a claim log and the damage in it."""

    path: Path
    segments: int = 0
    bytes: int = 0
    records: int = 0
    damaged_segments: list[str] = field(default_factory=list)  # findings on segments with unreadable data
    tail_bytes: int = 0  # unreadable bytes at the end: a record being written, or one cut short by a kill
    foreign: list[str] = field(default_factory=list)  # files that are not segments
    table: ClaimTable = field(default_factory=lambda: ClaimTable(_MAX_READ_DELAY_US))
    incarnations: dict[int, Liveness] = field(default_factory=dict)

    @property
    def is_damaged(self) -> bool:
        """Whether records may be lost."""
        return bool(self.damaged_segments)

    def lines(self) -> list[str]:
        """Return the report as text, one finding per line."""
        lines = [f"damaged: {finding}" for finding in self.damaged_segments]
        lines += [f"foreign: {name}" for name in self.foreign]
        if self.tail_bytes:
            lines.append(f"torn: {self.tail_bytes} bytes at the end")
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
    """Return the folder itself if it is a claim log, else the claim logs in it."""
    if any(folder.glob(f"*{SEGMENT_SUFFIX}")):
        return [folder]
    return sorted(path for path in folder.glob(f"{_CLAIM_LOG_PREFIX}.*") if path.is_dir())


def inspect(path: Path) -> ClaimLogReport:
    """Read a claim log; raises `records.NewerVersionError` or `OSError`."""
    report = ClaimLogReport(path)
    folder = OsFolder(path)
    for number in folder.segment_numbers():
        with contextlib.closing(folder.open(number, create=False)) as segment:
            data = segment.read(0, segment.status().size)
        _add_segment(report, number, data)
    report.foreign = [file.name for file in path.iterdir() if file.suffix != SEGMENT_SUFFIX]
    report.incarnations = _read_incarnations(path)
    return report


def show(path: Path) -> Iterator[dict[str, str]]:
    """Read a claim log, and yield a row for each key; raises the same errors as `inspect`."""
    report = inspect(path)
    now = clock.now()
    boot_id = clock.boot_id() or "unknown"
    is_this_boot = path.name.rpartition(".")[2] == boot_id[:_BOOT_ID_DIGITS]
    for key, entry in report.table.entries.items():
        liveness = report.incarnations.get(entry.incarnation, Liveness.DEAD)
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


def _add_segment(report: ClaimLogReport, number: int, data: bytes) -> None:
    """Add the content of the next segment; raises `records.NewerVersionError`."""
    records.check_version(data)
    scan = records.scan(data)
    for offset, length, record in scan.records:
        report.table.apply(record, RecordLocation(number, offset, length))
    report.segments += 1
    report.bytes += len(data)
    report.records += len(scan.records)
    report.tail_bytes = len(data) - scan.used
    if scan.passed_over:
        report.damaged_segments.append(f"segment {number}: {scan.passed_over} bytes passed over")


def _read_incarnations(path: Path) -> dict[int, Liveness]:
    """Return the incarnations that use the claim log in this folder.

    Their files lie in a sibling folder if the claim log is in the folder of cached results, else in a folder
    for each server name in `$TMPDIR`.
    """
    incarnations_folder = path.parent / INCARNATIONS_FOLDER
    if not incarnations_folder.is_dir():
        server_name = path.name.rpartition(".")[0]
        incarnations_folder = path.parent.parent / INCARNATIONS_FOLDER / server_name
    incarnations = Incarnations(incarnations_folder)
    incarnations.number = 0  # the reader is not an incarnation
    return {number: incarnations.liveness(number) for number in incarnations.others()}


def _result_bytes(entry: Entry) -> int | None:
    """Return the size of a result; None if there is none."""
    if entry.result_location is None:
        return None
    return entry.result_location.length - _RESULT_OVERHEAD_BYTES
