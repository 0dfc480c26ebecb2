"""Kept results in a whole server: what callers, pool and vault see of restarts and of a disk in trouble."""

from __future__ import annotations

import contextlib
import errno
import select
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest
from peers import TOKEN, WAIT_S, Answer, Balancer, PoolPeer, World, expect_thread_errors, reply, world

from cairnvane.idempotency import durability
from cairnvane.idempotency.durable import DurableStore, retention
from cairnvane.idempotency.durable.index import BYTES_PER_ENTRY, Index
from cairnvane.testbed.stand_ins.disk import Disk, PowerCut

BOOT, OTHER_BOOT = b"a" * 16, b"b" * 16
WRITE: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


class Killed(BaseException):
    """The process has ended at this point, as far as its writer knows."""


@dataclass
class Lives:
    """One server after the other on one folder; the pool outlives them unless it is restarted."""

    disk: Disk = field(default_factory=Disk)
    pool: PoolPeer = field(default_factory=PoolPeer)
    boot: bytes = BOOT
    power: bool = False
    kill_at: tuple[str, int] | None = None  # a named point, and how often it is passed before
    killed: threading.Event = field(default_factory=threading.Event)
    recovering: threading.Event = field(default_factory=threading.Event)
    go_on: threading.Event = field(default_factory=threading.Event)
    disk_bytes: int = 8 << 20
    entries: int | None = None

    def _point(self, name: str) -> None:
        if name == "recovery":
            self.recovering.set()
            assert self.go_on.wait(WAIT_S)
        if self.kill_at is not None and self.kill_at[0] == name:
            if self.kill_at[1] == 0:
                self.killed.set()
                raise Killed
            self.kill_at = name, self.kill_at[1] - 1

    @contextlib.contextmanager
    def life(self, *replies: bytes, pos: int | None = 0, hold: bool = False, **extra: Any) -> Iterator[World]:
        """A server from its start to its end, which tells nobody anything."""
        (self.go_on.clear if hold else self.go_on.set)()
        self.killed.clear()
        store = DurableStore(
            self.disk,
            "n1",
            self.boot,
            power=self.power,
            disk_bytes=self.disk_bytes,
            memory_bytes=1 << 20,
            unread=9_000_000,
            points=self._point,
        )
        if self.entries is not None:
            store._index = Index(self.entries * BYTES_PER_ENTRY)
        with world(*replies, keeper=store, peer=self.pool, pos=pos, **extra) as one:
            yield one
            self.kill_at = None
        store.close()


def served(one: World, balancer: Balancer, number: int, **fields: Any) -> Answer:
    """A commit or a repeat that needs no run."""
    balancer.send(number, **(WRITE | fields))
    told, answer = balancer.answer()
    assert told == number
    return answer


@pytest.fixture(autouse=True)
def quiet(monkeypatch: pytest.MonkeyPatch) -> None:
    """A writer may be killed, and what was recorded is answered from the record alone."""
    expect_thread_errors(monkeypatch, Killed, PowerCut)
    monkeypatch.setattr(durability, "RECENT_RESULTS", 0)


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("boot", [BOOT, OTHER_BOOT])
def test_a_commit_that_was_answered_gets_that_answer_from_the_next_life(power: bool, boot: bytes) -> None:
    lives = Lives(power=power)
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **WRITE)
        lives.pool.run(b"original")
        assert balancer.answer()[1].body == b"original"
        assert served(one, balancer, 2).body == b"original"  # read back from the disk
    lives.boot = boot
    with lives.life(pos=None) as one:
        answer = served(one, one.balancer(), 3)
        assert (answer.status, answer.body) == (200, b"original")
        assert lives.pool.linked.wait(WAIT_S)  # before it, the run would be one of the pool that is gone
        one.balancer().send(4)  # the pool sees nothing but binds and this
        while (command := lives.pool.commands.get(timeout=WAIT_S))["action"] == "bind":
            pass
        assert (command["action"], command["uid"]) == ("spawn", f"{4:016x}")


