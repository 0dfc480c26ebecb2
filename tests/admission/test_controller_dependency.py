"""The limit on calls to the dependency, and the calls of requests."""

from __future__ import annotations

from dataclasses import replace

import pytest
from admission_helpers import (
    CLASSES,
    IDEMPOTENT,
    KEYED,
    MS,
    Place,
    SimulatedHost,
    actions_of,
    arrive,
    occupy_cores,
    start_host,
)

from cairnvane.contract.actions import Fail, MakeCall, Reject, SkipCall, StartRun
from cairnvane.contract.events import CallFinished, ClientDisconnected, ConcurrentCalls, Outcome
from cairnvane.contract.settings import DependencyKind, LoadSignal


def make_calls(host: SimulatedHost, duration: int, count: int) -> None:
    """Run `count` requests one after the other, each with a call of this duration."""
    for request_id in range(len(host.requests) + 1, len(host.requests) + count + 1):
        arrive(host, request_id)
        host.request_call(request_id)
        host.now += duration
        host.requests[request_id].place = Place.RUNNING
        host.send(CallFinished(request_id, Outcome.OK, duration))
        host.finish(request_id)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.UNREACHED, Outcome.REJECTED])
def test_one_short_call_does_not_make_all_others_look_slow(outcome: Outcome) -> None:
    """Guards against using a single call time as the best time: for seconds only one call ran at a time."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=8.0, memory=1e6)
    for request_id in range(1, 20):
        arrive(host, request_id)
        host.request_call(request_id)
        duration = 1 * MS if request_id == 1 else 20 * MS
        host.now += duration
        host.requests[request_id].place = Place.RUNNING
        host.send(CallFinished(request_id, outcome if request_id == 1 else Outcome.OK, duration))
        if request_id == 1 and outcome is not Outcome.OK:  # it is retried
            host.send(CallFinished(request_id, Outcome.OK, 20 * MS))
        host.finish(request_id)
    for request_id in range(20, 24):
        arrive(host, request_id)
        host.request_call(request_id)
    assert host.count(Place.CALLING) == 4


def test_calls_in_flight_and_abandoned_calls_stay_within_the_quota() -> None:
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=2.5, abandoned_call_time=200 * MS)
    occupy_cores(host)
    for request_id in (1, 2, 3, 4):
        host.request_call(request_id)
    assert host.count(Place.CALLING) == 2
    # The abandoned call still occupies the dependency.
    assert not actions_of(host.finish_call(1, Outcome.TIMEOUT), MakeCall)
    host.now += 200 * MS
    assert actions_of(host.send(), MakeCall)


def test_the_limit_falls_when_calls_grow_slow_and_recovers() -> None:
    """Guards against calls that pile up at the dependency and slow each other down (incident ica6448).

    No local queue shows this.
    """
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    most = host.controller.dependency.limit
    make_calls(host, 20 * MS, 10)
    make_calls(host, 200 * MS, 10)
    assert host.controller.dependency.limit < 0.8 * most
    make_calls(host, 20 * MS, 60)
    assert host.controller.dependency.limit == most


def test_the_limit_rises_if_calls_stay_slow_with_one_in_flight() -> None:
    """Guards against a limit of one call for a dependency that is always slow: most requests failed."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    make_calls(host, 20 * MS, 10)
    make_calls(host, 200 * MS, 40)
    assert host.controller.dependency.limit > 2


def test_congestion_of_the_dependency_delays_only_requests_that_call() -> None:
    """Guards against starting no request, and lowering the load signal, while the dependency is congested.

    The cores were idle although a third of the requests needed no call. The requests with a call failed.
    """
    host = start_host(
        dependency=DependencyKind.SHARED,
        dependency_quota=10.0,
        load_signal=LoadSignal.CREDIT,
        classes=(replace(CLASSES[IDEMPOTENT], degraded_fraction=0.0), *CLASSES[1:]),
    )
    make_calls(host, 20 * MS, 10)
    host.controller.dependency.limit = 1.0
    for request_id in range(100, 108):
        arrive(host, request_id)
        host.request_call(request_id)
    assert not actions_of(arrive(host, 200), StartRun)
    assert actions_of(arrive(host, 201, KEYED), StartRun)  # no request of this class has made a call
    rejected = []
    for _ in range(80):
        host.now += 20 * MS
        rejected += actions_of(host.send(), Reject)
    assert [(reject.request_id, reject.no_retry) for reject in rejected] == [(200, True)]
    assert host.controller.load_reports.target_load == 1.0


def test_calls_below_the_slow_call_minimum_do_not_reduce_the_limit() -> None:
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    make_calls(host, 2 * MS, 10)
    most = host.controller.dependency.limit
    make_calls(host, 12 * MS, 20)
    assert host.controller.dependency.limit == most


