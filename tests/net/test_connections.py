"""Balancers' connections: their maximum number, their deadlines and their closing."""

from __future__ import annotations

import threading

import pytest
from peers import WAIT_S, until, world

from cairnvane.contract.actions import CloseIdleConnections
from cairnvane.net import connection, fastcgi, server

BEGIN = fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1\1\0\0\0\0\0")


def test_new_connection_evicts_the_longest_idle_one() -> None:
    """Regression: idle connections, used or never used, occupied all capacity."""
    with world(most=3) as w:
        idle, busy, silent = w.balancer(), w.balancer(), w.balancer()
        w.serve(idle, 1)
        busy.send(2)
        uid = w.pool.next("spawn")["uid"]
        third = w.balancer()
        assert silent.ended()
        w.serve(third, 3)
        fourth = w.balancer()
        assert idle.ended()
        w.serve(fourth, 4)
        w.pool.notice("finished", uid, "fine", b"done")
        assert busy.answer()[1].body == b"done"


def test_new_connection_is_closed_while_all_others_are_busy() -> None:
    with world(most=1) as w:
        first = w.balancer()
        first.send(1)
        uid = w.pool.next("spawn")["uid"]
        assert w.balancer().ended()
        w.pool.notice("finished", uid, "fine", b"done")
        assert first.answer()[1].body == b"done"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        BEGIN,
        BEGIN[:3],
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, b"\1\1ab"),
    ],
    ids=["nothing", "first record only", "part of a record", "part of the parameters"],
)
def test_connection_without_a_whole_request_is_closed_at_its_deadline(
    data: bytes,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: there was no deadline for the first or for the complete request."""
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 0.05)
    with world() as w:
        w.host._controller.idle_connections.clients.returning_fraction = (
            1.0  # so that the controller does not close idle connections
        )
        bad, good = w.balancer(), w.balancer()
        w.serve(good, 1)
        bad.sock.sendall(data)
        assert bad.ended()
        w.serve(good, 2)


def test_partial_request_fails_once_no_client_waits_for_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A balancer may pause within a request, but a partial one must not be kept forever."""
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 10 * WAIT_S)
    with world() as w:
        balancer, uid = w.running(2)
        balancer.sock.sendall(BEGIN)
        until(lambda: w.connection._lifecycle.partial_request(1) is not None)
        w.server.clock += w.server.client_timeout_s - 0.5
        w.connection.enforce_deadlines()
        assert w.connection._lifecycle.partial_request(1) is not None
        w.server.clock += 0.5
        w.connection.enforce_deadlines()
        number, answer = balancer.answer()
        assert (number, answer.status) == (1, 500)
        w.end(balancer, uid)  # the other open request is not affected


def test_peer_that_keeps_sending_after_the_end_is_disconnected() -> None:
    """Regression: an ended connection was read as long as its peer kept sending."""
    with world() as w:
        bad, uid = w.running()
        bad.sock.sendall(bytes(65_536))
        w.end(bad, uid)
        with pytest.raises(ConnectionError):
            while True:
                bad.sock.sendall(bytes(65_536))


def test_idle_connection_is_closed_unless_a_request_is_open() -> None:
    with world() as w:
        busy, idle = w.balancer(), w.balancer()
        w.serve(idle, 1)
        busy.send(2)
        uid = w.pool.next("spawn")["uid"]
        w.host._close_idle(CloseIdleConnections(1))
        assert idle.ended()
        w.pool.notice("finished", uid, "fine", b"done")
        assert busy.answer()[1].body == b"done"


def test_lost_connection_cancels_its_requests() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        balancer.sock.close()
        assert w.pool.next("suspend")["uid"] == uid


class LoweredQuota:
    """A limit on connections that another process has lowered."""

    def __init__(self, connections: int) -> None:
        self.connections = connections
        self.asked = threading.Event()

    def publish(self, count: int) -> None:
        """Nobody reads it."""

    def limit(self, now: int) -> int:
        self.asked.set()
        return self.connections


def test_new_connection_is_served_while_room_is_made_for_another_process() -> None:
    """Guards against refused connections: there may be far more than the lowered maximum at first."""
    with world(most=64) as w:
        idle = [w.balancer() for _ in range(server.MAX_CLOSING_CONNECTIONS + 4)]
        for number, balancer in enumerate(idle, start=1):
            w.serve(balancer, number)
        w.server._connection_quota = LoweredQuota(2)
        w.serve(w.balancer(), 50)


def test_error_of_the_shared_quota_does_not_end_the_checks_of_deadlines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that stay for good: the thread of the checks ended with the error."""
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(server, "DEADLINE_CHECK_INTERVAL_S", 0.05)
    with world() as w:
        silent = w.balancer()
        assert w.connection  # it has been accepted
        quota = LoweredQuota(16)
        monkeypatch.setattr(quota, "connections", None)  # the comparison with it fails
        w.server._connection_quota = quota
        assert quota.asked.wait(WAIT_S)
        assert silent.ended()
