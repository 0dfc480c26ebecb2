"""Notices of the worker pool, and replaced worker pools, with a durable store."""

from __future__ import annotations

import threading

import pytest
from durable_servers import BOOT, KEYED, Servers, answer_without_run, keyed
from peers import WAIT_S

from cairnvane.idempotency.durable import DurableStore
from cairnvane.testbed.stand_ins.disk import Disk

pytestmark = pytest.mark.usefixtures("killed_writers")


def test_a_notice_without_a_record_is_sent_again() -> None:
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **KEYED)
        uid = servers.pool.next("spawn")["uid"]
        servers.kill_at = "append result", 0
        servers.pool.notice("finished", uid, "fine", b"lost with the process")
        assert servers.killed.wait(WAIT_S)
    with servers.run() as server:  # binds from 0, since notice 1 has no record
        balancer = server.balancer()
        balancer.send(2, **KEYED)
        servers.pool.notice("finished", uid, "fine", b"real", again=True)
        assert balancer.answer()[1].body == b"real"


def test_with_a_new_worker_pool_a_run_without_an_end_fails_and_is_never_repeated() -> None:
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **KEYED)
        servers.pool.next("spawn")
        server.balancer().send(7)  # one more notice, so that the next server does not bind from 0
        servers.pool.notice("finished", servers.pool.next("spawn")["uid"], "fine")
        balancer.send(9, path="/svc/write", HTTP_REQ_TOKEN="ab" * 16)
        servers.pool.run()
        assert balancer.answer()[0] == 9
    servers.pool.restart()
    with servers.run(pos=2) as server:
        assert servers.pool.next("bind")["pos"] == 0  # a new pool numbers its notices from 1
        balancer = server.balancer()
        for number in (2, 3):
            assert answer_without_run(server, balancer, number).status == 500
        balancer.send(4)
        # Notice 1 of the new pool is not taken for notice 1 of the old pool.
        servers.pool.run(b"others are served")
        assert balancer.answer()[1].body == b"others are served"


def test_a_worker_pool_replaced_while_the_server_runs_fails_its_runs_only() -> None:
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **KEYED)
        balancer.send(2)
        servers.pool.next("spawn")
        servers.pool.next("spawn")
        servers.pool.restart()
        servers.pool.cut()
        assert {balancer.answer()[1].status for _ in range(2)} == {500}
        servers.pool.next("bind")
        assert answer_without_run(server, balancer, 3).status == 500
        balancer.send(4)
        servers.pool.run(b"new")
        assert balancer.answer()[1].body == b"new"


def test_every_record_tells_which_notices_are_settled() -> None:
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        for number in range(1, 6):
            balancer.send(number, **keyed(number))
            servers.pool.run()
            assert balancer.answer()[1].status == 200
    with servers.run(pos=5):
        pass


def test_a_call_that_was_never_made_does_not_keep_its_notice_pending() -> None:
    """Guards against a fault: a run that ended while waiting for its call kept its notice pending forever."""
    servers = Servers()
    with servers.run(FairCalls=1.0) as server:
        balancer = server.balancer()
        uids = []
        for number in (1, 2):
            balancer.send(number, **keyed(number))
            uids.append(servers.pool.next("spawn")["uid"])
            servers.pool.notice("blocked", uids[-1], content=b"call")
        # The call of the first run; the call limit has no room for that of the second.
        assert server.vault.calls.get(timeout=WAIT_S)
        servers.pool.notice("finished", uids[1], "broken_off")
        servers.pool.notice("finished", uids[0], "fine", b"done")
        assert {balancer.answer()[1].status for _ in uids} == {200, 500}
        assert server.vault.calls.empty()
    with servers.run(pos=4):
        pass


def test_a_record_of_an_earlier_worker_pool_settles_no_notice_of_this_one() -> None:
    """Guards against a fault in which a late record of the earlier pool settled a notice of the new one.

    Both pools number their notices from 1.
    """
    disk = Disk()
    recovered = threading.Event()
    store = DurableStore(
        disk, "n1", BOOT, power=False, disk_bytes=8 << 20, memory_bytes=1 << 20, max_read_delay_us=1
    )
    store.start(lambda state: recovered.set(), lambda: None, lambda cause: None)
    assert recovered.wait(WAIT_S)
    disk.gate.clear()
    store.notice_read(5, True)
    store.record_end(bytes(16), 1 << 60, bytes(16), None, (5,), lambda: None)
    store.pool_replaced()
    store.notice_read(5, True)
    store.notice_read(6, False)
    disk.gate.set()
    store.close()
    assert store._state.progress.settled_notice == 4
