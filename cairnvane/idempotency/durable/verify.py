"""What the command line does with a folder of a durable log: `verify`, `show` and `compact`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ... import clock
from ...claims import states
from ...claims.states import KeyState, Step
from . import records
from .index import BYTES_PER_ENTRY, Index
from .segment_log import Owner, SegmentLog
from .segment_reader import Report, blocks, read_segment, segment_names
from .storage import OsFiles, boot_id

# How many keys a folder holds is not known before it is read. Memory is touched only as the index fills.
_INDEX_BYTES = 4_000_000 * BYTES_PER_ENTRY
# How much later than it arrived a duplicate may be read, where no settings say so.
MAX_READ_DELAY_US = 60_000_000


@dataclass(slots=True)
class VerificationReport:
    """What `verify` has found."""

    report: Report = field(default_factory=Report)
    records: int = 0
    illegal: list[str] = field(default_factory=list)
    keys: dict[str, int] = field(default_factory=dict)

    @property
    def is_damaged(self) -> bool:
        """Whether a record may be lost."""
        return bool(self.report.damaged or self.report.foreign or self.illegal)

    def lines(self) -> list[str]:
        """The report, for people."""
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
    at: int  # when its last record was made
    until: int
    detail: dict[str, str]


def _read(files: OsFiles, found: VerificationReport) -> dict[bytes, _Key]:
    """The state of every key, expired or not."""
    keys: dict[bytes, _Key] = {}
    for number, name in segment_names(files):
        header = read_segment(files, number, name, found.report)
        if header is None:
            continue
        end = records.HEADER_BYTES
        damages = []
        for item in blocks(files, name, header):
            if isinstance(item, records.Damage):
                damages.append(item)
                continue
            kind, offset, payload = item
            found.records += 1
            end = offset + records.HEAD_BYTES + len(payload)
            _apply(keys, header, records.parse_record(kind, payload), found)
        found.report.take(name, damages, end)
    return keys


def _apply(
    keys: dict[bytes, _Key], header: records.Header, record: records.Record, found: VerificationReport
) -> None:
    """Apply a record to the state of its key."""
    if record.step is Step.LINK:
        return
    previous = keys.get(record.key)
    state = KeyState.UNKNOWN if previous is None else previous.state
    # A key may come again once it has expired.
    if previous is not None and previous.header.boot == header.boot and previous.until <= record.recorded_at:
        previous = None
        state = KeyState.AGED
    try:
        next_state = states.advance(state, record.step)
    except states.IllegalStepError as error:
        found.illegal.append(f"{record.key.hex()}: {error}")
        return
    detail = _detail(record, {} if previous is None else previous.detail)
    keys[record.key] = _Key(next_state, header, record.recorded_at, record.expires_at, detail)


def _detail(record: records.Record, previous: dict[str, str]) -> dict[str, str]:
    """What is shown of a key in addition to its state."""
    if record.step is Step.INTENT:
        start = records.parse_start(record.own_part)
        return {"uid": start.uid, "class": start.class_name}
    if record.step is Step.RESULT:
        return previous | {"result_bytes": str(len(records.parse_end(record.own_part).result))}
    return previous


def verify(files: OsFiles) -> VerificationReport:
    """Read everything. Nothing is changed, and a server may use the folder meanwhile."""
    found = VerificationReport()
    for key in _read(files, found).values():
        name = key.state.name.lower()
        found.keys[name] = found.keys.get(name, 0) + 1
    return found


def show(files: OsFiles) -> Iterator[dict[str, str]]:
    """A row for each key, oldest first."""
    now = clock.now()
    boot = boot_id()
    for token, key in _read(files, VerificationReport()).items():
        is_this_boot = key.header.boot == boot
        time_left = f"{max(0, key.until - now) / 1e6:.1f}" if is_this_boot else "of an earlier boot"
        unix_s = key.header.unix_ms / 1e3 + (key.at - key.header.at) / 1e6
        yield {
            "token": token.hex(),
            "state": key.state.name.lower(),
            "at_unix_s": f"{unix_s:.3f}",
            "counts_for_s": time_left,
            **key.detail,
        }


def compact(files: OsFiles) -> tuple[int, int]:
    """Rewrite all segments without what no longer counts; returns the bytes before and after.

    A file that is no segment is left alone, as a server does.
    """
    headers = (read_segment(files, number, name, Report()) for number, name in segment_names(files))
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
