"""The compared stores, with a common interface: the segment log, SQLite with a write-ahead log, and LMDB."""

from __future__ import annotations

import contextlib
import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path

import lmdb

from cairnvane.claims.states import Step
from cairnvane.idempotency.durable import records, segment_log
from cairnvane.idempotency.durable.index import BYTES_PER_ENTRY, Index
from cairnvane.idempotency.durable.storage import OsFiles

Row = tuple[bytes, int, bytes]  # idempotency key, time of expiry, result
WINDOW_US = 17_364_000
DIGEST = bytes(16)
MAX_STORE_BYTES = 1 << 34


class Own:
    """The project's segment log: an intent and a result for each commit, as the store writes them."""

    def __init__(self, folder: Path, power: bool, entries: int = 1_000) -> None:
        self.now = time.monotonic_ns() // 1_000
        owner = segment_log.Owner("bench", bytes(16))
        self.log = segment_log.SegmentLog(
            OsFiles(folder), owner, max_disk_bytes=MAX_STORE_BYTES, power=power, max_read_delay_us=0
        )
        self.index = Index(entries * BYTES_PER_ENTRY)
        self.log.recover(self.index, self.now)
        self.open = len(self.index)

    def append(self, rows: list[Row]) -> None:
        self.log.append(
            (
                segment_log.Entry(Step.RESULT, token, self.now, until, records.encode_end(DIGEST, result))
                for token, until, result in rows
            ),
            unix_ms=0,
        )
        self.log.sync()

    def begin(self, rows: list[Row]) -> None:
        """Write the intents, which precede the results in a real log."""
        rest = records.encode_start("0" * 16, DIGEST, self.now, 24.5, "bid-commit")
        self.log.append(
            (segment_log.Entry(Step.INTENT, row[0], self.now, row[1], rest) for row in rows), unix_ms=0
        )

    def close(self) -> None:
        self.log.close()


class Sqlite:
    """A table in SQLite. `synchronous=FULL` syncs the log at each commit, `OFF` never does."""

    def __init__(self, folder: Path, power: bool, entries: int = 0) -> None:
        self.db = sqlite3.connect(folder / "keyed.sqlite", isolation_level=None, check_same_thread=False)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(f"PRAGMA synchronous={'FULL' if power else 'OFF'}")
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS kept "
            "(token BLOB PRIMARY KEY, until INTEGER, result BLOB) WITHOUT ROWID"
        )
        self.db.execute("CREATE INDEX IF NOT EXISTS ends ON kept (until)")
        self.open = 0

    def append(self, rows: list[Row]) -> None:
        self.db.execute("BEGIN IMMEDIATE")
        self.db.executemany("INSERT OR REPLACE INTO kept VALUES (?, ?, ?)", rows)
        self.db.execute("COMMIT")

    def load(self) -> int:
        """Load all keys into memory, so that no request waits for the disk; return their number."""
        expiry_by_key = dict(self.db.execute("SELECT token, until FROM kept"))
        return len(expiry_by_key)

    def close(self) -> None:
        self.db.close()


class Lmdb:
    """A B-tree in LMDB; without `power`, syncing is left to the operating system."""

    def __init__(self, folder: Path, power: bool, entries: int = 0) -> None:
        self.env = lmdb.open(str(folder), map_size=MAX_STORE_BYTES, sync=power, metasync=power)
        self.open = 0

    def append(self, rows: list[Row]) -> None:
        with self.env.begin(write=True) as txn:
            for token, until, result in rows:
                txn.put(token, until.to_bytes(8, "big") + result)

    def load(self) -> int:
        """Load all keys into memory; return their number."""
        with self.env.begin() as txn:
            expiry_by_key = {bytes(token): bytes(value[:8]) for token, value in txn.cursor()}
        return len(expiry_by_key)

    def close(self) -> None:
        self.env.close()


KINDS: dict[str, type[Own] | type[Sqlite] | type[Lmdb]] = {"own": Own, "sqlite": Sqlite, "lmdb": Lmdb}


@contextlib.contextmanager
def opened(kind: str, folder: Path, power: bool, entries: int = 1_000) -> Iterator[Own | Sqlite | Lmdb]:
    """Open a store on an empty or filled folder, and close it at the end."""
    store = KINDS[kind](folder, power, entries)
    try:
        yield store
    finally:
        store.close()
