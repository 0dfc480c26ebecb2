"""The link to the worker pool: binding, reconnecting, replay of notices, and unreadable lines."""

from __future__ import annotations

import queue
import threading
from types import SimpleNamespace
from typing import Any

import pytest
from peers import LINK_THREAD_NAME, TOKEN, WAIT_S, PoolPeer, World, reply, until, world
from server_helpers import hold, wait_for_event_loop

from cairnvane.net import vault, worker_pool_link
from cairnvane.net.sent_commands import NOT_SENT, ReadCommands

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
        w.pool.silent_after = "spawn"  # no later reply shows that the pool has read it
        balancer = w.balancer()
        balancer.send(1, path, HTTP_REQ_TOKEN=token)
        uid = w.pool.next("spawn")["uid"]
        w.pool.notice("finished", "f" * 16, "fine")  # of an unknown request, but its notice number counts
        until(lambda: w.host._pool._link._position == 1)
        w.pool.silent_after = None
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


def test_spawn_that_the_pool_has_read_is_not_sent_again() -> None:
    """Guards against a second run of a request that has ended by the time the repeated command is read."""
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        _wait_until_all_commands_are_read(w)
        w.pool.cut()
        w.pool.next("bind")
        _wait_until_resent(w, link=2)
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.pool.commands.empty()


@pytest.mark.parametrize("fields", [{}, KEYED], ids=["idempotent", "keyed"])
def test_reply_that_the_pool_may_have_read_is_not_supplied_again(fields: dict[str, Any]) -> None:
    """Guards against a run that takes the reply to one call for the reply to its next call.

    The run has read the reply, continues, and waits for its next call when the link is up again.
    """
    with world(reply(200, b"first"), reply(200, b"second")) as w:
        w.pool.silent_after = "supply"
        balancer = w.balancer()
        uid = w.block(balancer, **fields)
        assert w.pool.next("supply")["content"] == b"first"
        w.pool.silent_after = None
        w.pool.cut()
        w.pool.next("bind")
        _wait_until_resent(w, link=2)
        if not fields:
            assert w.pool.next("suspend")["uid"] == uid  # without an effect, since no end is reported
        assert w.pool.commands.empty()
        w.pool.notice("blocked", uid, content=b"next call")
        assert w.pool.next("supply")["content"] == b"second"
        w.end(balancer, uid)


@pytest.mark.parametrize("body", [b"reply", b""])
def test_reply_that_came_without_a_link_is_supplied_on_the_next_one(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost reply, and against an empty one that counts as missing: the run began again."""
    held = hold(monkeypatch, vault, "classify_reply")
    with world(reply(200, body)) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        assert held.reached.wait(WAIT_S)
        w.pool.bound = False
        w.pool.cut()
        w.pool.next("bind")
        held.go.set()
        in_flight = w.host._requests.find_uid(uid)
        assert in_flight is not None
        until(lambda: in_flight.last_command == NOT_SENT)
        w.pool.tell(action="bound", code="running", wall_ms=60_000)
        assert w.pool.next("supply")["content"] == body
        w.end(balancer, uid)


def _wait_until_all_commands_are_read(w: World) -> None:
    """Wait until the pool has replied to a question behind all commands so far."""
    is_read = threading.Event()
    w.host._pool.sync(lambda is_linked: is_read.set())
    assert is_read.wait(WAIT_S)


def _wait_until_resent(w: World, link: int) -> None:
    """Wait until the server has sent again what it sends again on this link, and the pool has read it."""
    until(lambda: w.host.executions.cancellations.link == link)
    wait_for_event_loop(w.host)
    _wait_until_all_commands_are_read(w)


def test_keyed_run_of_a_calling_class_is_spawned_again_after_a_reconnect() -> None:
    """Regression: a run lost with the link was not repeated, although it can't have ended without a call."""
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        w.pool.next("supply")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200
        w.pool.silent_after = "spawn"  # no later reply shows that the pool has read it
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN="0" * 32)
        uid = w.pool.next("spawn")["uid"]
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("spawn")["uid"] == uid
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200


