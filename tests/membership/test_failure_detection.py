"""Members in virtual time: failures are found, and no member that is up is declared failed."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from cluster_simulation import agrees, count_failure_verdicts, member_of, start_cluster

from cairnvane.membership import ping_schedule, suspicion, swim
from cairnvane.testbed.simulation.membership import SECOND, Case, CaseReport, cases


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_a_kill_is_known_to_all_and_nobody_else_is_declared_failed(seed: int, loss: float) -> None:
    world = start_cluster(12, seed, loss)
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) == 0
    world.kill(5)
    assert agrees(world, within_s=4)


@pytest.mark.parametrize("members", [5, 12])
@pytest.mark.parametrize("seed", range(4))
def test_with_three_in_ten_datagrams_lost_nobody_is_declared_failed(members: int, seed: int) -> None:
    world = start_cluster(members, seed, 0.3)
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) == 0, f"seed {seed}"


def test_sixty_with_three_in_ten_lost_declare_nobody_failed_and_find_a_kill() -> None:
    """Each suspicion costs two queue: they must not be so many that no refutation gets through."""
    world = start_cluster(60, loss=0.3)
    world.run(world.now + 10 * SECOND)
    assert count_failure_verdicts(world) == 0
    assert (
        sum(event.event == "member.suspected" and "why" in event.details for _, _, event in world.told) < 120
    )
    world.kill(30)
    assert agrees(world)


@pytest.mark.parametrize("seconds", [1, 3, 30])
def test_a_member_that_was_frozen_accuses_nobody_and_is_taken_back(seconds: int) -> None:
    world = start_cluster(5, seed=seconds)
    world.freeze(2, True)
    world.run(world.now + seconds * SECOND)
    world.freeze(2, False)
    woken = world.now
    world.run(world.now + SECOND)
    assert agrees(world)
    events_of_woken = [event for at, number, event in world.told if number == 2 and at >= woken]
    assert not any("accusers" in event.details for event in events_of_woken)
    assert member_of(world, 2).counts.held_up > 0


CUTS: dict[str, tuple[int, Callable[[int, int], bool]]] = {
    "one way": (5, lambda source, to: (source, to) == (0, 1)),
    "chain": (3, lambda source, to: {source, to} == {0, 2}),
}


@pytest.mark.parametrize("name", list(CUTS))
def test_a_member_that_is_reached_through_others_is_declared_failed_by_none(name: str) -> None:
    members, cut = CUTS[name]
    world = start_cluster(members)
    world.cut = cut
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) == 0 and world.agree()


def test_the_simultaneous_loss_of_twenty_of_sixty_is_found() -> None:
    world = start_cluster(60)
    lost = {f"{world.kill(number):016x}" for number in range(0, 60, 3)}
    assert agrees(world, within_s=20)
    assert {event.details["life"] for _, _, event in world.told if event.event == "member.failed"} == lost


def test_the_hard_cases_of_a_large_cluster_end_in_agreement_without_a_false_verdict() -> None:
    report = cases([12], 1)
    assert report.good and len(report.rows) == 3, report.lines()
    assert not CaseReport([Case("third", 12, [], 1, 0, 1.0)]).good
    assert not CaseReport([Case("flap", 12, [1.0], 0, 2, 1.0)]).good


def test_with_two_attempts_whatever_the_loss_many_are_suspected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ping_schedule.PingLossEstimator, "attempts_needed", lambda loss: 2)
    world = start_cluster(60, loss=0.3)
    world.run(world.now + 10 * SECOND)
    assert (
        sum(event.event == "member.suspected" and "why" in event.details for _, _, event in world.told) > 160
    )


def test_without_final_pings_members_that_are_up_are_declared_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspicion, "suspicion_timeout_us", lambda *args: 1_000)
    monkeypatch.setattr(swim, "required_final_pings", lambda doubt, tries: 0)
    monkeypatch.setattr(ping_schedule.PingLossEstimator, "attempts_needed", lambda loss: 2)
    world = start_cluster(5)
    world.loss = 0.3
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) > 0


def test_a_member_that_was_held_up_once_recovers_its_local_health() -> None:
    """An answer that leaves nothing to do for a while is no sign of a stall, though waits are long then."""
    world = start_cluster(4)
    world.run(world.now + 3 * SECOND)
    world.freeze(1, True)
    world.run(world.now + 2 * SECOND)
    world.freeze(1, False)
    world.run(world.now + 15 * SECOND)
    member = member_of(world, 1)
    assert member.counts.held_up == 1 and member.health.score == 0
