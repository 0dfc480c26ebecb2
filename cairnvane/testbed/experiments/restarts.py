"""`cairnvane lab restarts`: kills the real server repeatedly under load; no commit may be lost.

After each restart, all commits within their retry window are retried. The worker pool keeps running through
most kills and is restarted together with the server in the others. The server is killed at random times and
at named steps of the idempotency store; some kills follow each other three times in a row.
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
from ..checkers.duplicate_run_checker import Commit, DuplicateRunChecker, Verdict
from ..server_version import is_alarm
from ..stand_ins.balancer import StandInBalancer
from ..stand_ins.vault import StandInRoster, StandInVault
from ..stand_ins.worker_pool import StandInPool
from .keyed_workload import (
    CLIENT_TIMEOUT_S,
    DEADLINE_SLACK_S,
    KEYED_CLASS,
    NON_KEYED_CLASS,
    RETRY_WINDOW_S,
    SETTINGS,
    operator_file,
)

# Retries stop this long before the end of the window, since the checker's clock differs from the server's.
WINDOW_MARGIN_S = 2.0
# Steps of the store at which the process may be killed.
STEPS = (
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
# Steps that occur only occasionally; the others occur with each commit.
RARE_STEPS = ("recovery", "rotation", "drop", "compaction", "compacted")
# Fractions of the kills that happen at a named step, and together with a restart of the pool.
KILL_AT_STEP_FRACTION = 0.6
KILL_WITH_POOL_FRACTION = 0.25
# The step occurs fewer times than this before the kill, so that the kill happens while new commits arrive.
MAX_STEP_OCCURRENCES = 10
# Probability that early kills follow, so that there are three kills in a row.
THREE_KILLS_PROBABILITY = 0.15
# Time to wait for the step after all commits of an incarnation are sent; then the server is killed anyway.
RARE_STEP_WAIT_S = 0.8
STEP_WAIT_S = 0.2
# An early kill happens within this time after the start.
EARLY_KILL_S = 0.05
# Time that the server may take to end in addition to its own limit for a graceful shutdown.
STOP_MARGIN_S = 5
PROGRESS_KILLS = 10


@dataclass
class Report:
    """Result of the experiment; field names are keys of the JSON report."""

    seed: int
    durability: str
    kills: int
    points: dict[str, int]  # number of kills by step
    verdict: Verdict
    recovery_ms: list[float] = field(default_factory=list)
    ready_ms: list[float] = field(default_factory=list)
    trouble: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether all guarantees held and no other problem occurred."""
        return self.verdict.good and not self.trouble

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        v = self.verdict
        return [
            f"seed {self.seed}, durability {self.durability}: {self.kills} kills, {v.commits} commits, "
            f"{v.tries} tries",
            f"runs {v.runs}; second runs {v.second_runs}, second calls {v.second_calls}",
            f"answers that differ {v.differing}, results that no run made {v.invented}",
            f"unanswered tries {v.unanswered}, commits without any answer {v.lost}",
            f"refusals {v.refusals}, tries failed {v.failed}, tries broken by a kill {v.broken_tries}",
            f"recovery: {_summary(self.recovery_ms)}; from start to listening: {_summary(self.ready_ms)}",
            "kills at: " + ", ".join(f"{point} {count}" for point, count in sorted(self.points.items())),
            *(f"trouble: {line}" for line in self.trouble),
            "good" if self.good else "WRONG",
        ]


