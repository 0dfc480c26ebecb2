"""Message envelopes: authentication, size limits, and protection against replay."""

from __future__ import annotations

import contextlib

import pytest
from cluster_simulation import make_claim, member_of, start_cluster
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.membership import messages
from cairnvane.membership.claims import Claim, Info
from cairnvane.membership.envelope import EnvelopeError, ReplayWindow, keyed_hash
from cairnvane.membership.messages import Ack, Ping, View, seal, unseal
from cairnvane.membership.swim import Send

KEY = b"of the tests"


def test_sealed_message_round_trips_and_a_modified_one_is_rejected() -> None:
    message = Ping(7, 2, [make_claim()], [Info(1, 0, 1, {"load": 1.5})])
    data = seal(KEY, 5, 9, message)
    assert unseal(KEY, data) == (5, 9, message)
    for position in range(len(data)):
        with pytest.raises(EnvelopeError):
            unseal(KEY, data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :])
    for invalid_data, fault in (
        (data[:-1], "stranger"),
        (data[:20], "torn"),
        (data + bytes(2_000), "oversized"),
    ):
        with pytest.raises(EnvelopeError, match=fault):
            unseal(KEY, invalid_data)


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=1_500))
def test_arbitrary_bytes_raise_nothing_but_an_envelope_error(body: bytes) -> None:
    header = seal(KEY, 5, 9, Ping(1, 2))[:20]
    for data in (body, header + body, header + body + keyed_hash(KEY, header + body)):
        with contextlib.suppress(EnvelopeError):
            unseal(KEY, data)


@settings(derandomize=True)
@given(st.lists(st.integers(0, 200), max_size=300))
def test_replay_window_accepts_each_number_once(numbers: list[int]) -> None:
    window, accepted = ReplayWindow(), list[int]()
    for number in numbers:
        if window.accept(number):
            accepted.append(number)
    assert len(accepted) == len(set(accepted)) and 0 not in accepted
    assert not numbers or max(numbers) == 0 or max(numbers) in accepted


def test_largest_datagram_stays_within_the_limit() -> None:
    longest_claim = Claim(
        1 << 63, "n" * 40, "255.255.255.255:65535", "255.255.255.255", 65_535, 2, 1 << 30, 1 << 63
    )
    largest_info = Info(1 << 63, 1 << 30, 1 << 30, {"x": "y" * 200})
    largest = Ack(
        1 << 40,
        1 << 63,
        [longest_claim] * messages.MAX_CLAIMS,
        [largest_info] * messages.MAX_METADATA_ENTRIES,
    )
    assert len(seal(KEY, 1 << 63, 1 << 63, largest)) < messages.MAX_DATAGRAM_BYTES


def test_split_state_contains_each_instance_once() -> None:
    world = start_cluster(80)
    member = member_of(world, 0)
    views = member.state_messages(True)
    assert [view.answer for view in views] == [True, False]
    instance_ids = [claim.instance_id for view in views for claim in view.claims]
    assert len(instance_ids) == len(set(instance_ids)) == 80


def test_ping_for_an_earlier_instance_is_answered_and_its_replay_is_ignored() -> None:
    world = start_cluster(2)
    member = member_of(world, 0)
    actions = member.handle(world.now, 77, 1, ("h", 9), Ping(3, 12_345))
    (sent,) = [action for action in actions if isinstance(action, Send)]
    assert isinstance(sent.message, Ack) and sent.message.target == member.own.instance_id
    assert member.handle(world.now, 77, 1, ("h", 9), Ping(3, 12_345)) == [] and member.counts.replayed == 1
    assert member.handle(world.now, member.own.instance_id, 2, ("h", 9), View(False)) == []
