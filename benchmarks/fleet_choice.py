"""Weighted choice of an endpoint: rate, build time and cost of a change, compared with plain lists."""

from __future__ import annotations

import bisect
import itertools
import random
import time
from collections.abc import Callable

import table

from cairnvane.load_balancing import Weighted

SIZES = (10, 1_000, 100_000)


class Scan:
    """A list that is scanned for each choice: the endpoint with the fewest calls for its weight."""

    def __init__(self, weights: list[int]) -> None:
        self.weights = weights
        self.active = [0] * len(weights)

    def choose(self) -> int:
        return min(range(len(self.weights)), key=lambda at: (self.active[at] + 1) / self.weights[at])

    def change(self, at: int, weight: int) -> None:
        self.weights[at] = weight


class Sums:
    """A list of cumulative sums, found by bisection; rebuilt for each change."""

    def __init__(self, weights: list[int]) -> None:
        self.weights = weights
        self.active = [0] * len(weights)
        self.sums = list(itertools.accumulate(weights))
        self.random = random.Random(1).randrange

    def choose(self) -> int:
        first, second = (bisect.bisect_right(self.sums, self.random(self.sums[-1])) for _ in range(2))
        second_is_better = (self.active[second] + 1) * self.weights[first] < (
            self.active[first] + 1
        ) * self.weights[second]
        return second if second_is_better else first

    def change(self, at: int, weight: int) -> None:
        self.weights[at] = weight
        self.sums = list(itertools.accumulate(self.weights))


class Tree:
    """The structure that the server uses."""

    def __init__(self, weights: list[int]) -> None:
        self.tree: Weighted[int] = Weighted()
        for at, weight in enumerate(weights):
            self.tree.put(at, weight)
        self.random = random.Random(1).randrange

    def choose(self) -> int | None:
        return self.tree.choose(self.random)

    def change(self, at: int, weight: int) -> None:
        self.tree.put(at, weight)


def mean_duration_s(task: Callable[[], object], most_s: float = 0.4) -> float:
    """Mean seconds of one task."""
    count, start = 0, time.perf_counter()
    while time.perf_counter() - start < most_s:
        task()
        count += 1
    return (time.perf_counter() - start) / count


def main() -> None:
    """Measure all structures at all sizes, in one run."""
    rows = []
    for size in SIZES:
        weights = [random.Random(at).randrange(1, 100) for at in range(size)]
        for kind, name in ((Scan, "list, all looked at"), (Sums, "running sums"), (Tree, "tree of sums")):
            start = time.perf_counter()
            chooser = kind(list(weights))
            built = time.perf_counter() - start
            number = itertools.count()
            choice = mean_duration_s(chooser.choose)
            change = mean_duration_s(
                lambda chooser=chooser, number=number, size=size: chooser.change(next(number) % size, 7)
            )
            rows.append([size, name, built * 1e3, int(1 / choice), change * 1e6])
    table.show("Choices", ["endpoints", "structure", "build ms", "choices/s", "change µs"], rows)


if __name__ == "__main__":
    main()
