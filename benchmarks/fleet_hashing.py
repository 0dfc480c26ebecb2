"""Maglev's table compared with a hash modulo the number of endpoints: build time, rate, keys that move."""

from __future__ import annotations

import itertools
import time

import table

from cairnvane.load_balancing.maglev import TABLE_SIZE, Maglev

SIZES = (10, 1_000, 10_000)
CHOICES = 200_000


def main() -> None:
    """Measure both at all sizes, in one run; one endpoint of them leaves."""
    rows = []
    for size in SIZES:
        keys = [("10.0.0.1", port) for port in range(size)]
        start = time.perf_counter()
        table_before = Maglev(dict.fromkeys(keys, 1))
        built = time.perf_counter() - start
        table_after = Maglev(dict.fromkeys(keys[1:], 1))
        start = time.perf_counter()
        for number in range(CHOICES):
            table_before.choose(number)
        rate = int(CHOICES / (time.perf_counter() - start))
        moved = (
            sum(table_before.choose(n) not in (keys[0], table_after.choose(n)) for n in range(TABLE_SIZE))
            / TABLE_SIZE
        )
        rows.append([size, "Maglev", built * 1e3, rate, 100 * moved])
        start = time.perf_counter()
        for number in range(CHOICES):
            keys[number % size]
        rate = int(CHOICES / (time.perf_counter() - start))
        plain = (
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
        rows.append([size, "modulo", 0.0, rate, 100 * plain])
    head = ["endpoints", "structure", "build ms", "choices/s", "% of other keys moved"]
    table.show("Consistent hashing, as one endpoint leaves", head, rows)


if __name__ == "__main__":
    main()
