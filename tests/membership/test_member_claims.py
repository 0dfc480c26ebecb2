"""Merging, expiry and gossip of claims and metadata."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from cluster_simulation import make_claim, member_of, start_cluster
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.membership.claims import Claim, Info
from cairnvane.membership.gossip import MAX_QUEUED_CLAIMS, ClaimQueue, transmit_limit
from cairnvane.membership.member_table import Table
from cairnvane.membership.messages import Ping

claims = st.builds(make_claim, st.integers(1, 3), st.integers(0, 3), st.integers(0, 3))


@settings(derandomize=True)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_merge_result_is_independent_of_claim_order_and_repetition(
    received: list[Claim],
    rng: random.Random,
) -> None:
    table, shuffled_table = Table(), Table()
    shuffled = received * 2
    rng.shuffle(shuffled)
    for claim in received:
        table.merge(claim, 0)
    for claim in shuffled:
        shuffled_table.merge(claim, 0)
    ranks = {instance_id: record.claim.rank for instance_id, record in table.records.items()}
    assert ranks == {instance_id: record.claim.rank for instance_id, record in shuffled_table.records.items()}


def test_only_a_higher_incarnation_revives_a_failed_instance_and_a_left_one_stays_left() -> None:
    table = Table()
    for claim, status in (
        (make_claim(), 0),
        (make_claim(status=2), 2),
        (make_claim(), 2),
        (make_claim(incarnation=1), 0),
        (make_claim(status=1, incarnation=1), 1),
        (make_claim(incarnation=1), 1),
        (make_claim(status=3), 3),
        (make_claim(incarnation=9), 3),
    ):
        table.merge(claim, 0)
        assert table.records[1].status == status


def test_unknown_metadata_keys_are_kept_and_oversized_metadata_is_rejected() -> None:
    table = Table()
    table.merge(make_claim(), 0)
    assert table.update_metadata(Info(1, 0, 2, {"load": 0.5, "of a later version": "x"}))
    assert not table.update_metadata(Info(1, 0, 1, {"load": 0.9}))
    assert not table.update_metadata(Info(1, 0, 3, {"a": "x" * 999}))
    assert table.records[1].info == Info(1, 0, 2, {"load": 0.5, "of a later version": "x"})


def test_tombstones_expire_by_age_and_by_count() -> None:
    table = Table()
    for instance_id in range(1, 9):
        table.merge(make_claim(instance_id, 2), instance_id)
    assert table.remove_expired(10, retention=100, max_per_name=4) == [1, 2, 3, 4]
    assert table.remove_expired(107, retention=100, max_per_name=4) == [5, 6] and set(table.records) == {7, 8}


def test_claim_queue_limits_transmissions_and_size() -> None:
    queue = ClaimQueue()
    for instance_id in range(MAX_QUEUED_CLAIMS + 50):
        queue.add(make_claim(instance_id))
    assert len(queue) == MAX_QUEUED_CLAIMS
    transmissions = 0
    while picked := queue.pick(6, 12):
        transmissions += len(picked)
    assert transmissions == MAX_QUEUED_CLAIMS * transmit_limit(12)
    queue.add(make_claim(7, 1))
    queue.add(make_claim(8, 1))
    assert queue.pick(2, 12, first=7)[0].instance_id == 7


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"host": "name.to.look.up"},
        {"port": 0},
        {"port": 70_000},
        {"name": "n" * 41},
        {"status": 9},
        {"incarnation": 1 << 40},
    ],
)
def test_invalid_claim_adds_no_member(invalid_fields: dict[str, Any]) -> None:
    world = start_cluster(2)
    member = member_of(world, 0)
    known = set(member.table.records)
    valid_claim = Claim(55, "n5", "p5", "10.0.0.1", 5, 0, 0)
    invalid_claim = msgspec.structs.replace(valid_claim, **invalid_fields)
    member.handle(world.now, 77, 1, ("h", 9), Ping(3, member.own.instance_id, [invalid_claim]))
    assert set(member.table.records) == known and member.counts.insane == 1
    member.handle(world.now, 77, 2, ("h", 9), Ping(3, member.own.instance_id, [valid_claim]))
    assert set(member.table.records) == known | {55}
