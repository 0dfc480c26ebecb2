"""Closing a connection, against what happens on it at the same instant: each order is forced.

`docs/server.md` lists what can coincide, with the test or the reason for each.
"""

from __future__ import annotations

import socket
import time
from types import SimpleNamespace

import pytest
from peers import WAIT_S, Balancer, Held, until, world
from server_helpers import ABORT, BEGIN, begin_retiring, hold, in_thread, is_served

from cairnvane.net import connection, fastcgi, request_parameters, server
from cairnvane.net.connection import ConnectionPhase
from cairnvane.net.server import FastCgiServer

# Bytes of a request: a part of its first record, and the first record with a part of the second.
PART_OF_A_RECORD = 5
PART_OF_A_REQUEST = 20


def test_connection_stays_open_while_a_request_is_handed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost response: a request just read is for a moment neither partial nor open."""
    held = hold(monkeypatch, request_parameters, "parse_request")
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        begin_retiring(w)
        assert not w.connection.close_if_idle()
        assert not w.connection.evict()
        held.go.set()
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


@pytest.mark.parametrize("cause", ["retire", "full"])
def test_connection_stays_open_until_its_response_is_written(
    cause: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a truncated response: a request was closed before its response was written."""
    held = hold(monkeypatch, request_parameters, "encode_response", is_served)
    with world(most=1) as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(b"done")
        assert held.reached.wait(WAIT_S)
        if cause == "retire":
            begin_retiring(w)
            assert not w.connection.close_if_idle()
        else:
            assert w.balancer().ended()  # rejected: the only slot is taken
        held.go.set()
        assert balancer.answer()[1].body == b"done"


def test_connection_with_unread_bytes_is_not_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost request: a busy core keeps the reader from bytes that came before the close."""
    sleep = Held(lambda seconds: None)
    monkeypatch.setattr(connection, "time", SimpleNamespace(monotonic=time.monotonic, sleep=sleep))
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="0")  # invalid: the connection is read on only after a pause
        assert balancer.answer()[1].status == 500
        assert sleep.reached.wait(WAIT_S)
        balancer.send(2)
        assert w.connection.sock.recv(1, socket.MSG_PEEK)
        assert not w.connection.close_if_idle(requested=True)
        begin_retiring(w)
        assert not w.connection.close_if_idle()
        sleep.go.set()
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


@pytest.mark.parametrize(
    "received", [PART_OF_A_RECORD, PART_OF_A_REQUEST], ids=["part of a record", "part of a request"]
)
def test_partly_received_request_is_completed_and_answered_before_the_close(received: int) -> None:
    """Guards against a dropped request: a part of a record counted as nothing."""
    with world() as w:
        balancer = w.balancer()
        data = balancer.request(1)
        balancer.sock.sendall(data[:received])
        until(lambda: w.connection.partial_record_since is not None and not w.connection.is_parsing)
        begin_retiring(w)
        assert not w.connection.close_if_idle()
        balancer.sock.sendall(data[received:])
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


def test_bytes_being_read_postpone_the_close_of_a_silent_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a false timeout: a busy core kept the reader from a request that had come in time."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    held = hold(monkeypatch, fastcgi, "read_record")
    with world() as w:
        balancer, late = w.balancer(), w.connection
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        w.server.clock += connection.REQUEST_TIMEOUT_S
        late.enforce_deadlines()
        assert late.state is ConnectionPhase.SERVING
        held.go.set()
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"


def test_request_read_after_the_close_is_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a run without a response: its bytes were being read when the connection was closed."""
    held = hold(monkeypatch, fastcgi, "read_record")
    with world() as w:
        balancer, other = w.balancer(), w.balancer()
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        for each in w.server._open_connections():
            if each.is_parsing:
                each.end()
        held.go.set()
        assert balancer.ended()
        other.send(2)
        assert w.pool.next("spawn")["uid"] == f"{2:016x}"


def test_deferred_close_happens_once_its_cause_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that stays open: `retire` asks once, here while bytes are being read."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    held = hold(monkeypatch, fastcgi, "read_record")
    with world() as w:
        balancer = w.balancer()
        balancer.sock.sendall(fastcgi.record(50, 0, b""))
        assert held.reached.wait(WAIT_S)
        begin_retiring(w)
        assert not w.connection.close_if_idle()
        held.go.set()
        assert balancer.ended()


