"""Kept results and a later version beside the one that keeps them: real processes on one folder, and the
folder's change of hands."""

from __future__ import annotations

import contextlib
import select
import signal
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from peers import TOKEN, WAIT_S, Answer, Balancer, PoolPeer, until
from server.test_program import NOWHERE, program

from cairnvane.claims.incarnations import Incarnations, Liveness
from cairnvane.claims.records import Record, put
from cairnvane.claims.states import Step
from cairnvane.idempotency.durable.storage import OsFiles
from cairnvane.idempotency.durable.takeover_store import LEDGER
from cairnvane.idempotency.fingerprint import fingerprint

SECOND = TOKEN[::-1]


def write(token: str = TOKEN, **more: Any) -> dict[str, Any]:
    return {"path": "/svc/write", "HTTP_REQ_TOKEN": token, **more}


class Site:
    """Processes at one address, one after the other or side by side, each with a pool of its own."""

    def __init__(self, tmp_path: Path, durability: str) -> None:
        self.path, self.folder = tmp_path, tmp_path / "keyed"
        self.operator = tmp_path / "operator.yaml"
        self.operator.write_text(f"keyed: {{folder: keyed, durability: {durability}}}\n")
        self.port = 0  # the first life's
        self.numbers = iter(range(1, 1_000))

    @contextlib.contextmanager
    def life(self) -> Iterator[tuple[subprocess.Popen[str], PoolPeer]]:
        pool = PoolPeer()
        at = "{}:{}".format(*pool.address)
        with program(self.path, at, NOWHERE, self.operator, listen=f"127.0.0.1:{self.port}") as life:
            process, self.port = life
            pool.next("bind")
            yield process, pool

    def balancer(self) -> Balancer:
        return Balancer(("127.0.0.1", self.port))

    def ask(self, balancer: Balancer, **fields: Any) -> int:
        number = next(self.numbers)
        balancer.send(number, **fields)
        return number

    def served(self, balancer: Balancer, **fields: Any) -> Answer:
        number = self.ask(balancer, **fields)
        told, answer = balancer.answer()
        assert told == number
        return answer

    def begun(self, balancer: Balancer, pool: PoolPeer, **fields: Any) -> str:
        """The id of a commit that this pool was told to run. While the disk is slow for a moment, in a
        recovery or at the record, a commit is refused; it is asked for again, as a balancer would."""
        while True:
            self.ask(balancer, **fields)
            until(lambda: not pool.commands.empty() or select.select([balancer.sock], [], [], 0)[0])
            if not pool.commands.empty():
                uid: str = pool.next("spawn")["uid"]
                return uid
            assert balancer.answer()[1].status == 503

    def runs(self, balancer: Balancer, pool: PoolPeer, result: bytes, **fields: Any) -> None:
        """A commit that this pool runs, to this result."""
        pool.notice("finished", self.begun(balancer, pool, **fields), "fine", result)
        assert balancer.answer()[1].body == result

    def hand_over(self, old: subprocess.Popen[str]) -> None:
        """Once a second life can serve, have the first one hand over to it."""
        lives = Incarnations(self.folder / "cairnvane-lives")
        lives.life = 0
        while sum(lives._look(life) == (Liveness.ALIVE, True) for life in lives.others()) < 2:
            time.sleep(0.01)
        old.terminate()
        said = self.says(old, "takes no more connections")
        assert any("hands over" in line for line in said), said

    def says(self, process: subprocess.Popen[str], words: str) -> list[str]:
        """Wait until it says this; all that it said before."""
        assert process.stderr is not None
        said: list[str] = []
        while words not in (line := process.stderr.readline()):
            said.append(line)
            assert line, said
        return said

    def forget_ledger(self) -> None:
        for path in self.folder.glob(f"{LEDGER}*/*"):
            path.unlink()

    def owned(self, process: subprocess.Popen[str]) -> None:
        """Wait until it says that the folder is its own."""
        self.says(process, "this process owns the folder now")


@pytest.fixture(params=["process", "power"])
def site(request: pytest.FixtureRequest, tmp_path: Path) -> Site:
    return Site(tmp_path, request.param)


