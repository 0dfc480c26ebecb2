"""Plays of an experiment side by side, a process for each core."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, TypeVar

R = TypeVar("R")
Case = tuple[Any, ...]


def spread(
    play: Callable[..., R],
    cases: Sequence[Case],
    seeds: int,
    say: Callable[[str], None],
) -> Iterator[tuple[Case, list[R]]]:
    """Each case with the results of its seeds, from 0 on, in the order of the cases. `play` gets the parts of
    a case and the seed."""
    with ProcessPoolExecutor() as workers:
        begun = {case: [workers.submit(play, *case, seed) for seed in range(seeds)] for case in cases}
        for case, plays in begun.items():
            yield case, [one.result() for one in plays]
            say(f"{', '.join(map(str, case))}: done")
