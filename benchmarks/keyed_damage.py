"""What a damaged byte does: read right, missing, wrong without a word, or a crash; beside SQLite and LMDB."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import tempfile
from pathlib import Path

import rivals
import table

from cairnvane.idempotency.durable import index as places

ENTRIES, TRIES, RESULT_BYTES = 300, 60, 500


def entries() -> list[rivals.Row]:
    """The same each time."""
    rng = random.Random(1)
    return [(rng.randbytes(16), 1 << 60, rng.randbytes(RESULT_BYTES)) for _ in range(ENTRIES)]


def read(kind: str, folder: Path) -> dict[str, int]:
    """Read all of them back."""
    counts = {"right": 0, "missing": 0, "wrong": 0}
    with rivals.opened(kind, folder, False, 2 * ENTRIES) as store:
        for token, _, result in entries():
            got: bytes | None = None
            if isinstance(store, rivals.Own):
                found = store.index.get(token)
                got = store.log.fetch(found[0], token, rivals.DIGEST) if found else None
                assert found is None or places.state(found[0])
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
    """A byte changed at a time, each read in a process of its own."""
    rng, rows = random.Random(7), []
    for kind in rivals.KINDS:
        silent = crashed = refused = whole = told = 0
        for _ in range(TRIES):
            with tempfile.TemporaryDirectory(dir=Path(__file__).parent) as name:
                folder = Path(name)
                with rivals.opened(kind, folder, False, 2 * ENTRIES) as store:
                    store.append(entries())
                biggest = max(folder.iterdir(), key=lambda path: path.stat().st_size)
                data = bytearray(biggest.read_bytes())
                used = len(bytes(data).rstrip(b"\0"))
                data[rng.randrange(used)] ^= 1 << rng.randrange(8)
                biggest.write_bytes(data)
                done = subprocess.run([sys.executable, __file__, kind, name], capture_output=True, text=True)
            if done.returncode < 0:
                crashed += 1
            elif done.returncode:
                refused += 1
            else:
                got = json.loads(done.stdout)
                silent += got["wrong"] > 0
                whole += got["right"] == ENTRIES
                told += got["wrong"] == 0 and got["missing"] > 0
        rows.append([kind, whole, told, refused, silent, crashed])
    head = ["store", "all right", "some missing", "an error", "wrong without a word", "crashed"]
    table.show(f"{TRIES} single damaged bits, {ENTRIES} entries", head, rows)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        print(json.dumps(read(sys.argv[1], Path(sys.argv[2]))))
    else:
        main()
