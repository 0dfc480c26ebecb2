"""Which requests start, and which are rejected because their answer would be too late."""

from __future__ import annotations

from dataclasses import replace

import pytest
from admission_helpers import (
    CLASSES,
    IDEMPOTENT,
    KEYED,
    MS,
    Place,
    actions_of,
    arrive,
    occupy_cores,
    start_host,
)

from cairnvane.contract.actions import Reject, StartRun
from cairnvane.contract.events import Arrival, Outcome, RunFinished
from cairnvane.contract.settings import CancelMode, RequestClass

LATE_CLASS = replace(CLASSES[IDEMPOTENT], late_fraction=0.2)


def test_queued_requests_start_oldest_first() -> None:
    host = start_host()
    for request_id in (5, 3, 9, 1, 7, 2):
        host.send(Arrival(request_id, IDEMPOTENT))
    assert host.ids(Place.RUNNING) == [5, 3, 9, 1]
    host.finish(5)
    assert host.ids(Place.RUNNING) == [3, 9, 1, 7]


def test_the_on_time_request_of_greatest_weight_starts_first() -> None:
    """Guards against an overload in which requests of weight 1 and 3 wait equally long."""
    host = start_host()
    occupy_cores(host)
    arrive(host, 8, IDEMPOTENT)
    arrive(host, 9, KEYED)
    host.finish(1)
    assert host.requests[9].place is Place.RUNNING
    assert host.requests[8].place is Place.QUEUED


def test_a_request_that_cannot_meet_its_objective_is_not_started() -> None:
    host = start_host()
    occupy_cores(host)
    for request_id in range(1, 5):
        host.requests[request_id].place, host.requests[request_id].answered = Place.ENDED, True
    host.now = 400 * MS
    host.send(*(RunFinished(request_id, Outcome.OK, 400 * MS) for request_id in range(1, 5)))
    host.controller.load_reports.target_load = 0.9
    # The estimate is ignored while a core is free.
    assert actions_of(arrive(host, 8, queue_delay=700 * MS), StartRun)
    host.controller.concurrency.limit = 8
    occupy_cores(host, 3, first=20)
    actions = arrive(host, 9, queue_delay=700 * MS)
    assert not actions_of(actions, StartRun)
    assert [action.request_id for action in actions_of(actions, Reject)] == [9]


def test_requests_that_would_be_late_are_rejected_on_arrival_if_no_core_is_free() -> None:
    """Guards against requests that wait on a slow server and are rejected too late for a retry elsewhere."""
    host = start_host()
    for request_id in range(1, 5):
        arrive(host, request_id, cost=100 * MS)
    host.now = 400 * MS
    for request_id in (1, 2, 3, 4):
        host.finish_after(request_id, 400 * MS)
    for request_id in range(11, 15):
        arrive(host, request_id, cost=100 * MS)
    assert actions_of(arrive(host, 20, cost=300 * MS), Reject)
    assert not actions_of(arrive(host, 21, cost=150 * MS), Reject)


def test_a_request_that_would_miss_its_deadline_is_not_started() -> None:
    """Guards against starting runs that miss their deadline and can't be cancelled (incident ia60c4c).

    They were a quarter of all runs.
    """
    host = start_host(cancel_mode=CancelMode.NONE)
    occupy_cores(host)
    host.now = 500 * MS
    for request_id in range(1, 5):
        host.finish_after(request_id, 500 * MS)
    occupy_cores(host, 4, first=11)
    assert actions_of(arrive(host, 20, time_left=400 * MS), Reject)
    assert not actions_of(arrive(host, 21, time_left=600 * MS), Reject)


@pytest.mark.parametrize("request_class", [CLASSES[IDEMPOTENT], LATE_CLASS], ids=["never late", "late"])
def test_a_request_that_will_be_late_is_rejected_at_once_at_the_concurrency_limit(
    request_class: RequestClass,
) -> None:
    """Guards against late requests that stay queued until their deadline and keep out new requests."""
    host = start_host(classes=(request_class,))
    occupy_cores(host)
    host.now = 400 * MS
    for request_id in range(1, 5):
        host.finish_after(request_id, 400 * MS)
    occupy_cores(host, 4, first=11)
    arrive(host, 20)
    assert host.requests[20].place is Place.QUEUED
    host.advance(650 * MS)
    assert [action.request_id for action in actions_of(host.actions, Reject)] == [20]
    assert host.now < host.requests[20].deadline - 1_000 * MS


def test_a_late_request_that_still_earns_something_runs_if_there_is_capacity() -> None:
    host = start_host(classes=(LATE_CLASS,))
    host.now = 1_500 * MS
    assert actions_of(arrive(host, 1, queue_delay=1_200 * MS), StartRun)


@pytest.mark.parametrize(
    ("is_retry", "time_left", "runs"),
    [
        (False, 1_500, True),  # the time that first attempts get
        (True, 1_500, True),  # the same time: its age is unknown
        (True, 2_800, True),  # a last attempt, 0.2 s after the first
        (True, 1_200, False),  # 1.8 s after the first, past the objective
    ],
)
def test_the_objective_of_a_retry_counts_from_its_first_attempt(
    is_retry: bool, time_left: int, runs: bool
) -> None:
    """Guards against runs for clients whose first attempt was long ago (incident i1d3269).

    A third of the runs ended late for such clients.
    """
    host = start_host(classes=(CLASSES[IDEMPOTENT],))
    occupy_cores(host, 1, first=100)
    host.send(Arrival(1, IDEMPOTENT, memory=10.0, time_left=1_500 * MS))
    host.controller.load_reports.target_load = 0.9  # there was overload
    actions = arrive(host, 2, time_left=time_left * MS, is_retry=is_retry)
    assert bool(actions_of(actions, StartRun)) is runs
    assert bool(actions_of(actions, Reject)) is not runs


@pytest.mark.parametrize(("queue_delay", "no_retry"), [(0, False), (140 * MS, False), (160 * MS, True)])
def test_a_client_that_has_waited_is_asked_not_to_retry(queue_delay: int, no_retry: bool) -> None:
    """Guards against retries at several instances, each of which has to read the request.

    With all instances running, one request was retried at a 25th of them.
    """
    host = start_host(memory=200.0)
    host.now = 5_000 * MS
    arrive(host, 1, memory=20.0)
    actions = arrive(host, 2, memory=20.0, queue_delay=queue_delay)
    assert [action.no_retry for action in actions_of(actions, Reject)] == [no_retry]


def test_under_overload_all_rejected_clients_are_asked_not_to_retry() -> None:
    """Guards against retries under overload: each costs a server a handshake and a reading."""
    host = start_host(memory=200.0)
    arrive(host, 1, memory=20.0)
    assert not actions_of(arrive(host, 2, memory=20.0), Reject)[0].no_retry
    for request_id in range(3, 60):
        host.advance(50 * MS)
        actions = arrive(host, request_id, memory=20.0)
    assert actions_of(actions, Reject)[0].no_retry


def test_failed_runs_count_in_the_estimate_of_the_run_time() -> None:
    """Guards against an estimate from successful runs only: it was a tenth of the real run time (i25c424)."""
    host = start_host()
    occupy_cores(host)
    host.now = 900 * MS
    for request_id in (1, 2, 3, 4):
        host.finish(request_id, Outcome.OK if request_id == 1 else Outcome.ERROR)
    assert host.controller.requests.by_id.get(1) is None
    arrive(host, 9)
    assert host.controller.service.run_time(host.controller.requests.by_id[9].cost) > 2_000 * MS
