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
    """A list scanned for each choice, for the endpoint with the fewest calls relative to its weight."""

    def __init__(self, weights: list[int]) -> None:
        self.weights = weights
        self.active = [0] * len(weights)

    def choose(self) -> int:
        return min(range(len(self.weights)), key=lambda index: (self.active[index] + 1) / self.weights[index])

    def change(self, index: int, weight: int) -> None:
        self.weights[index] = weight


class Sums:
    """A list of cumulative weights, searched by bisection and rebuilt for each change."""

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

    def change(self, index: int, weight: int) -> None:
        self.weights[index] = weight
        self.sums = list(itertools.accumulate(self.weights))


class Tree:
    """The sum tree that the server uses."""

    def __init__(self, weights: list[int]) -> None:
        self.tree: Weighted[int] = Weighted()
        for index, weight in enumerate(weights):
            self.tree.put(index, weight)
        self.random = random.Random(1).randrange

    def choose(self) -> int | None:
        return self.tree.choose(self.random)

    def change(self, index: int, weight: int) -> None:
        self.tree.put(index, weight)


def mean_duration_s(task: Callable[[], object], max_duration_s: float = 0.4) -> float:
    """Mean seconds per execution of the task, repeated for `max_duration_s`."""
    count, start = 0, time.perf_counter()
    while time.perf_counter() - start < max_duration_s:
        task()
        count += 1
    return (time.perf_counter() - start) / count


def main() -> None:
    """Measure all structures at all sizes, in one run."""
    rows = []
    for size in SIZES:
        weights = [random.Random(index).randrange(1, 100) for index in range(size)]
        for kind, name in ((Scan, "list, full scan"), (Sums, "cumulative sums"), (Tree, "sum tree")):
            start = time.perf_counter()
            chooser = kind(list(weights))
            build_s = time.perf_counter() - start
            number = itertools.count()
            choice_s = mean_duration_s(chooser.choose)
            change = mean_duration_s(
                lambda chooser=chooser, number=number, size=size: chooser.change(next(number) % size, 7)
            )
            rows.append([size, name, build_s * 1e3, int(1 / choice_s), change * 1e6])
    table.show("Choices", ["endpoints", "structure", "build ms", "choices/s", "change µs"], rows)


if __name__ == "__main__":
    main()
