"""Messages in their envelopes: authenticated, bounded, and protected against replay."""

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


def test_a_sealed_message_is_read_back_and_a_changed_one_is_rejected() -> None:
    message = Ping(7, 2, [make_claim()], [Info(1, 0, 1, {"load": 1.5})])
    data = seal(KEY, 5, 9, message)
    assert unseal(KEY, data) == (5, 9, message)
    for at in range(len(data)):
        with pytest.raises(EnvelopeError):
            unseal(KEY, data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
    for wrong, fault in ((data[:-1], "stranger"), (data[:20], "torn"), (data + bytes(2_000), "oversized")):
        with pytest.raises(EnvelopeError, match=fault):
            unseal(KEY, wrong)


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=1_500))
def test_arbitrary_bytes_raise_nothing_but_an_envelope_error(body: bytes) -> None:
    head = seal(KEY, 5, 9, Ping(1, 2))[:20]
    for data in (body, head + body, head + body + keyed_hash(KEY, head + body)):
        with contextlib.suppress(EnvelopeError):
            unseal(KEY, data)


@settings(derandomize=True)
@given(st.lists(st.integers(0, 200), max_size=300))
def test_replay_window_accepts_each_number_once(numbers: list[int]) -> None:
    seen, taken = ReplayWindow(), list[int]()
    for number in numbers:
        if seen.accept(number):
            taken.append(number)
    assert len(taken) == len(set(taken)) and 0 not in taken
    assert not numbers or max(numbers) == 0 or max(numbers) in taken


def test_the_largest_datagram_stays_within_the_limit() -> None:
    long = Claim(1 << 63, "n" * 40, "255.255.255.255:65535", "255.255.255.255", 65_535, 2, 1 << 30, 1 << 63)
    info = Info(1 << 63, 1 << 30, 1 << 30, {"x": "y" * 200})
    largest = Ack(1 << 40, 1 << 63, [long] * messages.MAX_CLAIMS, [info] * messages.MAX_METADATA_ENTRIES)
    assert len(seal(KEY, 1 << 63, 1 << 63, largest)) < messages.MAX_DATAGRAM_BYTES


def test_a_state_in_parts_holds_each_instance_once() -> None:
    world = start_cluster(80)
    member = member_of(world, 0)
    views = member.state_messages(True)
    assert [view.answer for view in views] == [True, False]
    lives = [claim.life for view in views for claim in view.claims]
    assert len(lives) == len(set(lives)) == 80


def test_a_ping_for_an_earlier_instance_is_answered_by_the_present_one_and_a_replay_by_none() -> None:
    world = start_cluster(2)
    member = member_of(world, 0)
    out = member.handle(world.now, 77, 1, ("h", 9), Ping(3, 12_345))
    (sent,) = [action for action in out if isinstance(action, Send)]
    assert isinstance(sent.message, Ack) and sent.message.target == member.own.life
    assert member.handle(world.now, 77, 1, ("h", 9), Ping(3, 12_345)) == [] and member.counts.replayed == 1
    assert member.handle(world.now, member.own.life, 2, ("h", 9), View(False)) == []
