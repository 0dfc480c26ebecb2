"""What the command line does with a folder: `verify`, `show`, `compact`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ... import clock
from ...claims import states
from ...claims.states import KeyState, Step
from . import records
from .index import BYTES_PER_ENTRY, Index
from .segment_log import Owner, Report, SegmentLog, blocks, read_segment, segment_names
from .storage import OsFiles, boot_id

# Room for all that a folder can hold is not known before it is read; memory is touched only as it fills.
_INDEX_BYTES = 4_000_000 * BYTES_PER_ENTRY
# How late a repeat that came within its window may still be read, where no settings tell.
UNREAD_US = 60_000_000


@dataclass(slots=True)
class Found:
    """What `verify` has found."""

    report: Report = field(default_factory=Report)
    records: int = 0
    illegal: list[str] = field(default_factory=list)
    keys: dict[str, int] = field(default_factory=dict)

    @property
    def wrong(self) -> bool:
        """A record may be lost."""
        return bool(self.report.damaged or self.report.foreign or self.illegal)

    def lines(self) -> list[str]:
        """For people."""
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
            "a record may be lost" if self.wrong else "good",
        ]


@dataclass(slots=True)
class _Key:
    state: KeyState
    header: records.Header
    at: int
    until: int
    detail: dict[str, str]


def _read(files: OsFiles, found: Found) -> dict[bytes, _Key]:
    """Every key and how it stands, whether it still counts or not."""
    known: dict[bytes, _Key] = {}
    for number, name in segment_names(files):
        header = read_segment(files, number, name, found.report)
        if header is None:
            continue
        end, bad = records.HEADER_BYTES, []
        for item in blocks(files, name, header):
            if isinstance(item, records.Damage):
                bad.append(item)
                continue
            kind, offset, payload = item
            found.records += 1
            end = offset + records.HEAD_BYTES + len(payload)
            _step(known, header, records.parse(kind, payload), found)
        found.report.take(name, bad, end)
    return known


def _step(known: dict[bytes, _Key], header: records.Header, told: records.Record, found: Found) -> None:
    if told.step is Step.LINK:
        return
    before = known.get(told.token)
    stood = KeyState.UNKNOWN if before is None else before.state
    # A token may come again once its window is over.
    if before is not None and before.header.boot == header.boot and before.until <= told.at:
        before, stood = None, KeyState.AGED
    try:
        after = states.advance(stood, told.step)
    except states.IllegalStepError as error:
        found.illegal.append(f"{told.token.hex()}: {error}")
        return
    detail = before.detail if before is not None else {}
    if told.step is Step.INTENT:
        uid, _, _, _, lane = records.intent(told.rest)
        detail = {"uid": uid, "class": lane}
    elif told.step is Step.RESULT:
        detail = detail | {"result_bytes": str(len(records.end(told.rest)[1]))}
    known[told.token] = _Key(after, header, told.at, told.until, detail)


def verify(files: OsFiles) -> Found:
    """Read all there is; nothing is changed, and a server may go on using it."""
    found = Found()
    for key in _read(files, found).values():
        name = key.state.name.lower()
        found.keys[name] = found.keys.get(name, 0) + 1
    return found


def show(files: OsFiles) -> Iterator[dict[str, str]]:
    """A row for each key."""
    now, boot = clock.now(), boot_id()
    for token, key in _read(files, Found()).items():
        here = key.header.boot == boot
        left = f"{max(0, key.until - now) / 1e6:.1f}" if here else "of an earlier boot"
        unix = key.header.unix_ms / 1e3 + (key.at - key.header.at) / 1e6
        yield {
            "token": token.hex(),
            "state": key.state.name.lower(),
            "at_unix_s": f"{unix:.3f}",
            "counts_for_s": left,
            **key.detail,
        }


def compact(files: OsFiles) -> tuple[int, int]:
    """Rewrite all segments without what no longer counts; the bytes before and after. What is no segment
    is left alone, as a server does."""
    headers = (read_segment(files, number, name, Report()) for number, name in segment_names(files))
    first = next((header for header in headers if header is not None), None)
    if first is None:
        return 0, 0
    files.lock()
    try:
        now, index = clock.now(), Index(_INDEX_BYTES)
        log = SegmentLog(files, Owner(first.name, boot_id()), most_disk=1 << 40, power=True, unread=UNREAD_US)
        log.recover(index, now)
        before = log.size
        log.drop(now)
        for number in list(log.segments):
            for _ in log.compact(number, index, now):
                pass
        return before, log.size
    finally:
        files.unlock()
