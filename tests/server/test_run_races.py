"""Cancellation of runs and calls that coincides with their ends and replies."""

from __future__ import annotations

import threading
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from peers import WAIT_S, Held, VaultPeer, reply, world
from server_helpers import hold, in_thread

from cairnvane.contract.events import ClientDisconnected, Event
from cairnvane.net import vault


@pytest.mark.parametrize("notice", ["fine", "fault", "broken_off", "late", "blocked", "unknown"])
def test_notice_that_coincides_with_a_cancellation_has_no_effect(notice: str) -> None:
    """The client disconnects when the pool has already sent this notice, or no longer knows the run."""
    with world() as harness:
        balancer, uid = harness.running()
        balancer.abort(1)
        assert balancer.answer()[1].status == 0
        assert harness.pool.next("suspend")["uid"] == uid
        if notice == "unknown":
            harness.pool.tell(action="unknown", code="suspend", uid=uid)
        elif notice == "blocked":
            harness.pool.notice("blocked", uid, content=b"call")
        else:
            harness.pool.notice("finished", uid, notice, b"done" if notice == "fine" else b"")
        # This request gets the pool's next command and the next response with number 1.
        harness.serve(balancer, 1, HTTP_REQ_ID="f" * 16)
        assert harness.vault.calls.empty()


def test_reply_for_a_run_unknown_to_the_pool_has_no_effect() -> None:
    with world(reply(200, b"reply")) as harness:
        balancer = harness.balancer()
        uid = harness.block(balancer)
        harness.pool.next("supply")
        harness.pool.tell(action="unknown", code="supply", uid=uid)
        harness.end(balancer, uid)


def test_reply_to_an_abandoned_call_is_not_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, vault, "classify_reply")
    threads: list[threading.Thread] = []
    ends: list[Any] = []
    monkeypatch.setattr(vault, "_threads", SimpleNamespace(run=lambda task: threads.append(in_thread(task))))
    call = vault.VaultCall(
        VaultPeer(reply(200)).address, "0" * 16, b"x", 60_000_000, lambda *end: ends.append(end)
    )
    assert held.reached.wait(WAIT_S)
    call.cancel()
    held.go.set()
    threads[0].join(WAIT_S)
    assert ends == []


def test_reply_reported_after_a_disconnect_is_not_supplied() -> None:
    with world(reply(200, b"late")) as harness:
        balancer, posted = harness.balancer(), threading.Event()
        held = Held(harness.host.post)

        def post(task: Callable[[], None]) -> None:
            held(task)
            posted.set()

        harness.host.executions._post = post
        uid = harness.block(balancer)
        assert held.reached.wait(WAIT_S)
        balancer.abort(1)
        assert harness.pool.next("suspend")["uid"] == uid
        held.go.set()
        assert posted.wait(WAIT_S)
        assert balancer.answer()[0] == 1
        harness.serve(balancer, 2)  # its `spawn` must be the pool's next command


def test_event_that_an_action_causes_is_not_lost_beside_a_follow_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run that counts for good: its end was overwritten by the end of a duplicate."""
    caused, followed_up = ClientDisconnected(1), ClientDisconnected(2)
    batches: list[list[Event]] = []
    handled = threading.Event()
    with world() as harness:
        host = harness.host

        def handle(now: int, events: list[Event]) -> list[str]:
            batches.append(events)
            return ["action"] if len(batches) == 1 else []

        def execute(action: str) -> None:
            host._follow_up(followed_up)
            host.notify(caused)

        def handle_once() -> None:
            with monkeypatch.context() as patched:
                patched.setattr(host._controller, "handle", handle)
                patched.setattr(host._actions, "execute", execute)
                host._handle()
            handled.set()

        host.post(handle_once)
        assert handled.wait(WAIT_S)
    assert batches[1] == [caused, followed_up]
