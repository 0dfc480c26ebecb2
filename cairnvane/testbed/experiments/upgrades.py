"""`cairnvane lab upgrade`: versions of the real program take over from each other under load.

Each round starts a process beside the one that serves, at the same address and with a pool and a door of its
own. Commits come all the while; each comes back, to whichever process its connection meets, and some come to
two at the same moment. What else happens in a round is drawn: a plain handover; the old one killed; the new
one ended, so that the old one goes on; the old one stopped for seconds; two new ones at once.
"""

from __future__ import annotations

import heapq
import random
import signal
import statistics
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from .. import server_process, server_version
from ..checkers.duplicate_run_checker import SERVED, Commit, Judge, Verdict
from ..faults.hostile_clients import Calls, Hostiles, call
from ..server_version import READY_S, Version
from ..stand_ins.balancer import Reply, StandInBalancer
from ..stand_ins.sockets import HOST, free_ports
from ..stand_ins.vault import StandInRoster, StandInVault
from ..stand_ins.worker_pool import Facts, StandInPool
from .restarts import KEYED, PATIENCE_S, PLAIN, SETTINGS, SLACK_S, operator_file

PLAIN_ROUND = "handover"
# What may happen in a round where kills are asked for.
ROUNDS = (PLAIN_ROUND, PLAIN_ROUND, "old killed", "new ended", "old stopped", "two at once")
STOPPED_S = 3.0
# Of the commits: come to two connections at the same moment; come back with another body.
TWINS, FORGED = 0.3, 0.2
# A commit comes back this long after it was first sent, three times.
BACK_S = (0.05, 0.4, 2.0)
# So many requests may end at the door in an upgrade.
FREE_AT_DOOR = 2
# The door is called this often by staff.
STAFF_S = 0.05


