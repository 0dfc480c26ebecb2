"""`cairnvane lab overload`: measures how retries amplify load in a cluster under overload and faults.

The cluster consists of real server processes and one dependency that can handle slightly more load than the
servers can generate together. Balancers retry a rejected request at another server at once; three in ten of
them wait for the retry-after time instead. For each fault and cluster size the report shows the served
requests, weighted by priority, before, during and after the fault, the attempts per request, the fraction of
attempts that were retries after a rejection, the calls that reached a faulty dependency, and the time to
recovery.
"""

from __future__ import annotations

import statistics
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from ..cluster.checker import Verdict
from ..cluster.scenario import Fault, Load, Scenario, Servers, Vault
from ..cluster.scenario_run import ScenarioRun

BEFORE_S = 8.0
DURING_S = 6.0
AFTER_S = 14.0
# A server can run 22 requests per second, and the load is 0.6 of that. The dependency can handle 25 calls per
# second for each server.
CORES = 4
WORK_MS = 176.0
CALL_MS = 160.0
SLOTS_PER_SERVER = 4
RATE_PER_SERVER = 13.4
MAX_ATTEMPTS = 12
# Fraction of balancers that wait for the retry-after time.
RETRY_AFTER_FRACTION = 0.3
BALANCERS = 10
# The dependency breaks down at this multiple of its slots.
BREAKDOWN_LOAD_FACTOR = 5.0
SLOWDOWN_FACTOR = 8.0
SURGE_FACTOR = 3.0
FLAPS = 5
# Time for which the dependency is reachable between two outages.
FLAP_GAP_S = 0.2


def _faults(kind: str, servers: int) -> list[Fault]:
    at = BEFORE_S
    if kind == "vault":
        return [Fault("slow", at, duration=DURING_S, times=SLOWDOWN_FACTOR)]
    if kind == "surge":
        return [Fault("surge", at, duration=DURING_S, times=SURGE_FACTOR)]
    if kind == "lost":
        return _killed_between(at, at + DURING_S, max(1, servers // 3))
    if kind == "flap":
        interval_s = DURING_S / FLAPS
        return [
            Fault("down", at + number * interval_s, duration=interval_s - FLAP_GAP_S)
            for number in range(FLAPS)
        ]
    return [Fault("down", at, duration=DURING_S), *_killed_between(at + 0.5, at + 1.0, servers)]


def _killed_between(killed_at: float, started_at: float, servers: int) -> list[Fault]:
    """Faults that kill the first `servers` servers at one time and start them again at another."""
    return [
        fault
        for number in range(servers)
        for fault in (
            Fault("kill", killed_at, who=f"n{number}"),
            Fault("start", started_at, who=f"n{number}"),
        )
    ]


# vault: the dependency is eight times slower. surge: three times the load. lost: a third of the servers are
# killed. flap: the dependency is down, apart from short gaps. restart: all servers restart while the
# dependency is down.
TROUBLES = ("vault", "surge", "lost", "flap", "restart")


def scenario(kind: str, servers: int) -> Scenario:
    """The scenario of one kind of fault, for a cluster of this size."""
    return Scenario(
        f"{kind}, {servers} servers",
        servers=servers,
        seconds=BEFORE_S + DURING_S + AFTER_S,
        load=Load(
            rate=RATE_PER_SERVER * servers, balancers=BALANCERS, tries=MAX_ATTEMPTS, heed=RETRY_AFTER_FRACTION
        ),
        server=Servers(CORES, WORK_MS),
        vault=Vault(SLOTS_PER_SERVER * servers, CALL_MS, BREAKDOWN_LOAD_FACTOR),
        faults=_faults(kind, servers),
    )


# The columns of the table.
FIGURES: dict[str, Callable[[Verdict], float]] = {
    "before": lambda verdict: verdict.worth_before,
    "during": lambda verdict: verdict.worth_during,
    "after": lambda verdict: verdict.worth_after,
    "tries": lambda verdict: verdict.tries_a_request,
    "again": lambda verdict: verdict.again,
    "sick calls": lambda verdict: verdict.sick_calls,
    "over": lambda verdict: verdict.vault_over,
}


@dataclass
class Row:
    """Results for a kind of fault and a cluster size, by seed; field names are keys of the JSON report."""

    trouble: str
    servers: int
    verdicts: list[Verdict] = field(default_factory=list)

    def mean(self, figure: Callable[[Verdict], float]) -> float:
        """The mean of a figure over the seeds."""
        return statistics.mean(figure(verdict) for verdict in self.verdicts)

    def line(self) -> str:
        """The report for a terminal."""
        recovery_times = [verdict.back_s for verdict in self.verdicts]
        recovered = [back_s for back_s in recovery_times if back_s is not None]
        back = (
            f"{max(recovered):5.1f}"
            if len(recovered) == len(recovery_times)
            else f"not {recovery_times.count(None)}/{len(recovery_times)}"
        )
        figures = " ".join(f"{self.mean(FIGURES[name]):{len(name) + 1}.2f}" for name in FIGURES)
        return (
            f"{self.trouble:8} {self.servers:7} {figures} {back:>9} "
            f"{sum(verdict.wrong for verdict in self.verdicts):6}"
        )


@dataclass
class Report:
    """Results of all scenarios."""

    seeds: list[int]
    rows: list[Row] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether no rule was broken; how many requests were served is measured, not checked."""
        return not any(verdict.wrong or verdict.trouble for row in self.rows for verdict in row.verdicts)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        trouble = [
            f"trouble: {row.trouble}, {row.servers}: {line}"
            for row in self.rows
            for verdict in row.verdicts
            for line in (*verdict.trouble, *verdict.lost_tries)
        ]
        return [
            "worth served in time; tries a request; share of reads refused elsewhere before; calls a second "
            "that met a sick vault; share of time the vault had more than its slots; back after, s, at worst",
            " ".join(["trouble  servers", *(f" {name}" for name in FIGURES), f"{'back':>9} {'wrong':>6}"]),
            *(row.line() for row in self.rows),
            *trouble,
            "good" if self.good else "WRONG",
        ]


def measure(
    troubles: Sequence[str],
    sizes: Sequence[int],
    seeds: Sequence[int],
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """Run all scenarios one after the other, so that each can use all cores."""
    report = Report(list(seeds))
    for servers in sizes:
        for kind in troubles:
            row = Row(kind, servers)
            report.rows.append(row)
            for seed in seeds:
                with tempfile.TemporaryDirectory(prefix="cairnvane-lab-") as folder:
                    row.verdicts.append(ScenarioRun(scenario(kind, servers), seed, Path(folder)).run())
            say(row.line())
    return report