def test_a_call_that_never_ends_is_abandoned_long_before_its_request() -> None:
    """Guards against unanswered calls that occupy capacity until their clients leave: no run was started."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    make_calls(host, 20 * MS, 10)
    for request_id, class_index, most in ((901, IDEMPOTENT, 140), (902, KEYED, 560)):
        arrive(host, request_id, class_index)
        (call,) = actions_of(host.request_call(request_id), MakeCall)
        assert most * 0.9 <= call.timeout / MS <= most * 1.1
    before = host.controller.dependency.limit
    host.now += 140 * MS
    host.requests[901].place = Place.RUNNING
    host.send(CallFinished(901, Outcome.TIMEOUT, 140 * MS))
    assert host.controller.dependency.limit == before  # one lost call does not mean that calls are slow


@pytest.mark.parametrize("late_fraction", [0.0, 0.8])
def test_a_late_call_is_skipped_without_capacity_or_if_a_degraded_answer_earns_more(
    late_fraction: float,
) -> None:
    """Guards against skipping calls on an uncertain estimate, and failing late requests despite capacity."""
    host = start_host(
        dependency=DependencyKind.SHARED,
        dependency_quota=1.2,
        classes=(replace(CLASSES[IDEMPOTENT], late_fraction=late_fraction),),
    )
    arrive(host, 1)
    host.request_call(1)
    host.now += 300 * MS
    host.requests[1].place = Place.RUNNING
    host.send(CallFinished(1, Outcome.OK, 300 * MS))  # calls are slow
    arrive(host, 2, queue_delay=750 * MS)
    arrive(host, 3, queue_delay=750 * MS)
    assert host.requests[3].place is Place.RUNNING
    actions = host.request_call(2)  # there is capacity for its call, which would end too late
    assert bool(actions_of(actions, SkipCall)) is (late_fraction == 0.0)
    assert not actions_of(actions, Fail)
    host.finish(1)
    arrive(host, 4)
    host.request_call(4)  # takes the one call, if it is free
    assert actions_of(host.request_call(3), SkipCall) == [SkipCall(3)]


def test_a_request_too_late_for_its_call_is_failed_while_the_cores_are_full() -> None:
    """Guards against late requests that wait at their call for a core instead of being answered."""
    host = start_host(
        cold_start=True,
        cold_speed=0.01,
        warmup_time=60_000 * MS,
        dependency=DependencyKind.SHARED,
        dependency_quota=50.0,
        classes=(replace(CLASSES[IDEMPOTENT], degraded_fraction=0.0),),
    )
    host.controller.dependency.limit = 1.0
    for request_id in range(1, 12):
        arrive(host, request_id)
        if request_id < 6 and host.requests[request_id].place is Place.RUNNING:
            host.request_call(request_id)
    host.controller.dependency.limit = 45.0
    waiting = host.ids(Place.AWAITING_CALL)
    assert waiting
    host.advance(1_100 * MS)
    assert set(waiting) <= {action.request_id for action in actions_of(host.actions, Fail)}


def test_an_answered_request_makes_no_call() -> None:
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=1.0)
    for request_id in (1, 2):
        arrive(host, request_id)
        host.request_call(request_id)
    assert host.ids(Place.CALLING) == [1]
    host.requests[2].answered = True
    host.controller.handle(host.now, [ClientDisconnected(2)])
    host.requests[1].place = Place.RUNNING
    assert not actions_of(host.controller.handle(host.now, [CallFinished(1, Outcome.OK, 10 * MS)]), MakeCall)


@pytest.mark.parametrize(
    ("others", "own_calls"),
    [
        (ConcurrentCalls(1, calls=7, wanted=7), 0),
        (ConcurrentCalls(1, calls=5, wanted=9), 2),
        (ConcurrentCalls(1, calls=0, wanted=9), 4),
        (ConcurrentCalls(1, calls=0, wanted=1), 6),
        (ConcurrentCalls(2, calls=0, wanted=9), 3),
        (ConcurrentCalls(0, calls=3, wanted=3), 4),  # abandoned by an incarnation that has ended
    ],
)
def test_calls_of_concurrent_incarnations_count_against_the_same_quota(
    others: ConcurrentCalls, own_calls: int
) -> None:
    """Guards against an overloaded vault: in an upgrade each process used the whole quota."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=8.0, memory=1e6)
    host.send(others)
    for request_id in range(1, 9):
        arrive(host, request_id)
        host.request_call(request_id)
    assert host.count(Place.CALLING) == own_calls


def test_calls_beyond_the_quota_are_made_up_for_by_a_new_incarnation_too() -> None:
    """Guards against an overloaded vault: a new process knew nothing of the excess so far."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=8.0, memory=1e6)
    allowed = 0.1 * host.settings.dependency_window * 7.2
    host.send(ConcurrentCalls(1, calls=0, wanted=0, excess=2 * allowed))
    arrive(host, 1)
    host.request_call(1)
    assert host.count(Place.CALLING) == 0
    host.advance(host.settings.dependency_window)
    assert host.count(Place.CALLING) == 1


@pytest.mark.parametrize("timed_out_share", [2, 5])
def test_estimates_stay_finite_while_many_calls_time_out(timed_out_share: int) -> None:
    """Guards against the end of the process: each timeout raised the typical call time, without a bound."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=8.0, memory=1e6)
    arrive(host, 1)
    host.request_call(1)
    quota = host.controller.dependency
    request = host.controller.requests.by_id[1]
    for number in range(30_000):
        outcome = Outcome.OK if number % timed_out_share else Outcome.TIMEOUT
        quota.record_call(host.now, CallFinished(1, outcome, 20 * MS))
        assert 0 < quota.timeout(request, host.now) <= request.deadline


def test_first_timeout_after_a_long_time_without_calls_is_handled() -> None:
    """Guards against the end of the process: the best call time rose without a bound while events came."""
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=8.0, memory=1e6)
    make_calls(host, 20 * MS, 10)
    for _ in range(10_000):
        host.advance(1_000 * MS)
        host.send()
    arrive(host, 11)
    host.request_call(11)
    host.finish_call(11, Outcome.TIMEOUT)
    assert host.controller.dependency.times.mean <= host.settings.longest_client_timeout
