"""What the metrics say of the server's load, and the lines about requests that were not run."""

from __future__ import annotations

import logging

import pytest
from peers import until, world

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.endpoints import Endpoints
from cairnvane.contract.actions import EndReason


def test_the_metrics_show_what_the_server_believes_beside_the_gauges() -> None:
    with world(Cores=1) as w:
        balancer, uid = w.running()
        balancer.send(2)
        until(lambda: w.host.load.queued == 1)
        load = w.host.load.as_json()
        assert (load["running"], load["concurrency_limit"], load["pool_link"]) == (1, 1, 1)
        assert load["gauges"] == {"cpu_busy": 0.5, "runnable": 1.0, "memory_used": 0.1, "connections": 2.0}
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        until(lambda: w.host.load.cancellations["sent"] == 1)


def test_the_metrics_hold_the_load() -> None:
    endpoints = Endpoints(Readiness(lambda: True), RequestCounters(()), load=lambda: {"running": 3})
    assert b'"load":{"running":3}' in endpoints.answer("GET", "/-/metrics").body


def test_a_request_that_is_not_run_is_counted_by_its_reason_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG, "cairnvane.server.action_executor")
    with world(HeapKb=100.0) as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="20.5")  # 8 times that does not fit
        assert balancer.answer()[1].status == 503
        assert w.host._actions.ended_without_run == {EndReason.MEMORY.value: 1}
    assert "request 0000000000000001: Reject, memory" in caplog.messages


def test_a_link_says_what_it_sent_again(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "cairnvane.server.executions")
    with world() as w:
        _, uid = w.running()
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("spawn")["uid"] == uid
        until(lambda: w.host.executions.commands_repeated == 1)
    assert "worker pool link 2: 1 commands and 0 cancellations sent again" in caplog.messages
