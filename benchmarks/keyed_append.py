"""Append rate and duration of the segment log by group size, compared with SQLite and LMDB."""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path

import rivals
import table
from hdrh.histogram import HdrHistogram

GROUP_SIZES = (1, 8, 64, 256)
RESULT_BYTES = 500
DURATION_S = 1.0


def main() -> None:
    """Measure all stores and group sizes, in one run."""
    rng = random.Random(1)
    rows = []
    result = rng.randbytes(RESULT_BYTES)
    for power in (False, True):
        for group in GROUP_SIZES:
            for kind in rivals.KINDS:
                histogram_ns = HdrHistogram(1, 60_000_000_000, 3)
                with (
                    tempfile.TemporaryDirectory(dir=Path(__file__).parent) as folder,
                    rivals.opened(kind, Path(folder), power) as store,
                ):
                    start = time.perf_counter()
                    while time.perf_counter() - start < DURATION_S:
                        batch = [(rng.randbytes(16), 1, result) for _ in range(group)]
                        group_start_ns = time.perf_counter_ns()
                        store.append(batch)
                        histogram_ns.record_value(time.perf_counter_ns() - group_start_ns)
                percentiles_us = [
                    histogram_ns.get_value_at_percentile(percentile) / 1e3 for percentile in (50, 99)
                ]
                rate = int(group * 1e9 / histogram_ns.get_mean_value())
                rows.append(["power" if power else "process", group, kind, rate, *percentiles_us])
    head = ["durability", "group", "store", "records/s", "p50 µs per group", "p99 µs per group"]
    table.show("Appends", head, rows)


if __name__ == "__main__":
    main()
