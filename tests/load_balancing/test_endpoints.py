"""The life cycle of endpoints, and changes of the description while calls are in flight."""

from __future__ import annotations

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cairnvane.load_balancing.endpoints import (
    Address,
    CallHandle,
    EndpointDescription,
    EndpointHealth,
    EndpointSet,
    Stage,
)
from cairnvane.load_balancing.outlier_detection import OutlierDetector

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))
HEALTHY = EndpointDescription()
DRAINING = EndpointDescription(health=EndpointHealth.DRAINING)
UNHEALTHY = EndpointDescription(health=EndpointHealth.UNHEALTHY)
below = random.Random(7).randrange


def chosen(endpoints: EndpointSet, count: int = 200, panic: bool = False) -> set[Address | None]:
    return {endpoints.choose(below, panic) for _ in range(count)}


def test_an_endpoint_removed_while_draining_keeps_its_calls_and_gets_no_new_ones() -> None:
    endpoints = EndpointSet()
    endpoints.update(0, {A: HEALTHY, B: HEALTHY}, first=True)
    call_handle = endpoints.call_started(A)
    endpoints.update(1, {A: DRAINING, B: HEALTHY})
    assert chosen(endpoints) == {B} and endpoints.endpoints[A].stage is Stage.DRAINING
    endpoints.update(2, {B: HEALTHY})
    assert chosen(endpoints) == {B} and endpoints.endpoints[A].stage is Stage.LEAVING
    endpoints.call_ended(call_handle, True, 3)
    assert A not in endpoints.endpoints


def test_removing_the_last_endpoint_keeps_its_calls() -> None:
    endpoints = EndpointSet()
    endpoints.update(0, {A: HEALTHY}, first=True)
    call_handle = endpoints.call_started(A)
    endpoints.update(1, {})
    assert endpoints.choose(below) is None and endpoints.choose(below, panic=True) is None
    endpoints.update(2, {A: HEALTHY})  # added again, with a call of its earlier generation
    assert chosen(endpoints) == {A} and endpoints.endpoints[A].calls == 1
    endpoints.call_ended(call_handle, False, 3)
    assert endpoints.endpoints[A].calls == 0


def test_results_of_an_earlier_generation_do_not_count() -> None:
    endpoints = EndpointSet(outliers=OutlierDetector(consecutive_failures=1, max_ejected_percent=100))
    endpoints.update(0, {A: HEALTHY, B: HEALTHY}, first=True)
    call_handle = endpoints.call_started(A)
    endpoints.update(1, {B: HEALTHY})
    endpoints.update(2, {A: HEALTHY, B: HEALTHY})
    endpoints.call_ended(call_handle, False, 3)
    assert chosen(endpoints) == {A, B}
    endpoints.call_ended(endpoints.call_started(A), False, 4)
    assert chosen(endpoints) == {B}
    endpoints.refresh(10**9)
    assert chosen(endpoints) == {A, B}


def test_panic_mode_includes_unhealthy_endpoints_but_no_draining_ones() -> None:
    endpoints = EndpointSet()
    endpoints.update(0, {A: UNHEALTHY, B: UNHEALTHY, C: DRAINING}, first=True)
    assert chosen(endpoints) == {None} and chosen(endpoints, panic=True) == {A, B}


def test_a_joining_endpoint_starts_slowly_and_a_flapping_one_starts_over() -> None:
    endpoints = EndpointSet(slow_start_us=100)
    endpoints.update(0, {A: EndpointDescription(100)}, first=True)
    endpoints.update(0, {A: EndpointDescription(100), B: EndpointDescription(100)})
    assert (endpoints._choice.weight(A), endpoints._choice.weight(B)) == (100, 10)
    endpoints.refresh(50)
    assert endpoints._choice.weight(B) == 50
    for now in (60, 70, 80):  # health changes faster than the slow start window
        endpoints.update(
            now, {A: EndpointDescription(100), B: EndpointDescription(100, EndpointHealth.UNHEALTHY)}
        )
        assert B not in endpoints._choice
        endpoints.update(now + 5, {A: EndpointDescription(100), B: EndpointDescription(100)})
        assert endpoints._choice.weight(B) == 10
    endpoints.refresh(185)
    assert endpoints._choice.weight(B) == 100 and endpoints.endpoints[B].stage is Stage.ACTIVE


def test_weights_of_0_and_sums_past_32_bits() -> None:
    endpoints, max_weight = EndpointSet(), (1 << 32) - 1
    endpoints.update(
        0,
        {A: EndpointDescription(0), B: EndpointDescription(max_weight), C: EndpointDescription(max_weight)},
        first=True,
    )
    assert chosen(endpoints) == {B, C} and endpoints._choice.total == 2 * max_weight


ADDRESS = st.sampled_from([A, B, C])


class EndpointSetMachine(RuleBasedStateMachine):
    """Changes descriptions and starts and ends calls in any order, and compares with a simple model."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoints = EndpointSet(slow_start_us=50)
        self.described: dict[Address, EndpointDescription] = {}
        self.calls: list[CallHandle] = []
        self.now = 0

    @rule(address=ADDRESS, weight=st.integers(0, 5), health=st.sampled_from(list(EndpointHealth)))
    def describe(self, address: Address, weight: int, health: EndpointHealth) -> None:
        self.described[address] = EndpointDescription(weight, health)
        self.endpoints.update(self.now, self.described)

    @rule(address=ADDRESS)
    def remove(self, address: Address) -> None:
        self.described.pop(address, None)
        self.endpoints.update(self.now, self.described)

    @rule(duration=st.integers(1, 60))
    def wait(self, duration: int) -> None:
        self.now += duration
        self.endpoints.refresh(self.now)

    @rule(panic=st.booleans())
    def call(self, panic: bool) -> None:
        chosen_address = self.endpoints.choose(below, panic)
        eligible_health = (
            set(EndpointHealth) - {EndpointHealth.DRAINING} if panic else {EndpointHealth.HEALTHY}
        )
        takes = {
            address
            for address, found in self.described.items()
            if found.weight and found.health in eligible_health
        }
        assert (chosen_address in takes) if takes else chosen_address is None
        if chosen_address is not None:
            self.calls.append(self.endpoints.call_started(chosen_address))

    @rule(pick=st.integers(0, 9), good=st.booleans())
    def end(self, pick: int, good: bool) -> None:
        if self.calls:
            self.endpoints.call_ended(self.calls.pop(pick % len(self.calls)), good, self.now)

    @invariant()
    def every_call_is_counted_and_no_other_endpoint_is_kept(self) -> None:
        for address in (A, B, C):
            calls = sum(call_handle.address == address for call_handle in self.calls)
            endpoint = self.endpoints.endpoints.get(address)
            assert (endpoint.calls if endpoint else 0) == calls
            assert (endpoint is not None) == (address in self.described or calls > 0)
            if address in self.endpoints._choice:
                assert self.endpoints._choice.active(address) == calls


EndpointSetMachine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=40, deadline=None
)
TestEndpointSet = EndpointSetMachine.TestCase