@dataclass
class Report:
    """What an experiment has shown."""

    seed: int
    durability: str
    rounds: dict[str, int]
    verdict: Verdict
    forged: int = 0
    forged_served: int = 0
    at_door: int = 0  # requests that ended without an answer, of a process that was not killed
    most_at_door: int = 0  # in one round
    ready_ms: list[float] = field(default_factory=list)
    door_ms: dict[str, list[float]] = field(default_factory=dict)  # median and 99th, by who else was there
    door_calls: int = 0
    door_late: int = 0
    door_wrong: list[str] = field(default_factory=list)
    ledger_kb: int = 0
    trouble: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Nothing fell short."""
        door = self.door_late == 0 and not self.door_wrong
        return (
            self.verdict.good
            and door
            and not self.trouble
            and self.forged_served == 0
            and self.most_at_door <= FREE_AT_DOOR
        )

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """For a terminal."""
        v = self.verdict
        return [
            f"seed {self.seed}, keys kept: {self.durability}; rounds: "
            + ", ".join(f"{name} {count}" for name, count in sorted(self.rounds.items())),
            f"{v.commits} commits, {v.tries} tries, runs {v.runs}; second runs {v.second_runs}, "
            f"second calls {v.second_calls}",
            f"answers that differ {v.differing}, results that no run made {v.invented}",
            f"forged tries {self.forged}, of these served {self.forged_served}",
            f"unanswered tries {v.unanswered}, commits without any answer {v.lost}, refusals {v.refusals}, "
            f"failed {v.failed}, broken by a kill {v.broken_tries - self.at_door}",
            f"ended at the door {self.at_door}, in one round at most {self.most_at_door}",
            "ready after: "
            + (
                f"median {statistics.median(self.ready_ms):.0f} ms, worst {max(self.ready_ms):.0f} ms"
                if self.ready_ms
                else "never"
            ),
            f"the door: {self.door_calls} calls of staff, late {self.door_late}, "
            f"wrong {len(self.door_wrong)}",
            *(f"  {who}: median {ms[0]:.1f} ms, 99th {ms[1]:.1f} ms" for who, ms in self.door_ms.items()),
            f"the ledger at its largest: {self.ledger_kb} KB",
            *(f"  {line}" for line in self.door_wrong[:5]),
            *(f"trouble: {line}" for line in self.trouble),
            "good" if self.good else "WRONG",
        ]


class Upgrades:
    """One experiment."""

    def __init__(
        self,
        folder: Path,
        *,
        rounds: int,
        commits: int,
        seed: int,
        kill: bool = False,
        forge: bool = False,
        silent: int = 0,
        durability: str = "memory",
        rate: float = 150.0,
        mutant: str = "",
        say: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._random = random.Random(seed)
        self._seed, self._folder, self._durability, self._say = seed, folder, durability, say
        self._rounds, self._commits, self._rate = rounds, commits, rate
        self._kill, self._forge, self._silent, self._mutant = kill, forge, silent, mutant
        self._vault, self._roster = StandInVault(), StandInRoster()
        kept = operator_file(durability, disk_mb=64) if durability != "memory" else None
        self._site = server_process.Site(
            folder, "", self._vault.address, self._roster.address, SETTINGS, kept, stop_ms=8_000
        )
        self._judge = Judge()
        self._versions: list[Version] = []  # of this round
        self._hostiles: dict[Version, Hostiles] = {}
        self._pools: list[StandInPool] = []
        self._calls = {"nobody else": Calls(), f"{silent} hostile callers": Calls()}
        self._report = Report(seed, durability, {}, self._judge.verdict({}, Counter()))
        self._lock = threading.Lock()
        self._agenda: list[tuple[float, int, Commit]] = []
        self._uids = self._plain = self._killed = 0
        self._at_door = 0
        self._over = threading.Event()

    # --- versions

    def _start(self) -> Version:
        number = len(self._pools)
        pool = StandInPool(self._seed + number, calls=frozenset({KEYED}))
        self._pools.append(pool)
        version = server_version.start(
            self._site, pool, pool.address, (HOST, free_ports(1)[0]), f"-{number}", mutant=self._mutant
        )
        if not version.life.listens():
            self._report.trouble.append(
                f"version {number} did not start: " + " | ".join(version.life.lines[-3:])
            )
        elif self._site.listen.endswith(":0"):
            self._site.listen = f"{HOST}:{version.life.port}"
        self._versions.append(version)
        return version

    def _await_ready(self, version: Version) -> bool:
        took = version.await_ready()
        if took is None:
            self._report.trouble.append(
                f"not ready within {READY_S:.0f} s: " + " | ".join(version.life.lines[-3:])
            )
            return False
        self._report.ready_ms.append(took)
        return True

    def _leave(self, version: Version) -> None:
        """SIGTERM, and a good end."""
        if (status := version.leave(self._site.stop_ms / 1e3 + 1)) != 0:
            self._report.trouble.append(
                f"a version ended with {status}: " + " | ".join(version.life.lines[-2:])
            )
        self._gone(version)

    def _kill_off(self, version: Version) -> None:
        self._killed += 1
        version.kill()
        self._gone(version)

    def _gone(self, version: Version) -> None:
        if (hostiles := self._hostiles.pop(version, None)) is not None:
            hostiles.close()
        version.pool.close()
        self._versions.remove(version)
        self._report.trouble += version.alarms()

    def _besiege(self, version: Version) -> None:
        if self._silent and version.door is not None:
            self._hostiles[version] = Hostiles(version.door, self._silent)

    # --- rounds

    def _round(self, old: Version, kind: str) -> Version:
        """The version that serves at its end."""
        new = self._start()
        third = self._start() if kind == "two at once" else None
        if not self._await_ready(new):
            return old
        self._besiege(new)
        time.sleep(self._random.uniform(0.05, 0.3))
        if kind == "new ended":
            (self._kill_off if self._random.random() < 0.5 else self._leave)(new)
            return old
        if kind == "old killed":
            self._kill_off(old)
            return new
        if kind == "old stopped":
            old.ready = False
            old.life.process.send_signal(signal.SIGSTOP)
            time.sleep(STOPPED_S)
            old.life.process.send_signal(signal.SIGCONT)
        if third is not None and self._await_ready(third):
            self._leave(new)
            new = third
        self._leave(old)
        return new

    def run(self) -> Report:
        """All rounds, and the verdict."""
        serving = self._start()
        if not self._await_ready(serving):
            return self._end()
        balancer = StandInBalancer(serving.life.port, links=8, renew=True)
        workers = [
            threading.Thread(target=work, args=(balancer,), daemon=True)
            for work in (self._offer, self._back, self._wander)
        ]
        workers.append(threading.Thread(target=self._staff, daemon=True))
        for worker in workers:
            worker.start()
        time.sleep(2.0)  # staff, with nobody else at the door
        self._besiege(serving)
        for number in range(self._rounds):
            kind = self._random.choice(ROUNDS) if self._kill else PLAIN_ROUND
            killed, before = self._killed, self._at_door
            serving = self._round(serving, kind)
            self._report.rounds[kind] = self._report.rounds.get(kind, 0) + 1
            time.sleep(self._random.uniform(0.2, 0.6))
            if self._killed == killed:
                lost = self._at_door - before
                self._report.at_door += lost
                self._report.most_at_door = max(self._report.most_at_door, lost)
            if (number + 1) % 5 == 0:
                self._say(f"{number + 1} rounds, {len(self._judge.commits)} commits")
            self._report.ledger_kb = max(self._report.ledger_kb, self._ledger_kb())
        while len(self._judge.commits) < self._commits:
            time.sleep(0.1)
        self._over.set()
        for worker in workers:
            worker.join()
        self._judge.settle(lambda commit: self._try(balancer, commit), PATIENCE_S + SLACK_S)
        balancer.close()
        for version in list(self._versions):
            self._leave(version)
        return self._end()

    def _end(self) -> Report:
        for pool in self._pools:
            pool.close()
        self._vault.close()
        self._roster.close()
        for version in self._versions:
            version.life.kill()
        facts: dict[bytes, Facts] = {}
        for pool in self._pools:
            for body, one in pool.facts.items():
                all_ = facts.setdefault(body, Facts())
                all_.runs += one.runs
                all_.results += one.results
        report = self._report
        report.verdict = self._judge.verdict(facts, self._vault.calls)
        for who, calls in self._calls.items():
            report.door_calls += calls.count
            report.door_late += calls.late
            report.door_wrong += calls.wrong
            if calls.count:
                took = sorted(calls.took_ms)
                report.door_ms[who] = [statistics.median(took), took[int(len(took) * 0.99)]]
        return report

    def _ledger_kb(self) -> int:
        return sum(path.stat().st_size for path in self._folder.rglob("*.ledger")) >> 10

    # --- load

    def _offer(self, balancer: StandInBalancer) -> None:
        """New commits at the rate until all are made, some to two at once, with plain requests between."""
        start = time.monotonic()
        while not self._over.is_set() and len(self._judge.commits) < self._commits:
            number = len(self._judge.commits)
            wait = start + number / self._rate - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            commit = Commit(b"commit %d" % number, self._random.randbytes(16).hex())
            self._judge.add(commit)
            self._try(balancer, commit)
            if self._random.random() < TWINS:
                self._try(balancer, commit)
            now = time.monotonic()
            with self._lock:
                for back in BACK_S:
                    at = now + back * self._random.uniform(0.5, 1.5)
                    heapq.heappush(self._agenda, (at, self._random.getrandbits(62), commit))
                self._plain += 1
            balancer.send(self._uid(), PLAIN, b"view %d" % self._plain, None, lambda reply: None)

    def _back(self, balancer: StandInBalancer) -> None:
        """Commits that come back; some of them forged."""
        while not self._over.is_set():
            with self._lock:
                due = []
                while self._agenda and self._agenda[0][0] <= time.monotonic():
                    due.append(heapq.heappop(self._agenda)[2])
            for commit in due:
                if self._forge and self._random.random() < FORGED:
                    self._forged(balancer, commit)
                else:
                    self._try(balancer, commit)
            time.sleep(0.002)

    def _wander(self, balancer: StandInBalancer) -> None:
        """Connections end now and then, and their next try may meet another process."""
        while not self._over.wait(0.02):
            balancer.hang_up(self._random.randrange(8))

    def _try(self, balancer: StandInBalancer, commit: Commit, again: bool = False) -> None:
        self._judge.sent(commit, time.monotonic())
        balancer.send(
            self._uid(),
            KEYED,
            commit.body,
            commit.token,
            lambda reply: self._told(balancer, commit, reply, again),
            fresh=again,
        )

    def _told(self, balancer: StandInBalancer, commit: Commit, reply: Reply, again: bool) -> None:
        self._judge.told(commit, reply)
        if reply.status == 0:
            # What crossed the close of an idle connection is sent again, once, on a new one.
            if again:
                with self._lock:
                    self._at_door += 1
            elif not self._over.is_set():
                threading.Thread(target=self._try, args=(balancer, commit, True), daemon=True).start()

    def _forged(self, balancer: StandInBalancer, commit: Commit) -> None:
        if not commit.served:
            return  # whoever comes first under a token is its caller

        def told(reply: Reply) -> None:
            with self._lock:
                self._report.forged += 1
                self._report.forged_served += reply.status in SERVED

        balancer.send(self._uid(), KEYED, b"forged " + commit.body, commit.token, told)

    def _uid(self) -> str:
        with self._lock:
            self._uids += 1
            return f"{self._seed % 4_096:03x}{self._uids:013x}"

    # --- staff

    def _staff(self) -> None:
        """Calls to the doors of all versions that are ready, two by turns."""
        names = list(self._calls)
        while not self._over.wait(STAFF_S):
            for version in list(self._versions):
                if not version.ready or version.door is None:
                    continue
                calls, told = self._calls[names[version in self._hostiles]], Calls()
                call(version.door, "GET", self._random.choice(["/-/ready", "/-/metrics"]), 200, told)
                if version.ready:  # else it was told to leave meanwhile
                    calls.took_ms += told.took_ms
                    calls.late += told.late
                    calls.wrong += told.wrong
