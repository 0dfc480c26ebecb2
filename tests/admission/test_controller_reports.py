"""What clients and health checks learn: load signal, health, idle connections, timers."""

from __future__ import annotations

import pytest
from admission_helpers import IDEMPOTENT, MS, actions_of, arrive, settings, start_host

from cairnvane.admission.controller import Controller
from cairnvane.contract.actions import CloseIdleConnections, ReportLoad, SetHealth, SetTimer
from cairnvane.contract.events import Arrival, DrainStarted, Outcome, TimerFired
from cairnvane.contract.settings import LoadSignal


def test_without_overload_the_credit_binds_no_client() -> None:
    """Round 67: one client with a tenth of all traffic held back its own requests while cores idled."""
    host = start_host(load_signal=LoadSignal.CREDIT, clients=900)
    host.advance(60 * MS)
    assert actions_of(host.actions, ReportLoad) == [ReportLoad(16.0)]
    host.now = 1_000 * MS
    arrive(host, 1, queue_delay=200 * MS)
    host.actions.clear()
    host.advance(60 * MS)
    assert actions_of(host.actions, ReportLoad)[0].value < 0.02


def test_a_read_delay_lowers_the_load_signal() -> None:
    """Incident i25c424: reading is saturated, and clients learn nothing but what comes with answers."""
    host = start_host(load_signal=LoadSignal.LEVEL)
    host.advance(60 * MS)
    host.now = 1_000 * MS
    arrive(host, 1, queue_delay=200 * MS)
    host.actions.clear()
    host.advance(60 * MS)
    assert [action.value for action in actions_of(host.actions, ReportLoad)] == [pytest.approx(0.05 * 2 / 3)]


def test_a_read_delay_on_idle_cores_leaves_the_load_signal() -> None:
    """Guards against a slow server whose read delay keeps clients from its idle cores."""
    host = start_host(load_signal=LoadSignal.LEVEL)
    host.advance(60 * MS)
    host.now, host.runnable = 1_000 * MS, 2
    arrive(host, 1, queue_delay=200 * MS)
    host.actions.clear()
    host.advance(60 * MS)
    assert not actions_of(host.actions, ReportLoad)


def test_the_level_spares_the_class_of_most_weight_except_in_a_drain() -> None:
    """Round 56: at its limit the level kept away most of the class of most weight."""
    host = start_host(load_signal=LoadSignal.LEVEL)
    for request_id in range(1, 200):
        host.advance(50 * MS)
        arrive(host, request_id, queue_delay=300 * MS)
    values = [action.value for action in actions_of(host.actions, ReportLoad)]
    assert 0.6 < max(values) < 2 / 3
    assert actions_of(host.send(DrainStarted(5_000 * MS)), ReportLoad) == [ReportLoad(1.0)]


def test_quick_failures_turn_health_bad_until_they_are_forgotten() -> None:
    """Round 26: a server that failed most runs within milliseconds went on attracting clients."""
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
    """Round 28: clients by the hundred filled the connection table, and others got no connection."""
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
    """Rounds 51 and 61: each attempt cost a handshake, all came late; closing at once oscillated."""
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
    assert not idle_times(301, 60, 0, 0.95)  # busy still: no shorter
    shrinking = idle_times(401, 400, 0, 0.5)
    assert shrinking == sorted(shrinking, reverse=True)
    assert shrinking[-1] == 100 * MS
    assert len(shrinking) > 4


def test_clients_that_do_not_return_are_forgotten() -> None:
    """Guards against a table of all clients, whose numbers are always new: it grew for good."""
    host = start_host()
    for request_id in range(1, 400):
        host.advance(60 * MS)
        arrive(host, request_id, client=request_id)
        host.finish(request_id)
    assert len(host.controller.idle_connections.clients.last_seen) < 200


def test_a_timer_counts_though_events_come_faster_than_its_gauges() -> None:
    """Guards against each event after a timer's time replacing it: no timer counted for seconds."""
    controller = Controller(settings(), 1, 0)
    controller.handle(0, [Arrival(1, IDEMPOTENT)])
    at = controller.timer_due_at
    for late in (1, 2):  # due, but its gauges are still on their way
        assert not actions_of(controller.handle(at + late * MS, [Arrival(1 + late, IDEMPOTENT)]), SetTimer)
    (timer,) = actions_of(controller.handle(at + 3 * MS, [TimerFired(0, cpu_busy=0.5, runnable=3)]), SetTimer)
    assert timer.due_at > at


def test_no_timer_is_set_for_nothing() -> None:
    host = start_host()
    host.advance(60 * MS)
    assert not host.timers
    arrive(host, 1)
    assert [at for at, _ in host.timers] == [host.now + 3_000 * MS - 55 * MS]  # for its deadline alone
