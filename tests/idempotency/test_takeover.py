"""Concurrent incarnations of the server on one folder of stored results, as real processes."""

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
from cairnvane.claims.records import Record, encode
from cairnvane.claims.states import Step
from cairnvane.idempotency.durable.storage import OsFiles
from cairnvane.idempotency.durable.takeover_store import CLAIM_LOG_PREFIX
from cairnvane.idempotency.fingerprint import fingerprint

OTHER_KEY = TOKEN[::-1]


def keyed(key: str = TOKEN, **more: Any) -> dict[str, Any]:
    return {"path": "/svc/write", "HTTP_REQ_TOKEN": key, **more}


class Site:
    """Servers at one address, one after the other or concurrent, each with a worker pool of its own."""

    def __init__(self, tmp_path: Path, durability: str) -> None:
        self.path, self.folder = tmp_path, tmp_path / "keyed"
        self.operator = tmp_path / "operator.yaml"
        self.operator.write_text(f"keyed: {{folder: keyed, durability: {durability}}}\n")
        self.port = 0  # that of the first server
        self.numbers = iter(range(1, 1_000))

    @contextlib.contextmanager
    def server(self) -> Iterator[tuple[subprocess.Popen[str], PoolPeer]]:
        pool = PoolPeer()
        pool_address = "{}:{}".format(*pool.address)
        with program(
            self.path, pool_address, NOWHERE, self.operator, listen=f"127.0.0.1:{self.port}"
        ) as started:
            process, self.port = started
            pool.next("bind")
            yield process, pool

    def balancer(self) -> Balancer:
        return Balancer(("127.0.0.1", self.port))

    def send(self, balancer: Balancer, **fields: Any) -> int:
        number = next(self.numbers)
        balancer.send(number, **fields)
        return number

    def served(self, balancer: Balancer, **fields: Any) -> Answer:
        number = self.send(balancer, **fields)
        answered, answer = balancer.answer()
        assert answered == number
        return answer

    def started_run(self, balancer: Balancer, pool: PoolPeer, **fields: Any) -> str:
        """The id of a keyed request that this pool was told to run.

        While the disk is slow for a moment, in a recovery or at the record, the request is rejected. It is
        then retried, as a balancer would.
        """
        while True:
            self.send(balancer, **fields)
            until(lambda: not pool.commands.empty() or select.select([balancer.sock], [], [], 0)[0])
            if not pool.commands.empty():
                uid: str = pool.next("spawn")["uid"]
                return uid
            assert balancer.answer()[1].status == 503

    def run(self, balancer: Balancer, pool: PoolPeer, result: bytes, **fields: Any) -> None:
        """A keyed request that this pool runs, with this result."""
        pool.notice("finished", self.started_run(balancer, pool, **fields), "fine", result)
        assert balancer.answer()[1].body == result

    def hand_over(self, old: subprocess.Popen[str]) -> None:
        """Once a second server is ready, have the first one hand over to it."""
        incarnations = Incarnations(self.folder / "cairnvane-lives")
        incarnations.number = 0
        while sum(incarnations.status(life) == (Liveness.ALIVE, True) for life in incarnations.others()) < 2:
            time.sleep(0.01)
        old.terminate()
        lines = self.wait_for_log(old, "takes no more connections")
        assert any("hands over" in line for line in lines), lines

    def wait_for_log(self, process: subprocess.Popen[str], text: str) -> list[str]:
        """Wait until the server logs this; returns the lines before."""
        assert process.stderr is not None
        lines: list[str] = []
        while text not in (line := process.stderr.readline()):
            lines.append(line)
            assert line, lines
        return lines

    def delete_claims(self) -> None:
        """Delete the claim logs, so that only the durable log is left."""
        for path in self.folder.glob(f"{CLAIM_LOG_PREFIX}*/*"):
            path.unlink()

    def wait_for_ownership(self, process: subprocess.Popen[str]) -> None:
        """Wait until the server logs that it owns the folder."""
        self.wait_for_log(process, "this process owns the folder now")


@pytest.fixture(params=["process", "power"])
def site(request: pytest.FixtureRequest, tmp_path: Path) -> Site:
    return Site(tmp_path, request.param)


