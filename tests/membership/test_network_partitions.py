"""Partitions: the verdict of each side, and how the sides reconnect."""

from __future__ import annotations

import msgspec
import pytest
from cluster_simulation import agrees, member_of, partition, start_cluster

from cairnvane.membership import state_exchange
from cairnvane.membership.partition_detector import (
    RECOVERY_HOLD_US,
    Evidence,
    PartitionDetector,
    Verdict,
    assess,
)
from cairnvane.membership.swim import SwimMember
from cairnvane.testbed.simulation.membership import SECOND


@pytest.mark.parametrize(
    "sides",
    [
        [{0, 1}, {2, 3, 4}],
        [{0}, {1, 2, 3, 4}],
        [{0, 1}, {2, 3}, {4}],
        [{0, 1, 2}, {3, 4, 5}],
    ],
    ids=["2 and 3", "1 and 4", "three islands", "3 and 3"],
)
def test_members_agree_after_a_partition_heals_and_another_member_fails(sides: list[set[int]]) -> None:
    world = start_cluster(sum(map(len, sides)))
    world.cut = partition(*sides)
    world.run(world.now + 18 * SECOND)
    for side in sides:
        assert world.agree(sorted(side))
    assessments = {n: member_of(world, n).assessment for n in world.players}
    count = len(world.players)
    for side in sides:
        for number in side:
            is_minority = 2 * len(side) < count
            if is_minority:
                assert assessments[number].verdict is Verdict.APART_FEW
            assert assessments[number].min_members <= len(side) and assessments[number].max_members == count
    last = max(world.players)
    world.kill(last)
    world.cut = lambda source, target: False
    world.bytes = 0
    healed = world.now
    assert agrees(world)
    # The sides merge without a burst of traffic.
    assert world.bytes / count / ((world.now - healed) / SECOND) < 8_192
    world.start(last)
    assert agrees(world)


def test_member_that_moves_to_the_other_side_is_counted_there() -> None:
    world = start_cluster(5)
    world.cut = partition({0, 1, 2}, {3, 4})
    world.run(world.now + 8 * SECOND)
    world.cut = partition({0, 1}, {2, 3, 4})
    assert agrees(world, [0, 1]) and agrees(world, [2, 3, 4])


def test_epoch_rises_when_one_member_replaces_another() -> None:
    """The number of members is the same but the set is not: decisions on the old set no longer hold."""
    world = start_cluster(3)
    world.run(world.now + 5 * SECOND)
    member = member_of(world, 0)
    before = member.assessment
    replaced = next(record for record in member.up_members() if record.claim.name == "n2")
    member.table.drop(replaced.claim.instance_id)
    member.table.merge(msgspec.structs.replace(replaced.claim, instance_id=99, name="n9"), world.now)
    member.table.records[99].last_heard_at = replaced.last_heard_at
    member.tick(world.now)
    assert (member.assessment.min_members, member.assessment.max_members) == (
        before.min_members,
        before.max_members,
    )
    assert member.assessment.epoch == before.epoch + 1


def test_restarted_servers_are_together_and_counted_once() -> None:
    """The earlier instances are not counted as lost, since their servers are up again."""
    world = start_cluster(3)
    for number in (1, 2):
        world.kill(number)
        world.start(number)
    assert agrees(world)
    world.run(world.now + 3 * SECOND)
    assessments = [member_of(world, number).assessment for number in world.players]
    assert {(found.verdict, found.min_members, found.max_members) for found in assessments} == {
        (Verdict.TOGETHER, 3, 3)
    }


@pytest.mark.parametrize(
    ("evidence", "verdict"),
    [
        (Evidence(12, 12, 0, 0), Verdict.TOGETHER),
        (Evidence(12, 11, 1, 0), Verdict.TOGETHER),
        (Evidence(12, 12, 0, 6), Verdict.DOUBTFUL),
        (Evidence(12, 6, 6, 0, 4), Verdict.DOUBTFUL),
        (Evidence(5, 2, 3, 0), Verdict.APART_FEW),
        (Evidence(5, 3, 2, 0), Verdict.APART_MANY),
        (Evidence(6, 3, 3, 0), Verdict.APART_MANY),
    ],
)
def test_verdict_on_evidence(evidence: Evidence, verdict: Verdict) -> None:
    assert assess(evidence)[0] is verdict


def test_lost_external_signals_raise_the_confidence_of_being_cut_off() -> None:
    confidences = [
        assess(
            Evidence(5, 1, 4, 0, registry_answers=signal, requests_arrive=signal, worker_pool_bound=signal)
        )[1]
        for signal in (True, None, False)
    ]
    assert confidences == sorted(confidences) and confidences[0] < confidences[2]


def test_recovery_takes_effect_after_the_hold_time() -> None:
    detector = PartitionDetector(0)
    assert detector.update(1, Evidence(5, 1, 4, 0), 1, 5, False)
    expected = (
        (2, Verdict.APART_FEW),
        (RECOVERY_HOLD_US, Verdict.APART_FEW),
        (RECOVERY_HOLD_US + 2, Verdict.TOGETHER),
    )
    for now, verdict in expected:
        detector.update(now, Evidence(5, 5, 0, 0), 5, 5, False)
        assert detector.assessment.verdict is verdict


def _do_nothing(*args: object) -> None:
    return None


@pytest.mark.parametrize(("method", "members"), [("_refute_claim", 5), ("_revisit", 5)])
def test_without_refutations_or_pings_of_failed_members_a_partition_never_heals(
    method: str,
    members: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SwimMember, method, _do_nothing)
    if method == "_revisit":
        # Exchanges of whole states must not reconnect the sides either.
        monkeypatch.setattr(state_exchange, "FULL_RATE_MEMBERS", 1e-9)
    world = start_cluster(members)
    world.cut = partition({0, 1}, {2, 3, 4})
    world.run(world.now + 13 * SECOND)
    world.cut = lambda source, target: False
    assert not agrees(world)
