"""The cores of the stand-in pool: runnable runs, cancellations and frozen cores; and repeated faults."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from peers import WAIT_S

from cairnvane.testbed.cluster import scenario_file, schedule
from cairnvane.testbed.stand_ins.concurrency_history import ConcurrencyHistory
from cairnvane.testbed.stand_ins.worker_pool import StandInPool


class PoolClient:
    """A link to a pool."""

    def __init__(self, pool: StandInPool) -> None:
        host, _, port = pool.address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), WAIT_S)
        self._lines = self._sock.makefile("rb")
        self.send(action="bind", pos=0)
        assert self.receive()["action"] == "bound"

    def send(self, **command: Any) -> None:
        self._sock.sendall(json.dumps(command).encode() + b"\n")

    def spawn(self, uid: str) -> None:
        self.send(action="spawn", uid=uid, lane="read", content="")

    def receive(self) -> dict[str, Any]:
        message: dict[str, Any] = json.loads(self._lines.readline())
        return message

    def poll(self) -> dict[str, Any]:
        """Poll the gauges; fails if a notice arrives before them."""
        self.send(action="poll", echo="q")
        message = self.receive()
        assert message["action"] == "polled", message
        return message

    def close(self) -> None:
        self._lines.close()
        self._sock.close()


@contextmanager
def linked_pool(work_ms: float) -> Iterator[tuple[StandInPool, PoolClient]]:
    pool = StandInPool(1, work_ms=(work_ms, work_ms), cores=1)
    client = PoolClient(pool)
    try:
        yield pool, client
    finally:
        client.close()
        pool.close()


def test_a_cancelled_run_releases_its_core_to_the_next_run() -> None:
    with linked_pool(60_000) as (pool, client):
        client.spawn("a")
        client.spawn("b")
        assert client.poll()["meters"][1] == 2
        client.send(action="suspend", uid="a")
        assert (client.receive()["code"], client.poll()["meters"][1]) == ("broken_off", 1)
        assert pool.max_runnable == 2


def test_while_the_cores_are_frozen_no_run_ends_or_is_cancelled() -> None:
    with linked_pool(1) as (pool, client):
        pool.freeze()
        client.spawn("a")
        client.send(action="suspend", uid="a")
        assert client.poll()["meters"][1] == 1
        pool.thaw()
        assert client.receive()["code"] == "fine"


def test_a_request_that_is_over_does_not_run() -> None:
    with linked_pool(60_000) as (pool, client):
        pool.is_over = lambda uid: uid == "a"
        client.spawn("a")
        assert client.receive()["code"] == "late"
        assert pool.records == {}


def test_a_second_spawn_of_a_run_in_progress_is_counted_and_ignored() -> None:
    with linked_pool(60_000) as (pool, client):
        client.spawn("a")
        client.spawn("a")
        assert (client.poll()["meters"][1], pool.repeated_spawns) == (1, 1)


@pytest.mark.parametrize(
    ("changes", "window_s", "until", "mean"),
    [
        ([], 1.5, 10.0, 0.0),
        ([(0.0, 4)], 2.0, 2.0, 4.0),
        ([(0.0, 4)], 2.0, 1.0, 2.0),  # the count is 0 before the first change
        ([(0.0, 10), (0.5, 0), (2.0, 6), (4.0, 0)], 1.0, 4.0, 6.0),
        ([(0.0, 10), (0.5, 0), (2.0, 6), (4.0, 0)], 0.5, 4.0, 10.0),
    ],
)
def test_the_highest_mean_of_any_window_is_found(
    changes: list[tuple[float, int]], window_s: float, until: float, mean: float
) -> None:
    history = ConcurrencyHistory()
    for at, runnable in changes:
        history.record(at, runnable)
    assert history.highest_mean(window_s, until) == pytest.approx(mean)


def test_a_fault_with_an_interval_is_repeated_until_the_load_ends() -> None:
    scenario = scenario_file.parse(
        "name: a\nseconds: 5\nfaults:\n  - {do: reset, link: [n0, pool], at: 1, for: 0.1, every: 1.5}\n", "a"
    )
    steps = schedule.draw(scenario, 1)
    assert [(step.at, step.begins) for step in steps] == [
        (1, True),
        (1.1, False),
        (2.5, True),
        (2.6, False),
        (4, True),
        (4.1, False),
    ]