def test_a_new_version_serves_beside_the_one_that_keeps_results(site: Site) -> None:
    """Guards: with kept results on, a second process ended at once, since the first one held the folder."""
    with site.life() as (old, pool):
        before = site.balancer()
        site.runs(before, pool, b"of the old one", **write())
        open_run = site.begun(before, pool, **write("ab" * 16))
        with site.life() as (new, its_pool):
            site.hand_over(old)  # which ends what it has
            after = site.balancer()
            assert site.served(after, **write()).body == b"of the old one"
            assert site.served(after, **write(body=b"forged")).status == 500
            site.runs(after, its_pool, b"of the new one", **write(SECOND))
            number = site.ask(after, **write("ab" * 16))  # which the old one still runs
            pool.notice("finished", open_run, "fine", b"at last")
            assert before.answer()[1].body == b"at last"
            told, answer = after.answer()
            assert (told, answer.status, answer.body) == (number, 200, b"at last")
            assert old.wait(WAIT_S) == 0
            site.owned(new)
            assert site.served(after, **write()).body == b"of the old one"
            assert site.served(after, **write(SECOND)).body == b"of the new one"
            new.kill()
            new.wait()
    site.forget_ledger()
    with site.life() as (_, last_pool):  # from the log alone
        again = site.balancer()
        assert site.served(again, **write(SECOND)).body == b"of the new one"
        assert site.served(again, **write("ab" * 16)).body == b"at last"
        # the run that nobody knows the end of may be told to stop; none begins
        assert "spawn" not in [command["action"] for command in list(last_pool.commands.queue)]


def test_what_was_kept_before_both_is_read_from_the_folder_of_the_other(site: Site) -> None:
    with site.life() as (_, pool):
        balancer = site.balancer()
        site.runs(balancer, pool, b"long ago", **write())
    site.forget_ledger()
    with site.life() as (old, _), site.life() as (new, its_pool):
        old.send_signal(signal.SIGSTOP)  # the folder stays its own, and it answers nobody
        try:
            answers = []
            for _ in range(8):  # some connections are the stopped one's, and wait
                after = site.balancer()
                site.ask(after, **write())
                after.sock.settimeout(0.5)
                with contextlib.suppress(TimeoutError):
                    answers.append(after.answer()[1].body)
            assert answers and set(answers) == {b"long ago"}
            assert its_pool.commands.empty() and new.poll() is None
        finally:
            old.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("which", ["the owner", "the one beside it"])
def test_a_life_that_is_killed_leaves_what_it_answered_to_the_others(site: Site, which: str) -> None:
    with site.life() as (old, pool):
        before = site.balancer()
        site.runs(before, pool, b"of the old one", **write())
        with site.life() as (new, its_pool):
            site.hand_over(old)
            after = site.balancer()
            site.runs(after, its_pool, b"of the new one", **write(SECOND))
            site.begun(after, its_pool, **write("ab" * 16))  # and dies in the middle of a run
            if which == "the owner":
                old.kill()
                old.wait()
                site.owned(new)
            new.kill()
            new.wait()
        old.kill()
        old.wait()
    with site.life() as (_, last_pool):
        again = site.balancer()
        assert site.served(again, **write()).body == b"of the old one"
        assert site.served(again, **write(SECOND)).body == b"of the new one"
        assert site.served(again, **write("ab" * 16)).status == 500  # nobody knows its end
        # the run that nobody knows the end of may be told to stop; none begins
        assert "spawn" not in [command["action"] for command in list(last_pool.commands.queue)]


def test_a_ledger_of_another_boot_is_entered_into_the_log(site: Site) -> None:
    """A power cut while a life served beside the owner: only the ledger has what it answered."""
    token, open_token = bytes.fromhex(TOKEN), bytes.fromhex(SECOND)
    same = fingerprint("write", b"x")
    ledger = site.folder / f"{LEDGER}0badb007"
    ledger.mkdir(parents=True)
    at, until = 9_000_000_000_000, 9_000_060_000_000  # of a clock that ran for months
    records = [
        Record(Step.INTENT, 5, token, at, until, same),
        Record(Step.INTENT, 5, open_token, at, until, same),
        Record(Step.RESULT, 5, token, at + 1, until, same + b"before the cut"),
    ]
    (ledger / "0000000001.ledger").write_bytes(b"".join(put(*one) for one in records) + bytes(4_096))
    with site.life() as (_, pool):
        balancer = site.balancer()
        assert site.served(balancer, **write()).body == b"before the cut"
        assert site.served(balancer, **write(SECOND)).status == 500
        assert site.served(balancer, **write(body=b"forged")).status == 500
        assert pool.commands.empty()
    assert not ledger.exists()
    with site.life() as (_, pool):
        assert site.served(site.balancer(), **write()).body == b"before the cut"


def test_an_owner_that_writes_no_ledger_is_not_served_beside(site: Site) -> None:
    """An earlier version of the program: it would not know of the runs of this one."""
    site.folder.mkdir()
    files = OsFiles(site.folder)
    files.lock()
    try:
        with pytest.raises(AssertionError, match="in use by another process"), site.life():
            pass
    finally:
        files.unlock()
