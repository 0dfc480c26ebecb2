"""Concurrent incarnations of the server as real processes that share one folder of stored results."""

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
from peers import TOKEN, WAIT_S, Answer, Balancer, ConnectionEndedError, PoolPeer, ReconnectingBalancer, until
from server.test_program import NOWHERE, program

from cairnvane.claims.incarnations import Incarnations, Liveness
from cairnvane.claims.records import Record, encode
from cairnvane.claims.states import Step
from cairnvane.idempotency.durable.storage import OsFiles
from cairnvane.idempotency.durable.takeover_store import CLAIM_LOG_PREFIX
from cairnvane.idempotency.fingerprint import fingerprint
from cairnvane.net import fastcgi

OTHER_KEY = TOKEN[::-1]
MANAGEMENT_QUERY = fastcgi.record(fastcgi.GET_VALUES, 0, b"")
# A connection without an answer is looked at again, so this decides nothing.
ANSWER_POLL_S = 0.05


def keyed(key: str = TOKEN, **fields: Any) -> dict[str, Any]:
    return {"path": "/svc/write", "HTTP_REQ_TOKEN": key, **fields}


class Site:
    """Successive or concurrent servers at one address, each with a worker pool of its own."""

    def __init__(self, tmp_path: Path, durability: str) -> None:
        self.path, self.folder = tmp_path, tmp_path / "keyed"
        self.operator = tmp_path / "operator.yaml"
        self.operator.write_text(f"keyed: {{folder: keyed, durability: {durability}}}\n")
        self.port = 0  # chosen by the first server
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

    def balancer(self) -> ReconnectingBalancer:
        return ReconnectingBalancer(("127.0.0.1", self.port))

    def answered_balancer(self) -> ReconnectingBalancer:
        """Open connections, which the kernel shares out between processes, until a process answers on one.

        A stopped process answers nothing, so the connection is one that a serving process has accepted.
        """
        opened: list[ReconnectingBalancer] = []
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            opened.append(self.balancer())
            opened[-1].sock.sendall(MANAGEMENT_QUERY)
            for balancer in opened:
                if select.select([balancer.sock], [], [], ANSWER_POLL_S)[0]:
                    with contextlib.suppress(ConnectionEndedError, ConnectionError):
                        assert balancer._next_record().kind == fastcgi.GET_VALUES_RESULT
                        return balancer
        pytest.fail(f"no process answers on any of {len(opened)} connections")

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
        """Send a keyed request until this pool is told to run it; return the id of the run.

        The request is rejected if the disk is slow during recovery or while the start is recorded. It is then
        retried, as a balancer would do.
        """
        while True:
            self.send(balancer, **fields)
            until(lambda: not pool.commands.empty() or select.select([balancer.sock], [], [], 0)[0])
            if not pool.commands.empty():
                uid: str = pool.next("spawn")["uid"]
                return uid
            assert balancer.answer()[1].status == 503

    def run(self, balancer: Balancer, pool: PoolPeer, result: bytes, **fields: Any) -> None:
        """Send a keyed request, have this pool run it with this result, and check the answer."""
        pool.notice("finished", self.started_run(balancer, pool, **fields), "fine", result)
        assert balancer.answer()[1].body == result

    def hand_over(self, old: subprocess.Popen[str]) -> None:
        """Wait until a second server is ready, then have the first one hand over to it."""
        incarnations = Incarnations(self.folder / "cairnvane-lives")
        incarnations.number = 0
        while (
            sum(incarnations.status(number) == (Liveness.ALIVE, True) for number in incarnations.others()) < 2
        ):
            time.sleep(0.01)
        old.terminate()
        lines = self.wait_for_log(old, "takes no more connections")
        assert any("hands over" in line for line in lines), lines

    def wait_for_log(self, process: subprocess.Popen[str], text: str) -> list[str]:
        """Wait until the server logs this text; return the lines before."""
        assert process.stderr is not None
        lines: list[str] = []
        while text not in (line := process.stderr.readline()):
            lines.append(line)
            assert line, lines
        return lines

    def delete_claims(self) -> None:
        """Delete the files of the claim logs, so that only the durable log is left."""
        for path in self.folder.glob(f"{CLAIM_LOG_PREFIX}*/*"):
            path.unlink()

    def wait_for_ownership(self, process: subprocess.Popen[str]) -> None:
        """Wait until the server logs that it owns the folder."""
        self.wait_for_log(process, "this process owns the folder now")


@pytest.fixture(params=["process", "power"])
def site(request: pytest.FixtureRequest, tmp_path: Path) -> Site:
    return Site(tmp_path, request.param)


