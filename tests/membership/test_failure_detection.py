"""Clusters in virtual time: failures are detected, and no running member is declared failed."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from cluster_simulation import agrees, count_failure_verdicts, member_of, start_cluster

from cairnvane.membership import ping_schedule, suspicion, swim
from cairnvane.testbed.simulation.membership import SECOND, Case, CaseReport, cases


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_killed_member_is_detected_by_all_without_false_failures(seed: int, loss: float) -> None:
    world = start_cluster(12, seed, loss)
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) == 0
    world.kill(5)
    assert agrees(world, within_s=4)


@pytest.mark.parametrize("members", [5, 12])
@pytest.mark.parametrize("seed", range(4))
def test_no_false_failure_with_thirty_percent_datagram_loss(members: int, seed: int) -> None:
    world = start_cluster(members, seed, 0.3)
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) == 0, f"seed {seed}"


def test_sixty_members_with_thirty_percent_loss_detect_a_kill_without_false_failures() -> None:
    """Each suspicion queues two claims; with too many of them, refutations would not get through."""
    world = start_cluster(60, loss=0.3)
    world.run(world.now + 10 * SECOND)
    assert count_failure_verdicts(world) == 0
    assert (
        sum(event.event == "member.suspected" and "why" in event.details for _, _, event in world.told) < 120
    )
    world.kill(30)
    assert agrees(world)


@pytest.mark.parametrize("seconds", [1, 3, 30])
def test_resumed_member_declares_no_failure_and_is_seen_as_up_again(seconds: int) -> None:
    world = start_cluster(5, seed=seconds)
    world.freeze(2, True)
    world.run(world.now + seconds * SECOND)
    world.freeze(2, False)
    resumed_at = world.now
    world.run(world.now + SECOND)
    assert agrees(world)
    events_after_resume = [event for at, number, event in world.told if number == 2 and at >= resumed_at]
    assert not any("accusers" in event.details for event in events_after_resume)
    assert member_of(world, 2).counts.held_up > 0


CUTS: dict[str, tuple[int, Callable[[int, int], bool]]] = {
    "one way": (5, lambda source, target: (source, target) == (0, 1)),
    "chain": (3, lambda source, target: {source, target} == {0, 2}),
}


@pytest.mark.parametrize("name", list(CUTS))
def test_member_reachable_only_through_helpers_is_not_declared_failed(name: str) -> None:
    members, cut = CUTS[name]
    world = start_cluster(members)
    world.cut = cut
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) == 0 and world.agree()


def test_simultaneous_failure_of_twenty_of_sixty_is_detected() -> None:
    world = start_cluster(60)
    killed = {f"{world.kill(number):016x}" for number in range(0, 60, 3)}
    assert agrees(world, within_s=20)
    assert {event.details["life"] for _, _, event in world.told if event.event == "member.failed"} == killed


def test_hard_cases_of_a_large_cluster_end_in_agreement_without_false_failures() -> None:
    report = cases([12], 1)
    assert report.good and len(report.rows) == 3, report.lines()
    assert not CaseReport([Case("third", 12, [], 1, 0, 1.0)]).good
    assert not CaseReport([Case("flap", 12, [1.0], 0, 2, 1.0)]).good


def test_fixed_number_of_ping_attempts_causes_many_suspicions_under_loss(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ping_schedule.PingLossEstimator, "attempts_needed", lambda loss: 2)
    world = start_cluster(60, loss=0.3)
    world.run(world.now + 10 * SECOND)
    assert (
        sum(event.event == "member.suspected" and "why" in event.details for _, _, event in world.told) > 160
    )


def test_without_final_pings_running_members_are_declared_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspicion, "suspicion_timeout_us", lambda *args: 1_000)
    monkeypatch.setattr(swim, "required_final_pings", lambda score, attempts: 0)
    monkeypatch.setattr(ping_schedule.PingLossEstimator, "attempts_needed", lambda loss: 2)
    world = start_cluster(5)
    world.loss = 0.3
    world.run(world.now + 20 * SECOND)
    assert count_failure_verdicts(world) > 0


def test_local_health_recovers_after_one_stall() -> None:
    """Long waits after a stall must not count as another stall when an answer leaves nothing else to do."""
    world = start_cluster(4)
    world.run(world.now + 3 * SECOND)
    world.freeze(1, True)
    world.run(world.now + 2 * SECOND)
    world.freeze(1, False)
    world.run(world.now + 15 * SECOND)
    member = member_of(world, 1)
    assert member.counts.held_up == 1 and member.health.score == 0
