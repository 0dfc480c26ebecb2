"""Closing a connection while another event occurs on it; each test forces one order of the two events.

`docs/server.md` lists the events that can coincide, with the test or the reason for each.
"""

from __future__ import annotations

import socket
import time
from types import SimpleNamespace

import pytest
from peers import WAIT_S, Balancer, Held, World, until, world
from server_helpers import ABORT, BEGIN, begin_retiring, hold, in_thread, is_served

from cairnvane.net import connection, fastcgi, request_parameters, server
from cairnvane.net.connection import ConnectionPhase
from cairnvane.net.server import FastCgiServer

# Numbers of bytes of a request: part of its first record, and the first record with part of the second.
PARTIAL_RECORD_BYTES = 5
PARTIAL_REQUEST_BYTES = 20


def test_connection_stays_open_while_a_request_is_handed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost response: between reading and handover, a request is neither partial nor open."""
    held = hold(monkeypatch, request_parameters, "parse_request")
    with world() as harness:
        balancer = harness.balancer()
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        begin_retiring(harness)
        assert not harness.connection.close_if_idle()
        assert not harness.connection.evict()
        held.go.set()
        harness.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


@pytest.mark.parametrize("cause", ["retire", "full"])
def test_connection_stays_open_until_its_response_is_written(
    cause: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a truncated response: the connection was closed before the response was written."""
    held = hold(monkeypatch, request_parameters, "encode_response", is_served)
    with world(most=1) as harness:
        balancer = harness.balancer()
        balancer.send(1)
        harness.pool.run(b"done")
        assert held.reached.wait(WAIT_S)
        if cause == "retire":
            begin_retiring(harness)
            assert not harness.connection.close_if_idle()
        else:
            assert harness.balancer().ended()  # rejected: the only slot is taken
        held.go.set()
        assert balancer.answer()[1].body == b"done"


def test_connection_with_unread_bytes_is_not_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost request: on a busy core, bytes received before the close may not be read yet."""
    sleep = Held(lambda seconds: None)
    monkeypatch.setattr(connection, "time", SimpleNamespace(monotonic=time.monotonic, sleep=sleep))
    with world() as harness:
        balancer = harness.balancer()
        balancer.send(1, HTTP_REQ_KB="0")  # invalid, so the server pauses before it reads on
        assert balancer.answer()[1].status == 500
        assert sleep.reached.wait(WAIT_S)
        balancer.send(2)
        assert harness.connection.sock.recv(1, socket.MSG_PEEK)
        assert not harness.connection.close_if_idle(requested=True)
        begin_retiring(harness)
        assert not harness.connection.close_if_idle()
        sleep.go.set()
        harness.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


@pytest.mark.parametrize(
    "received", [PARTIAL_RECORD_BYTES, PARTIAL_REQUEST_BYTES], ids=["part of a record", "part of a request"]
)
def test_partly_received_request_is_completed_and_answered_before_the_close(received: int) -> None:
    """Guards against a dropped request: a connection with a partial record was considered idle."""
    with world() as harness:
        balancer = harness.balancer()
        data = balancer.request(1)
        balancer.sock.sendall(data[:received])
        until(
            lambda: harness.connection.partial_record_since is not None and not harness.connection.is_parsing
        )
        begin_retiring(harness)
        assert not harness.connection.close_if_idle()
        balancer.sock.sendall(data[received:])
        harness.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


def test_bytes_being_read_postpone_the_close_of_a_silent_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a false timeout: on a busy core, a request received in time was not read yet."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    held = hold(monkeypatch, fastcgi, "read_record")
    with world() as harness:
        balancer, silent = harness.balancer(), harness.connection
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        harness.server.clock += connection.REQUEST_TIMEOUT_S
        silent.enforce_deadlines()
        assert silent.state is ConnectionPhase.SERVING
        held.go.set()
        harness.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"


def test_request_read_after_the_close_is_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a run without a response: the connection was closed while the request was being read."""
    held = hold(monkeypatch, fastcgi, "read_record")
    with world() as harness:
        balancer, other = harness.balancer(), harness.balancer()
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        for each in harness.server._open_connections():
            if each.is_parsing:
                each.end()
        held.go.set()
        assert balancer.ended()
        other.send(2)
        assert harness.pool.next("spawn")["uid"] == f"{2:016x}"


def test_deferred_close_happens_once_its_cause_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that stays open: `retire` asks once, here while bytes are being read."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    held = hold(monkeypatch, fastcgi, "read_record")
    with world() as harness:
        balancer = harness.balancer()
        balancer.sock.sendall(fastcgi.record(50, 0, b""))
        assert held.reached.wait(WAIT_S)
        begin_retiring(harness)
        assert not harness.connection.close_if_idle()
        held.go.set()
        assert balancer.ended()


def test_request_on_a_connection_in_the_backlog_is_answered() -> None:
    """Guards against a lost request: the kernel resets unaccepted connections when the listener closes."""
    with world() as harness:
        not_accepting = FastCgiServer(("127.0.0.1", 0), harness.host, 16)  # its accept thread is not started
        balancer = Balancer(not_accepting.address)
        balancer.send(1)
        retiring = in_thread(lambda: not_accepting.retire(WAIT_S))
        harness.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()
        balancer.sock.close()
        retiring.join(WAIT_S)
        assert not retiring.is_alive()