def test_a_new_version_serves_concurrently_with_the_owner_of_the_folder(site: Site) -> None:
    """Guards: with stored results, a second process ended at once, since the first one owned the folder."""
    with site.server() as (old, pool):
        before = site.balancer()
        site.run(before, pool, b"of the old one", **keyed())
        open_run = site.started_run(before, pool, **keyed("ab" * 16))
        with site.server() as (new, its_pool):
            site.hand_over(old)  # which completes what it has
            after = site.balancer()
            assert site.served(after, **keyed()).body == b"of the old one"
            assert site.served(after, **keyed(body=b"forged")).status == 500
            site.run(after, its_pool, b"of the new one", **keyed(OTHER_KEY))
            number = site.send(after, **keyed("ab" * 16))  # which the old one still runs
            pool.notice("finished", open_run, "fine", b"at last")
            assert before.answer()[1].body == b"at last"
            answered, answer = after.answer()
            assert (answered, answer.status, answer.body) == (number, 200, b"at last")
            assert old.wait(WAIT_S) == 0
            site.wait_for_ownership(new)
            assert site.served(after, **keyed()).body == b"of the old one"
            assert site.served(after, **keyed(OTHER_KEY)).body == b"of the new one"
            new.kill()
            new.wait()
    site.delete_claims()
    with site.server() as (_, last_pool):  # from the log alone
        again = site.balancer()
        assert site.served(again, **keyed(OTHER_KEY)).body == b"of the new one"
        assert site.served(again, **keyed("ab" * 16)).body == b"at last"
        # the run whose end nobody knows may be cancelled; none is started
        assert "spawn" not in [command["action"] for command in list(last_pool.commands.queue)]


def test_earlier_results_are_read_from_a_folder_that_another_process_owns(site: Site) -> None:
    with site.server() as (_, pool):
        balancer = site.balancer()
        site.run(balancer, pool, b"long ago", **keyed())
    site.delete_claims()
    with site.server() as (old, _), site.server() as (new, its_pool):
        old.send_signal(signal.SIGSTOP)  # it keeps the folder, and answers nobody
        try:
            answers = []
            for _ in range(8):  # some connections go to the stopped server, and wait
                after = site.balancer()
                site.send(after, **keyed())
                after.sock.settimeout(0.5)
                with contextlib.suppress(TimeoutError):
                    answers.append(after.answer()[1].body)
            assert answers and set(answers) == {b"long ago"}
            assert its_pool.commands.empty() and new.poll() is None
        finally:
            old.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("killed_first", ["the owner", "the concurrent one"])
def test_a_killed_server_leaves_what_it_answered_to_the_others(site: Site, killed_first: str) -> None:
    with site.server() as (old, pool):
        before = site.balancer()
        site.run(before, pool, b"of the old one", **keyed())
        with site.server() as (new, its_pool):
            site.hand_over(old)
            after = site.balancer()
            site.run(after, its_pool, b"of the new one", **keyed(OTHER_KEY))
            site.started_run(after, its_pool, **keyed("ab" * 16))  # and is killed during a run
            if killed_first == "the owner":
                old.kill()
                old.wait()
                site.wait_for_ownership(new)
            new.kill()
            new.wait()
        old.kill()
        old.wait()
    with site.server() as (_, last_pool):
        again = site.balancer()
        assert site.served(again, **keyed()).body == b"of the old one"
        assert site.served(again, **keyed(OTHER_KEY)).body == b"of the new one"
        assert site.served(again, **keyed("ab" * 16)).status == 500  # nobody knows its end
        # the run whose end nobody knows may be cancelled; none is started
        assert "spawn" not in [command["action"] for command in list(last_pool.commands.queue)]


def test_the_claim_log_of_another_boot_is_transferred_to_the_durable_log(site: Site) -> None:
    """A power cut while a server ran concurrently with the owner: only the claim log has what it answered."""
    key = bytes.fromhex(TOKEN)
    open_key = bytes.fromhex(OTHER_KEY)
    request_fingerprint = fingerprint("write", b"x")
    claim_log = site.folder / f"{CLAIM_LOG_PREFIX}0badb007"
    claim_log.mkdir(parents=True)
    at = 9_000_000_000_000  # of a clock that ran for months
    expires_at = at + 60_000_000
    records = [
        Record(Step.INTENT, 5, key, at, expires_at, request_fingerprint),
        Record(Step.INTENT, 5, open_key, at, expires_at, request_fingerprint),
        Record(Step.RESULT, 5, key, at + 1, expires_at, request_fingerprint + b"before the cut"),
    ]
    (claim_log / "0000000001.ledger").write_bytes(b"".join(encode(*one) for one in records) + bytes(4_096))
    with site.server() as (_, pool):
        balancer = site.balancer()
        assert site.served(balancer, **keyed()).body == b"before the cut"
        assert site.served(balancer, **keyed(OTHER_KEY)).status == 500
        assert site.served(balancer, **keyed(body=b"forged")).status == 500
        assert pool.commands.empty()
    assert not claim_log.exists()
    with site.server() as (_, pool):
        assert site.served(site.balancer(), **keyed()).body == b"before the cut"


def test_no_server_runs_concurrently_with_an_owner_that_writes_no_claims(site: Site) -> None:
    """An earlier version of the program would not know of the runs of this one."""
    site.folder.mkdir()
    files = OsFiles(site.folder)
    files.lock()
    try:
        with pytest.raises(AssertionError, match="in use by another process"), site.server():
            pass
    finally:
        files.unlock()