def test_a_run_in_flight_gets_its_real_result_from_the_pool_that_lived_on() -> None:
    lives = Lives()
    with lives.life() as one:
        one.balancer().send(1, **WRITE)
        uid = lives.pool.next("spawn")["uid"]
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(2, **WRITE)
        lives.pool.notice("finished", uid, "fine", b"real")
        assert balancer.answer()[1].body == b"real"
        assert lives.pool.commands.empty()
    with lives.life(pos=1) as one:  # whose effect is recorded, and need not come again
        assert served(one, one.balancer(), 3).body == b"real"


def test_a_notice_whose_record_was_not_written_comes_again() -> None:
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **WRITE)
        uid = lives.pool.next("spawn")["uid"]
        lives.kill_at = "append result", 0
        lives.pool.notice("finished", uid, "fine", b"lost with the process")
        assert lives.killed.wait(WAIT_S)
    with lives.life() as one:  # bound from 0, not from 1
        balancer = one.balancer()
        balancer.send(2, **WRITE)
        lives.pool.notice("finished", uid, "fine", b"real", again=True)
        assert balancer.answer()[1].body == b"real"


def test_between_record_and_answer_the_result_is_kept() -> None:
    lives = Lives()
    with lives.life() as one:
        one.balancer().send(1, **WRITE)
        uid = lives.pool.next("spawn")["uid"]
        lives.kill_at = "written result", 0
        lives.pool.notice("finished", uid, "fine", b"kept")
        assert lives.killed.wait(WAIT_S)
    with lives.life(pos=None) as one:
        assert served(one, one.balancer(), 2).body == b"kept"


@pytest.mark.parametrize("point", ["append", "written"])
def test_between_intent_and_spawn_nothing_runs_and_a_new_pool_settles_it(point: str) -> None:
    lives = Lives()
    with lives.life() as one:
        lives.kill_at = f"{point} intent", 0
        one.balancer().send(1, **WRITE)
        assert lives.killed.wait(WAIT_S)
        assert lives.pool.commands.empty()
    lives.pool.restart()
    with lives.life(pos=None) as one:
        assert lives.pool.next("bind")["pos"] == 0
        balancer = one.balancer()
        balancer.send(2, **WRITE)
        if point == "append":  # nothing was written: nobody knows of it, and it runs for the first time
            lives.pool.run(b"first")
            assert balancer.answer()[1].body == b"first"
        else:
            assert balancer.answer()[1].status == 500


def test_with_a_new_pool_a_run_without_an_end_fails_at_once_and_is_never_run_again() -> None:
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **WRITE)
        lives.pool.next("spawn")
        one.balancer().send(7)  # another notice, so that the next life binds behind it
        lives.pool.notice("finished", lives.pool.next("spawn")["uid"], "fine")
        balancer.send(9, path="/svc/write", HTTP_REQ_TOKEN="ab" * 16)
        lives.pool.run()
        assert balancer.answer()[0] == 9
    lives.pool.restart()
    with lives.life(pos=2) as one:
        assert lives.pool.next("bind")["pos"] == 0  # a new pool counts from 1
        balancer = one.balancer()
        for number in (2, 3):
            assert served(one, balancer, number).status == 500
        balancer.send(4)
        lives.pool.run(b"others are served")  # notice 1 of the new pool is none of the old one's
        assert balancer.answer()[1].body == b"others are served"


def test_a_pool_that_is_replaced_in_mid_life_costs_its_runs_and_no_more() -> None:
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **WRITE)
        balancer.send(2)
        lives.pool.next("spawn")
        lives.pool.next("spawn")
        lives.pool.restart()
        lives.pool.cut()
        assert {balancer.answer()[1].status for _ in range(2)} == {500}
        lives.pool.next("bind")
        assert served(one, balancer, 3).status == 500
        balancer.send(4)
        lives.pool.run(b"new")
        assert balancer.answer()[1].body == b"new"