def test_connection_accepted_during_retire_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a delayed shutdown: it was registered after `retire` had checked all connections."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    held = hold(monkeypatch, server, "Connection")
    with world() as harness:
        balancer = harness.balancer()
        assert held.reached.wait(WAIT_S)
        harness.server.retire(0)
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
    """Violations: an unreadable record, a request number in use, a flood of records without a request.

    Guards against dropped responses on such a connection, and against floods that exhaust the CPU.
    """
    with world() as harness:
        violating, uid = harness.running()
        violating.sock.sendall(data)
        until(lambda: harness.connection.state is ConnectionPhase.ANSWERING)
        violating.send(3)  # no longer read
        harness.serve(harness.balancer(), 4)
        harness.pool.notice("finished", uid, "fine", b"done")
        while (last := violating.answer())[0] != 1:  # skip responses to other requests
            pass
        assert last[1].body == b"done"
        assert violating.ended()


def _let_deadlines_pass(harness: World, seconds: float) -> None:
    """Advance the server's clock and have it enforce the deadlines of its only connection."""
    harness.server.clock += seconds
    harness.connection.enforce_deadlines()


@pytest.fixture
def no_deadline_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the test itself advances the clock of the connections."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)


@pytest.mark.usefixtures("no_deadline_checks")
@pytest.mark.parametrize(
    "received", [PARTIAL_RECORD_BYTES, PARTIAL_REQUEST_BYTES], ids=["part of a record", "part of a request"]
)
def test_request_written_slowly_beside_an_open_one_is_answered_and_all_after_it(received: int) -> None:
    """Guards against requests dropped without an answer behind one that is written slowly.

    The server stopped reading a connection with a partial record for 2 s, although requests were open on it.
    """
    with world() as harness:
        balancer, uid = harness.running()
        data = balancer.request(2)
        balancer.sock.sendall(data[:received])
        until(lambda: harness.connection.partial_record_since is not None)
        _let_deadlines_pass(harness, 2 * connection.REQUEST_TIMEOUT_S)
        assert harness.connection.state is ConnectionPhase.SERVING
        balancer.sock.sendall(data[received:] + balancer.request(3))
        for number in (2, 3):
            assert harness.pool.run(b"done")["uid"] == f"{number:016x}"
            assert balancer.answer()[0] == number
        harness.end(balancer, uid)
        harness.serve(balancer, 4)


@pytest.mark.usefixtures("no_deadline_checks")
@pytest.mark.parametrize(
    "received", [PARTIAL_RECORD_BYTES, len(BEGIN)], ids=["part of a record", "part of a request"]
)
def test_partial_input_ends_the_connection_once_its_open_requests_are_answered(received: int) -> None:
    with world() as harness:
        balancer, uid = harness.running()
        balancer.sock.sendall(balancer.request(2)[:received])
        until(lambda: harness.connection.state is ConnectionPhase.SERVING and _has_partial_input(harness))
        _let_deadlines_pass(harness, connection.REQUEST_TIMEOUT_S)
        harness.end(balancer, uid)
        _let_deadlines_pass(harness, connection.REQUEST_TIMEOUT_S)
        assert balancer.ended()


def _has_partial_input(harness: World) -> bool:
    lifecycle = harness.connection._lifecycle
    is_partial = bool(lifecycle._partial_requests) or lifecycle.partial_record_since is not None
    return is_partial and not lifecycle.is_parsing


def test_half_closed_connection_is_answered_and_its_run_cancelled() -> None:
    """Guards against a lost response: a peer that had closed only its sending side got none."""
    with world() as harness:
        balancer, uid = harness.running()
        balancer.sock.shutdown(socket.SHUT_WR)
        number, answer = balancer.answer()
        assert (number, answer.status) == (1, 500)
        assert harness.pool.next("suspend")["uid"] == uid
        assert balancer.ended()


def test_response_being_written_at_a_half_close_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, request_parameters, "encode_response", is_served)
    with world() as harness:
        balancer = harness.balancer()
        balancer.send(1)
        harness.pool.run(b"done")
        assert held.reached.wait(WAIT_S)
        closing = harness.connection
        balancer.sock.shutdown(socket.SHUT_WR)
        until(lambda: closing.state is not ConnectionPhase.SERVING)
        held.go.set()
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


def test_served_connection_with_a_partial_request_is_not_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost request: the longest idle connection was closed while it had a partial one."""
    with world(most=2) as harness:
        balancer, unserved = harness.balancer(), harness.balancer()
        harness.serve(balancer, 1)
        data = balancer.request(2)
        balancer.sock.sendall(data[:PARTIAL_REQUEST_BYTES])
        unserved.sock.sendall(data[:PARTIAL_REQUEST_BYTES])
        until(
            lambda: all(each.partial_record_since is not None for each in harness.server._open_connections())
        )
        third = harness.balancer()
        assert unserved.ended()
        harness.serve(third, 3)
        third.sock.sendall(third.request(4)[:PARTIAL_REQUEST_BYTES])
        until(
            lambda: all(each.partial_record_since is not None for each in harness.server._open_connections())
        )
        assert harness.balancer().ended()
        balancer.sock.sendall(data[PARTIAL_REQUEST_BYTES:])
        harness.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"


def test_abort_that_coincides_with_the_response_gives_one_end_record(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, request_parameters, "encode_response", is_served)
    with world() as harness:
        balancer = harness.balancer()
        balancer.send(1)
        harness.pool.run(b"done")
        assert held.reached.wait(WAIT_S)  # the response is set, but not written
        balancer.abort(1)
        balancer.sock.sendall(fastcgi.record(50, 0, b""))  # answered after the abort was read
        assert balancer.read(16) == fastcgi.record(fastcgi.UNKNOWN_TYPE, 0, bytes([50]) + bytes(7))
        held.go.set()
        assert balancer.answer()[1].body == b"done"
        harness.serve(balancer, 1, HTTP_REQ_ID="f" * 16)  # the next end record belongs to the next request
