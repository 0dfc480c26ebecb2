"""Folders written by version f6762b4 are printed and recovered with the same content.

That version wrote `data/folders` and the expected output in it. `python
tests/recordings/test_golden_folders.py` writes them again, and must be run on that version only. All times in
the folders belong to made-up boots, so that the output does not depend on the current time.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from cairnvane.claims import ClaimLog, Incarnations
from cairnvane.claims import records as ledger_record
from cairnvane.claims.states import KeyState, Step
from cairnvane.claims.storage import OsFolder
from cairnvane.cli import main
from cairnvane.idempotency.durable import index as places
from cairnvane.idempotency.durable import records as keyed_record
from cairnvane.idempotency.durable.index import Index
from cairnvane.idempotency.durable.segment_log import Entry, Owner, SegmentLog
from cairnvane.idempotency.durable.storage import OsFiles
from cairnvane.idempotency.store import RecoveredState, StartedRun

FOLDERS = Path(__file__).parents[1] / "data" / "folders"
RECOVERED = FOLDERS / "expected_recovered.json"
COMPACTED = FOLDERS / "expected_compact_log.txt"
LEDGER = "ledger.0123abcd"
PRINTED = ["log", "ledger", f"ledger/{LEDGER}", "damaged"]
COMMANDS: dict[str, list[str]] = {"verify": ["verify"], "show": ["show"], "show_json": ["show", "--json"]}

SECOND_US = 1_000_000
WINDOW_US, UNREAD_US = 8 * SECOND_US, 2 * SECOND_US
START_US = 100 * SECOND_US
UNIX_MS = 1_700_000_000_000
INSTANCE = "n1"
BOOT, LATER_BOOT = b"boot of old time", b"a later boot now"
DIGEST = bytes(range(16))
TOKENS = 60
MOST_DISK = 1 << 20
INDEX_BYTES = 1 << 16
# By then the windows of the first keys, and the allowance for late reading, are over; those of the last are
# not.
RECOVERED_AT_US = START_US + 12 * SECOND_US
LIVES = (7_000_000_001, 7_000_000_002)
STATES: dict[KeyState, str] = {
    KeyState.UNKNOWN: "unknown",
    KeyState.INTENDED: "intended",
    KeyState.CALLING: "calling",
    KeyState.FINISHED: "finished",
    KeyState.FAILED: "failed",
    KeyState.VOID: "void",
    KeyState.AGED: "aged",
}


def token(number: int) -> bytes:
    return number.to_bytes(4, "big") * 4


def result(number: int) -> bytes:
    return bytes((number * 7 + place) % 251 for place in range(40 + 10 * number))


# --- written by f6762b4


def _log_entries(number: int) -> list[Entry]:
    """The records of one key; together the keys cover all possible courses of a keyed request."""
    at = START_US + number * 100_000
    until = at + WINDOW_US
    uid = f"{number:016x}"
    lane = "write" if number % 2 else "caf\u00e9"
    intent = keyed_record.encode_start(uid, DIGEST, at + SECOND_US, 24.5, lane)
    entries = [Entry(Step.INTENT, token(number), at, until, intent, settled_notice=number)]
    never = number % 11 == 5
    if number % 7 == 3 and not never:
        call = keyed_record.encode_call(number)
        entries.append(Entry(Step.CALL, token(number), at + 10, until, call, settled_notice=number))
    if never:
        entries.append(Entry(Step.NEVER, token(number), at + 20, until, b"", settled_notice=number))
    elif number % 13 != 6:
        failed = number % 5 == 4
        step = Step.FAULT if failed else Step.RESULT
        end = keyed_record.encode_end(DIGEST, b"" if failed else result(number))
        entries.append(Entry(step, token(number), at + 30, until, end, settled_notice=number))
    return entries


def _write_log(folder: Path) -> None:
    files = OsFiles(folder)
    files.make()
    log = SegmentLog(
        files, Owner(INSTANCE, BOOT), max_disk_bytes=MOST_DISK, power=False, max_read_delay_us=UNREAD_US
    )
    log.recover(Index(INDEX_BYTES), START_US)
    link = keyed_record.encode_link(START_US - SECOND_US)
    log.append([Entry(Step.LINK, keyed_record.NO_KEY, START_US, START_US, link)], UNIX_MS)
    for number in range(TOKENS):
        log.append(_log_entries(number), UNIX_MS + number * 100)
    at = START_US + TOKENS * 100_000
    never = Entry(
        Step.NEVER, token(TOKENS), at, at + WINDOW_US, b"", settled_notice=TOKENS
    )  # a record without its intent
    log.append([never], UNIX_MS + TOKENS * 100)
    log.close()


def _put(kind: int, life: int, number: int, at: int, rest: bytes = b"", claimed: int | None = None) -> bytes:
    """A record of a key that was claimed at `claimed` (default: `at`)."""
    until = (at if claimed is None else claimed) + WINDOW_US
    return ledger_record.encode(kind, life, token(number), at, until, rest)


def _ledger_segments() -> list[bytes]:
    one, two = LIVES
    at = START_US
    first = [
        _put(Step.INTENT, one, 1, at, DIGEST),
        _put(Step.INTENT, two, 1, at + 1, DIGEST),  # a later claim of the same key
        _put(Step.RESULT, one, 1, at + 50, DIGEST + result(1), claimed=at),
        _put(Step.INTENT, one, 2, at, DIGEST),
        _put(Step.FAULT, one, 2, at + 60, DIGEST, claimed=at),
        _put(Step.INTENT, two, 3, at, DIGEST),
        _put(Step.NEVER, two, 3, at + 70, claimed=at),
        _put(Step.INTENT, one, 4, at, DIGEST),  # an intent without an end
        _put(Step.RESULT, two, 4, at + 80, DIGEST + result(4), claimed=at),  # by another incarnation: ignored
        _put(Step.INTENT, two, 5, at, DIGEST),
        _put(Step.RESULT, two, 5, at + 90, DIGEST + result(5), claimed=at),
        _put(Step.INTENT, one, 5, at + WINDOW_US, DIGEST),  # a new claim after the end of the window
        ledger_record.encode(ledger_record.SEAL, one, ledger_record.NO_KEY, at, at),
        _put(Step.INTENT, one, 6, at, DIGEST),  # a record after the seal
    ]
    later = at + WINDOW_US + SECOND_US
    second = [
        _put(Step.RESULT, one, 5, later, DIGEST + result(6), claimed=at + WINDOW_US),
        _put(Step.INTENT, two, 7, later, DIGEST),
        _put(Step.RESULT, two, 7, later + 5, DIGEST, claimed=later),  # an empty result
        _put(Step.INTENT, two, 8, later, DIGEST),
        _put(Step.INTENT, one, 9, later, DIGEST)[:-3],  # torn
    ]
    return [b"".join(first), b"".join(second)]


def _write_ledger(path: Path, segments: list[bytes]) -> None:
    folder = OsFolder(path)
    folder.create()
    for number, data in enumerate(segments, 1):
        segment = folder.open(number, create=True)
        segment.append(data)
        segment.close()


def _write_damaged(folder: Path) -> None:
    """The same with a flipped bit, an illegal step, a torn write, a foreign file, and damaged claims."""
    shutil.copytree(FOLDERS / "log", folder)
    names = sorted(path.name for path in folder.iterdir())
    middle, last = folder / names[1], folder / names[-1]
    data = bytearray(middle.read_bytes())
    data[len(data) // 2] ^= 1
    middle.write_bytes(data)
    at = START_US + SECOND_US
    illegal = keyed_record.encode_record(len(names), Step.NEVER, token(1), at, at + WINDOW_US, 0, b"")
    last.write_bytes(last.read_bytes() + illegal + illegal[:-5])
    (folder / "00000000000000ff.seg").write_bytes(b"something else")
    first, second = _ledger_segments()
    _write_ledger(folder / LEDGER, [b"torn" + first, second])


def _write_folders() -> None:
    shutil.rmtree(FOLDERS, ignore_errors=True)
    _write_log(FOLDERS / "log")
    _write_ledger(FOLDERS / "ledger" / LEDGER, _ledger_segments())
    _write_damaged(FOLDERS / "damaged")
    for name in PRINTED:
        for command in COMMANDS:
            _expected(name, command).write_text(printed(FOLDERS, name, command))
    COMPACTED.write_text(compacted(FOLDERS))
    RECOVERED.write_text(json.dumps(recovered_everywhere(FOLDERS), indent=1) + "\n")


# --- command output


@pytest.fixture
def folders(tmp_path: Path) -> Path:
    """A copy of all recorded folders."""
    return shutil.copytree(FOLDERS, tmp_path / "folders")


def _expected(name: str, command: str) -> Path:
    return FOLDERS / f"expected_{command}_{name.replace('/', '_')}.txt"


def printed(folders: Path, name: str, command: str) -> str:
    """The output and the exit status of a command on a folder."""
    invocation = CliRunner().invoke(main, ["keyed", *COMMANDS[command], str(folders / name)])
    return f"{invocation.output}status {invocation.exit_code}\n"


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize("name", PRINTED)
def test_a_folder_is_printed_as_recorded(folders: Path, name: str, command: str) -> None:
    assert printed(folders, name, command) == _expected(name, command).read_text()


def compacted(folders: Path) -> str:
    """The output of compacting a copy of the log, and of two commands on the result."""
    copy = shutil.copytree(folders / "log", folders.with_name("copies"))
    output = []
    for command in ("compact", "verify", "show"):
        invocation = CliRunner().invoke(main, ["keyed", command, str(copy)])
        output.append(f"{invocation.output}status {invocation.exit_code}\n")
    shutil.rmtree(copy)
    return "".join(output)


def test_a_log_is_compacted_as_recorded(folders: Path) -> None:
    assert compacted(folders) == COMPACTED.read_text()


# --- recovered content


def recovered_log(folder: Path, boot: bytes) -> dict[str, Any]:
    """The state that an incarnation recovers from a log at a fixed time; torn records are truncated."""
    log = SegmentLog(
        OsFiles(folder),
        Owner(INSTANCE, boot),
        max_disk_bytes=MOST_DISK,
        power=False,
        max_read_delay_us=UNREAD_US,
    )
    index = Index(INDEX_BYTES)
    recovery = log.recover(index, RECOVERED_AT_US)
    report = log.report
    return {
        "left": _left_form(recovery.conclude()),
        "counts": [recovery.counts.records, recovery.counts.aged, recovery.counts.illegal],
        "entries": [_index_form(log, index, number) for number in range(TOKENS)],
        "report": [report.segments, report.bytes, report.damaged, report.torn, report.foreign],
        "segments": [
            [one.number, one.begun_at, one.size, one.last_expiry, one.superseded_bytes]
            for one in log.segments.values()
        ],
    }


def _left_form(left: RecoveredState) -> list[Any]:
    begun = [
        [
            one.key.hex(),
            one.uid,
            one.class_name,
            one.fingerprint.hex(),
            one.expires_at,
            one.deadline,
            one.memory,
            one.call_notice,
        ]
        for one in left.started_runs
    ]
    return [begun, [[*kept] for kept in left.key_lifetimes], left.last_notice, left.pool_started_at]


def _index_form(log: SegmentLog, index: Index, number: int) -> list[Any]:
    """The state of a key, its expiry, the location of its record, and its result."""
    found = index.get(token(number))
    if found is None:
        return [number]
    word, tick = found
    kept = log.fetch(word, token(number), DIGEST)
    return [
        number,
        STATES[places.unpack_state(word)],
        tick,
        [*places.unpack_location(word)],
        None if kept is None else kept.hex(),
    ]


def _open_claim_log(path: Path, lives: Path) -> ClaimLog:
    ledger = ClaimLog(OsFolder(path), Incarnations(lives), UNREAD_US)
    ledger.open()
    return ledger


def _fetch_results(ledger: ClaimLog, name: bytes) -> list[str | None]:
    """The results that the log delivers for a key, as a list with one item (None: no result)."""
    results: list[str | None] = []
    ledger.fetch_result(name, DIGEST, lambda kept: results.append(None if kept is None else kept.hex()))
    return results


def recovered_ledger(path: Path) -> dict[str, Any]:
    """The state that a new incarnation reads from a claim log, and look-ups by attempts at several times."""
    ledger = _open_claim_log(path, path.parent / "no lives")
    entries = [
        [
            name.hex(),
            entry.incarnation,
            entry.fingerprint.hex(),
            entry.claimed_at,
            entry.expires_at,
            STATES[entry.state],
            None if kept is None else kept.hex(),
        ]
        for name, entry, kept in ledger.entries()
    ]
    tries = []
    for number in range(1, 10):
        for arrived in (START_US + 100, START_US + WINDOW_US + 100, START_US + 3 * WINDOW_US):
            past = ledger.look_up(token(number), DIGEST, arrived)
            tries.append([number, arrived, None if past is None else past.has_result])
    results = [[number, _fetch_results(ledger, token(number))] for number in range(1, 10)]
    ledger.close()
    return {"entries": entries, "tries": tries, "results": results}


def recovered_everywhere(folders: Path) -> dict[str, Any]:
    """Recover copies of the folders, since recovery truncates torn records."""
    made: dict[str, Any] = {}
    copies = folders.with_name("copies")
    for name in ("log", "damaged"):
        for label, boot in (("same boot", BOOT), ("later boot", LATER_BOOT)):
            shutil.copytree(folders / name, copies)
            made[f"{name}, {label}"] = recovered_log(copies, boot)
            shutil.rmtree(copies)
    for name in ("ledger", "damaged"):
        shutil.copytree(folders / name, copies)
        made[f"{name}, ledger"] = recovered_ledger(copies / LEDGER)
        shutil.rmtree(copies)
    return made


def test_recovered_content_is_as_recorded(folders: Path) -> None:
    expected = json.loads(RECOVERED.read_text())
    found = json.loads(json.dumps(recovered_everywhere(folders)))
    assert list(found) == list(expected)
    for name, content in expected.items():
        for part, recorded in content.items():
            assert found[name][part] == recorded, (name, part)


def test_the_recording_covers_all_states_of_keys() -> None:
    expected = json.loads(RECOVERED.read_text())
    log = expected["log, same boot"]
    states = {entry[1] for entry in log["entries"] if len(entry) > 1}
    begun, kept, _, _ = log["left"]
    assert states == {"finished", "failed"} and begun and kept
    assert any(one[-1] for one in begun) and not all(one[-1] for one in begun), "runs at a call, and others"
    assert log["counts"][1] > 0, "some keys are past their window"
    assert len(log["segments"]) > 2
    assert {entry[5] for entry in expected["ledger, ledger"]["entries"]} == {"intended", "finished", "failed"}


def test_records_can_be_appended_to_a_recorded_log(folders: Path) -> None:
    """Records appended to an old folder are recovered together with the old ones."""
    log = SegmentLog(
        OsFiles(folders / "log"),
        Owner(INSTANCE, BOOT),
        max_disk_bytes=MOST_DISK,
        power=False,
        max_read_delay_us=UNREAD_US,
    )
    log.recover(Index(INDEX_BYTES), RECOVERED_AT_US)
    number, until = TOKENS + 1, RECOVERED_AT_US + WINDOW_US
    intent = keyed_record.encode_start(f"{number:016x}", DIGEST, RECOVERED_AT_US, 24.5, "write")
    log.append(
        [Entry(Step.INTENT, token(number), RECOVERED_AT_US, until, intent, settled_notice=number)], UNIX_MS
    )
    log.close()
    before = json.loads(RECOVERED.read_text())["log, same boot"]
    after = json.loads(json.dumps(recovered_log(folders / "log", BOOT)))
    assert after["entries"] == before["entries"]
    assert after["left"][0][:-1] == before["left"][0]
    assert after["left"][0][-1][0] == token(number).hex()


def test_keys_can_be_claimed_in_a_recorded_ledger(folders: Path) -> None:
    """A free key can be claimed, and one that an earlier incarnation holds can't."""
    path = folders / "ledger" / LEDGER
    ledger = _open_claim_log(path, folders / "lives")
    notifications: list[str] = []
    until = 1 << 62
    for number in (4, 30):
        begun = StartedRun(token(number), f"{number:016x}", "write", DIGEST, until, until, 24.5, 0)
        ledger.record_start(
            begun,
            lambda: notifications.append("claimed"),
            lambda known: notifications.append(f"refused {known}"),
        )
    ledger.record_end(token(30), until, DIGEST, b"new", (), lambda: notifications.append("ended"))
    ledger.close()
    again = _open_claim_log(path, folders / "lives")
    results = {name: kept for name, _, kept in again.entries()}
    again.close()
    assert notifications[-2:] == ["claimed", "ended"]
    assert results[token(30)] == b"new"
    assert results[token(1)] == result(1)


if __name__ == "__main__":
    _write_folders()
