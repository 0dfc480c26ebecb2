"""Cost per commit of each idempotency store: start, end, and a look-up by another incarnation.

All are compared in one run with the key table in memory, which serves a single incarnation. `TMPDIR` selects
the disk.
"""

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
UNREAD_US = 5_800_000


def started_run(number: int, until: int) -> StartedRun:
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


def measure(store: IdempotencyStore, other: IdempotencyStore | None) -> tuple[float, float]:
    """Wall and CPU microseconds per commit; commits run one after the other."""
    done = threading.Semaphore(0)
    until = clock.now() + 60_000_000
    start, cpu = time.perf_counter(), time.process_time()
    for number in range(COMMITS):
        run = started_run(number, until)
        store.look_up(run.key, run.fingerprint, 0)
        store.record_start(run, done.release, lambda owner: None)
        done.acquire()
        store.record_end(run.key, run.expires_at, run.fingerprint, RESULT, (), done.release)
        done.acquire()
        if other is not None:
            assert other.look_up(run.key, run.fingerprint, 0) is not None
    return (time.perf_counter() - start) / COMMITS * 1e6, (time.process_time() - cpu) / COMMITS * 1e6


def open_claim_log(path: Path) -> ClaimLog:
    """A claim log opened by a new incarnation."""
    incarnations = Incarnations(path / "lives")
    incarnations.enter()
    claim_log = ClaimLog(OsFolder(path / "ledger"), incarnations, UNREAD_US)
    claim_log.open()
    claim_log.start(lambda left: None, lambda: None, lambda why: None)
    return claim_log


def main() -> None:
    """Measure all stores, in one run."""
    keys = KeyTable(UNREAD_US)
    start, cpu = time.perf_counter(), time.process_time()
    for number in range(COMMITS):
        keys.insert(f"{number:032x}", number, 0)
        keys.owner(f"{number:032x}", 0)
    keys.expire(10**12)
    in_memory_us = (time.perf_counter() - start) / COMMITS * 1e6, (time.process_time() - cpu) / COMMITS * 1e6
    rows = [("table in memory, one incarnation", *in_memory_us)]
    for name, with_other in (
        ("claim log, one incarnation", False),
        ("claim log, look-ups by a second incarnation", True),
    ):
        with tempfile.TemporaryDirectory() as folder:
            claim_log = open_claim_log(Path(folder))
            other = open_claim_log(Path(folder)) if with_other else None
            rows.append((name, *measure(claim_log, other)))
            claim_log.close()
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
                max_read_delay_us=UNREAD_US,
            )
            store.check()
            ready = threading.Semaphore(0)
            store.start(lambda left, ready=ready: ready.release(), lambda: None, print)  # type: ignore[misc]
            ready.acquire()
            rows.append((f"segment log, {'power' if power else 'process'}", *measure(store, None)))
            store.close()
    table.show(
        "Key operations per commit, µs",
        ("store", "wall", "CPU", "CPU relative to memory"),
        [(name, wall, cpu, cpu / in_memory_us[1]) for name, wall, cpu in rows],
    )


if __name__ == "__main__":
    main()
