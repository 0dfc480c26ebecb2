"""`cairnvane lab members`: the real membership protocol at sizes that no machine runs as processes.

Two baselines run on the same links: a plain heartbeat to all, and SWIM without suspicion. Reported is how
soon all detect a kill, how often running members are declared failed, and the traffic; and for some hard
cases, how soon all agree again.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any, NamedTuple

from ...membership.swim import Options
from ..parallel import run_cases
from .virtual_cluster import CONTACTS
from .virtual_cluster import SECOND as SECOND
from .virtual_cluster import World as World


@dataclass(frozen=True)
class Row:
    """One size, protocol and rate of loss, over some seeds; the names are the keys of the JSON report."""

    way: str
    members: int
    loss: float
    detect_ms: list[float]  # until all detected a kill; one for each seed in which all did
    missed: int  # seeds in which not all detected it
    false_failed: int  # failure verdicts on running members, over all seeds
    hours: float  # of observation of members, for that
    bytes_a_second: float  # of one member
    messages_a_second: float
    largest: int


@dataclass
class Report:
    """The table of all results."""

    rows: list[Row]

    @property
    def good(self) -> bool:
        """Whether the real protocol detected every kill, and declared no running member failed."""
        return all(not row.missed and not row.false_failed for row in self.rows if row.way == "suspicion")

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return {"good": self.good, "rows": [asdict(row) for row in self.rows]}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        lines = [
            f"{'way':14} {'members':>7} {'loss':>5} {'known to all, ms: median':>25} {'worst':>6} "
            f"{'missed':>6} {'false':>6} {'B/s':>8} {'msg/s':>6} {'largest':>7}"
        ]
        for row in self.rows:
            took = row.detect_ms or [float("nan")]
            lines.append(
                f"{row.way:14} {row.members:7} {row.loss:5.2f} "
                f"{statistics.median(took):25.0f} {max(took):6.0f} {row.missed:6} {row.false_failed:6} "
                f"{row.bytes_a_second:8.0f} {row.messages_a_second:6.1f} {row.largest:7}"
            )
        return lines


# The protocols that are compared. Without suspicion, a member that gave no answer has failed, and probes are
# not repeated more often where links lose messages.
WAYS = ("suspicion", "no suspicion", "heartbeat")
# Before the kill all members join, and are then observed for false verdicts.
JOIN_S = 20
SETTLE_S = 20
WATCH_S = 20
FIND_S = 20


class _Detection(NamedTuple):
    """Result of one run with one kill."""

    detect_ms: float | None  # None: not all detected it
    false_failed: int
    bytes_a_second: float
    messages_a_second: float
    largest: int


def _run_detection(way: str, members: int, loss: float, seed: int) -> _Detection:
    options = Options(suspicion=1_000, max_attempts=2) if way == "no suspicion" else Options()
    world = World(seed, 0.0, options, baseline="heartbeat" if way == "heartbeat" else "")
    for number in range(members):
        world.start(number)
    world.run(JOIN_S * SECOND, world.agree, look=20_000 * max(1, members // 10))
    world.run(world.now + SETTLE_S * SECOND)  # gossip about the joining is over then
    joined = world.now
    world.loss, world.bytes, world.messages = loss, 0, 0
    false, seen = 0, {number: set[int]() for number in range(members)}

    def count() -> bool:
        nonlocal false
        for number, player in world.players.items():
            failed = {other.life for other in world.players.values() if player.failed(other.life)}
            false += len(failed - seen[number])
            seen[number] = failed
        return False

    if way == "heartbeat":
        world.run(joined + WATCH_S * SECOND, count, look=250_000)
    else:  # it reports each verdict itself
        before = len(world.told)
        world.run(joined + WATCH_S * SECOND)
        false = sum("accusers" in event.details for _, _, event in world.told[before:])
    bytes_a_second = world.bytes / members / WATCH_S
    messages_a_second = world.messages / members / WATCH_S
    life = world.kill(members // 2)
    killed_at = world.now
    detected = world.run(
        killed_at + FIND_S * SECOND, lambda: all(world.players[number].failed(life) for number in world.up())
    )
    detect_ms = (world.now - killed_at) / 1e3 if detected else None
    return _Detection(detect_ms, false, bytes_a_second, messages_a_second, world.largest)


# All join at once; a third is lost at once; one in twenty restarts every two seconds, for so long.
CASES = ("join", "third", "flap")
FLAP_S = 20
FLAP_EVERY_S = 2
FLAP_PART = 20
# All have to agree again within this time.
AGREE_S = 60


@dataclass(frozen=True)
class Case:
    """A hard case at one size, over some seeds; the names are the keys of the JSON report."""

    case: str
    members: int
    agree_s: list[float]  # until all that run saw each other and nobody else; one for each seed that did
    missed: int  # seeds that did not
    false_failed: int  # failure verdicts on running members, over all seeds
    bytes_a_second: float  # a member, until then


class _Agreement(NamedTuple):
    """Result of one run of a hard case."""

    agree_s: float | None  # None: not all agreed
    false_failed: int
    bytes_a_second: float


def _run_case(case: str, members: int, seed: int) -> _Agreement:
    world = World(seed)
    look = 20_000 * max(1, members // 10)
    for number in range(members):
        world.start(number)
    if case != "join":
        world.run(JOIN_S * SECOND, world.agree, look)
        world.run(world.now + SETTLE_S * SECOND)
    began = world.now
    events_before = len(world.told)
    world.bytes = 0
    dead: set[str] = set()
    if case == "third":
        dead = {f"{world.kill(number):016x}" for number in range(0, members, 3)}
    while case == "flap" and world.now < began + FLAP_S * SECOND:
        # A restarted member answers at its own address: that proves the end of the process before.
        restarted = world.random.sample(range(CONTACTS, members), max(1, members // FLAP_PART))
        dead |= {f"{world.kill(number):016x}" for number in restarted}
        world.run(world.now + SECOND)
        for number in restarted:
            world.start(number)
        world.run(world.now + (FLAP_EVERY_S - 1) * SECOND)
    changed = world.now
    agreed = world.run(changed + AGREE_S * SECOND, world.agree, look)
    false = sum(
        event.event == "member.failed" and "accusers" in event.details and event.details["life"] not in dead
        for _, _, event in world.told[events_before:]
    )
    duration_s = (world.now - began) / SECOND
    agree_s = (world.now - changed) / SECOND if agreed else None
    return _Agreement(agree_s, false, world.bytes / members / max(duration_s, 0.1))


@dataclass
class CaseReport:
    """The table of all hard cases."""

    rows: list[Case]

    @property
    def good(self) -> bool:
        """Whether all agreed again, and no running member was declared failed."""
        return not any(row.missed or row.false_failed for row in self.rows)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return {"good": self.good, "rows": [asdict(row) for row in self.rows]}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        lines = [
            f"{'case':6} {'members':>7} {'agree again, s: median':>23} {'worst':>6} {'missed':>6} "
            f"{'false':>6} {'B/s':>8}"
        ]
        for row in self.rows:
            took = row.agree_s or [float("nan")]
            lines.append(
                f"{row.case:6} {row.members:7} {statistics.median(took):23.1f} {max(took):6.1f} "
                f"{row.missed:6} {row.false_failed:6} {row.bytes_a_second:8.0f}"
            )
        return [*lines, "good" if self.good else "WRONG"]


def cases(
    sizes: Sequence[int],
    seeds: int,
    names: Sequence[str] = CASES,
    say: Callable[[str], None] = lambda line: None,
) -> CaseReport:
    """Run the hard cases, on all cores."""
    rows = []
    for (case, members), results in run_cases(
        _run_case, [(case, members) for members in sizes for case in names], seeds, say
    ):
        agree_s = [result.agree_s for result in results if result.agree_s is not None]
        rows.append(
            Case(
                case,
                members,
                agree_s,
                len(results) - len(agree_s),
                sum(result.false_failed for result in results),
                statistics.mean(result.bytes_a_second for result in results),
            )
        )
    return CaseReport(rows)


def measure(
    sizes: Sequence[int],
    losses: Sequence[float],
    seeds: int,
    ways: Sequence[str] = WAYS,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """Run all protocols at all sizes and rates of loss, on all cores."""
    rows = []
    all_cases = [(way, members, loss) for members in sizes for loss in losses for way in ways]
    for (way, members, loss), results in run_cases(_run_detection, all_cases, seeds, say):
        detect_ms = [result.detect_ms for result in results if result.detect_ms is not None]
        rows.append(
            Row(
                way,
                members,
                loss,
                detect_ms,
                len(results) - len(detect_ms),
                sum(result.false_failed for result in results),
                seeds * members * WATCH_S / 3_600,
                statistics.mean(result.bytes_a_second for result in results),
                statistics.mean(result.messages_a_second for result in results),
                max(result.largest for result in results),
            )
        )
    return Report(rows)
