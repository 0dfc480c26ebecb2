"""`cairnvane lab members`: the real membership protocol at sizes too large for processes on one machine.

Two baselines run on the same links: a plain heartbeat to all, and SWIM without suspicion. The report shows
how soon all members detect a kill, how often running members are declared failed, and the traffic; and for
some difficult cases, how soon all members agree again.
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
    """Results for a size, a protocol and a rate of loss, over all seeds; field names are JSON keys."""

    way: str
    members: int
    loss: float
    detect_ms: list[float]  # time until all members detected a kill, for each seed in which they did
    missed: int  # number of seeds in which not all members detected the kill
    false_failed: int  # failure verdicts on running members, over all seeds
    hours: float  # observation time of all members together, for `false_failed`
    bytes_a_second: float  # sent per member
    messages_a_second: float
    largest: int


@dataclass
class Report:
    """Results of all cases."""

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
            times = row.detect_ms or [float("nan")]
            lines.append(
                f"{row.way:14} {row.members:7} {row.loss:5.2f} "
                f"{statistics.median(times):25.0f} {max(times):6.0f} {row.missed:6} {row.false_failed:6} "
                f"{row.bytes_a_second:8.0f} {row.messages_a_second:6.1f} {row.largest:7}"
            )
        return lines


# The compared protocols. Without suspicion, a member that does not answer a probe is declared failed at once,
# and probes are not repeated more often on lossy links.
WAYS = ("suspicion", "no suspicion", "heartbeat")
# Phases of a run: members join, gossip settles, false verdicts are counted, and a kill is detected.
JOIN_S = 20
SETTLE_S = 20
OBSERVATION_S = 20
DETECTION_TIMEOUT_S = 20


class _Detection(NamedTuple):
    """Result of one run with one kill."""

    detect_ms: float | None  # None: not all members detected the kill
    false_failed: int
    bytes_a_second: float
    messages_a_second: float
    largest: int


def _run_detection(way: str, members: int, loss: float, seed: int) -> _Detection:
    options = Options(suspicion=1_000, max_attempts=2) if way == "no suspicion" else Options()
    world = World(seed, 0.0, options, baseline="heartbeat" if way == "heartbeat" else "")
    for number in range(members):
        world.start(number)
    world.run(JOIN_S * SECOND, world.agree, check_interval_us=20_000 * max(1, members // 10))
    world.run(world.now + SETTLE_S * SECOND)  # gossip about the joins has ended by then
    joined = world.now
    world.loss, world.bytes, world.messages = loss, 0, 0
    false_failed, failed_by_observer = 0, {number: set[int]() for number in range(members)}

    def count_new_failures() -> bool:
        nonlocal false_failed
        for number, player in world.players.items():
            failed = {other.life for other in world.players.values() if player.failed(other.life)}
            false_failed += len(failed - failed_by_observer[number])
            failed_by_observer[number] = failed
        return False

    if way == "heartbeat":
        world.run(joined + OBSERVATION_S * SECOND, count_new_failures, check_interval_us=250_000)
    else:  # the members report each verdict as an event
        before = len(world.told)
        world.run(joined + OBSERVATION_S * SECOND)
        false_failed = sum("accusers" in event.details for _, _, event in world.told[before:])
    bytes_a_second = world.bytes / members / OBSERVATION_S
    messages_a_second = world.messages / members / OBSERVATION_S
    life = world.kill(members // 2)
    killed_at = world.now
    detected = world.run(
        killed_at + DETECTION_TIMEOUT_S * SECOND,
        lambda: all(world.players[number].failed(life) for number in world.up()),
    )
    detect_ms = (world.now - killed_at) / 1e3 if detected else None
    return _Detection(detect_ms, false_failed, bytes_a_second, messages_a_second, world.largest)


# join: all members join at once. third: a third of them is killed at once. flap: one member in twenty
# restarts every two seconds, for `FLAP_S`.
CASES = ("join", "third", "flap")
FLAP_S = 20
FLAP_INTERVAL_S = 2
MEMBERS_PER_RESTART = 20
# All members have to agree again within this time.
AGREEMENT_TIMEOUT_S = 60


@dataclass(frozen=True)
class Case:
    """Results for a difficult case and a size, over all seeds; field names are keys of the JSON report."""

    case: str
    members: int
    agree_s: list[float]  # time until all running members agreed, for each seed in which they did
    missed: int  # number of seeds in which they did not
    false_failed: int  # failure verdicts on running members, over all seeds
    bytes_a_second: float  # sent per member until then


class _Agreement(NamedTuple):
    """Result of one run of a difficult case."""

    agree_s: float | None  # None: not all members agreed
    false_failed: int
    bytes_a_second: float


def _run_case(case: str, members: int, seed: int) -> _Agreement:
    world = World(seed)
    check_interval_us = 20_000 * max(1, members // 10)
    for number in range(members):
        world.start(number)
    if case != "join":
        world.run(JOIN_S * SECOND, world.agree, check_interval_us)
        world.run(world.now + SETTLE_S * SECOND)
    began = world.now
    events_before = len(world.told)
    world.bytes = 0
    dead: set[str] = set()
    if case == "third":
        dead = {f"{world.kill(number):016x}" for number in range(0, members, 3)}
    while case == "flap" and world.now < began + FLAP_S * SECOND:
        # A new process that answers at a member's address proves that the earlier process has ended.
        restarted = world.random.sample(range(CONTACTS, members), max(1, members // MEMBERS_PER_RESTART))
        dead |= {f"{world.kill(number):016x}" for number in restarted}
        world.run(world.now + SECOND)
        for number in restarted:
            world.start(number)
        world.run(world.now + (FLAP_INTERVAL_S - 1) * SECOND)
    changed = world.now
    agreed = world.run(changed + AGREEMENT_TIMEOUT_S * SECOND, world.agree, check_interval_us)
    false_failed = sum(
        event.event == "member.failed" and "accusers" in event.details and event.details["life"] not in dead
        for _, _, event in world.told[events_before:]
    )
    duration_s = (world.now - began) / SECOND
    agree_s = (world.now - changed) / SECOND if agreed else None
    return _Agreement(agree_s, false_failed, world.bytes / members / max(duration_s, 0.1))


@dataclass
class CaseReport:
    """Results of all difficult cases."""

    rows: list[Case]

    @property
    def good(self) -> bool:
        """Whether all members agreed again, and no running member was declared failed."""
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
            times = row.agree_s or [float("nan")]
            lines.append(
                f"{row.case:6} {row.members:7} {statistics.median(times):23.1f} {max(times):6.1f} "
                f"{row.missed:6} {row.false_failed:6} {row.bytes_a_second:8.0f}"
            )
        return [*lines, "good" if self.good else "WRONG"]


def cases(
    sizes: Sequence[int],
    seeds: int,
    names: Sequence[str] = CASES,
    say: Callable[[str], None] = lambda line: None,
) -> CaseReport:
    """Run the difficult cases, using all cores."""
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
    """Run all protocols at all sizes and rates of loss, using all cores."""
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
                seeds * members * OBSERVATION_S / 3_600,
                statistics.mean(result.bytes_a_second for result in results),
                statistics.mean(result.messages_a_second for result in results),
                max(result.largest for result in results),
            )
        )
    return Report(rows)
