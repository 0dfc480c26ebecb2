"""What each keeper of keys costs a commit, in one run: claim, end, and a look from another life, beside the
table in memory that knows one life only. `TMPDIR` says on what disk."""

from __future__ import annotations

import tempfile
import threading
import time
from pathlib import Path

import table

from cairnvane import clock
from cairnvane.digest import digest
from cairnvane.keyed import Store
from cairnvane.keyed.files import OsFiles, boot_id
from cairnvane.keys import Begun, Keeper, Table
from cairnvane.ledger import Ledger, Lives
from cairnvane.ledger.folder import OsFolder

COMMITS = 5_000
RESULT = b"r" * 500
BODY = b"b" * 300
UNREAD = 5_800_000


def begun(number: int, until: int) -> Begun:
    return Begun(
        number.to_bytes(16, "little"),
        f"{number:016x}",
        "bid-commit",
        digest("bid-commit", BODY),
        until,
        until,
        8.0,
        0,
    )


def drive(keeper: Keeper, other: Keeper | None) -> tuple[float, float]:
    """Wall and CPU microseconds a commit, one after the other, as a host makes them."""
    done = threading.Semaphore(0)
    until = clock.now() + 60_000_000
    start, cpu = time.perf_counter(), time.process_time()
    for number in range(COMMITS):
        one = begun(number, until)
        keeper.recall(one.token, one.digest, 0)
        keeper.intend(one, done.release, lambda there: None)
        done.acquire()
        keeper.ended(one.token, one.until, one.digest, RESULT, (), done.release)
        done.acquire()
        if other is not None:
            assert other.recall(one.token, one.digest, 0) is not None
    return (time.perf_counter() - start) / COMMITS * 1e6, (time.process_time() - cpu) / COMMITS * 1e6


def ledger(path: Path) -> Ledger:
    lives = Lives(path / "lives")
    lives.enter()
    made = Ledger(OsFolder(path / "ledger"), lives, UNREAD)
    made.open()
    made.start(lambda left: None, lambda: None, lambda why: None)
    return made


def main() -> None:
    keys = Table(UNREAD)
    start, cpu = time.perf_counter(), time.process_time()
    for number in range(COMMITS):
        keys.enter(f"{number:032x}", number, 0)
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
            store = Store(
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
