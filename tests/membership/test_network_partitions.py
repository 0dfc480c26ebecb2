"""Partitions: which side takes itself for cut off, and how the sides find each other again."""

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
def test_after_a_partition_heals_all_agree_though_one_more_failed(sides: list[set[int]]) -> None:
    world = start_cluster(sum(map(len, sides)))
    world.cut = partition(*sides)
    world.run(world.now + 18 * SECOND)
    for side in sides:
        assert world.agree(sorted(side))
    assessments = {n: member_of(world, n).assessment for n in world.players}
    count = len(world.players)
    for side in sides:
        for number in side:
            few = 2 * len(side) < count
            if few:
                assert assessments[number].verdict is Verdict.APART_FEW
            assert assessments[number].min_members <= len(side) and assessments[number].max_members == count
    last = max(world.players)
    world.kill(last)
    world.cut = lambda source, to: False
    world.bytes = 0
    healed = world.now
    assert agrees(world)
    assert world.bytes / count / ((world.now - healed) / SECOND) < 8_192  # merged without a storm
    world.start(last)
    assert agrees(world)


def test_a_member_that_moves_to_the_other_side_is_counted_there() -> None:
    world = start_cluster(5)
    world.cut = partition({0, 1, 2}, {3, 4})
    world.run(world.now + 8 * SECOND)
    world.cut = partition({0, 1}, {2, 3, 4})
    assert agrees(world, [0, 1]) and agrees(world, [2, 3, 4])


def test_the_epoch_rises_when_one_member_takes_the_place_of_another() -> None:
    """As many are there as before, but not the same: what was decided on them no longer holds."""
    world = start_cluster(3)
    world.run(world.now + 5 * SECOND)
    member = member_of(world, 0)
    before = member.assessment
    life = next(one for one in member.up_members() if one.claim.name == "n2")
    member.table.drop(life.claim.life)
    member.table.merge(msgspec.structs.replace(life.claim, life=99, name="n9"), world.now)
    member.table.records[99].last_heard_at = life.last_heard_at
    member.tick(world.now)
    assert (member.assessment.min_members, member.assessment.max_members) == (
        before.min_members,
        before.max_members,
    )
    assert member.assessment.epoch == before.epoch + 1


def test_restarted_servers_are_together_and_counted_once() -> None:
    """The lives before are over, not lost: their servers are there."""
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
    ("seen", "verdict"),
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
def test_verdict_on_evidence(seen: Evidence, verdict: Verdict) -> None:
    assert assess(seen)[0] is verdict


def test_lost_external_signals_raise_the_confidence_of_being_cut_off() -> None:
    sure = [
        assess(Evidence(5, 1, 4, 0, registry_answers=told, requests_arrive=told, worker_pool_bound=told))[1]
        for told in (True, None, False)
    ]
    assert sure == sorted(sure) and sure[0] < sure[2]


def test_a_better_verdict_counts_once_it_has_held() -> None:
    judgement = PartitionDetector(0)
    assert judgement.update(1, Evidence(5, 1, 4, 0), 1, 5, False)
    some = (
        (2, Verdict.APART_FEW),
        (RECOVERY_HOLD_US, Verdict.APART_FEW),
        (RECOVERY_HOLD_US + 2, Verdict.TOGETHER),
    )
    for at, verdict in some:
        judgement.update(at, Evidence(5, 5, 0, 0), 5, 5, False)
        assert judgement.assessment.verdict is verdict


def _nobody(*args: object) -> None:
    return None


@pytest.mark.parametrize(("rule", "members"), [("_refute_claim", 5), ("_revisit", 5)])
def test_without_refutations_or_pings_of_failed_members_a_partition_never_heals(
    rule: str,
    members: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SwimMember, rule, _nobody)
    if rule == "_revisit":
        monkeypatch.setattr(
            state_exchange, "FULL_RATE_MEMBERS", 1e-9
        )  # nor does a whole view bring them back
    world = start_cluster(members)
    world.cut = partition({0, 1}, {2, 3, 4})
    world.run(world.now + 13 * SECOND)
    world.cut = lambda source, to: False
    assert not agrees(world)
