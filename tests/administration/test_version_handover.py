"""Handover to a later version of the program on the same address, with two real processes."""

from __future__ import annotations

import contextlib
import json
import queue
import signal
import socket
import subprocess
import time
from pathlib import Path
from typing import Any

from administration_helpers import call
from peers import PARAMS, TOKEN, WAIT_S, Balancer, ConnectionEndedError, Listener, PoolPeer, reply, until
from server.test_program import NOWHERE, program

from cairnvane.claims.incarnations import Incarnations
from cairnvane.net.worker_pool import WorkerPool
from cairnvane.server import composition
from cairnvane.server.administration_setup import MIN_RESERVED_SOCKETS
from cairnvane.server.event_loop import EventLoop
from cairnvane.simulator.settings_reader import read_settings


def test_later_version_listens_on_the_same_address_and_takes_over(tmp_path: Path) -> None:
    """Regression: the second process could not bind the address of the first and exited with status 2."""
    pools = PoolPeer(), PoolPeer()
    old_door, new_door = (("127.0.0.1", _free_port()) for _ in range(2))
    with program(tmp_path, _address_text(pools[0]), NOWHERE, control=_address_text(old_door)) as (old, port):
        pools[0].next("bind")
        assert _becomes_ready(old_door)
        balancer = Balancer(
            ("127.0.0.1", port)
        )  # accepted by the old process, since the new one does not listen yet
        with program(
            tmp_path,
            _address_text(pools[1]),
            NOWHERE,
            control=_address_text(new_door),
            listen=f"127.0.0.1:{port}",
        ) as (
            new,
            same,
        ):
            assert same == port
            pools[1].next("bind")
            assert _becomes_ready(new_door)
            balancer.send(1)
            uid = pools[0].next("spawn")["uid"]
            old.send_signal(signal.SIGTERM)
            assert old.stderr is not None
            while "hands over" not in old.stderr.readline():
                pass
            assert call(old_door, "GET", "/-/ready").status == 503
            pools[0].notice("finished", uid, "fine", b"done")
            assert balancer.answer()[1].body == b"done"  # the old process answers its open request
            assert balancer.ended()
            assert old.wait(WAIT_S) == 0
            for number in range(2, 5):  # the new process serves the same address
                late = Balancer(("127.0.0.1", port))
                late.send(number)
                pools[1].run(b"new")
                assert late.answer()[1].body == b"new"
            assert new.poll() is None


