"""The log and the ledger together, killed at every step of either until none is left."""

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
from cairnvane.idempotency.durable.takeover_store import LEDGER
from cairnvane.idempotency.store import StartedRun
from cairnvane.testbed.stand_ins.disk import Disk, PowerCut

BOOT = b"a" * 16
RESULTS: dict[bytes, bytes | None] = {b"\1" * 16: b"a" * 300, b"\2" * 16: b"b" * 300, b"\3" * 16: None}
OPEN = b"\4" * 16
SHORT_S = 0.2  # what has not come by then was killed


class Life:
    """One process: its keeper, and what a host would ask of it."""

    def __init__(self, path: Path, disk: Disk, folder: OsFolder) -> None:
        self.lives = Incarnations(path / "lives")
        self.lives.enter()
        self.ledger = ClaimLog(folder, self.lives, UNREAD)
        self.ledger.open()
        store = DurableStore(
            disk, "n1", BOOT, power=False, disk_bytes=8 << 20, memory_bytes=1 << 20, unread=UNREAD
        )
        self.keeper = TakeoverStore(store, self.ledger, path, folder.path, power=False)
        self.until: dict[bytes, int] = {}

    def start(self, wait_s: float) -> bool:
        """Whether all was read in time."""
        ready = threading.Event()
        self.keeper.start(lambda left: ready.set(), lambda: None, lambda why: None)
        return ready.wait(wait_s)

    def run(self, token: bytes, wait_s: float) -> str:
        told: list[str] = []
        there = threading.Event()

        def say(what: str) -> None:
            told.append(what)
            there.set()

        self.until[token] = clock.now() + 60_000_000
        self.keeper.reserve()
        begun = StartedRun(token, "ab" * 8, "write", SAME, self.until[token], self.until[token], 1.0, 0)
        self.keeper.record_start(
            begun, lambda: say("runs"), lambda other: say("elsewhere" if other else "refused")
        )
        return told[0] if there.wait(wait_s) else "nothing"

    def ends(self, token: bytes, result: bytes | None, wait_s: float) -> bool:
        there = threading.Event()
        self.keeper.record_end(token, self.until[token], SAME, result, (), there.set)
        return there.wait(wait_s)

    def fetch(self, token: bytes) -> bytes | None:
        told: list[bytes | None] = []
        there = threading.Event()

        def then(result: bytes | None) -> None:
            told.append(result)
            there.set()

        past = self.keeper.look_up(token, SAME, clock.now())
        if past is None or not past.has_result:
            return None
        self.keeper.fetch_result(token, SAME, then)
        assert there.wait(WAIT_S)
        return told[0]

    def dies(self) -> None:
        """As if killed: its locks fall, and it says nothing more."""
        self.lives.beat = lambda: None  # type: ignore[method-assign]
        self.lives.leave()
        self.ledger._closed = True


def history(life: Life, began: list[bytes], told: dict[bytes, bytes | None]) -> None:
    """Three commits that end and one in the middle, until the kill; each step waits for the one before."""
    for token in (*RESULTS, OPEN):
        if life.run(token, SHORT_S) != "runs":
            raise Killed
        began.append(token)
        if token in RESULTS:
            if not life.ends(token, RESULTS[token], SHORT_S):
                raise Killed
            told[token] = RESULTS[token]


@pytest.mark.parametrize("where", ["ledger", "log"])
def test_killed_at_any_step_of_log_or_ledger_nothing_runs_again(
    tmp_path: Path,
    where: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    expect_thread_errors(monkeypatch, Killed, PowerCut)  # a writer that is killed
    for kill_at in range(200):
        path = tmp_path / str(kill_at)
        disk, folder = Disk(), Steps(path / f"{LEDGER}cafe0000")
        folder.kill_at = kill_at if where == "ledger" else -1
        disk.cut_at = kill_at if where == "log" else None
        began: list[bytes] = []
        told: dict[bytes, bytes | None] = {}
        finished = False
        old: Life | None = None
        with contextlib.suppress(Killed):
            old = Life(path, disk, folder)
            if not old.start(SHORT_S):
                raise Killed
            history(old, began, told)
            finished = True
        if old is not None:
            old.dies()
        new = Life(path, Disk(disk.content()), OsFolder(folder.path))
        assert new.start(WAIT_S), kill_at
        for token in began:
            past = new.keeper.look_up(token, SAME, clock.now())
            assert past is not None or new.run(token, WAIT_S) == "elsewhere", (kill_at, token)
            may = [told[token]] if token in told else [None, RESULTS.get(token)]
            assert new.fetch(token) in may, (kill_at, token)
        new.keeper.close()
        new.lives.leave()
        if finished:
            assert kill_at > 8
            return
    raise AssertionError("never finished")
