"""Kills at every step of the durable log or the claim log, with both in use."""

from __future__ import annotations

import contextlib
import threading
from pathlib import Path

import pytest
from claims.test_claim_log import SAME, UNREAD, Killed, Steps
from peers import WAIT_S, expect_thread_errors

from cairnvane import clock
from cairnvane.claims import ClaimLog, Incarnations
from cairnvane.claims.storage import OsFolder
from cairnvane.idempotency.durable import DurableStore, TakeoverStore
from cairnvane.idempotency.durable.takeover_store import CLAIM_LOG_PREFIX
from cairnvane.idempotency.store import StartedRun
from cairnvane.testbed.stand_ins.disk import Disk, PowerCut

BOOT = b"a" * 16
RESULTS: dict[bytes, bytes | None] = {b"\1" * 16: b"a" * 300, b"\2" * 16: b"b" * 300, b"\3" * 16: None}
OPEN_KEY = b"\4" * 16
SHORT_S = 0.2  # a writer that has not answered after this time was killed


class Incarnation:
    """One process with its store, used as a server uses it."""

    def __init__(self, path: Path, disk: Disk, folder: OsFolder) -> None:
        self.incarnations = Incarnations(path / "lives")
        self.incarnations.enter()
        self.claim_log = ClaimLog(folder, self.incarnations, UNREAD)
        self.claim_log.open()
        store = DurableStore(
            disk, "n1", BOOT, power=False, disk_bytes=8 << 20, memory_bytes=1 << 20, max_read_delay_us=UNREAD
        )
        self.store = TakeoverStore(store, self.claim_log, path, folder.path, power=False)
        self.expires_at: dict[bytes, int] = {}

    def start(self, wait_s: float) -> bool:
        """Start the store; returns whether recovery is complete in time."""
        ready = threading.Event()
        self.store.start(lambda state: ready.set(), lambda: None, lambda cause: None)
        return ready.wait(wait_s)

    def run(self, key: bytes, wait_s: float) -> str:
        """Record the start of a run; returns the store's answer, or "nothing" if there is none in time."""
        answers: list[str] = []
        is_answered = threading.Event()

        def answer(text: str) -> None:
            answers.append(text)
            is_answered.set()

        expires_at = clock.now() + 60_000_000
        self.expires_at[key] = expires_at
        self.store.reserve()
        run = StartedRun(key, "ab" * 8, "write", SAME, expires_at, expires_at, 1.0, 0)
        self.store.record_start(
            run,
            lambda: answer("runs"),
            lambda is_elsewhere: answer("elsewhere" if is_elsewhere else "rejected"),
        )
        return answers[0] if is_answered.wait(wait_s) else "nothing"

    def end(self, key: bytes, result: bytes | None, wait_s: float) -> bool:
        """Record the end of a run; returns whether it is recorded in time."""
        is_recorded = threading.Event()
        self.store.record_end(key, self.expires_at[key], SAME, result, (), is_recorded.set)
        return is_recorded.wait(wait_s)

    def fetch(self, key: bytes) -> bytes | None:
        """The stored result of a key; None if there is none."""
        results: list[bytes | None] = []
        is_fetched = threading.Event()

        def then(result: bytes | None) -> None:
            results.append(result)
            is_fetched.set()

        stored = self.store.look_up(key, SAME, clock.now())
        if stored is None or not stored.has_result:
            return None
        self.store.fetch_result(key, SAME, then)
        assert is_fetched.wait(WAIT_S)
        return results[0]

    def die(self) -> None:
        """Simulate a kill: the locks are released, and no further notice is sent."""
        self.incarnations.heartbeat = lambda: None  # type: ignore[method-assign]
        self.incarnations.leave()
        self.claim_log._closed = True


def run_requests(incarnation: Incarnation, started: list[bytes], answered: dict[bytes, bytes | None]) -> None:
    """Run three requests that end and one that does not, one after the other, until the kill."""
    for key in (*RESULTS, OPEN_KEY):
        if incarnation.run(key, SHORT_S) != "runs":
            raise Killed
        started.append(key)
        if key in RESULTS:
            if not incarnation.end(key, RESULTS[key], SHORT_S):
                raise Killed
            answered[key] = RESULTS[key]


@pytest.mark.parametrize("killed_log", ["claim log", "durable log"])
def test_a_kill_at_any_step_of_either_log_never_runs_a_request_twice(
    tmp_path: Path,
    killed_log: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    expect_thread_errors(monkeypatch, Killed, PowerCut)  # the writer thread is killed
    for kill_at in range(200):
        path = tmp_path / str(kill_at)
        disk = Disk()
        folder = Steps(path / f"{CLAIM_LOG_PREFIX}cafe0000")
        folder.kill_at = kill_at if killed_log == "claim log" else -1
        disk.cut_at = kill_at if killed_log == "durable log" else None
        started: list[bytes] = []
        answered: dict[bytes, bytes | None] = {}
        is_finished = False
        old: Incarnation | None = None
        with contextlib.suppress(Killed):
            old = Incarnation(path, disk, folder)
            if not old.start(SHORT_S):
                raise Killed
            run_requests(old, started, answered)
            is_finished = True
        if old is not None:
            old.die()
        new = Incarnation(path, Disk(disk.content()), OsFolder(folder.path))
        assert new.start(WAIT_S), kill_at
        for key in started:
            stored = new.store.look_up(key, SAME, clock.now())
            assert stored is not None or new.run(key, WAIT_S) == "elsewhere", (kill_at, key)
            allowed = [answered[key]] if key in answered else [None, RESULTS.get(key)]
            assert new.fetch(key) in allowed, (kill_at, key)
        new.store.close()
        new.incarnations.leave()
        if is_finished:
            assert kill_at > 8
            return
    raise AssertionError("never is_finished")
