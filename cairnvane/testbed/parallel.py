"""Runs the cases of an experiment in parallel, in one process per core."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")
Case = tuple[Any, ...]


def run_cases(
    run: Callable[..., ResultT],
    cases: Sequence[Case],
    seeds: int,
    say: Callable[[str], None],
) -> Iterator[tuple[Case, list[ResultT]]]:
    """Yield each case with the results of its seeds (from 0), in the order of the cases.

    `run` is called with the values of a case and a seed; `say` is called with a progress line for each
    completed case.
    """
    with ProcessPoolExecutor() as workers:
        futures = {case: [workers.submit(run, *case, seed) for seed in range(seeds)] for case in cases}
        for case, results in futures.items():
            yield case, [result.result() for result in results]
            say(f"{', '.join(map(str, case))}: done")
