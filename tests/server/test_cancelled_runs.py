"""A cancelled run occupies its concurrency slot until the worker pool reports that it does not continue.

Guards against overload of a machine whose cores stall while the link to its worker pool breaks about once a
second. A cancellation has no effect while the cores are stalled. When the link broke, each cancellation was
sent again on the new link; the pool answered the `sync` after it and reported no end, since the run went on.
The server concluded that the run had been lost with the link, freed its slot and started the next request.
Each reset of the link thus started as many runs as may run at a time, until there were more than a machine
survives (a mean of 8 per core over 1.5 s).

Measured with one real process on 4 cores, a stall of 8 s, a reset every 0.5 s and a client timeout of 0.6 s:
in two trials 48 and 50 runs were considered lost, with a mean of 12 to 14 runs per core. With only one of the
faults, or a client timeout of 6 s: 2.1 per core at most. With both faults, but without the wrong conclusion:
1.0 and 1.5.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from peers import TOKEN, until, world
from server_helpers import wait_for_event_loop

from cairnvane import clock
from cairnvane.server import cancellations

KEYED: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


def test_run_whose_cancellation_had_no_effect_keeps_its_slot() -> None:
    with world(Cores=1) as harness:
        balancer, uid = harness.running()
        balancer.abort(1)
        assert harness.pool.next("suspend")["uid"] == uid
        balancer.answer()
        harness.pool.cut()
        harness.pool.next("bind")
        assert harness.pool.next("suspend")["uid"] == uid
        balancer.send(2)
        # The confirmation, which has no effect, since the run continues.
        assert harness.pool.next("spawn")["uid"] == uid
        until(lambda: harness.host._controller.queue)
        assert harness.pool.commands.empty()
        harness.pool.notice("finished", uid, "fine")
        assert harness.pool.next("spawn")["uid"] != uid


def test_keyed_run_is_confirmed_only_after_its_client_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second run: the pool may run a `spawn` of a request whose client still waits."""
    timers: list[tuple[float, Any]] = []

    def timer(seconds: float, task: Any, arguments: tuple[Any, ...]) -> Any:
        timers.append((seconds, lambda: task(*arguments)))
        return SimpleNamespace(start=lambda: None)

    with world() as harness:
        balancer = harness.balancer()
        arrived_at = clock.now()
        balancer.send(1, **KEYED)
        uid = harness.pool.next("spawn")["uid"]
        harness.pool.cut()
        harness.pool.next("bind")
        until(lambda: harness.host.executions.cancellations.link == 2)  # the server uses the new link
        monkeypatch.setattr(cancellations, "threading", SimpleNamespace(Timer=timer))
        in_flight = harness.host._requests.find_uid(uid)
        assert in_flight is not None
        # As at the request's deadline: its client still waits.
        harness.host.post(lambda: harness.host.executions.cancel(in_flight))
        assert harness.pool.next("suspend")["uid"] == uid
        until(lambda: timers)
        delay_s, send_confirmation = timers[0]
        confirmed_at = clock.now() + delay_s * 1e6
        client_timeout = 9_000_000
        assert confirmed_at >= arrived_at + client_timeout
        assert harness.pool.commands.empty()
        send_confirmation()
        assert harness.pool.next("spawn")["uid"] == uid


def test_possible_second_run_by_a_repeated_command_is_cancelled() -> None:
    """A run ends before the pool reads its repeated `spawn`, which may therefore start it a second time."""
    with world() as harness:
        balancer, uid = harness.running()
        # An answer to `sync` would show that the pool has read the repeated command.
        harness.pool.silent_after = "spawn"
        harness.pool.cut()
        harness.pool.next("bind")
        assert harness.pool.next("spawn")["uid"] == uid
        harness.end(balancer, uid)
        assert harness.pool.next("suspend")["uid"] == uid


def test_run_that_ends_after_its_repeated_command_was_read_is_not_cancelled() -> None:
    with world() as harness:
        balancer, uid = harness.running()
        harness.pool.cut()
        harness.pool.next("bind")
        assert harness.pool.next("spawn")["uid"] == uid
        in_flight = harness.host._requests.find_uid(uid)
        assert in_flight is not None
        wait_for_event_loop(harness.host)  # the resend, which marks the run, is complete
        until(lambda: not in_flight.is_repeat_unread)
        harness.end(balancer, uid)
        harness.serve(balancer, 2)  # the next command must be the `spawn` of request 2, not a `suspend`
