"""`cairnvane lab upgrade`: replaces the running server process by a new one under load, repeatedly.

Each round starts a new process next to the serving one, at the same address and with its own worker pool and
administration endpoint. Commits are sent and retried throughout, and reach whichever process accepts their
connection. The kind of each round is chosen at random: a plain handover; the old process is killed; the new
one ends and the old one continues; the old one is stopped for some seconds; two new processes start at once.
"""

from __future__ import annotations

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
from ..checkers.duplicate_run_checker import DuplicateRunChecker, Verdict
from ..faults.hostile_clients import HostileClients, OperatorRequests, send_request
from ..server_version import READY_TIMEOUT_S, ServerVersion
from ..stand_ins.sockets import HOST, free_ports
from ..stand_ins.vault import StandInRoster, StandInVault
from ..stand_ins.worker_pool import RunRecord, StandInPool
from .keyed_workload import KEYED_CLASS, SETTINGS, operator_file
from .upgrade_load import UpgradeLoad

PLAIN_ROUND = "handover"
# Kinds of rounds to choose from if kills are enabled.
ROUNDS = (PLAIN_ROUND, PLAIN_ROUND, "old killed", "new ended", "old stopped", "two at once")
# Time between SIGSTOP and SIGCONT.
STOPPED_S = 3.0
# Bounds of the random pauses before an old version is ended, and between two rounds.
HANDOVER_PAUSE_S = (0.05, 0.3)
ROUND_PAUSE_S = (0.2, 0.6)
# Number of requests that may end unanswered in each upgrade because the old version closes its listener.
MAX_UNANSWERED_PER_UPGRADE = 2
# Interval of the operator's requests to the administration endpoints.
OPERATOR_INTERVAL_S = 0.05
# Time in which only the operator uses the first version's endpoint, before hostile clients connect.
UNDISTURBED_S = 2.0
STOP_MS = 8_000
# Time that a version may take to end in addition to its own limit for a graceful shutdown.
STOP_MARGIN_S = 1
PROGRESS_ROUNDS = 5
COMMIT_POLL_S = 0.1
MAX_FAILURES_SHOWN = 5


