"""The limits on memory, on runs during warm-up, and on requests during a graceful shutdown."""

from __future__ import annotations

import pytest
from admission_helpers import KEYED, MS, Place, actions_of, arrive, occupy_cores, start_host

from cairnvane.contract.actions import Fail, Reject, ReplayResult, SetHealth, StartRun
from cairnvane.contract.events import DrainStarted
from cairnvane.contract.settings import DependencyKind


@pytest.mark.parametrize(("arrival", "runs"), [(2_000 * MS, True), (2_001 * MS, False)])
def test_a_request_that_arrived_after_the_drain_grace_does_not_run(arrival: int, runs: bool) -> None:
    host = start_host()
    assert actions_of(host.send(DrainStarted(5_000 * MS)), SetHealth) == [SetHealth(False, True)]
    host.advance(2_100 * MS)
    actions = arrive(host, 1, queue_delay=2_100 * MS - arrival)
    assert bool(actions_of(actions, StartRun)) is runs
    assert bool(actions_of(actions, Reject)) is not runs


def test_all_requests_are_answered_before_the_stop() -> None:
    host = start_host()
    occupy_cores(host, 6)
    host.send(DrainStarted(1_000 * MS))
    host.advance(1_000 * MS)
    assert all(request.answered for request in host.requests.values())


def test_a_request_that_does_not_fit_into_memory_is_rejected() -> None:
    host = start_host(memory=200.0)
    assert actions_of(arrive(host, 1, memory=20.0), StartRun)
    assert actions_of(arrive(host, 2, memory=20.0), Reject)


def test_waiting_duplicates_do_not_fill_the_memory() -> None:
    host = start_host(memory=200.0)
    arrive(host, 1, KEYED, memory=15.0)
    for request_id in range(2, 12):
        arrive(host, request_id, KEYED, memory=15.0, duplicate_of=1)
    assert actions_of(host.actions, ReplayResult)
    assert [action.request_id for action in actions_of(host.actions, Fail)]


def test_a_request_that_does_not_fit_into_memory_blocks_no_later_request() -> None:
    host = start_host(memory=400.0)
    occupy_cores(host)
    arrive(host, 5, KEYED, memory=1.0)
    arrive(host, 6, KEYED, memory=1.0)
    assert host.count(Place.QUEUED) == 2
    host.finish(1)
    assert host.count(Place.RUNNING) == 4


def test_a_cold_instance_is_not_oversubscribed_beyond_its_ceiling() -> None:
    host = start_host(cold_start=True, cold_speed=0.25, warmup_time=10_000 * MS)
    host.controller.concurrency.limit = 50
    occupy_cores(host, 30)
    assert host.count(Place.RUNNING) <= 8
    host.now = 10_000 * MS
    host.controller.concurrency.limit = 50
    occupy_cores(host, 30, first=100)
    assert 8 < host.count(Place.RUNNING) <= 20


def test_returning_calls_do_not_oversubscribe_a_cold_instance() -> None:
    host = start_host(
        cold_start=True,
        cold_speed=0.25,
        warmup_time=10_000 * MS,
        dependency=DependencyKind.SHARED,
        dependency_quota=50.0,
    )
    host.controller.dependency.limit = 1.0
    for request_id in range(1, 40):
        arrive(host, request_id)
        if host.requests[request_id].place is Place.RUNNING:
            host.request_call(request_id)
    host.controller.dependency.limit = 45.0
    host.send()
    assert host.count(Place.AWAITING_CALL) > 0
    assert host.count(Place.RUNNING) + host.count(Place.CALLING) <= 8
