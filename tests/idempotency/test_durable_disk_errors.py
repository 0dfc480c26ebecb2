"""What clients observe of a server whose disk fails, is slow or is full."""

from __future__ import annotations

import errno

import pytest
from durable_servers import Servers, answer_without_run, keyed, runs_with_large_result

from cairnvane.idempotency.durable import retention

pytestmark = pytest.mark.usefixtures("killed_writers")


@pytest.mark.parametrize("kind", ["write", "sync", "create"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EROFS], ids=["disk full", "read-only"])
def test_while_the_disk_fails_new_keyed_requests_are_rejected(kind: str, error: int) -> None:
    servers = Servers(power=True)
    with servers.run() as server:
        balancer = server.balancer()
        if kind == "create":
            servers.disk.fails = {kind: error, "write": error}
        servers.disk.fails |= {kind: error}
        balancer.send(1, **keyed(1))
        assert balancer.answer()[1].status == 503  # its start was not recorded, so it provably has not run
        balancer.send(2, **keyed(2))
        answer = balancer.answer()[1]
        assert answer.status == 503 and int(answer.headers["Srv-Wait-Ms"]) > 0
        server.serve(balancer, 3)  # a request without a key is served
        servers.disk.fails = {}
        number = 4
        while True:  # the server recovers without a restart
            balancer.send(number, **keyed(1))
            if runs_with_large_result(servers.pool, balancer):
                break
            assert balancer.answer()[1].status == 503
            number += 1
        assert balancer.answer()[1].status == 200


def test_a_slow_disk_rejects_runs_that_have_not_started_and_keeps_results() -> None:
    servers = Servers()
    with servers.run() as server:
        balancer, other = server.balancer(), server.balancer()
        balancer.send(1, **keyed(1))
        uid = servers.pool.next("spawn")["uid"]
        servers.disk.gate.clear()
        other.send(2, **keyed(2))
        assert other.answer()[1].status == 503
        # Rejected at once, since a write is slow.
        assert answer_without_run(server, other, 3, **keyed(3)).status == 503
        server.serve(other, 4)
        servers.pool.notice("finished", uid, "fine", b"late")
        other.send(5, **keyed(1))  # its duplicate waits too
        servers.disk.gate.set()
        assert balancer.answer()[1].body == b"late"
        assert other.answer()[1].body == b"late"


@pytest.mark.parametrize("bound", ["memory", "disk"])
def test_at_a_bound_new_keyed_requests_are_rejected_and_no_result_is_lost(bound: str) -> None:
    servers = Servers()
    if bound == "memory":
        servers.entries = 64
    else:
        servers.disk_bytes = 40 * retention.MAX_KEY_BYTES
    with servers.run(KeyKb=0.01) as server:
        balancer = server.balancer()
        stored = 0
        for number in range(1, 200):
            balancer.send(number, **keyed(number))
            if runs_with_large_result(servers.pool, balancer):
                stored = number
                assert balancer.answer()[1].status == 200
            else:
                break
        assert balancer.answer()[1].status == 503 and 20 <= stored < 199
        server.serve(balancer, 500)
        for number in range(1, stored + 1):
            balancer.send(1_000 + number, **keyed(number))
            assert balancer.answer()[1].body == b"r" * 4_000


def test_a_disk_that_fails_at_the_start_delays_keyed_requests_only() -> None:
    """Guards against a fault in which no request was served until the folder was readable."""
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **keyed(1))
        servers.pool.run(b"original")
        assert balancer.answer()[1].status == 200
        balancer.send(2, **keyed(2))
        servers.pool.next("spawn")
    servers.disk.fails = {"lock": errno.EROFS}
    with servers.run() as server:
        balancer = server.balancer()
        server.serve(balancer, 3)
        assert answer_without_run(server, balancer, 4, **keyed(1)).status == 503
        servers.disk.fails = {}
        number = 5
        while (answer := answer_without_run(server, balancer, number, **keyed(1))).status == 503:
            number += 1
        assert answer.body == b"original"
        # The run of request 2 may have happened; its end is unknown.
        assert answer_without_run(server, balancer, 900, **keyed(2)).status == 500