@dataclass
class Report:
    """Result of the experiment; field names are keys of the JSON report."""

    seed: int
    durability: str
    rounds: dict[str, int]
    verdict: Verdict
    forged: int = 0
    forged_served: int = 0
    at_door: int = 0  # requests that ended unanswered in rounds without a kill
    most_at_door: int = 0  # in one round
    ready_ms: list[float] = field(default_factory=list)
    # Median and 99th percentile duration of the operator's requests, by the other users of the endpoint.
    door_ms: dict[str, list[float]] = field(default_factory=dict)
    door_calls: int = 0
    door_late: int = 0
    door_wrong: list[str] = field(default_factory=list)
    ledger_kb: int = 0
    trouble: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether all guarantees held and no other problem occurred."""
        return (
            self.verdict.good
            and self.door_late == 0
            and not self.door_wrong
            and not self.trouble
            and self.forged_served == 0
            and self.most_at_door <= MAX_UNANSWERED_PER_UPGRADE
        )

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
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
            f"unanswered at the closing listener {self.at_door}, in one round at most {self.most_at_door}",
            f"ready after: {self._ready_summary()}",
            f"administration endpoint: {self.door_calls} operator requests, late {self.door_late}, "
            f"wrong {len(self.door_wrong)}",
            *(f"  {who}: median {ms[0]:.1f} ms, 99th {ms[1]:.1f} ms" for who, ms in self.door_ms.items()),
            f"largest size of the claim log: {self.ledger_kb} KB",
            *(f"  {line}" for line in self.door_wrong[:MAX_FAILURES_SHOWN]),
            *(f"trouble: {line}" for line in self.trouble),
            "good" if self.good else "WRONG",
        ]

    def _ready_summary(self) -> str:
        if not self.ready_ms:
            return "never"
        return f"median {statistics.median(self.ready_ms):.0f} ms, worst {max(self.ready_ms):.0f} ms"


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
        """`silent`: number of hostile clients per endpoint; `mutant`: see `instrumented_server`."""
        self._random = random.Random(seed)
        self._seed = seed
        self._folder = folder
        self._say = say
        self._rounds = rounds
        self._commits = commits
        self._rate = rate
        self._kill = kill
        self._forge = forge
        self._hostile_count = silent
        self._mutant = mutant
        self._vault = StandInVault()
        self._roster = StandInRoster()
        self._site = self._create_site(durability)
        self._checker = DuplicateRunChecker()
        self._versions: list[ServerVersion] = []  # versions that have not ended
        self._hostile_clients: dict[ServerVersion, HostileClients] = {}
        self._pools: list[StandInPool] = []
        # Results of the operator's requests to endpoints without and with hostile clients.
        self._undisturbed = OperatorRequests()
        self._disturbed = OperatorRequests()
        self._report = Report(seed, durability, {}, self._checker.verdict({}, Counter()))
        self._killed = 0
        self._load: UpgradeLoad | None = None
        self._rounds_over = threading.Event()

    def _create_site(self, durability: str) -> server_process.ServerConfiguration:
        operator = operator_file(durability, disk_mb=64) if durability != "memory" else None
        return server_process.ServerConfiguration(
            self._folder,
            "",
            self._vault.address,
            self._roster.address,
            SETTINGS,
            operator,
            stop_ms=STOP_MS,
        )

    def run(self) -> Report:
        """Run all rounds, and check the records of the stand-ins."""
        serving = self._start()
        if not self._await_ready(serving):
            return self._end()
        load = UpgradeLoad(
            serving.server.port,
            self._checker,
            self._random,
            seed=self._seed,
            commits=self._commits,
            rate=self._rate,
            forge=self._forge,
        )
        self._load = load
        load.start()
        operator = threading.Thread(target=self._send_operator_requests, name="operator", daemon=True)
        operator.start()
        time.sleep(UNDISTURBED_S)
        self._start_hostile_clients(serving)
        for number in range(self._rounds):
            serving = self._run_round(serving, load)
            if (number + 1) % PROGRESS_ROUNDS == 0:
                self._say(f"{number + 1} rounds, {len(self._checker.commits)} commits")
            self._report.ledger_kb = max(self._report.ledger_kb, self._claim_log_kb())
        while not load.all_sent:
            time.sleep(COMMIT_POLL_S)
        self._rounds_over.set()
        load.stop()
        operator.join()
        load.finish()
        for version in list(self._versions):
            self._shut_down(version)
        return self._end()

    # --- versions

    def _start(self) -> ServerVersion:
        number = len(self._pools)
        pool = StandInPool(self._seed + number, calls=frozenset({KEYED_CLASS}))
        self._pools.append(pool)
        administration = (HOST, free_ports(1)[0])
        version = server_version.start(
            self._site, pool, pool.address, administration, f"-{number}", mutant=self._mutant
        )
        if not version.server.listens():
            self._add_trouble(version, f"version {number} did not start", 3)
        elif self._site.listen.endswith(":0"):
            self._site.listen = f"{HOST}:{version.server.port}"
        self._versions.append(version)
        return version

    def _add_trouble(self, version: ServerVersion, what: str, last_lines: int) -> None:
        self._report.trouble.append(f"{what}: " + " | ".join(version.server.lines[-last_lines:]))

    def _await_ready(self, version: ServerVersion) -> bool:
        ready_ms = version.await_ready()
        if ready_ms is None:
            self._add_trouble(version, f"not ready within {READY_TIMEOUT_S:.0f} s", 3)
            return False
        self._report.ready_ms.append(ready_ms)
        return True

    def _shut_down(self, version: ServerVersion) -> None:
        """Send SIGTERM, and report any exit status other than 0."""
        status = version.shut_down(self._site.stop_ms / 1e3 + STOP_MARGIN_S)
        if status != 0:
            self._add_trouble(version, f"a version ended with status {status}", 2)
        self._remove(version)

    def _kill_version(self, version: ServerVersion) -> None:
        self._killed += 1
        version.kill()
        self._remove(version)

    def _remove(self, version: ServerVersion) -> None:
        if (hostile_clients := self._hostile_clients.pop(version, None)) is not None:
            hostile_clients.close()
        version.pool.close()
        self._versions.remove(version)
        self._report.trouble += version.alarms()

    def _start_hostile_clients(self, version: ServerVersion) -> None:
        if self._hostile_count and version.administration is not None:
            self._hostile_clients[version] = HostileClients(version.administration, self._hostile_count)

    # --- rounds

    def _run_round(self, serving: ServerVersion, load: UpgradeLoad) -> ServerVersion:
        """Run one round, and count its unanswered requests; return the version that serves afterwards."""
        kind = self._random.choice(ROUNDS) if self._kill else PLAIN_ROUND
        killed_before = self._killed
        unanswered_before = load.unanswered
        serving = self._upgrade(serving, kind)
        self._report.rounds[kind] = self._report.rounds.get(kind, 0) + 1
        time.sleep(self._random.uniform(*ROUND_PAUSE_S))
        if self._killed == killed_before:
            unanswered = load.unanswered - unanswered_before
            self._report.at_door += unanswered
            self._report.most_at_door = max(self._report.most_at_door, unanswered)
        return serving

    def _upgrade(self, old: ServerVersion, kind: str) -> ServerVersion:
        """Start a new version, and run a round of this kind; return the version that serves afterwards."""
        new = self._start()
        third = self._start() if kind == "two at once" else None
        if not self._await_ready(new):
            return old
        self._start_hostile_clients(new)
        time.sleep(self._random.uniform(*HANDOVER_PAUSE_S))
        if kind == "new ended":
            end = self._kill_version if self._random.random() < 0.5 else self._shut_down
            end(new)
            return old
        if kind == "old killed":
            self._kill_version(old)
            return new
        if kind == "old stopped":
            self._stop_for_a_while(old)
        if third is not None and self._await_ready(third):
            self._shut_down(new)
            new = third
        self._shut_down(old)
        return new

    def _stop_for_a_while(self, version: ServerVersion) -> None:
        version.ready = False
        version.server.process.send_signal(signal.SIGSTOP)
        time.sleep(STOPPED_S)
        version.server.process.send_signal(signal.SIGCONT)

    def _claim_log_kb(self) -> int:
        return sum(path.stat().st_size for path in self._folder.rglob("*.ledger")) >> 10

    # --- the operator

    def _send_operator_requests(self) -> None:
        """Send requests to the endpoints of all ready versions until the rounds are over."""
        while not self._rounds_over.wait(OPERATOR_INTERVAL_S):
            for version in list(self._versions):
                if version.ready and version.administration is not None:
                    self._send_operator_request(version, version.administration)

    def _send_operator_request(self, version: ServerVersion, address: tuple[str, int]) -> None:
        requests = self._disturbed if version in self._hostile_clients else self._undisturbed
        sent = OperatorRequests()
        send_request(address, "GET", self._random.choice(["/-/ready", "/-/metrics"]), 200, sent)
        if version.ready:  # requests to a version that has begun to shut down are not counted
            requests.durations_ms += sent.durations_ms
            requests.late += sent.late
            requests.failures += sent.failures

    # --- the end

    def _end(self) -> Report:
        for pool in self._pools:
            pool.close()
        self._vault.close()
        self._roster.close()
        for version in self._versions:
            version.server.kill()
        self._report.verdict = self._checker.verdict(self._merged_records(), self._vault.calls)
        if self._load is not None:
            self._report.forged = self._load.forged
            self._report.forged_served = self._load.forged_served
        self._report_operator_requests("nobody else", self._undisturbed)
        self._report_operator_requests(f"{self._hostile_count} hostile callers", self._disturbed)
        return self._report

    def _merged_records(self) -> dict[bytes, RunRecord]:
        """The records of all pools, merged by request body."""
        merged: dict[bytes, RunRecord] = {}
        for pool in self._pools:
            for body, record in pool.records.items():
                total = merged.setdefault(body, RunRecord())
                total.runs += record.runs
                total.results += record.results
        return merged

    def _report_operator_requests(self, who: str, requests: OperatorRequests) -> None:
        self._report.door_calls += requests.count
        self._report.door_late += requests.late
        self._report.door_wrong += requests.failures
        if requests.count:
            durations_ms = sorted(requests.durations_ms)
            percentile_99 = durations_ms[int(len(durations_ms) * 0.99)]
            self._report.door_ms[who] = [statistics.median(durations_ms), percentile_99]
