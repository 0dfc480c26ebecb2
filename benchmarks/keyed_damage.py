"""Effects of one flipped bit on a store of results, compared with SQLite and LMDB.

Each entry is afterwards right, missing or wrong, the store reports an error, or the process crashes.
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

ENTRIES = 300
TRIALS = 60
RESULT_BYTES = 500


def entries() -> list[rivals.Row]:
    """The entries of the store, the same in each call."""
    rng = random.Random(1)
    return [(rng.randbytes(16), 1 << 60, rng.randbytes(RESULT_BYTES)) for _ in range(ENTRIES)]


def read(kind: str, folder: Path) -> dict[str, int]:
    """Read all entries back, and count the right, missing and wrong ones."""
    counts = {"right": 0, "missing": 0, "wrong": 0}
    with rivals.opened(kind, folder, False, 2 * ENTRIES) as store:
        for token, _, result in entries():
            stored_result: bytes | None = None
            if isinstance(store, rivals.Own):
                found = store.index.get(token)
                stored_result = store.log.fetch(found[0], token, rivals.DIGEST) if found else None
                assert found is None or locations.unpack_state(found[0])
            elif isinstance(store, rivals.Sqlite):
                row = store.db.execute("SELECT result FROM kept WHERE token = ?", (token,)).fetchone()
                stored_result = row[0] if row else None
            else:
                with store.env.begin() as txn:
                    value = txn.get(token)
                    stored_result = value[8:] if value else None
            counts[
                "missing" if stored_result is None else "right" if stored_result == result else "wrong"
            ] += 1
    return counts


def main() -> None:
    """Flip one bit in each trial, and read the store in a separate process."""
    rng = random.Random(7)
    rows = []
    for kind in rivals.KINDS:
        silently_wrong = 0
        crashed = 0
        failed = 0
        complete = 0
        missing = 0
        for _ in range(TRIALS):
            with tempfile.TemporaryDirectory(dir=Path(__file__).parent) as name:
                folder = Path(name)
                with rivals.opened(kind, folder, False, 2 * ENTRIES) as store:
                    store.append(entries())
                largest_file = max(folder.iterdir(), key=lambda path: path.stat().st_size)
                data = bytearray(largest_file.read_bytes())
                used_bytes = len(bytes(data).rstrip(b"\0"))
                data[rng.randrange(used_bytes)] ^= 1 << rng.randrange(8)
                largest_file.write_bytes(data)
                process = subprocess.run(
                    [sys.executable, __file__, kind, name], capture_output=True, text=True
                )
            if process.returncode < 0:
                crashed += 1
            elif process.returncode:
                failed += 1
            else:
                counts = json.loads(process.stdout)
                silently_wrong += counts["wrong"] > 0
                complete += counts["right"] == ENTRIES
                missing += counts["wrong"] == 0 and counts["missing"] > 0
        rows.append([kind, complete, missing, failed, silently_wrong, crashed])
    head = ["store", "all right", "some missing", "an error", "wrong, no error", "crashed"]
    table.show(f"{TRIALS} single flipped bits, {ENTRIES} entries", head, rows)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        print(json.dumps(read(sys.argv[1], Path(sys.argv[2]))))
    else:
        main()
