"""Every request is answered by its deadline, so that none is lost."""

from __future__ import annotations

import pytest
from admission_helpers import (
    IDEMPOTENT,
    KEYED,
    MS,
    NON_IDEMPOTENT,
    Place,
    actions_of,
    arrive,
    occupy_cores,
    start_host,
)

from cairnvane.contract.actions import Cancel, Fail, Reject
from cairnvane.contract.events import CallFinished, CallRequested, ClientDisconnected, Outcome, RunFinished
from cairnvane.contract.settings import CancelMode


@pytest.mark.parametrize("class_index", [IDEMPOTENT, KEYED, NON_IDEMPOTENT])
def test_a_running_request_is_failed_and_cancelled_before_its_deadline(class_index: int) -> None:
    host = start_host()
    arrive(host, 1, class_index, time_left=500 * MS)
    host.advance(500 * MS)
    assert actions_of(host.actions, Fail) == [Fail(1)]
    assert actions_of(host.actions, Cancel) == [Cancel(1)]


def test_a_run_that_cannot_be_cancelled_is_still_failed_before_its_deadline() -> None:
    host = start_host(cancel_mode=CancelMode.NONE)
    arrive(host, 1, time_left=500 * MS)
    host.advance(500 * MS)
    assert actions_of(host.actions, Fail) == [Fail(1)]
    assert not actions_of(host.actions, Cancel)


def test_a_queued_request_is_rejected_before_its_deadline() -> None:
    host = start_host()
    occupy_cores(host)
    arrive(host, 9, time_left=400 * MS)
    host.advance(400 * MS)
    assert [action.request_id for action in actions_of(host.actions, Reject)] == [9]


def test_the_deadline_falls_back_to_the_client_timeout_of_the_class() -> None:
    host = start_host()
    host.now = 4_000 * MS
    arrive(host, 1, queue_delay=1_000 * MS)
    host.advance(2_000 * MS)
    assert actions_of(host.actions, Fail) == [Fail(1)]


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.NEVER_STARTED])
def test_a_run_that_ended_without_an_answer_is_failed(outcome: Outcome) -> None:
    """Guards against a request that is dropped without an answer when its run ends early."""
    host = start_host()
    arrive(host, 1)
    assert actions_of(host.send(RunFinished(1, outcome)), Fail) == [Fail(1)]


def test_a_request_past_its_deadline_at_arrival_is_rejected_at_once() -> None:
    host = start_host()
    host.now = 5_000 * MS
    assert actions_of(arrive(host, 1, queue_delay=4_000 * MS), Reject)


def test_a_disconnect_cancels_the_run_and_needs_no_answer() -> None:
    host = start_host()
    arrive(host, 1)
    assert actions_of(host.disconnect(1), Cancel) == [Cancel(1)]
    host.advance(5_000 * MS)
    host.send(RunFinished(1, Outcome.CANCELLED))
    assert not host.controller.running


@pytest.mark.parametrize(
    ("class_index", "has_called", "is_cancelled"),
    [
        (KEYED, True, False),
        (KEYED, False, True),
        (IDEMPOTENT, True, True),
    ],
)
def test_only_a_keyed_run_past_its_call_continues_after_a_disconnect(
    class_index: int,
    has_called: bool,
    is_cancelled: bool,
) -> None:
    """Guards against cancelling a keyed run on a disconnect: the retry failed because there was no result."""
    host = start_host()
    arrive(host, 1, class_index)
    if has_called:
        host.request_call(1)
        host.finish_call(1, Outcome.OK)
    assert bool(actions_of(host.disconnect(1), Cancel)) is is_cancelled


def test_events_of_unknown_and_finished_requests_have_no_effect() -> None:
    host = start_host()
    arrive(host, 1)
    host.finish(1)
    for event in (
        RunFinished(1, Outcome.OK),
        ClientDisconnected(7),
        CallRequested(7),
        CallFinished(7, Outcome.OK),
    ):
        assert not host.controller.handle(host.now, [event])
    assert not host.controller.running
    assert host.controller.requests.memory == 0.0


@pytest.mark.parametrize("runnable", [None, float("nan")])
def test_missing_gauges_lose_no_request_and_exceed_no_limit(runnable: float | None) -> None:
    host = start_host()
    host.runnable = runnable
    occupy_cores(host, 8)
    host.advance(3_000 * MS)
    assert host.count(Place.RUNNING) <= 16
    assert all(request.answered for request in host.requests.values())


def test_a_forward_clock_jump_loses_no_request() -> None:
    host = start_host()
    occupy_cores(host, 6)
    host.now += 2_960 * MS  # no timer fired for seconds
    host.send()
    assert all(request.answered for request in host.requests.values())
    host.finish_after(1, 2_900 * MS)
    arrive(host, 50)
    assert host.requests[50].place in (Place.QUEUED, Place.RUNNING)


def test_a_backward_clock_step_counts_as_no_elapsed_time() -> None:
    host = start_host()
    host.now = 1_000 * MS
    occupy_cores(host, 1)
    spent = host.controller.service.core_time
    host.controller.handle(500 * MS, [])
    assert host.controller.now == 1_000 * MS
    assert host.controller.service.core_time == spent
