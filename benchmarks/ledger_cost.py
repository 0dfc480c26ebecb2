"""What each keeper of keys costs a commit, in one run: claim, end, and a look from another life, beside the
table in memory that knows one life only. `TMPDIR` says on what disk."""

from __future__ import annotations

import tempfile
import threading
import time
from pathlib import Path

import table

from cairnvane import clock
from cairnvane.claims import ClaimLog, Incarnations
from cairnvane.claims.storage import OsFolder
from cairnvane.idempotency.durable import DurableStore
from cairnvane.idempotency.durable.storage import OsFiles, boot_id
from cairnvane.idempotency.fingerprint import fingerprint
from cairnvane.idempotency.key_table import KeyTable
from cairnvane.idempotency.store import IdempotencyStore, StartedRun

COMMITS = 5_000
RESULT = b"r" * 500
BODY = b"b" * 300
UNREAD = 5_800_000


def begun(number: int, until: int) -> StartedRun:
    return StartedRun(
        number.to_bytes(16, "little"),
        f"{number:016x}",
        "bid-commit",
        fingerprint("bid-commit", BODY),
        until,
        until,
        8.0,
        0,
    )


def drive(keeper: IdempotencyStore, other: IdempotencyStore | None) -> tuple[float, float]:
    """Wall and CPU microseconds a commit, one after the other, as a host makes them."""
    done = threading.Semaphore(0)
    until = clock.now() + 60_000_000
    start, cpu = time.perf_counter(), time.process_time()
    for number in range(COMMITS):
        one = begun(number, until)
        keeper.look_up(one.key, one.fingerprint, 0)
        keeper.record_start(one, done.release, lambda there: None)
        done.acquire()
        keeper.record_end(one.key, one.expires_at, one.fingerprint, RESULT, (), done.release)
        done.acquire()
        if other is not None:
            assert other.look_up(one.key, one.fingerprint, 0) is not None
    return (time.perf_counter() - start) / COMMITS * 1e6, (time.process_time() - cpu) / COMMITS * 1e6


def ledger(path: Path) -> ClaimLog:
    lives = Incarnations(path / "lives")
    lives.enter()
    made = ClaimLog(OsFolder(path / "ledger"), lives, UNREAD)
    made.open()
    made.start(lambda left: None, lambda: None, lambda why: None)
    return made


def main() -> None:
    keys = KeyTable(UNREAD)
    start, cpu = time.perf_counter(), time.process_time()
    for number in range(COMMITS):
        keys.insert(f"{number:032x}", number, 0)
        keys.owner(f"{number:032x}", 0)
    keys.expire(10**12)
    plain = (time.perf_counter() - start) / COMMITS * 1e6, (time.process_time() - cpu) / COMMITS * 1e6
    rows = [("table in memory, one life", *plain)]
    for name, beside in (("ledger, alone", False), ("ledger, and a look from another life", True)):
        with tempfile.TemporaryDirectory() as folder:
            mine = ledger(Path(folder))
            other = ledger(Path(folder)) if beside else None
            rows.append((name, *drive(mine, other)))
            mine.close()
            if other is not None:
                other.close()
    for power in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            store = DurableStore(
                OsFiles(Path(folder)),
                "n1",
                boot_id(),
                power=power,
                disk_bytes=64 << 20,
                memory_bytes=8 << 20,
                unread=UNREAD,
            )
            store.check()
            ready = threading.Semaphore(0)
            store.start(lambda left, ready=ready: ready.release(), lambda: None, print)  # type: ignore[misc]
            ready.acquire()
            rows.append((f"log, {'power' if power else 'process'}", *drive(store, None)))
            store.close()
    table.show(
        "A commit's keys, µs",
        ("keeper", "wall", "CPU", "CPU beside memory"),
        [(name, wall, cpu, cpu / plain[1]) for name, wall, cpu in rows],
    )


if __name__ == "__main__":
    main()