@pytest.mark.parametrize("recorded", [False, True])
def test_a_call_that_may_have_been_made_is_not_made_again(recorded: bool) -> None:
    """The vault's own record is the witness: a second call would be a second effect."""
    lives = Lives()
    with lives.life() as one:
        one.balancer().send(1, **WRITE)
        uid = lives.pool.next("spawn")["uid"]
        if not recorded:
            lives.kill_at = "append call", 0
        lives.pool.notice("blocked", uid, content=b"call")
        if recorded:
            assert one.vault.calls.get(timeout=WAIT_S)
        else:
            assert lives.killed.wait(WAIT_S)
    with lives.life(reply(200, b"balance"), pos=int(recorded)) as one:
        lives.pool.notice("blocked", uid, content=b"call", again=True)
        if recorded:
            assert lives.pool.next("suspend")["uid"] == uid
            lives.pool.notice("finished", uid, "broken_off")
            assert one.vault.calls.empty()
        else:
            assert lives.pool.next("supply")["content"] == b"balance"
            lives.pool.notice("finished", uid, "fine", b"done")
        assert served(one, one.balancer(), 2).status == (500 if recorded else 200)


@pytest.mark.parametrize("fields", [{"body": b"another"}, {"path": "/svc/write", "body": b""}])
def test_a_token_that_comes_back_with_another_body_is_its_owners(fields: dict[str, Any]) -> None:
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **WRITE)
        lives.pool.run(b"mine")
        assert balancer.answer()[1].body == b"mine"
        assert served(one, balancer, 2, **fields).status == 500
    with lives.life(pos=1) as one:
        balancer = one.balancer()
        assert served(one, balancer, 3, **fields).status == 500
        assert served(one, balancer, 4).body == b"mine"


def test_a_repeat_that_comes_while_recovery_runs_waits_for_it() -> None:
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **WRITE)
        lives.pool.run(b"original")
        assert balancer.answer()[1].status == 200
    with lives.life(pos=None, hold=True) as one:
        balancer = one.balancer()
        assert lives.recovering.wait(WAIT_S)
        balancer.send(2, **WRITE)
        balancer.send(3, path="/svc/nothing")  # read behind it, answered before it
        assert balancer.answer()[0] == 3
        lives.go_on.set()
        assert balancer.answer()[1].body == b"original"


