"""Recovery time and peak memory, compared with SQLite and LMDB, with and without loading their keys."""

from __future__ import annotations

import json
import random
import sys
import tempfile
import time
from pathlib import Path

import rivals
import table

SIZES = (10_000, 100_000, 1_000_000)
RESULT_BYTES = 200


def fill(kind: str, folder: Path, size: int) -> None:
    """Write `size` entries."""
    rng = random.Random(1)
    result = rng.randbytes(RESULT_BYTES)
    until = time.monotonic_ns() // 1_000 + 100 * rivals.WINDOW_US
    with rivals.opened(kind, folder, False, 1) as store:
        for _ in range(0, size, 1_000):
            rows = [(rng.randbytes(16), until, result) for _ in range(1_000)]
            if isinstance(store, rivals.Own):
                store.begin(rows)
            store.append(rows)


def recover(kind: str, folder: Path, size: int, load: bool) -> dict[str, float]:
    """Measure the time and memory until a store can look up keys."""
    resident_before = table.resident()
    start = time.perf_counter()
    with rivals.opened(kind, folder, False, size + 1_000) as store:
        if load and not isinstance(store, rivals.Own):
            assert store.load() == size
        duration_s = time.perf_counter() - start
        assert not isinstance(store, rivals.Own) or store.open == size
        return {"s": duration_s, "mb": (table.peak() - resident_before) / 1e6}


def main() -> None:
    """Measure all stores at all sizes, each recovery in a separate process."""
    rows = []
    for size in SIZES:
        for kind in rivals.KINDS:
            with tempfile.TemporaryDirectory(dir=Path(__file__).parent) as folder:
                fill(kind, Path(folder), size)
                for load in (True, False) if kind != "own" else (True,):
                    result = table.child(__file__, kind, folder, size, int(load))
                    name = kind if load else f"{kind}, opened only"
                    rows.append([size, name, result["s"], result["mb"]])
    table.show("Recovery", ["entries", "store", "s", "peak memory increase, MB"], rows)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        print(json.dumps(recover(sys.argv[1], Path(sys.argv[2]), int(sys.argv[3]), sys.argv[4] == "1")))
    else:
        main()
