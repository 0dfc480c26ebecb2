"""An endpoint's life, and the hard cases of a description that changes under load."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cairnvane.load_balancing.endpoints import Address, Described, Health, Members, Stage, Ticket
from cairnvane.load_balancing.outlier_detection import Outliers

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))
DRAINING, SICK = Described(health=Health.DRAINING), Described(health=Health.UNHEALTHY)
below = random.Random(7).randrange


def chosen(members: Members, count: int = 200, panic: bool = False) -> set[Address | None]:
    return {members.choose(below, panic) for _ in range(count)}


def test_one_that_vanishes_while_it_drains_keeps_its_calls_and_gets_none() -> None:
    members = Members()
    members.describe(0, {A: Described(), B: Described()}, first=True)
    ticket = members.begin(A)
    members.describe(1, {A: DRAINING, B: Described()})
    assert chosen(members) == {B} and members.known[A].stage is Stage.DRAINING
    members.describe(2, {B: Described()})
    assert chosen(members) == {B} and members.known[A].stage is Stage.LEAVING
    members.end(ticket, True, 3)
    assert A not in members.known


def test_the_last_one_vanishes_and_a_description_that_is_empty_leaves_calls_where_they_are() -> None:
    members = Members()
    members.describe(0, {A: Described()}, first=True)
    ticket = members.begin(A)
    members.describe(1, {})
    assert members.choose(below) is None and members.choose(below, panic=True) is None
    members.describe(2, {A: Described()})  # back under the same address, with a call of its earlier life
    assert chosen(members) == {A} and members.known[A].calls == 1
    members.end(ticket, False, 3)
    assert members.known[A].calls == 0


def test_what_an_earlier_life_did_is_not_held_against_the_next() -> None:
    members = Members(outliers=Outliers(consecutive=1, percent=100))
    members.describe(0, {A: Described(), B: Described()}, first=True)
    ticket = members.begin(A)
    members.describe(1, {B: Described()})
    members.describe(2, {A: Described(), B: Described()})
    members.end(ticket, False, 3)
    assert chosen(members) == {A, B}
    members.end(members.begin(A), False, 4)
    assert chosen(members) == {B}
    members.look(10**9)
    assert chosen(members) == {A, B}


def test_panic_takes_the_sick_but_not_those_that_drain() -> None:
    members = Members()
    members.describe(0, {A: SICK, B: SICK, C: DRAINING}, first=True)
    assert chosen(members) == {None} and chosen(members, panic=True) == {A, B}


def test_one_that_joins_is_taken_up_slowly_and_one_that_flaps_never_gets_there() -> None:
    members = Members(slow_start_us=100)
    members.describe(0, {A: Described(100)}, first=True)
    members.describe(0, {A: Described(100), B: Described(100)})
    assert (members._choice.weight(A), members._choice.weight(B)) == (100, 10)
    members.look(50)
    assert members._choice.weight(B) == 50
    for now in (60, 70, 80):  # faster than its slow start
        members.describe(now, {A: Described(100), B: Described(100, Health.UNHEALTHY)})
        assert B not in members._choice
        members.describe(now + 5, {A: Described(100), B: Described(100)})
        assert members._choice.weight(B) == 10
    members.look(185)
    assert members._choice.weight(B) == 100 and members.known[B].stage is Stage.ACTIVE


def test_weights_of_0_and_sums_past_32_bits() -> None:
    members, most = Members(), (1 << 32) - 1
    members.describe(0, {A: Described(0), B: Described(most), C: Described(most)}, first=True)
    assert chosen(members) == {B, C} and members._choice.total == 2 * most


ADDRESS = st.sampled_from([A, B, C])


class Life(RuleBasedStateMachine):
    """Descriptions and calls in any order, beside a plain account of both."""

    def __init__(self) -> None:
        super().__init__()
        self.members = Members(slow_start_us=50)
        self.described: dict[Address, Described] = {}
        self.calls: list[Ticket] = []
        self.now = 0

    @rule(address=ADDRESS, weight=st.integers(0, 5), health=st.sampled_from(list(Health)))
    def describe(self, address: Address, weight: int, health: Health) -> None:
        self.described[address] = Described(weight, health)
        self.members.describe(self.now, self.described)

    @rule(address=ADDRESS)
    def vanish(self, address: Address) -> None:
        self.described.pop(address, None)
        self.members.describe(self.now, self.described)

    @rule(by=st.integers(1, 60))
    def wait(self, by: int) -> None:
        self.now += by
        self.members.look(self.now)

    @rule(panic=st.booleans())
    def call(self, panic: bool) -> None:
        address = self.members.choose(below, panic)
        fit = set(Health) - {Health.DRAINING} if panic else {Health.HEALTHY}
        takes = {at for at, one in self.described.items() if one.weight and one.health in fit}
        assert (address in takes) if takes else address is None
        if address is not None:
            self.calls.append(self.members.begin(address))

    @rule(pick=st.integers(0, 9), good=st.booleans())
    def end(self, pick: int, good: bool) -> None:
        if self.calls:
            self.members.end(self.calls.pop(pick % len(self.calls)), good, self.now)

    @invariant()
    def every_call_is_on_account_and_nobody_else_is_kept(self) -> None:
        for address in (A, B, C):
            calls = sum(ticket.address == address for ticket in self.calls)
            member = self.members.known.get(address)
            assert (member.calls if member else 0) == calls
            assert (member is not None) == (address in self.described or calls > 0)
            if address in self.members._choice:
                assert self.members._choice.active(address) == calls


Life.TestCase.settings = settings(derandomize=True, max_examples=100, stateful_step_count=40, deadline=None)
TestLife = Life.TestCase
