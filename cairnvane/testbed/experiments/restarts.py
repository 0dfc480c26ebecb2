"""`cairnvane lab restarts`: the real program is killed again and again under load, and every commit comes
back.

After each restart, all commits whose window is not over are tried once more. The pool lives on through
most of the kills and is restarted with the server in others. Kills come at random moments and at named
points of the keeper's work; some of them three in a row.
"""

from __future__ import annotations

import random
import statistics
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from .. import server_process
from ..checkers.duplicate_run_checker import Commit, Judge, Verdict
from ..server_version import is_alarm
from ..stand_ins.balancer import Reply, StandInBalancer
from ..stand_ins.vault import StandInRoster, StandInVault
from ..stand_ins.worker_pool import StandInPool

KEYED, PLAIN = "bid-commit", "price-view"
WINDOW_S, PATIENCE_S = 17.364, 5.8
# A commit is not tried again so shortly before its window is over: the judge's clock is not the server's.
WINDOW_MARGIN_S = 2.0
SLACK_S = 1.0
POINTS = (
    "append intent",
    "written intent",
    "append call",
    "written call",
    "append result",
    "written result",
    "synced intent",
    "synced result",
    "recovery",
    "rotation",
    "drop",
    "compaction",
    "compacted",
)
# These come once in a while, the others with each commit.
RARE = ("recovery", "rotation", "drop", "compaction", "compacted")
# Of the kills: at a named point, and with the pool as well.
AT_POINT, WITH_POOL = 0.6, 0.25
# Each named point is passed so often at the most before the kill: it comes while new commits do.
MOST_PASSED = 10
THREE_IN_A_ROW = 0.15
# A point is waited for so long when the commits of this life are through; then a plain kill comes.
RARE_WAIT_S, POINT_WAIT_S = 0.8, 0.2
SETTINGS: dict[str, Any] = {
    "Classes": [
        {"Name": PLAIN, "OnTimeUs": 1_400_000, "GiveUpUs": 3_400_000},
        {
            "Name": KEYED,
            "OnTimeUs": 2_300_000,
            "GiveUpUs": int(PATIENCE_S * 1e6),
            "Worth": 3.0,
            "Repeat": "guarded",
            "WindowUs": int(WINDOW_S * 1e6),
            "LateWorth": 0.2,
        },
    ],
    "Extra": {
        "Cores": 16,
        "HeapKb": 400_000.0,
        "RunFactor": 4.0,
        "KeyKb": 1.0,
        "Halt": "drop",
        "Say": "credit",
        "Downstream": "shared",
        "FairCalls": 64.0,
        "CallsOverUs": 5_000_000,
        "LingerUs": 0,
        "ClientsTotal": 3,
        "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "TellsGone": True,
    },
    "Guarantees": {"TipMultiple": 16.0, "StopSendingWithinUs": 0},
    "Limits": {"MaxRetryAfterUs": 1_000_000},
}


def operator_file(durability: str, *, disk_mb: int = 64, memory_mb: int = 8) -> str:
    """The operator's file of the experiments, in the folder of the site."""
    return (
        f"keyed: {{folder: keyed, durability: {durability}, max_disk_mb: {disk_mb}, "
        f"max_memory_mb: {memory_mb}}}\n"
    )


