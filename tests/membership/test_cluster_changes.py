"""Clusters in virtual time: restarts, leaving members, new versions, name conflicts."""

from __future__ import annotations

import random

from cluster_simulation import agrees, make_claim, member_of, start_cluster

from cairnvane.membership.claims import Phase
from cairnvane.membership.swim import Exchange, SwimMember
from cairnvane.testbed.simulation.membership import SECOND


def test_members_agree_after_all_restart_within_two_seconds() -> None:
    world = start_cluster(6)
    for number in range(6):
        world.kill(number)
        world.run(world.now + SECOND // 3)
        world.start(number)
    assert agrees(world)


def test_crash_loop_does_not_grow_the_table_or_the_claim_queue() -> None:
    world = start_cluster(5)
    for _ in range(30):
        world.kill(4)
        world.run(world.now + SECOND)
        world.start(4)
        world.run(world.now + SECOND)
    for number in range(4):
        member = member_of(world, number)
        assert sum(record.claim.name == "n4" for record in member.table.records.values()) <= 10
        assert len(member._claim_queue) <= 12
    assert agrees(world)


def test_two_versions_are_one_member_and_a_name_conflict_is_reported() -> None:
    world = start_cluster(3)
    world.start(3, name="n1", place="p1")  # a new version of the same server, beside the old one
    assert agrees(world)
    assert not any(event.event == "member.same_name" for _, _, event in world.told)
    world.start(4, name="n1", place="elsewhere")
    assert agrees(world)
    reporters = {number for _, number, event in world.told if event.event == "member.same_name"}
    assert reporters == {0, 1, 2, 3, 4}


def test_leaving_member_is_not_suspected() -> None:
    world = start_cluster(5)
    world.run(world.now + 3 * SECOND)
    member = member_of(world, 3)
    assert all(record.phase is Phase.SERVING for record in member_of(world, 0).up_members())
    world._do(3, member.leave(world.now))
    world.run(world.now + SECOND // 2)
    world.kill(3)
    assert agrees(world, within_s=3)
    assert not any(event.event in ("member.suspected", "member.failed") for _, _, event in world.told)


def test_join_tries_the_spare_ports_of_a_contact() -> None:
    member = SwimMember(make_claim(1), random.Random(1), 0, contacts=[("h", 50)], spare_ports=2)
    tried_addresses = {
        action.to
        for step in range(1, 5)
        for action in member.tick(step * 1_100_000)
        if isinstance(action, Exchange)
    }
    assert tried_addresses == {("h", 50), ("h", 51), ("h", 52)}
