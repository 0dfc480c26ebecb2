"""`cairnvane lab explore`: small worlds of members explored exhaustively.

Every order of messages, losses, duplicates, restarts and departures up to a depth is followed, with the real
`SwimMember` and nothing left to chance. Each step is checked against the invariants; and from each last state
the world goes on without faults, and has to come to rest: all running members see each other, nobody else is
there, and no gossip is sent any more.
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

# Methods of `World` that make the states from which paths begin.
BEGINNINGS = ("joined", "suspected", "cut", "restarted")


@dataclass
class Report:
    """What was explored; the names are the keys of the JSON report."""

    members: int
    depth: int
    mutant: str
    states: dict[str, int] = field(default_factory=dict)  # by beginning
    ends: dict[str, int] = field(default_factory=dict)
    cut_short: bool = False
    broken: str = ""
    path: list[str] = field(default_factory=list)  # of the names of the steps that lead there

    @property
    def good(self) -> bool:
        """Whether all invariants held; with a mutant, whether one did not."""
        return bool(self.broken) is bool(self.mutant)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        lines = [
            f"{self.members} members, {self.depth} steps from {name}: {count} states, "
            f"{self.ends[name]} ends all came to rest"
            for name, count in self.states.items()
        ]
        if self.broken:
            lines += [f"BROKEN: {self.broken}", *(f"  {step}" for step in self.path)]
        return [
            *lines,
            *(["cut short: not all was seen"] if self.cut_short else []),
            "good" if self.good else "WRONG",
        ]


class _WalkResult(NamedTuple):
    """What one exploration found."""

    states: int
    ends: int  # paths of full depth
    broken: str  # the violated invariant; empty if none
    path: list[str]  # that leads to the violation
    cut_short: bool  # there were more states than allowed


def _walk(
    world: World,
    begin: State,
    path: list[str],
    depth: int,
    most: int,
) -> _WalkResult:
    """Explore all paths from a state, `path` steps after the beginning, up to a depth."""
    seen: dict[bytes, int] = {}  # by digest, the fewest steps that led to the state
    stack = [(begin, path)]
    ends = 0
    current = path
    while stack:
        state, current = stack.pop()
        digest = state.digest
        if seen.get(digest, depth + 1) <= len(current):
            continue
        seen[digest] = len(current)
        if len(seen) > most:
            return _WalkResult(len(seen), ends, "", [], True)
        try:
            if len(current) >= depth:
                ends += 1
                world.at_rest(state)
                continue
            before = current
            for name, step in world.steps(state):
                current = [*before, name]
                stack.append((step(), current))
        except InvariantError as error:
            return _WalkResult(len(seen), ends, str(error), current, False)
    return _WalkResult(len(seen), ends, "", [], False)


def _part(
    members: int,
    begin: State,
    path: list[str],
    depth: int,
    most: int,
    mutant: str,
) -> _WalkResult:
    """One worker's share: explore from a state, to which the path led, with the mutant applied."""
    with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return _walk(World(members), begin, path, depth, most)


def _shares(world: World, begin: State, depth: int) -> list[tuple[State, list[str]]]:
    """All states after two steps, or fewer of a short path: a share for one worker each.

    `InvariantError` carries the path as well if a step breaks an invariant.
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


# The most states of one worker's share.
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
    """Explore all worlds of so many members and steps; `most`: states for one worker's share."""
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
                pool.submit(_part, members, state, path, depth, most, mutant) for state, path in shares
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
