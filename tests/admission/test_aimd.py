"""AIMD admission by queue length, the main path of the controller."""

from __future__ import annotations

from admission_helpers import (
    IDEMPOTENT,
    MS,
    NON_IDEMPOTENT,
    Place,
    SimulatedHost,
    actions_of,
    occupy_cores,
    start_host,
)

from cairnvane.admission import parameters
from cairnvane.contract.actions import Reject
from cairnvane.contract.events import Arrival, Outcome, RunFinished


def finish_first_runs(host: SimulatedHost) -> None:
    """Finish four runs of 100 ms each: 40 requests per second on four cores."""
    host.send(*(Arrival(request_id, IDEMPOTENT) for request_id in range(1, 5)))
    host.now += 100 * MS
    for request_id in range(1, 5):
        host.requests[request_id].place, host.requests[request_id].answered = Place.ENDED, True
    host.send(*(RunFinished(request_id, Outcome.OK, 100 * MS) for request_id in range(1, 5)))


def fill_queue(host: SimulatedHost, count: int) -> None:
    """Occupy the cores and queue `count` requests of a class whose run time is unknown."""
    for request_id in range(1_000, 1_000 + host.settings.cores + count):
        host.send(Arrival(request_id, NON_IDEMPOTENT))
    assert host.count(Place.QUEUED) == count


def test_the_probability_starts_at_one_and_changes_only_after_a_finished_run() -> None:
    host = start_host()
    assert host.controller.admission.probability == 1.0
    fill_queue(host, 60)
    host.send(Arrival(1, IDEMPOTENT))
    assert host.controller.admission.probability == 1.0


def test_the_probability_is_unchanged_until_core_time_was_spent() -> None:
    host = start_host()
    host.controller.service.known_classes.add("read")
    occupy_cores(host, 8)
    assert host.controller.admission.probability == 1.0
    assert not actions_of(host.actions, Reject)


def test_the_probability_falls_above_n_high_and_rises_below_n_low_and_is_clamped() -> None:
    host = start_host()
    finish_first_runs(host)
    n_high = (1_000 - 100) * MS * host.controller.service.rate()
    assert 30 < n_high < 40
    fill_queue(host, 45)
    host.send(Arrival(1, IDEMPOTENT))
    assert host.controller.admission.probability == parameters.MULTIPLICATIVE_DECREASE
    for request_id in range(2, 40):
        host.send(Arrival(request_id, IDEMPOTENT))
    assert host.controller.admission.probability == parameters.MINIMUM_PROBABILITY
    for request_id in list(host.controller.queue)[:-25]:
        host.disconnect(request_id)
    host.send(Arrival(50, IDEMPOTENT))
    assert host.controller.admission.probability == parameters.MINIMUM_PROBABILITY  # between N_low and N_high
    for request_id in list(host.controller.queue)[:-5]:
        host.disconnect(request_id)
    host.send(Arrival(51, IDEMPOTENT))
    raised = parameters.MINIMUM_PROBABILITY + parameters.ADDITIVE_INCREASE
    assert host.controller.admission.probability == raised
    for request_id in range(52, 56):
        host.send(Arrival(request_id, IDEMPOTENT))
    assert host.controller.admission.probability == 1.0
