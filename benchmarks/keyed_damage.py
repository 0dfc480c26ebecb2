"""Effects of one damaged bit on a store of results, compared with SQLite and LMDB.

An entry is read back right, missing, or wrong; the store reports an error, or the process crashes.
"""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
from pathlib import Path

import rivals
import table

from cairnvane.idempotency.durable import index as locations

ENTRIALS = 300
TRIALS = 60
RESULT_BYTES = 500


def entries() -> list[rivals.Row]:
    """The entries, which are the same each time."""
    rng = random.Random(1)
    return [(rng.randbytes(16), 1 << 60, rng.randbytes(RESULT_BYTES)) for _ in range(ENTRIALS)]


def read(kind: str, folder: Path) -> dict[str, int]:
    """Read all entries back; how many were right, missing and wrong."""
    counts = {"right": 0, "missing": 0, "wrong": 0}
    with rivals.opened(kind, folder, False, 2 * ENTRIALS) as store:
        for token, _, result in entries():
            got: bytes | None = None
            if isinstance(store, rivals.Own):
                found = store.index.get(token)
                got = store.log.fetch(found[0], token, rivals.DIGEST) if found else None
                assert found is None or locations.unpack_state(found[0])
            elif isinstance(store, rivals.Sqlite):
                row = store.db.execute("SELECT result FROM kept WHERE token = ?", (token,)).fetchone()
                got = row[0] if row else None
            else:
                with store.env.begin() as txn:
                    value = txn.get(token)
                    got = value[8:] if value else None
            counts["missing" if got is None else "right" if got == result else "wrong"] += 1
    return counts


def main() -> None:
    """Change one bit in each trial, and read the store in a process of its own."""
    rng = random.Random(7)
    rows = []
    for kind in rivals.KINDS:
        silent = 0
        crashed = 0
        failed = 0
        complete = 0
        missing = 0
        for _ in range(TRIALS):
            with tempfile.TemporaryDirectory(dir=Path(__file__).parent) as name:
                folder = Path(name)
                with rivals.opened(kind, folder, False, 2 * ENTRIALS) as store:
                    store.append(entries())
                largest = max(folder.iterdir(), key=lambda path: path.stat().st_size)
                data = bytearray(largest.read_bytes())
                used = len(bytes(data).rstrip(b"\0"))
                data[rng.randrange(used)] ^= 1 << rng.randrange(8)
                largest.write_bytes(data)
                process = subprocess.run(
                    [sys.executable, __file__, kind, name], capture_output=True, text=True
                )
            if process.returncode < 0:
                crashed += 1
            elif process.returncode:
                failed += 1
            else:
                counts = json.loads(process.stdout)
                silent += counts["wrong"] > 0
                complete += counts["right"] == ENTRIALS
                missing += counts["wrong"] == 0 and counts["missing"] > 0
        rows.append([kind, complete, missing, failed, silent, crashed])
    head = ["store", "all right", "some missing", "an error", "wrong without a word", "crashed"]
    table.show(f"{TRIALS} single damaged bits, {ENTRIALS} entries", head, rows)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        print(json.dumps(read(sys.argv[1], Path(sys.argv[2]))))
    else:
        main()