def _summary(times_ms: list[float]) -> str:
    if not times_ms:
        return "none"
    return f"median {statistics.median(times_ms):.1f} ms, worst {max(times_ms):.1f} ms, of {len(times_ms)}"


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
        """`rate`: new commits per second; `mutant`: see `instrumented_server`; `say` reports progress."""
        self._random = random.Random(seed)
        self._seed = seed
        self._durability = durability
        self._mutant = mutant
        self._say = say
        self._commits = commits
        self._kills = kills
        self._rate = rate
        self._pool = StandInPool(seed, calls=frozenset({KEYED_CLASS}))
        self._vault = StandInVault()
        self._roster = StandInRoster()
        self._site = server_process.ServerConfiguration(
            folder,
            self._pool.address,
            self._vault.address,
            self._roster.address,
            SETTINGS,
            operator_file(durability, disk_mb=disk_mb),
        )
        self._checker = DuplicateRunChecker()
        self._kills_by_step: dict[str, int] = {}
        self._recovery_ms: list[float] = []
        self._ready_ms: list[float] = []
        self._trouble: list[str] = []
        self._request_ids = 0
        self._non_keyed_requests = 0

    def run(self) -> Report:
        """Run all incarnations, and check the records of the stand-ins."""
        try:
            self._run_incarnations()
        finally:
            for stand_in in (self._pool, self._vault, self._roster):
                stand_in.close()
        verdict = self._checker.verdict(self._pool.records, self._vault.calls)
        return Report(
            self._seed,
            self._durability,
            self._kills,
            self._kills_by_step,
            verdict,
            self._recovery_ms,
            self._ready_ms,
            self._trouble,
        )

    def _run_incarnations(self) -> None:
        sent = 0
        early_kills_left = 0
        for number in range(self._kills):
            quota = (self._commits * (number + 1)) // (self._kills + 1) - sent
            if early_kills_left:
                early_kills_left -= 1
            else:
                early_kills_left = 2 * (self._random.random() < THREE_KILLS_PROBABILITY)
            self._run_killed_incarnation(quota, early=early_kills_left > 0)
            sent += quota
            if (number + 1) % PROGRESS_KILLS == 0:
                self._say(f"{number + 1} kills, {sent} commits")
        self._run_last_incarnation(self._commits - sent)

    # --- incarnations

    def _run_killed_incarnation(self, quota: int, early: bool) -> None:
        """Start the server, send `quota` new commits, and kill it."""
        step = self._random.choice(STEPS) if self._random.random() < KILL_AT_STEP_FRACTION else ""
        occurrences = 0 if step in RARE_STEPS else self._random.randrange(MAX_STEP_OCCURRENCES)
        with_pool = self._random.random() < KILL_WITH_POOL_FRACTION
        server = server_process.start(self._site, f"{step}:{occurrences}" if step else "", self._mutant)
        kill_after_s = self._random.uniform(0.0, EARLY_KILL_S if early else quota / self._rate)
        balancer = self._connect(server)
        if balancer is None:
            self._add_unsent_commits(quota)
        else:
            self._load_until_kill(server, balancer, quota, step, kill_after_s)
        self._count_kill(step if step and not server.alive() else "random")
        server.kill()
        if with_pool:
            self._pool.restart()
            self._count_kill("with the pool")
        self._record_server(server)
        if balancer is not None:
            balancer.close()

    def _load_until_kill(
        self,
        server: server_process.ServerProcess,
        balancer: StandInBalancer,
        quota: int,
        step: str,
        kill_after_s: float,
    ) -> None:
        """Send the commits, and wait for the step or for the time of the kill."""
        retries = threading.Thread(target=self._retry_commits, args=(balancer,))
        retries.start()
        self._send_commits(balancer, quota)
        retries.join()
        if not step:
            time.sleep(kill_after_s * self._random.random())
        else:
            server.wait(RARE_STEP_WAIT_S if step in RARE_STEPS else STEP_WAIT_S)

    def _count_kill(self, step: str) -> None:
        self._kills_by_step[step] = self._kills_by_step.get(step, 0) + 1

    def _run_last_incarnation(self, quota: int) -> None:
        """Start the server, send the last commits, wait for all answers, and shut down gracefully."""
        server = server_process.start(self._site, mutant=self._mutant)
        balancer = self._connect(server)
        if balancer is None:
            self._trouble.append("the last incarnation did not start: " + " | ".join(server.lines[-3:]))
            server.kill()
            return
        self._send_commits(balancer, quota)
        self._retry_commits(balancer)
        self._checker.settle(
            lambda commit: self._send_attempt(balancer, commit), CLIENT_TIMEOUT_S + DEADLINE_SLACK_S
        )
        balancer.close()
        status = server.stop(self._site.stop_ms / 1e3 + STOP_MARGIN_S)
        if status != 0:
            self._trouble.append(f"the last incarnation ended with status {status}")
        self._record_server(server)

    def _connect(self, server: server_process.ServerProcess) -> StandInBalancer | None:
        """Connect clients to this server; None if it ended before it accepted connections."""
        if not server.listens():
            return None
        self._ready_ms.append((time.monotonic() - server.started_at) * 1e3)
        try:
            return StandInBalancer(server.port)
        except OSError:  # the server has ended in the meantime
            return None

    def _record_server(self, server: server_process.ServerProcess) -> None:
        if server.recovery_ms is not None:
            self._recovery_ms.append(server.recovery_ms)
        self._trouble += [line for line in server.lines if is_alarm(line)]

    # --- requests

    def _create_commit(self) -> Commit:
        number = len(self._checker.commits)
        commit = Commit(b"commit %d" % number, self._random.randbytes(16).hex())
        self._checker.add(commit)
        return commit

    def _add_unsent_commits(self, quota: int) -> None:
        """Create commits without sending them; a later incarnation receives their first attempt."""
        for _ in range(quota):
            self._create_commit()

    def _send_commits(self, balancer: StandInBalancer, quota: int) -> None:
        """Send new commits at the configured rate, each followed by a request without a key."""
        start = time.monotonic()
        for number in range(quota):
            wait_s = start + number / self._rate - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self._send_attempt(balancer, self._create_commit())
            self._non_keyed_requests += 1
            body = b"view %d" % self._non_keyed_requests
            balancer.send(self._request_id(), NON_KEYED_CLASS, body, None, lambda reply: None)

    def _retry_commits(self, balancer: StandInBalancer) -> None:
        """Retry all commits that are within their retry window."""
        now = time.monotonic()
        for commit in list(self._checker.commits):
            if commit.first_sent_at and now - commit.first_sent_at > RETRY_WINDOW_S - WINDOW_MARGIN_S:
                continue
            self._send_attempt(balancer, commit)

    def _send_attempt(self, balancer: StandInBalancer, commit: Commit) -> None:
        self._checker.record_attempt(commit, time.monotonic())
        balancer.send(
            self._request_id(),
            KEYED_CLASS,
            commit.body,
            commit.idempotency_key,
            lambda reply: self._checker.record_reply(commit, reply),
        )

    def _request_id(self) -> str:
        self._request_ids += 1
        return f"{self._seed % 4_096:03x}{self._request_ids:013x}"
