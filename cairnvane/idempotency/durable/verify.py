"""The commands on the folder of a durable log: `verify`, `show` and `compact`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ... import clock
from ...claims import states
from ...claims.states import KeyState, Step
from . import records
from .index import BYTES_PER_ENTRY, Index
from .segment_log import Owner, SegmentLog
from .segment_reader import Report, read_header, read_records, segment_names
from .storage import OsFiles, boot_id

# Sized for 4 million keys, since the number of keys in a folder is not known before it is read. The system
# provides the memory only as the index fills.
_INDEX_BYTES = 4_000_000 * BYTES_PER_ENTRY
# The longest time between the arrival of a duplicate and its being read, as there are no settings here.
MAX_READ_DELAY_US = 60_000_000


@dataclass(slots=True)
class VerificationReport:
    """The findings of `verify`."""

    report: Report = field(default_factory=Report)
    records: int = 0
    illegal: list[str] = field(default_factory=list)
    keys: dict[str, int] = field(default_factory=dict)

    @property
    def is_damaged(self) -> bool:
        """Whether a record may be lost."""
        return bool(self.report.damaged or self.report.foreign or self.illegal)

    def lines(self) -> list[str]:
        """The report as lines of text."""
        report = self.report
        named = [
            ("damaged", report.damaged),
            ("torn", report.torn),
            ("foreign", report.foreign),
            ("illegal", self.illegal),
        ]
        kinds = ", ".join(f"{count} {kind}" for kind, count in self.keys.items()) or "none"
        return [
            *(f"{kind}: {line}" for kind, lines in named for line in lines),
            f"{report.segments} segments, {report.bytes:,} bytes, {self.records:,} records; keys: {kinds}",
            "a record may be lost" if self.is_damaged else "good",
        ]


@dataclass(slots=True)
class _Key:
    """The state of a key after the records read so far."""

    state: KeyState
    header: records.Header  # of the segment of its last record
    recorded_at: int  # the time of its last record
    expires_at: int
    detail: dict[str, str]  # further columns of `show`


def _read_keys(files: OsFiles, verification: VerificationReport) -> dict[bytes, _Key]:
    """The state of every key, expired or not."""
    keys: dict[bytes, _Key] = {}
    for number, name in segment_names(files):
        header = read_header(files, number, name, verification.report)
        if header is None:
            continue
        end_offset = records.HEADER_BYTES
        damages = []
        for item in read_records(files, name, header):
            if isinstance(item, records.Damage):
                damages.append(item)
                continue
            kind, offset, payload = item
            verification.records += 1
            end_offset = offset + records.HEAD_BYTES + len(payload)
            _apply(keys, header, records.parse_record(kind, payload), verification)
        verification.report.add_damage(name, damages, end_offset)
    return keys


def _apply(
    keys: dict[bytes, _Key], header: records.Header, record: records.Record, verification: VerificationReport
) -> None:
    """Update the state of the record's key."""
    if record.step is Step.LINK:
        return
    previous = keys.get(record.key)
    state = KeyState.UNKNOWN if previous is None else previous.state
    # A key may be used again once it has expired.
    if (
        previous is not None
        and previous.header.boot == header.boot
        and previous.expires_at <= record.recorded_at
    ):
        previous = None
        state = KeyState.AGED
    try:
        next_state = states.advance(state, record.step)
    except states.IllegalStepError as error:
        verification.illegal.append(f"{record.key.hex()}: {error}")
        return
    detail = _detail(record, {} if previous is None else previous.detail)
    keys[record.key] = _Key(next_state, header, record.recorded_at, record.expires_at, detail)


def _detail(record: records.Record, previous: dict[str, str]) -> dict[str, str]:
    """The columns of `show` that depend on the records of the key."""
    if record.step is Step.INTENT:
        start = records.parse_start(record.own_part)
        return {"uid": start.uid, "class": start.class_name}
    if record.step is Step.RESULT:
        return previous | {"result_bytes": str(len(records.parse_end(record.own_part).result))}
    return previous


def verify(files: OsFiles) -> VerificationReport:
    """Read all segments. Changes nothing, and may run while a server uses the folder."""
    verification = VerificationReport()
    for key in _read_keys(files, verification).values():
        name = key.state.name.lower()
        verification.keys[name] = verification.keys.get(name, 0) + 1
    return verification


def show(files: OsFiles) -> Iterator[dict[str, str]]:
    """Yield a row for each key, oldest first."""
    now = clock.now()
    boot = boot_id()
    for token, key in _read_keys(files, VerificationReport()).items():
        is_this_boot = key.header.boot == boot
        time_left = f"{max(0, key.expires_at - now) / 1e6:.1f}" if is_this_boot else "of an earlier boot"
        unix_s = key.header.unix_ms / 1e3 + (key.recorded_at - key.header.at) / 1e6
        yield {
            "token": token.hex(),
            "state": key.state.name.lower(),
            "at_unix_s": f"{unix_s:.3f}",
            "counts_for_s": time_left,
            **key.detail,
        }


def compact(files: OsFiles) -> tuple[int, int]:
    """Drop expired segments and rewrite the others without dead records; returns the bytes before and after.

    A file that is not a segment is not changed, as when a server runs.
    """
    headers = (read_header(files, number, name, Report()) for number, name in segment_names(files))
    first = next((header for header in headers if header is not None), None)
    if first is None:
        return 0, 0
    files.lock()
    try:
        now = clock.now()
        index = Index(_INDEX_BYTES)
        log = SegmentLog(
            files,
            Owner(first.name, boot_id()),
            max_disk_bytes=1 << 40,
            power=True,
            max_read_delay_us=MAX_READ_DELAY_US,
        )
        log.recover(index, now)
        before = log.size
        log.drop(now)
        for number in list(log.segments):
            for _ in log.compact(number, index, now):
                pass
        return before, log.size
    finally:
        files.unlock()
