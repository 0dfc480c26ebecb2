"""The real program; stores results in SQLite if BENCH_STORE=sqlite; run by `keyed_latency.py`."""

from __future__ import annotations

import os
import sqlite3
import sys

import cairnvane.idempotency.durable
from cairnvane.idempotency.store import RecoveredState
from cairnvane.server.main import main


class SqliteStore(cairnvane.idempotency.durable.DurableStore):
    """A store with the same writer and queue that writes each group in one SQLite transaction."""

    def _recover(self, waited: bool) -> None:
        path = self._files._folder / "keyed.sqlite"  # type: ignore[attr-defined]
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("PRAGMA journal_mode=WAL")
        self._db.execute(f"PRAGMA synchronous={'FULL' if self._power else 'OFF'}")
        self._db.execute(
            "CREATE TABLE IF NOT EXISTS kept "
            "(token BLOB PRIMARY KEY, step INTEGER, until INTEGER, rest BLOB) WITHOUT ROWID"
        )
        self._ready = True
        self._recovered(RecoveredState())

    def _write_once(self, group) -> None:  # type: ignore[no-untyped-def]
        self._db.execute("BEGIN IMMEDIATE")
        self._db.executemany(
            "INSERT OR REPLACE INTO kept VALUES (?, ?, ?, ?)",
            [(entry.key, entry.step, entry.expires_at, entry.own_part) for entry in self._told(group)],
        )
        self._db.execute("COMMIT")
        self._take(group, [(0, 0)] * len(group))


if __name__ == "__main__":
    # Run all threads on one core as in deployment; spread over several cores, threads wake with cold caches.
    os.sched_setaffinity(0, {max(os.sched_getaffinity(0))})
    if os.environ.get("BENCH_STORE") == "sqlite":
        cairnvane.idempotency.durable.DurableStore = SqliteStore  # type: ignore[misc]
    sys.exit(main())
