"""The server's load in the metrics, and the log lines about requests that were not run."""

from __future__ import annotations

import logging

import pytest
from peers import until, world

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.endpoints import Endpoints
from cairnvane.contract.actions import EndReason


def test_metrics_show_the_servers_own_counts_and_the_gauges() -> None:
    with world(Cores=1) as harness:
        balancer, uid = harness.running()
        balancer.send(2)
        until(lambda: harness.host.load.queued == 1)
        load = harness.host.load.as_json()
        assert (load["running"], load["concurrency_limit"], load["pool_link"]) == (1, 1, 1)
        assert load["gauges"] == {"cpu_busy": 0.5, "runnable": 1.0, "memory_used": 0.1, "connections": 2.0}
        balancer.abort(1)
        assert harness.pool.next("suspend")["uid"] == uid
        until(lambda: harness.host.load.cancellations["sent"] == 1)


def test_metrics_include_the_load() -> None:
    endpoints = Endpoints(Readiness(lambda: True), RequestCounters(()), load=lambda: {"running": 3})
    assert b'"load":{"running":3}' in endpoints.answer("GET", "/-/metrics").body


def test_request_that_is_not_run_is_counted_by_its_reason_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.DEBUG, "cairnvane.server.action_executor")
    with world(HeapKb=100.0) as harness:
        balancer = harness.balancer()
        balancer.send(1, HTTP_REQ_KB="20.5")  # a run needs 8 times as much memory, more than HeapKb
        assert balancer.answer()[1].status == 503
        assert harness.host._actions.ended_without_run == {EndReason.MEMORY.value: 1}
    assert "request 0000000000000001: Reject, memory" in caplog.messages


def test_number_of_commands_sent_again_on_a_link_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "cairnvane.server.executions")
    with world() as harness:
        harness.pool.silent_after = "spawn"  # no later reply shows that the pool has read it
        _, uid = harness.running()
        harness.pool.silent_after = None
        harness.pool.cut()
        harness.pool.next("bind")
        assert harness.pool.next("spawn")["uid"] == uid
        until(lambda: harness.host.executions.commands_repeated == 1)
    assert (
        "worker pool link 2: 1 commands and 0 cancellations sent again, 0 replies may be lost"
        in caplog.messages
    )
