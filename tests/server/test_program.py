"""The program as it is deployed: it serves, reports to the service registry, and restarts after a kill."""

from __future__ import annotations

import contextlib
import signal
from pathlib import Path
from typing import Any

from peers import TOKEN, WAIT_S, Balancer, PoolPeer, RosterPeer
from server_process import NOWHERE, program

__all__ = ["NOWHERE", "program"]  # other tests import these from here


def test_program_serves_reports_and_shuts_down_with_all_answered(tmp_path: Path) -> None:
    pool, roster = PoolPeer(), RosterPeer(b"HTTP/1.1 204 No Content\r\n\r\n")
    addresses = [f"{host}:{port}" for host, port in (pool.address, roster.address)]
    with program(tmp_path, addresses[0], addresses[1]) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        for _ in range(2):  # it reports repeatedly
            assert roster.reports.get(timeout=WAIT_S).startswith(b"PUT /roster/n3 HTTP/1.1\r\n")
        balancer.send(1)
        pool.next("bind")
        pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        balancer.send(2)
        uid = pool.next("spawn")["uid"]
        roster.stopping.set()
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(ConnectionError):  # refused or reset, since no new connection is accepted
            while True:
                Balancer(("127.0.0.1", port)).sock.close()  # does not wait, since it may never be accepted
        pool.notice("finished", uid, "fine", b"last")
        assert balancer.answer()[1].body == b"last"
        assert balancer.ended()
        assert process.wait(WAIT_S) == 0


def test_program_serves_without_a_service_registry(tmp_path: Path) -> None:
    pool = PoolPeer()
    with program(tmp_path, f"127.0.0.1:{pool.address[1]}", NOWHERE) as (_, port):
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(1)
        pool.next("bind")
        pool.run(b"done")
        assert balancer.answer()[1].status == 200


def test_program_restarts_at_the_same_address_after_a_kill(tmp_path: Path) -> None:
    pool = PoolPeer()
    pool_address = f"127.0.0.1:{pool.address[1]}"
    keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
    with program(tmp_path, pool_address, NOWHERE) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        idle = Balancer(("127.0.0.1", port))
        pool.next("bind")
        balancer.send(1, **keyed)
        pool.next("spawn")
        process.kill()
        assert balancer.ended() and idle.ended()
    pool.cut()
    pool.restart()  # the platform kills the pool together with the server
    (tmp_path / "new").mkdir()  # and provides an empty temporary folder
    with program(tmp_path / "new", pool_address, NOWHERE, listen=f"127.0.0.1:{port}") as (process, _):
        assert pool.next("bind")["pos"] == 0
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(2, **keyed)
        assert pool.run(b"done")["uid"] == f"{2:016x}"
        assert balancer.answer()[1].body == b"done"