def test_request_on_a_connection_in_the_backlog_is_answered() -> None:
    """Guards against a lost request: the kernel resets unaccepted connections when the listener closes."""
    with world() as w:
        late = FastCgiServer(("127.0.0.1", 0), w.host, 16)  # its thread that accepts is never started
        balancer = Balancer(late.address)
        balancer.send(1)
        retiring = in_thread(lambda: late.retire(WAIT_S))
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()
        balancer.sock.close()
        retiring.join(WAIT_S)
        assert not retiring.is_alive()


def test_connection_accepted_during_retire_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a late shutdown: it was registered after `retire` had looked over the connections."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    held = hold(monkeypatch, server, "Connection")
    with world() as w:
        balancer = w.balancer()
        assert held.reached.wait(WAIT_S)
        w.server.retire(0)
        held.go.set()
        assert balancer.ended()


@pytest.mark.parametrize(
    "data",
    [
        b"no record at all",
        BEGIN,
        *(
            each.replace(b"\0\1\0", b"\0\2\0") * (connection.MAX_STRAY_RECORDS + 1)
            for each in (
                fastcgi.record(fastcgi.STDIN, 7, b""),
                fastcgi.record(50, 0, b""),
                BEGIN + ABORT,
                ABORT,
                fastcgi.record(fastcgi.PARAMS, 7, bytes(4_000)),
                BEGIN[:6] + b"\0\0\0\7" + BEGIN[10:],
            )
        ),
    ],
)
def test_protocol_violation_closes_the_connection_but_loses_no_response(data: bytes) -> None:
    """An unreadable record, a request number that is in use, a flood of records of no request.

    Guards against cancelled responses on such a connection, and against floods that use up the core.
    """
    with world() as w:
        bad, uid = w.running()
        bad.sock.sendall(data)
        until(lambda: w.connection.state is ConnectionPhase.ANSWERING)
        bad.send(3)  # not read any more
        w.serve(w.balancer(), 4)
        w.pool.notice("finished", uid, "fine", b"done")
        while (last := bad.answer())[0] != 1:  # among other responses
            pass
        assert last[1].body == b"done"
        assert bad.ended()


def test_incomplete_record_closes_the_connection_but_loses_no_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 0.05)
    with world() as w:
        balancer, uid = w.running()
        balancer.sock.sendall(balancer.request(2)[:4])
        until(lambda: w.connection.state is ConnectionPhase.ANSWERING)
        w.end(balancer, uid)
        assert balancer.ended()


def test_half_closed_connection_is_answered_and_its_run_cancelled() -> None:
    """Guards against a lost response: a peer that had only closed its own side got none."""
    with world() as w:
        balancer, uid = w.running()
        balancer.sock.shutdown(socket.SHUT_WR)
        number, answer = balancer.answer()
        assert (number, answer.status) == (1, 500)
        assert w.pool.next("suspend")["uid"] == uid
        assert balancer.ended()


def test_response_being_written_at_a_half_close_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, request_parameters, "encode_response", is_served)
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(b"done")
        assert held.reached.wait(WAIT_S)
        closing = w.connection
        balancer.sock.shutdown(socket.SHUT_WR)
        until(lambda: closing.state is not ConnectionPhase.SERVING)
        held.go.set()
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


def test_partly_received_request_on_a_served_connection_keeps_its_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost request: the connection idle for longest was closed with a part of one."""
    with world(most=2) as w:
        balancer, dripping = w.balancer(), w.balancer()
        w.serve(balancer, 1)
        data = balancer.request(2)
        balancer.sock.sendall(data[:PART_OF_A_REQUEST])
        dripping.sock.sendall(data[:PART_OF_A_REQUEST])
        until(lambda: all(each.partial_record_since is not None for each in w.server._open_connections()))
        third = w.balancer()
        assert dripping.ended()
        w.serve(third, 3)
        third.sock.sendall(third.request(4)[:PART_OF_A_REQUEST])
        until(lambda: all(each.partial_record_since is not None for each in w.server._open_connections()))
        assert w.balancer().ended()
        balancer.sock.sendall(data[PART_OF_A_REQUEST:])
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"


def test_abort_that_coincides_with_the_response_gives_one_end_record(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, request_parameters, "encode_response", is_served)
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(b"done")
        assert held.reached.wait(WAIT_S)  # its response is given, but not written
        balancer.abort(1)
        balancer.sock.sendall(fastcgi.record(50, 0, b""))  # answered once the abort was read
        assert balancer.read(16) == fastcgi.record(fastcgi.UNKNOWN_TYPE, 0, bytes([50]) + bytes(7))
        held.go.set()
        assert balancer.answer()[1].body == b"done"
        w.serve(balancer, 1, HTTP_REQ_ID="f" * 16)  # the next end record is the next request's