def test_repetition_that_was_not_sent_does_not_make_the_first_command_unsent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a keyed run that starts twice: a command that certainly was not sent is always repeated.

    The first one may have been read; only its repetition met the end of a link.
    """
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        first = w.block(balancer, **KEYED)
        w.pool.next("supply")
        w.end(balancer, first)  # each run of the class has made a call, so a spawn is repeated
        w.pool.silent_after = "spawn"
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN="0" * 32)
        uid = w.pool.next("spawn")["uid"]
        in_flight = w.host._requests.find_uid(uid)
        assert in_flight is not None
        until(lambda: in_flight.last_command is not None)
        sent = in_flight.last_command
        assert sent is not None
        monkeypatch.setattr(w.host._pool, "spawn", lambda *command: NOT_SENT)
        w.host.linked(sent.link + 1)
        wait_for_event_loop(w.host)
        assert in_flight.last_command == sent


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


def test_reply_that_was_read_is_not_supplied_again_after_a_move() -> None:
    """Guards against a changed reply: after a reload, each reply of the last second was sent again."""
    with world(reply(200, b"first"), reply(200, b"second")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        assert w.pool.next("supply")["content"] == b"first"
        new = PoolPeer()
        w.host._pool.move(new.address)
        new.next("bind")
        _wait_until_resent(w, link=2)
        assert new.commands.empty()
        new.skip(1)
        new.notice("blocked", uid, content=b"next call")
        assert new.next("supply")["content"] == b"second"
        new.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"


def test_commands_during_a_move_are_sent_on_the_new_link_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a command that is lost with the old link: the pool ignores it once the new one is bound.

    The old link gets no command after the question whose reply shows that all earlier ones were read.
    """
    with world() as w:
        held = hold(monkeypatch, w.host._pool._link.read_commands, "wait_for_reply")
        balancer, running = w.running()
        new = PoolPeer()
        w.host._pool.move(new.address)
        assert held.reached.wait(WAIT_S)
        balancer.send(2)
        until(lambda: w.host._requests.find_uid(f"{2:016x}") is not None)
        wait_for_event_loop(w.host)
        assert w.pool.commands.empty()
        held.go.set()
        new.next("bind")
        started = new.next("spawn")["uid"]
        assert started != running
        for uid in (running, started):
            new.notice("finished", uid, "fine", b"done")
            assert balancer.answer()[1].body == b"done"
        assert new.commands.empty()


def test_move_during_a_move_waits_for_the_drain_of_the_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against configurations in a row, the second of which cut off a link that was being drained."""
    waits: queue.Queue[str] = queue.Queue()
    wait_for_reply = ReadCommands.wait_for_reply

    def wait(self: ReadCommands, echo: str, timeout_s: float) -> None:
        waits.put(echo)
        wait_for_reply(self, echo, WAIT_S)

    with world() as w:
        w.pool.silent_after = "spawn"
        _, running = w.running()
        monkeypatch.setattr(ReadCommands, "wait_for_reply", wait)
        peers = PoolPeer(), PoolPeer()
        w.host._pool.move(peers[0].address)
        echo = waits.get(timeout=WAIT_S)
        w.host._pool.move(peers[1].address)
        assert waits.get(timeout=WAIT_S) == echo
        assert peers[1].commands.empty()
        w.pool.tell(action="polled", echo=echo, meters=[0.5, 1.0, 0.1, 2.0])
        peers[1].next("bind")
        _wait_until_resent(w, link=2)
        assert peers[1].commands.empty(), f"the command for {running}, which was read, is sent again"


def test_spawn_unknown_to_the_pool_fails_its_request() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.tell(action="unknown", code="spawn", uid=w.pool.next("spawn")["uid"])
        assert balancer.answer()[1].status == 500
