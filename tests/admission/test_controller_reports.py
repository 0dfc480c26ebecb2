"""Load signal, health status, idle connections and timers."""

from __future__ import annotations

import pytest
from admission_helpers import IDEMPOTENT, MS, actions_of, arrive, settings, start_host

from cairnvane.admission.controller import Controller
from cairnvane.contract.actions import CloseIdleConnections, ReportLoad, SetHealth, SetTimer
from cairnvane.contract.events import Arrival, DrainStarted, Outcome, TimerFired
from cairnvane.contract.settings import LoadSignal


def test_without_overload_the_credit_limits_no_client() -> None:
    """Guards against limiting a client that sends a tenth of all traffic while cores are idle."""
    host = start_host(load_signal=LoadSignal.CREDIT, clients=900)
    host.advance(60 * MS)
    assert actions_of(host.actions, ReportLoad) == [ReportLoad(16.0)]
    host.now = 1_000 * MS
    arrive(host, 1, queue_delay=200 * MS)
    host.actions.clear()
    host.advance(60 * MS)
    assert actions_of(host.actions, ReportLoad)[0].value < 0.02


def test_a_read_delay_lowers_the_load_signal() -> None:
    """Guards against saturated reading: clients see the load signal only in responses (incident i25c424)."""
    host = start_host(load_signal=LoadSignal.LEVEL)
    host.advance(60 * MS)
    host.now = 1_000 * MS
    arrive(host, 1, queue_delay=200 * MS)
    host.actions.clear()
    host.advance(60 * MS)
    assert [action.value for action in actions_of(host.actions, ReportLoad)] == [pytest.approx(0.05 * 2 / 3)]


def test_a_read_delay_on_idle_cores_does_not_change_the_load_signal() -> None:
    """Guards against a slow server whose read delay keeps clients away although its cores are idle."""
    host = start_host(load_signal=LoadSignal.LEVEL)
    host.advance(60 * MS)
    host.now, host.runnable = 1_000 * MS, 2
    arrive(host, 1, queue_delay=200 * MS)
    host.actions.clear()
    host.advance(60 * MS)
    assert not actions_of(host.actions, ReportLoad)


def test_the_level_excludes_the_class_of_greatest_weight_only_in_a_drain() -> None:
    """Guards against a level that excludes most requests of the class of greatest weight under overload."""
    host = start_host(load_signal=LoadSignal.LEVEL)
    for request_id in range(1, 200):
        host.advance(50 * MS)
        arrive(host, request_id, queue_delay=300 * MS)
    values = [action.value for action in actions_of(host.actions, ReportLoad)]
    assert 0.6 < max(values) < 2 / 3
    assert actions_of(host.send(DrainStarted(5_000 * MS)), ReportLoad) == [ReportLoad(1.0)]


def test_quick_failures_turn_health_bad_until_the_failure_rate_decays() -> None:
    """Guards against a server that fails most runs within milliseconds and so attracts more clients."""
    host = start_host()
    for request_id in range(1, 12):
        arrive(host, request_id)
        host.finish(request_id, Outcome.ERROR)
    host.advance(60 * MS)
    assert actions_of(host.actions, SetHealth) == [SetHealth(False, True)]
    host.advance(15_000 * MS)
    assert actions_of(host.actions, SetHealth)[1:] == [SetHealth(True, True)]


def test_a_draining_instance_never_reports_good_health_again() -> None:
    host = start_host()
    host.send(DrainStarted(5_000 * MS))
    host.advance(4_000 * MS)
    assert actions_of(host.actions, SetHealth) == [SetHealth(False, True)]


def test_idle_connections_close_early_where_clients_do_not_return() -> None:
    """Guards against idle connections of hundreds of clients that leave no connection for others."""
    host = start_host()
    for request_id in range(1, 200):
        host.advance(60 * MS)
        arrive(host, request_id, client=request_id)
        host.finish(request_id)
    host.advance(60 * MS)
    assert [action.idle_time for action in actions_of(host.actions, CloseIdleConnections)] == [100 * MS]
    for request_id in range(200, 400):
        host.advance(60 * MS)
        arrive(host, request_id, client=request_id % 5)
        host.finish(request_id)
    host.advance(60 * MS)
    assert [action.idle_time for action in actions_of(host.actions, CloseIdleConnections)] == [100 * MS, 0]


def test_idle_connections_are_kept_longer_while_handshakes_delay_reading() -> None:
    """Guards against a handshake per attempt, which delayed all requests, and against oscillation.

    The idle time oscillated if all connections were closed at once.
    """
    host = start_host()

    def idle_times(first: int, count: int, queue_delay: int, cpu_busy: float) -> list[int]:
        host.cpu_busy = cpu_busy
        host.actions.clear()
        for request_id in range(first, first + count):
            host.advance(60 * MS)
            arrive(host, request_id, client=request_id, queue_delay=queue_delay)
            host.finish(request_id)
        return [action.idle_time for action in actions_of(host.actions, CloseIdleConnections)]

    assert idle_times(1, 200, 0, 0.95) == [100 * MS]
    assert idle_times(201, 60, 400 * MS, 0.95)[-1] > 20_000 * MS
    assert not idle_times(301, 60, 0, 0.95)  # cores still busy: the idle time is not reduced
    idle_times_when_idle = idle_times(401, 400, 0, 0.5)
    assert idle_times_when_idle == sorted(idle_times_when_idle, reverse=True)
    assert idle_times_when_idle[-1] == 100 * MS
    assert len(idle_times_when_idle) > 4


def test_clients_that_do_not_return_are_forgotten() -> None:
    """Guards against an unbounded table of clients: new clients always have new numbers."""
    host = start_host()
    for request_id in range(1, 400):
        host.advance(60 * MS)
        arrive(host, request_id, client=request_id)
        host.finish(request_id)
    assert len(host.controller.idle_connections.clients.last_seen) < 200


def test_a_timer_is_handled_though_events_arrive_before_its_gauges() -> None:
    """Guards against events that replace a timer once it is due: no timer was handled for seconds."""
    controller = Controller(settings(), 1, 0)
    controller.handle(0, [Arrival(1, IDEMPOTENT)])
    at = controller.timer_due_at
    for late in (1, 2):  # the timer is due, but its gauges are not read yet
        assert not actions_of(controller.handle(at + late * MS, [Arrival(1 + late, IDEMPOTENT)]), SetTimer)
    (timer,) = actions_of(controller.handle(at + 3 * MS, [TimerFired(0, cpu_busy=0.5, runnable=3)]), SetTimer)
    assert timer.due_at > at


def test_without_pending_work_only_a_deadline_sets_a_timer() -> None:
    host = start_host()
    host.advance(60 * MS)
    assert not host.timers
    arrive(host, 1)
    assert [at for at, _ in host.timers] == [host.now + 3_000 * MS - 55 * MS]  # only for its deadline
