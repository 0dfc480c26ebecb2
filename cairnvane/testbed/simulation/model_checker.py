"""`cairnvane lab explore`: exhaustive exploration of small clusters of members.

Every order of messages, losses, duplicates, restarts and departures up to a depth is explored, with the real
`SwimMember` and without randomness. The invariants are checked after each step. From each state at full depth
the cluster continues without faults and must become stable: all running members see each other and no other
process, and no more gossip is sent.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from .invariants import InvariantError
from .mutants import MUTANTS as MUTANTS
from .world import World as World
from .world_states import State

# Methods of `World` that create the initial states.
BEGINNINGS = ("joined", "suspected", "cut", "restarted")


@dataclass
class Report:
    """Result of an exploration; field names are keys of the JSON report."""

    members: int
    depth: int
    mutant: str
    states: dict[str, int] = field(default_factory=dict)  # by initial state
    ends: dict[str, int] = field(default_factory=dict)
    cut_short: bool = False
    broken: str = ""
    path: list[str] = field(default_factory=list)  # names of the steps that lead to the violation

    @property
    def good(self) -> bool:
        """Whether all invariants held; with a mutant, whether one was violated."""
        return bool(self.broken) is bool(self.mutant)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        lines = [
            f"{self.members} members, {self.depth} steps from {name}: {count} states, "
            f"all {self.ends[name]} final states became stable"
            for name, count in self.states.items()
        ]
        if self.broken:
            lines += [f"BROKEN: {self.broken}", *(f"  {step}" for step in self.path)]
        return [
            *lines,
            *(["cut short: some states were not explored"] if self.cut_short else []),
            "good" if self.good else "WRONG",
        ]


class _WalkResult(NamedTuple):
    """Result of exploring one share of the states."""

    states: int
    ends: int  # paths of full depth
    broken: str  # the violated invariant; empty if none
    path: list[str]  # names of the steps that lead to the violation
    cut_short: bool  # there were more states than allowed


def _walk(
    world: World,
    begin: State,
    path: list[str],
    depth: int,
    most: int,
) -> _WalkResult:
    """Explore all paths from a state up to a depth; `path` led to the state from the initial one."""
    seen: dict[bytes, int] = {}  # by digest, the length of the shortest path to the state
    stack = [(begin, path)]
    ends = 0
    current_path = path
    while stack:
        state, current_path = stack.pop()
        digest = state.digest
        if seen.get(digest, depth + 1) <= len(current_path):
            continue
        seen[digest] = len(current_path)
        if len(seen) > most:
            return _WalkResult(len(seen), ends, "", [], True)
        try:
            if len(current_path) >= depth:
                ends += 1
                world.at_rest(state)
                continue
            before = current_path
            for name, step in world.steps(state):
                current_path = [*before, name]
                stack.append((step(), current_path))
        except InvariantError as error:
            return _WalkResult(len(seen), ends, str(error), current_path, False)
    return _WalkResult(len(seen), ends, "", [], False)


def _explore_share(
    members: int,
    begin: State,
    path: list[str],
    depth: int,
    most: int,
    mutant: str,
) -> _WalkResult:
    """Explore one worker's share: all paths from a state, with the mutant applied."""
    with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return _walk(World(members), begin, path, depth, most)


def _shares(world: World, begin: State, depth: int) -> list[tuple[State, list[str]]]:
    """All states after the first two steps (fewer if `depth` is small), as shares of work for the workers.

    If a step violates an invariant, the `InvariantError` also carries the path as its second argument.
    """
    shares = [(begin, list[str]())]
    for _ in range(min(2, depth - 1)):
        after = []
        for state, path in shares:
            for name, step in world.steps(state):
                try:
                    after.append((step(), [*path, name]))
                except InvariantError as error:
                    raise InvariantError(str(error), [*path, name]) from None
        shares = after
    return shares


# Maximum number of states in one worker's share.
MAX_STATES = 200_000


def explore(
    members: int,
    depth: int,
    *,
    beginnings: Sequence[str] = BEGINNINGS,
    mutant: str = "",
    most: int = MAX_STATES,
    workers: int | None = None,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """Explore all paths of `depth` steps; `most`: the maximum number of states in one worker's share."""
    report = Report(members, depth, mutant)
    world = World(members)
    with ProcessPoolExecutor(workers) as pool:
        for beginning in beginnings:
            begin: State = getattr(world, beginning)()
            report.states[beginning] = report.ends[beginning] = 0
            try:
                with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
                    shares = _shares(world, begin, depth)
            except InvariantError as error:
                report.broken = error.args[0]
                report.path = [f"from {beginning}", *error.args[1]]
                break
            futures = [
                pool.submit(_explore_share, members, state, path, depth, most, mutant)
                for state, path in shares
            ]
            for future in futures:
                result = future.result()
                report.states[beginning] += result.states
                report.ends[beginning] += result.ends
                report.cut_short |= result.cut_short
                if result.broken and not report.broken:
                    report.broken = result.broken
                    report.path = [f"from {beginning}", *result.path]
            say(f"{beginning}: {report.states[beginning]} states")
            if report.broken:
                break
    return report
