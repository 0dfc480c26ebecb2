"""Calls of a run to the vault: their content, their retries and their cancellation."""

from __future__ import annotations

import queue
import socket
import threading
from typing import Any

import pytest
from peers import TOKEN, WAIT_S, Listener, reply, world

from cairnvane.contract.events import Outcome
from cairnvane.net import http, vault

KEYED: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


def test_call_transfers_ticket_body_and_reply() -> None:
    with world(reply(200, b"\0reply")) as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        w.pool.notice("blocked", uid, content=b"\xffcall")
        head, _, body = w.vault.calls.get(timeout=WAIT_S).partition(b"\r\n\r\n")
        assert head.startswith(b"POST /v2/read HTTP/1.1\r\n")
        assert b"X-Ticket: " + uid.encode() in head
        assert body == b"\xffcall"
        assert w.pool.next("supply")["content"] == b"\0reply"
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200


@pytest.mark.parametrize(
    ("path", "first_reply", "calls"),
    [
        ("/svc/read", reply(500), 2),
        ("/svc/read", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 2),
        ("/svc/write", reply(503, unseen=True), 2),
        ("/svc/write", reply(409, unseen=True), 2),
        ("/svc/write", reply(503), 1),
        ("/svc/write", reply(504), 1),
        ("/svc/write", b"junk\r\n\r\n", 1),
    ],
)
def test_keyed_call_is_retried_only_if_it_provably_never_ran(
    path: str,
    first_reply: bytes,
    calls: int,
) -> None:
    with world(first_reply, reply(200, b"late")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, path=path, HTTP_REQ_TOKEN=TOKEN if path == KEYED["path"] else "")
        for _ in range(calls):
            w.vault.calls.get(timeout=WAIT_S)
        if calls == 2:
            w.pool.next("supply")
            w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == (200 if calls == 2 else 500)
        assert w.vault.calls.empty()


def test_call_is_cancelled_when_its_client_disconnects() -> None:
    with world() as w:
        balancer = w.balancer()
        w.block(balancer)
        w.vault.calls.get(timeout=WAIT_S)
        balancer.abort(1)
        assert w.vault.closed.wait(WAIT_S)


@pytest.mark.parametrize("client_left", [True, False])
def test_run_blocked_at_its_call_is_suspended_when_its_request_ends(client_left: bool) -> None:
    """Regression: a pool that does not detect the end of a request by itself kept its run and the memory."""
    with world() as w:  # the vault answers no call
        balancer = w.balancer()
        uid = w.block(balancer)
        w.vault.calls.get(timeout=WAIT_S)
        if client_left:
            balancer.abort(1)
        else:
            w.host.drain(500_000)
            assert balancer.answer()[1].status == 500
        assert w.pool.next("suspend")["uid"] == uid
        w.pool.notice("finished", uid, "broken_off")


class SlowVault:
    """A vault that reads each call, and ends the connection only after `release` is set."""

    def __init__(self) -> None:
        self.given_up = threading.Event()  # the server has ended its side of a connection
        self.release = threading.Event()
        self.outcomes: queue.Queue[Outcome] = queue.Queue()
        self.address = Listener(self._serve).address

    def _serve(self, sock: socket.socket) -> None:
        while sock.recv(4_096):
            pass
        self.given_up.set()
        self.release.wait(WAIT_S)

    def call(self, abandoned_call_time_us: int) -> None:
        """Make a call that times out at once."""
        vault.VaultCall(
            self.address,
            "0" * 16,
            b"",
            50_000,
            lambda outcome, body, duration_us: self.outcomes.put(outcome),
            abandoned_call_time_us,
        )


def test_timed_out_call_ends_only_once_the_vault_has_ended_it() -> None:
    """Guards against a changed reply: the call was made again while the vault still carried the first one."""
    slow_vault = SlowVault()
    slow_vault.call(abandoned_call_time_us=WAIT_S * 1_000_000)
    assert slow_vault.given_up.wait(WAIT_S)
    with pytest.raises(queue.Empty):
        slow_vault.outcomes.get(timeout=0.2)
    slow_vault.release.set()
    assert slow_vault.outcomes.get(timeout=WAIT_S) is Outcome.TIMEOUT


def test_timed_out_call_ends_although_the_vault_does_not_end_it() -> None:
    slow_vault = SlowVault()
    slow_vault.call(abandoned_call_time_us=1_000)
    assert slow_vault.outcomes.get(timeout=WAIT_S) is Outcome.TIMEOUT
    slow_vault.release.set()


def test_refused_connection_proves_that_no_call_ran() -> None:
    with socket.create_server(("127.0.0.1", 0)) as closed_listener:
        address = closed_listener.getsockname()
    outcomes: queue.Queue[Outcome] = queue.Queue()
    vault.VaultCall(
        address, "0" * 16, b"", 1_000_000, lambda outcome, body, duration_us: outcomes.put(outcome)
    )
    assert outcomes.get(timeout=WAIT_S) is Outcome.UNREACHED


@pytest.mark.parametrize(
    ("status", "unseen", "outcome"),
    [
        (200, False, Outcome.OK),
        (503, True, Outcome.REJECTED),
        (503, False, Outcome.ERROR),
        (500, False, Outcome.ERROR),
        (504, False, Outcome.TIMEOUT),
        (409, True, Outcome.NEVER_STARTED),
        (409, False, Outcome.ERROR),
        (302, False, Outcome.ERROR),
    ],
)
def test_outcome_of_a_reply(status: int, unseen: bool, outcome: Outcome) -> None:
    headers = {"x-refused-unseen": "1"} if unseen else {}
    assert vault.classify_reply(http.Reply(status, headers, b"")) is outcome