class HeldVault:
    """A vault that answers no call until `answer_one`; `calls` holds the connections of the calls."""

    def __init__(self) -> None:
        self.calls: queue.Queue[socket.socket] = queue.Queue()
        self.address = Listener(self._serve).address

    def _serve(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as stream:
            while stream.readline().strip():
                pass
            self.calls.put(sock)
            stream.read()  # until the server closes the connection

    def answer(self, call: socket.socket) -> None:
        """Answer a call."""
        call.sendall(reply(200, b"balance"))


def test_two_versions_together_make_no_more_calls_than_one(tmp_path: Path) -> None:
    """Guards against an overloaded vault: in an upgrade each process used the whole quota."""
    pools = PoolPeer(), PoolPeer()
    old_door, new_door = (("127.0.0.1", _free_port()) for _ in range(2))
    vault = HeldVault()
    shared: dict[str, Any] = {
        "vault": "{}:{}".format(*vault.address),
        "settings": PARAMS | {"Extra": PARAMS["Extra"] | {"FairCalls": 2.5}},
    }
    with program(tmp_path, _address_text(pools[0]), NOWHERE, control=_address_text(old_door), **shared) as (
        old,
        port,
    ):
        pools[0].next("bind")
        assert _becomes_ready(old_door)
        balancer = Balancer(("127.0.0.1", port))
        for number in (1, 2):
            balancer.send(number)
            pools[0].notice("blocked", pools[0].next("spawn")["uid"], content=b"call")
        calls = [vault.calls.get(timeout=WAIT_S) for _ in range(2)]
        with program(
            tmp_path,
            _address_text(pools[1]),
            NOWHERE,
            control=_address_text(new_door),
            listen=f"127.0.0.1:{port}",
            **shared,
        ):
            pools[1].next("bind")
            assert _becomes_ready(new_door)
            old.send_signal(signal.SIGTERM)
            assert old.stderr is not None
            while "takes no more connections" not in old.stderr.readline():
                pass
            later = Balancer(("127.0.0.1", port))
            later.send(3)
            pools[1].notice("blocked", pools[1].next("spawn")["uid"], content=b"call")
            until(lambda: _load(new_door)["calling"] + _load(new_door)["awaiting_call"] == 1)
            assert _load(new_door)["calling"] == 0
            assert vault.calls.empty()
            vault.answer(calls[0])
            pools[0].next("supply")
            vault.calls.get(timeout=WAIT_S)  # the call of the new process


def _sockets(process: subprocess.Popen[str]) -> int:
    """The number of sockets that a process has open."""
    links = []
    for path in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed meanwhile
            links.append(str(path.readlink()))
    return sum(link.startswith("socket:") for link in links)


def _checked_clients(port: int, count: int) -> list[Balancer]:
    """Open connections that stay idle after a health check; the server may close some at once."""
    clients = [Balancer(("127.0.0.1", port)) for _ in range(count)]
    for client in clients:
        with contextlib.suppress(ConnectionError, ConnectionEndedError):
            client.send(1, "/status/live", b"")
            client.answer()
    return clients


def test_two_versions_together_hold_no_more_sockets_than_one_may(tmp_path: Path) -> None:
    """Guards against a broken limit: in an upgrade each process took three quarters of the sockets."""
    sockets = 128
    connections = sockets - MIN_RESERVED_SOCKETS
    pools = PoolPeer(), PoolPeer()
    new_door = ("127.0.0.1", _free_port())
    limits: dict[str, Any] = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
    with program(tmp_path, _address_text(pools[0]), NOWHERE, **limits) as (old, port):
        kept = _checked_clients(port, connections)
        with program(
            tmp_path,
            _address_text(pools[1]),
            NOWHERE,
            control=_address_text(new_door),
            listen=f"127.0.0.1:{port}",
            **limits,
        ) as (new, _):
            assert _becomes_ready(new_door)
            until(lambda: _sockets(old) < sockets // 2)  # it makes room for the new one
            kept += _checked_clients(port, connections)
            assert _sockets(old) + _sockets(new) <= sockets
            kept.clear()


def _check_status(port: int) -> int:
    """The status of a health check."""
    balancer = Balancer(("127.0.0.1", port))
    balancer.send(1, "/status/live", b"")
    return balancer.answer()[1].status


def test_new_version_of_a_drained_server_fails_health_checks_until_the_drain_ends(tmp_path: Path) -> None:
    """Guards against work for a drained server: the drain was known to one process alone."""
    pools = PoolPeer(), PoolPeer()
    old_door, new_door = (("127.0.0.1", _free_port()) for _ in range(2))
    with program(tmp_path, _address_text(pools[0]), NOWHERE, control=_address_text(old_door)) as (old, port):
        assert _becomes_ready(old_door)
        assert call(old_door, "POST", "/-/drain").status == 200
        assert _check_status(port) == 503
        with program(
            tmp_path,
            _address_text(pools[1]),
            NOWHERE,
            control=_address_text(new_door),
            listen=f"127.0.0.1:{port}",
        ):
            assert _becomes_ready(new_door)
            old.send_signal(signal.SIGTERM)
            assert old.wait(WAIT_S) == 0
            assert _check_status(port) == 503
            assert call(new_door, "POST", "/-/resume").status == 200
            assert _check_status(port) == 200
    with program(tmp_path, _address_text(pools[1]), NOWHERE, control=_address_text(new_door)) as (_, port):
        assert _becomes_ready(new_door)
        assert _check_status(port) == 200


def _load(administration: tuple[str, int]) -> dict[str, Any]:
    """The load in the metrics of a process."""
    load: dict[str, Any] = json.loads(call(administration, "GET", "/-/metrics").body)["load"]
    return load


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def _address_text(where: PoolPeer | tuple[str, int]) -> str:
    host, port = where.address if isinstance(where, PoolPeer) else where
    return f"{host}:{port}"


def _becomes_ready(address: tuple[str, int]) -> bool:
    """Whether the server becomes ready in time; this happens shortly after the pool has received `bind`."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        with contextlib.suppress(ConnectionError):
            if call(address, "GET", "/-/ready").status == 200:
                return True
    return False


def test_process_is_ready_only_once_its_predecessor_sees_that(tmp_path: Path) -> None:
    """Guards against a predecessor that drains instead of handing over.

    It gets SIGTERM as soon as its successor reports ready, which was before the successor's mark.
    """
    predecessor, successor = Incarnations(tmp_path), Incarnations(tmp_path)
    predecessor.enter()
    successor.enter()
    pool = WorkerPool(("127.0.0.1", 1), EventLoop(*read_settings(json.dumps(PARAMS)), seed=1))
    pool.bound.set()
    assert not composition.can_take_over(pool, successor)
    successor.mark_ready()
    assert composition.can_take_over(pool, successor)
    assert predecessor.has_successor()
    assert composition.can_take_over(pool, None)
    for incarnations in (predecessor, successor):
        incarnations.leave()


def test_result_committed_by_the_old_version_is_replayed_by_the_new_one(tmp_path: Path) -> None:
    """A committed result is replayed without a second run.

    Another body under its key fails, and so does a retry of a run whose process was killed.
    """
    keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
    other: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN[::-1]}
    pools = PoolPeer(), PoolPeer()
    with program(tmp_path, _address_text(pools[0]), NOWHERE) as (old, port):
        pools[0].next("bind")
        before = Balancer(("127.0.0.1", port))
        before.send(1, **keyed)
        pools[0].run(b"done")
        assert before.answer()[1].body == b"done"
        before.send(2, **other)
        pools[0].next("spawn")
        held = Balancer(("127.0.0.1", port))
        held.send(3)
        pools[0].next("spawn")
        with program(tmp_path, _address_text(pools[1]), NOWHERE, listen=f"127.0.0.1:{port}") as (_, _):
            pools[1].next("bind")
            old.kill()
            old.wait()
            after = Balancer(("127.0.0.1", port))
            after.send(4, **keyed)
            assert after.answer()[1].body == b"done"
            after.send(5, body=b"another body", **keyed)
            assert after.answer()[1].status == 500
            after.send(6, **other)  # its outcome stays unknown
            assert after.answer()[1].status == 500
            after.send(7)
            assert pools[1].next("spawn")["uid"] == f"{7:016x}"  # the only run
