"""Maglev's table compared with a hash modulo the number of endpoints: build time, rate and moved keys."""

from __future__ import annotations

import itertools
import time

import table

from cairnvane.load_balancing.maglev import TABLE_SIZE, Maglev

SIZES = (10, 1_000, 10_000)
CHOICES = 200_000


def main() -> None:
    """Measure both at all sizes, in one run, and compare the choices after one endpoint is removed."""
    rows = []
    for size in SIZES:
        keys = [("10.0.0.1", port) for port in range(size)]
        start = time.perf_counter()
        table_before = Maglev(dict.fromkeys(keys, 1))
        build_s = time.perf_counter() - start
        table_after = Maglev(dict.fromkeys(keys[1:], 1))
        start = time.perf_counter()
        for number in range(CHOICES):
            table_before.choose(number)
        rate = int(CHOICES / (time.perf_counter() - start))
        moved_fraction = (
            sum(table_before.choose(n) not in (keys[0], table_after.choose(n)) for n in range(TABLE_SIZE))
            / TABLE_SIZE
        )
        rows.append([size, "Maglev", build_s * 1e3, rate, 100 * moved_fraction])
        start = time.perf_counter()
        for number in range(CHOICES):
            keys[number % size]
        rate = int(CHOICES / (time.perf_counter() - start))
        moved_fraction_modulo = (
            sum(
                a != b and a != keys[0]
                for a, b in zip(
                    itertools.islice(itertools.cycle(keys), TABLE_SIZE),
                    itertools.islice(itertools.cycle(keys[1:]), TABLE_SIZE),
                    strict=True,
                )
            )
            / TABLE_SIZE
        )
        rows.append([size, "modulo", 0.0, rate, 100 * moved_fraction_modulo])
    head = ["endpoints", "structure", "build ms", "choices/s", "% of other keys moved"]
    table.show("Consistent hashing, one endpoint removed", head, rows)


if __name__ == "__main__":
    main()