@dataclass
class Report:
    """What an experiment has shown, for people and as JSON."""

    seed: int
    durability: str
    kills: int
    points: dict[str, int]
    verdict: Verdict
    recovery_ms: list[float] = field(default_factory=list)
    ready_ms: list[float] = field(default_factory=list)
    trouble: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Nothing was found wrong."""
        return self.verdict.good and not self.trouble

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """For a terminal."""
        v = self.verdict

        def times(values: list[float]) -> str:
            if not values:
                return "none"
            return f"median {statistics.median(values):.1f} ms, worst {max(values):.1f} ms, of {len(values)}"

        return [
            f"seed {self.seed}, durability {self.durability}: {self.kills} kills, {v.commits} commits, "
            f"{v.tries} tries",
            f"runs {v.runs}; second runs {v.second_runs}, second calls {v.second_calls}",
            f"answers that differ {v.differing}, results that no run made {v.invented}",
            f"unanswered tries {v.unanswered}, commits without any answer {v.lost}",
            f"refusals {v.refusals}, tries failed {v.failed}, tries broken by a kill {v.broken_tries}",
            f"recovery: {times(self.recovery_ms)}; from start to listening: {times(self.ready_ms)}",
            "kills at: " + ", ".join(f"{point} {count}" for point, count in sorted(self.points.items())),
            *(f"trouble: {line}" for line in self.trouble),
            "good" if self.good else "WRONG",
        ]


class Restarts:
    """One experiment."""

    def __init__(
        self,
        folder: Path,
        *,
        commits: int,
        kills: int,
        seed: int,
        durability: str = "process",
        rate: float = 250.0,
        disk_mb: int = 8,
        mutant: str = "",
        say: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._random = random.Random(seed)
        self._seed, self._durability, self._mutant, self._say = seed, durability, mutant, say
        self._commits, self._kills, self._rate = commits, kills, rate
        self._pool = StandInPool(seed, calls=frozenset({KEYED}))
        self._vault, self._roster = StandInVault(), StandInRoster()
        self._site = server_process.Site(
            folder,
            self._pool.address,
            self._vault.address,
            self._roster.address,
            SETTINGS,
            operator_file(durability, disk_mb=disk_mb),
        )
        self._judge = Judge()
        self._points: dict[str, int] = {}
        self._recovery_ms: list[float] = []
        self._ready_ms: list[float] = []
        self._trouble: list[str] = []
        self._uids = 0
        self._plain = 0

    def run(self) -> Report:
        """All lives, and the verdict."""
        done, in_a_row = 0, 0
        try:
            for number in range(self._kills):
                quota = (self._commits * (number + 1)) // (self._kills + 1) - done
                in_a_row = in_a_row - 1 if in_a_row else 2 * (self._random.random() < THREE_IN_A_ROW)
                self._killed_life(quota, early=in_a_row > 0)
                done += quota
                if (number + 1) % 10 == 0:
                    self._say(f"{number + 1} kills, {done} commits")
            self._last_life(self._commits - done)
        finally:
            for part in (self._pool, self._vault, self._roster):
                part.close()
        verdict = self._judge.verdict(self._pool.facts, self._vault.calls)
        return Report(
            self._seed,
            self._durability,
            self._kills,
            self._points,
            verdict,
            self._recovery_ms,
            self._ready_ms,
            self._trouble,
        )

    # --- lives

    def _killed_life(self, quota: int, early: bool) -> None:
        point = self._random.choice(POINTS) if self._random.random() < AT_POINT else ""
        passed = 0 if point in RARE else self._random.randrange(MOST_PASSED)
        with_pool = self._random.random() < WITH_POOL
        life = server_process.start(self._site, f"{point}:{passed}" if point else "", self._mutant)
        dies_after = self._random.uniform(0.0, 0.05 if early else quota / self._rate)
        balancer = self._meet(life)
        if balancer is not None:
            replays = threading.Thread(target=self._replay, args=(balancer,))
            replays.start()
            self._offer(balancer, quota, life)
            replays.join()
            if not point:
                time.sleep(dies_after * self._random.random())
            else:
                life.wait(RARE_WAIT_S if point in RARE else POINT_WAIT_S)
        else:
            self._promise(quota)
        at = point if point and not life.alive() else "random"
        self._points[at] = self._points.get(at, 0) + 1
        life.kill()
        if with_pool:
            self._pool.restart()
            self._points["with the pool"] = self._points.get("with the pool", 0) + 1
        self._note(life)
        if balancer is not None:
            balancer.close()

    def _last_life(self, quota: int) -> None:
        life = server_process.start(self._site, mutant=self._mutant)
        balancer = self._meet(life)
        if balancer is None:
            self._trouble.append("the last life did not start: " + " | ".join(life.lines[-3:]))
            return life.kill()
        self._offer(balancer, quota, life)
        self._replay(balancer)
        self._judge.settle(lambda commit: self._try(balancer, commit), PATIENCE_S + SLACK_S)
        balancer.close()
        status = life.stop(self._site.stop_ms / 1e3 + 5)
        if status != 0:
            self._trouble.append(f"the last life ended with status {status}")
        self._note(life)

    def _meet(self, life: server_process.Life) -> StandInBalancer | None:
        """Callers to this life; None if it ended before it listened."""
        if not life.listens():
            return None
        self._ready_ms.append((time.monotonic() - life.began) * 1e3)
        try:
            return StandInBalancer(life.port)
        except OSError:  # it has ended since
            return None

    def _note(self, life: server_process.Life) -> None:
        if life.recovery_ms is not None:
            self._recovery_ms.append(life.recovery_ms)
        self._trouble += [line for line in life.lines if is_alarm(line)]

    # --- tries

    def _new(self) -> Commit:
        number = len(self._judge.commits)
        commit = Commit(b"commit %d" % number, self._random.randbytes(16).hex())
        self._judge.add(commit)
        return commit

    def _promise(self, quota: int) -> None:
        """Commits whose first try meets nobody: they are tried in a later life."""
        for _ in range(quota):
            self._new()

    def _offer(self, balancer: StandInBalancer, quota: int, life: server_process.Life) -> None:
        """New commits at the rate, with plain requests between them."""
        start = time.monotonic()
        for number in range(quota):
            wait = start + number / self._rate - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            self._try(balancer, self._new())
            self._plain += 1
            balancer.send(self._uid(), PLAIN, b"view %d" % self._plain, None, lambda reply: None)

    def _replay(self, balancer: StandInBalancer) -> None:
        now = time.monotonic()
        for commit in list(self._judge.commits):
            if commit.first_sent and now - commit.first_sent > WINDOW_S - WINDOW_MARGIN_S:
                continue
            self._try(balancer, commit)

    def _try(self, balancer: StandInBalancer, commit: Commit) -> None:
        self._judge.sent(commit, time.monotonic())
        balancer.send(self._uid(), KEYED, commit.body, commit.token, lambda r: self._told(commit, r))

    def _told(self, commit: Commit, reply: Reply) -> None:
        self._judge.told(commit, reply)

    def _uid(self) -> str:
        self._uids += 1
        return f"{self._seed % 4_096:03x}{self._uids:013x}"