def test_who_waits_too_long_for_a_recovery_is_refused_with_advice() -> None:
    lives = Lives()
    with lives.life(pos=None, hold=True) as one:
        answer = served(one, one.balancer(), 1)
        assert (answer.status, int(answer.headers["Srv-Wait-Ms"])) == (503, retention.AWAY_US // 1_000)
        lives.go_on.set()


def commit(number: int) -> dict[str, Any]:
    return {"path": "/svc/write", "HTTP_REQ_TOKEN": f"{number:032x}"}


@pytest.mark.parametrize("kind", ["write", "sync", "create"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EROFS])
def test_a_disk_that_fails_refuses_new_commits_until_it_works_again(kind: str, error: int) -> None:
    lives = Lives(power=True)
    with lives.life() as one:
        balancer = one.balancer()
        if kind == "create":
            lives.disk.fails = {kind: error, "write": error}
        lives.disk.fails |= {kind: error}
        balancer.send(1, **commit(1))
        assert balancer.answer()[1].status == 503  # it was to run, and provably has not
        balancer.send(2, **commit(2))
        answer = balancer.answer()[1]
        assert answer.status == 503 and int(answer.headers["Srv-Wait-Ms"]) > 0
        one.serve(balancer, 3)  # who has no key goes on
        lives.disk.fails = {}
        number = 4
        while True:  # without a restart
            balancer.send(number, **commit(1))
            if _spawned(lives.pool, balancer):
                break
            assert balancer.answer()[1].status == 503
            number += 1
        assert balancer.answer()[1].status == 200


def test_a_slow_disk_refuses_what_has_not_begun_and_keeps_what_has_ended() -> None:
    lives = Lives()
    with lives.life() as one:
        balancer, other = one.balancer(), one.balancer()
        balancer.send(1, **commit(1))
        uid = lives.pool.next("spawn")["uid"]
        lives.disk.gate.clear()
        other.send(2, **commit(2))
        assert other.answer()[1].status == 503
        assert served(one, other, 3, **commit(3)).status == 503  # at once, behind a slow write
        one.serve(other, 4)
        lives.pool.notice("finished", uid, "fine", b"late")
        other.send(5, **commit(1))  # its repeat waits as well
        lives.disk.gate.set()
        assert balancer.answer()[1].body == b"late"
        assert other.answer()[1].body == b"late"


@pytest.mark.parametrize("bound", ["memory", "disk"])
def test_at_a_bound_new_commits_are_refused_and_none_is_dropped(bound: str) -> None:
    lives = Lives()
    if bound == "memory":
        lives.entries = 64
    else:
        lives.disk_bytes = 40 * retention.KEY_BYTES
    with lives.life(KeyKb=0.01) as one:
        balancer, kept = one.balancer(), 0
        for number in range(1, 200):
            balancer.send(number, **commit(number))
            if _spawned(lives.pool, balancer):
                kept = number
                assert balancer.answer()[1].status == 200
            else:
                break
        assert balancer.answer()[1].status == 503 and 20 <= kept < 199
        one.serve(balancer, 500)
        for number in range(1, kept + 1):
            balancer.send(1_000 + number, **commit(number))
            assert balancer.answer()[1].body == b"r" * 4_000


def _spawned(pool: PoolPeer, balancer: Balancer) -> bool:
    """Whether the commit is run, with a large result, rather than refused."""
    while not pool.commands.qsize():
        if select.select([balancer.sock], [], [], 0.002)[0]:
            return False
    pool.run(b"r" * 4_000)
    return True


def test_every_record_says_how_far_notices_have_had_their_effect() -> None:
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        for number in range(1, 6):
            balancer.send(number, **commit(number))
            lives.pool.run()
            assert balancer.answer()[1].status == 200
    with lives.life(pos=5):
        pass


def test_a_disk_that_fails_at_the_start_keeps_only_commits_waiting() -> None:
    """Guards: nothing at all was served until the folder could be read."""
    lives = Lives()
    with lives.life() as one:
        balancer = one.balancer()
        balancer.send(1, **commit(1))
        lives.pool.run(b"original")
        assert balancer.answer()[1].status == 200
        balancer.send(2, **commit(2))
        lives.pool.next("spawn")
    lives.disk.fails = {"lock": errno.EROFS}
    with lives.life() as one:
        balancer = one.balancer()
        one.serve(balancer, 3)
        assert served(one, balancer, 4, **commit(1)).status == 503
        lives.disk.fails = {}
        number = 5
        while (answer := served(one, balancer, number, **commit(1))).status == 503:
            number += 1
        assert answer.body == b"original"
        assert served(one, balancer, 900, **commit(2)).status == 500  # may have run, and no one knows


def test_a_call_that_was_never_made_does_not_hold_back_where_the_next_life_binds() -> None:
    """Guards: a run that ended while it waited for its call kept its notice owed for good."""
    lives = Lives()
    with lives.life(FairCalls=1.0) as one:
        balancer = one.balancer()
        uids = []
        for number in (1, 2):
            balancer.send(number, **commit(number))
            uids.append(lives.pool.next("spawn")["uid"])
            lives.pool.notice("blocked", uids[-1], content=b"call")
        assert one.vault.calls.get(timeout=WAIT_S)  # of the first; the second has no room for one
        lives.pool.notice("finished", uids[1], "broken_off")
        lives.pool.notice("finished", uids[0], "fine", b"done")
        assert {balancer.answer()[1].status for _ in uids} == {200, 500}
        assert one.vault.calls.empty()
    with lives.life(pos=4):
        pass


def test_a_record_of_the_pool_before_settles_no_notice_of_this_one() -> None:
    """Guards: both count from 1, and a late record of the one let the other's notice pass for recorded."""
    disk, read = Disk(), threading.Event()
    store = DurableStore(disk, "n1", BOOT, power=False, disk_bytes=8 << 20, memory_bytes=1 << 20, unread=1)
    store.start(lambda left: read.set(), lambda: None, lambda why: None)
    assert read.wait(WAIT_S)
    disk.gate.clear()
    store.notice_read(5, True)
    store.record_end(bytes(16), 1 << 60, bytes(16), None, (5,), lambda: None)
    store.pool_replaced()
    store.notice_read(5, True)
    store.notice_read(6, False)
    disk.gate.set()
    store.close()
    assert store._progress.pos == 4
