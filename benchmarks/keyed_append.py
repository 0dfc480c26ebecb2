"""Appends a second by group size, and what one group takes, beside SQLite and LMDB."""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path

import rivals
import table
from hdrh.histogram import HdrHistogram

GROUPS = (1, 8, 64, 256)
RESULT_BYTES = 500
MOST_S = 1.0


def main() -> None:
    """All stores and group sizes, in one run."""
    rng, rows = random.Random(1), []
    result = rng.randbytes(RESULT_BYTES)
    for power in (False, True):
        for group in GROUPS:
            for kind in rivals.KINDS:
                times = HdrHistogram(1, 60_000_000_000, 3)
                with (
                    tempfile.TemporaryDirectory(dir=Path(__file__).parent) as folder,
                    rivals.opened(kind, Path(folder), power) as store,
                ):
                    start = time.perf_counter()
                    while time.perf_counter() - start < MOST_S:
                        batch = [(rng.randbytes(16), 1, result) for _ in range(group)]
                        began = time.perf_counter_ns()
                        store.append(batch)
                        times.record_value(time.perf_counter_ns() - began)
                at = [times.get_value_at_percentile(part) / 1e3 for part in (50, 99)]
                rate = int(group * 1e9 / times.get_mean_value())
                rows.append(["power" if power else "process", group, kind, rate, *at])
    head = ["durability", "group", "store", "records/s", "p50 µs a group", "p99 µs a group"]
    table.show("Appends", head, rows)


if __name__ == "__main__":
    main()