def test_a_new_version_serves_concurrently_with_the_owner_of_the_folder(site: Site) -> None:
    """Guards against a second process that ends at once because the first one owns the folder of results."""
    with site.server() as (old, pool):
        old_balancer = site.balancer()
        site.run(old_balancer, pool, b"of the old one", **keyed())
        open_run = site.started_run(old_balancer, pool, **keyed("ab" * 16))
        with site.server() as (new, new_pool):
            site.hand_over(old)  # it completes the requests that it has
            new_balancer = site.balancer()
            assert site.served(new_balancer, **keyed()).body == b"of the old one"
            assert site.served(new_balancer, **keyed(body=b"forged")).status == 500
            site.run(new_balancer, new_pool, b"of the new one", **keyed(OTHER_KEY))
            number = site.send(new_balancer, **keyed("ab" * 16))  # the old server still runs it
            pool.notice("finished", open_run, "fine", b"at last")
            assert old_balancer.answer()[1].body == b"at last"
            answered, answer = new_balancer.answer()
            assert (answered, answer.status, answer.body) == (number, 200, b"at last")
            assert old.wait(WAIT_S) == 0
            site.wait_for_ownership(new)
            assert site.served(new_balancer, **keyed()).body == b"of the old one"
            assert site.served(new_balancer, **keyed(OTHER_KEY)).body == b"of the new one"
            new.kill()
            new.wait()
    site.delete_claims()
    with site.server() as (_, last_pool):  # it reads the durable log only
        last_balancer = site.balancer()
        assert site.served(last_balancer, **keyed(OTHER_KEY)).body == b"of the new one"
        assert site.served(last_balancer, **keyed("ab" * 16)).body == b"at last"
        # the run with an unknown end may be cancelled, but no run is started
        assert "spawn" not in [command["action"] for command in list(last_pool.commands.queue)]


def test_earlier_results_are_read_from_a_folder_that_another_process_owns(site: Site) -> None:
    with site.server() as (_, pool):
        balancer = site.balancer()
        site.run(balancer, pool, b"long ago", **keyed())
    site.delete_claims()
    with site.server() as (old, _), site.server() as (new, new_pool):
        old.send_signal(signal.SIGSTOP)  # it still owns the folder, but answers no request
        try:
            for _ in range(4):
                new_balancer = site.answered_balancer()
                assert site.served(new_balancer, **keyed()).body == b"long ago"
            assert new_pool.commands.empty() and new.poll() is None
        finally:
            old.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("killed_first", ["the owner", "the concurrent one"])
def test_results_of_a_killed_server_are_replayed_by_the_others(site: Site, killed_first: str) -> None:
    with site.server() as (old, pool):
        old_balancer = site.balancer()
        site.run(old_balancer, pool, b"of the old one", **keyed())
        with site.server() as (new, new_pool):
            site.hand_over(old)
            new_balancer = site.balancer()
            site.run(new_balancer, new_pool, b"of the new one", **keyed(OTHER_KEY))
            site.started_run(new_balancer, new_pool, **keyed("ab" * 16))  # the kill interrupts it
            if killed_first == "the owner":
                old.kill()
                old.wait()
                site.wait_for_ownership(new)
            new.kill()
            new.wait()
        old.kill()
        old.wait()
    with site.server() as (_, last_pool):
        last_balancer = site.balancer()
        assert site.served(last_balancer, **keyed()).body == b"of the old one"
        assert site.served(last_balancer, **keyed(OTHER_KEY)).body == b"of the new one"
        assert site.served(last_balancer, **keyed("ab" * 16)).status == 500  # its end is unknown
        # the run with an unknown end may be cancelled, but no run is started
        assert "spawn" not in [command["action"] for command in list(last_pool.commands.queue)]


def test_the_claim_log_of_another_boot_is_transferred_to_the_durable_log(site: Site) -> None:
    """Guards against losing results that only the claim log has.

    This happens if the power is cut while a server runs concurrently with the owner of the folder.
    """
    key = bytes.fromhex(TOKEN)
    open_key = bytes.fromhex(OTHER_KEY)
    request_fingerprint = fingerprint("write", b"x")
    claim_log = site.folder / f"{CLAIM_LOG_PREFIX}0badb007"
    claim_log.mkdir(parents=True)
    claimed_at = 9_000_000_000_000  # on a clock that has run for months
    expires_at = claimed_at + 60_000_000
    records = [
        Record(Step.INTENT, 5, key, claimed_at, expires_at, request_fingerprint),
        Record(Step.INTENT, 5, open_key, claimed_at, expires_at, request_fingerprint),
        Record(Step.RESULT, 5, key, claimed_at + 1, expires_at, request_fingerprint + b"before the cut"),
    ]
    (claim_log / "0000000001.ledger").write_bytes(
        b"".join(encode(*record) for record in records) + bytes(4_096)
    )
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
    """Guards against running beside an earlier version, which can't see the runs of this one."""
    site.folder.mkdir()
    files = OsFiles(site.folder)
    files.lock()
    try:
        with pytest.raises(AssertionError, match="in use by another process"), site.server():
            pass
    finally:
        files.unlock()
