"""The link to the worker pool: binding, reconnecting, replay of notices, and unreadable lines."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import Any

import pytest
from peers import LINK_THREAD_NAME, TOKEN, WAIT_S, PoolPeer, reply, until, world
from server_helpers import wait_for_event_loop

from cairnvane.net import worker_pool_link

KEYED: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


def test_no_command_is_sent_before_the_pool_is_bound() -> None:
    with world(bound=False) as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.bound = True
        w.pool.tell(action="bound", code="starting", wall_ms=1)
        w.pool.run()
        assert balancer.answer()[1].status == 200


@pytest.mark.parametrize(
    ("path", "token", "is_repeated"), [("/svc/read", "", True), ("/svc/write", TOKEN, False)]
)
def test_only_idempotent_runs_are_spawned_again_after_a_reconnect(
    path: str, token: str, is_repeated: bool
) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, path, HTTP_REQ_TOKEN=token)
        uid = w.pool.next("spawn")["uid"]
        w.pool.notice("finished", "f" * 16, "fine")  # of an unknown request, but its notice number counts
        balancer.send(2, "/status/live", b"", QUERY_STRING="real=1")
        w.pool.tell(action="verified", echo=w.pool.next("verify")["echo"], code="fine")
        assert balancer.answer()[1].status == 200  # so the earlier notice has been read
        w.pool.cut()
        assert w.pool.next("bind")["pos"] == 1
        if is_repeated:
            assert w.pool.next("spawn")["uid"] == uid
            in_flight = w.host._requests.find_uid(uid)
            assert in_flight is not None
            wait_for_event_loop(w.host)  # the resend, which marks the run, is complete
            until(lambda: not in_flight.is_repeat_unread)  # the pool has read the command again
        w.pool.notice("finished", "f" * 16, "fine", again=True)
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.pool.commands.empty()


def test_supply_is_sent_again_after_a_reconnect() -> None:
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        w.block(balancer, **KEYED)
        w.pool.next("supply")
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("supply")["content"] == b"reply"


def test_keyed_run_of_a_calling_class_is_spawned_again_after_a_reconnect() -> None:
    """Regression: a run lost with the link was not repeated, although it can't have ended without a call."""
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        w.pool.next("supply")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN="0" * 32)
        uid = w.pool.next("spawn")["uid"]
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("spawn")["uid"] == uid
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200


def test_run_lost_with_its_link_frees_its_capacity_when_cancelled() -> None:
    """Regression: the pool sends no notice for a run that never started, so it was counted as running.

    A missing notice proves nothing (see `tests/server/test_cancelled_runs.py`), so the pool is asked whether
    the run exists, and replies that it does not.
    """
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, **KEYED)
        uid = w.pool.next("spawn")["uid"]
        w.pool.cut()
        w.pool.next("bind")
        w.serve(balancer, 2)
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        balancer.answer()
        assert w.pool.next("spawn")["uid"] == uid
        assert 1 in w.host._controller.running
        w.pool.notice("finished", uid, "late")
        w.serve(balancer, 3)  # its notice comes after the one above
        # Two notices that are read together share one call of the controller, which follows the answer.
        until(lambda: 1 not in w.host._controller.running)
        balancer.send(4, **KEYED)  # the key stays claimed: it is not proven that its run never started
        assert balancer.answer()[1].status == 500
        assert w.pool.commands.empty()


@pytest.mark.parametrize(
    "line",
    [
        b"{broken\n",
        b"\xff\n",
        b'{"action":"finished","pos":1,"uid":"x","code":"fine","content":"?"}\n',
    ],
    ids=["truncated JSON", "invalid UTF-8", "invalid base64"],
)
def test_unreadable_line_is_requested_once_more(line: bytes) -> None:
    """Regression: an unreadable line ended the link's thread, and no request was run any more."""
    with world() as w:
        w.pool.raw(line)
        assert w.pool.next("bind")["pos"] == 0
        w.pool.raw(line)  # unreadable again: skipped
        w.serve(w.balancer(), 1)


def test_notice_of_unsupported_form_is_skipped() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        w.pool.tell(action="unknown", code="spawn", uid=None)
        w.pool.tell(action="chatter", pos=0, code="hm")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.pool.commands.empty()


def test_repeated_notice_is_ignored() -> None:
    with world(reply(200, b"a"), reply(200, b"b")) as w:
        balancer = w.balancer()
        uid = w.block(balancer)
        w.pool.notice("blocked", uid, content=b"call", again=True)
        w.pool.next("supply")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.vault.calls.qsize() == 1


def test_pool_moves_to_another_address_and_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression: two threads served the address it returned to and closed each other's links forever."""
    has_returned = threading.Event()
    threads_before = set(threading.enumerate())
    monkeypatch.setattr(worker_pool_link, "time", SimpleNamespace(sleep=lambda s: has_returned.wait(WAIT_S)))
    with world() as w:
        (first,) = [
            thread
            for thread in set(threading.enumerate()) - threads_before
            if thread.name == LINK_THREAD_NAME
        ]
        other = PoolPeer()
        w.host._pool.move(other.address)
        other.next("bind")
        w.host._pool.move(w.pool.address)
        w.pool.next("bind")
        has_returned.set()
        first.join(WAIT_S)
        assert not first.is_alive()
        w.serve(w.balancer(), 1)


def test_spawn_unknown_to_the_pool_fails_its_request() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.tell(action="unknown", code="spawn", uid=w.pool.next("spawn")["uid"])
        assert balancer.answer()[1].status == 500
