"""Dependency quotas below one call, which limit the mean over a window."""

from __future__ import annotations

from dataclasses import replace

import pytest
from admission_helpers import CLASSES, IDEMPOTENT, KEYED, MS, Place, actions_of, arrive, start_host

from cairnvane.contract.actions import MakeCall
from cairnvane.contract.events import CallFinished, Outcome
from cairnvane.contract.settings import DependencyKind


@pytest.mark.parametrize("quota", [0.1, 0.4, 0.9])
def test_one_call_that_hangs_stays_within_the_quota(quota: float) -> None:
    """Guards against calls that last as long as their request: if all hang, the dependency collapses."""
    window = 5_000 * MS
    abandoned_call_time = 200 * MS
    host = start_host(
        dependency=DependencyKind.SHARED,
        dependency_quota=quota,
        abandoned_call_time=abandoned_call_time,
        dependency_window=window,
        classes=(replace(CLASSES[IDEMPOTENT], latency_objective=60_000 * MS, client_timeout=60_000 * MS),),
    )
    arrive(host, 1)
    (call,) = actions_of(host.request_call(1), MakeCall)
    assert call.timeout + abandoned_call_time <= quota * window


def test_the_quota_limits_the_mean_without_a_pause_after_each_call() -> None:
    """Guards against a pause of the abandoned call time after each call, which left the cores idle."""
    host = start_host(
        dependency=DependencyKind.SHARED,
        dependency_quota=0.4,
        abandoned_call_time=200 * MS,
        dependency_window=5_000 * MS,
    )
    made = 0
    busy = 0
    for request_id in range(1, 400):
        host.advance(25 * MS)
        arrive(host, request_id)
        if host.requests[request_id].place is Place.RUNNING:
            host.request_call(request_id)
        for calling in host.ids(Place.CALLING):
            host.advance(10 * MS)
            busy += 10
            made += 1
            host.finish_call(calling, Outcome.OK)
            host.finish(calling)
    assert made > 300  # short calls are made at the rate at which they are requested
    assert busy * MS < 0.4 * host.now


def test_the_quota_holds_when_calls_become_long() -> None:
    host = start_host(
        dependency=DependencyKind.SHARED,
        dependency_quota=0.4,
        abandoned_call_time=200 * MS,
        dependency_window=5_000 * MS,
    )
    busy = 0
    for request_id in range(1, 200):
        host.advance(25 * MS)
        arrive(host, request_id)
        if host.requests[request_id].place is Place.RUNNING:
            host.request_call(request_id)
        for calling in host.ids(Place.CALLING):
            host.advance(400 * MS)
            busy += 400
            host.finish_call(calling, Outcome.OK)
            host.finish(calling)
    assert busy * MS < 0.45 * host.now


def test_the_limit_below_one_call_falls_while_calls_are_slow_and_recovers() -> None:
    """Guards against a limit that never falls, which kept the dependency overloaded after the cause ended."""
    host = start_host(
        dependency=DependencyKind.SHARED,
        dependency_quota=0.5,
        abandoned_call_time=0,
        dependency_window=5_000 * MS,
    )
    request_id = 0

    def busy_fraction(duration: int) -> float:
        """The fraction of time with a call in flight while there is always a call to make."""
        nonlocal request_id
        start = host.now
        busy = 0
        while host.now < start + 8_000 * MS:
            if host.count(Place.AWAITING_CALL) < 3:
                request_id += 1
                arrive(host, request_id)
            for running in host.ids(Place.RUNNING):
                host.request_call(running)
            host.advance(5 * MS)
            for calling in host.ids(Place.CALLING):
                host.advance(duration)
                busy += duration
                host.requests[calling].place = Place.RUNNING
                host.send(CallFinished(calling, Outcome.OK, duration))
                host.finish(calling)
        return busy / (host.now - start)

    quick = busy_fraction(20 * MS)
    slow = busy_fraction(200 * MS)
    assert 0.3 < quick < 0.5
    assert slow < 0.8 * quick
    host.advance(2_000 * MS)
    assert busy_fraction(20 * MS) > 0.9 * quick


def test_a_quota_of_zero_leaves_no_request_unanswered() -> None:
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=0.0)
    for request_id in (1, 2, 3):
        arrive(host, request_id, KEYED)
        host.request_call(request_id)
    assert host.count(Place.CALLING) <= 1
    host.advance(3_000 * MS)
    assert all(request.answered for request in host.requests.values())
