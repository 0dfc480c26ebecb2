"""`cairnvane lab overload`: what retries of a whole cluster add up to under overload and faults.

Real processes, one dependency that bears a little more load than all of them can bring, and balancers that
retry elsewhere at once after a rejection, three in ten of which heed retry-after. For each fault and size:
what was served, weighted by priority, before, during and after it, how many attempts a request took, what
share of all attempts had been rejected elsewhere, how many calls met a faulty dependency, and when service
had recovered.
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
# A server bears 22 requests a second, the dependency 25 for each server; the load is 0.6 of that.
CORES = 4
WORK_MS = 176.0
CALL_MS = 160.0
SLOTS_PER_SERVER = 4
RATE_PER_SERVER = 13.4
MAX_ATTEMPTS = 12
# The share of balancers that heed retry-after.
HEED = 0.3
BALANCERS = 10
# The dependency breaks down at this multiple of its slots.
FALLS_AT = 5.0
SLOWDOWN = 8.0
SURGE = 3.0
FLAPS = 5
# For this time the dependency is back in each flap.
FLAP_GAP_S = 0.2


def _faults(kind: str, servers: int) -> list[Fault]:
    at = BEFORE_S
    if kind == "vault":
        return [Fault("slow", at, duration=DURING_S, times=SLOWDOWN)]
    if kind == "surge":
        return [Fault("surge", at, duration=DURING_S, times=SURGE)]
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
    """The first servers are killed, and started again."""
    return [
        fault
        for number in range(servers)
        for fault in (
            Fault("kill", killed_at, who=f"n{number}"),
            Fault("start", started_at, who=f"n{number}"),
        )
    ]


# The dependency eight times slower; three times the load; a third of the servers killed; the dependency back
# for moments only; all servers restarted while the dependency is down.
TROUBLES = ("vault", "surge", "lost", "flap", "restart")


def scenario(kind: str, servers: int) -> Scenario:
    """The scenario of one kind of fault, for a cluster of this size."""
    return Scenario(
        f"{kind}, {servers} servers",
        servers=servers,
        seconds=BEFORE_S + DURING_S + AFTER_S,
        load=Load(rate=RATE_PER_SERVER * servers, balancers=BALANCERS, tries=MAX_ATTEMPTS, heed=HEED),
        server=Servers(CORES, WORK_MS),
        vault=Vault(SLOTS_PER_SERVER * servers, CALL_MS, FALLS_AT),
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
    """One kind of fault at one size, over its seeds; the names are the keys of the JSON report."""

    trouble: str
    servers: int
    verdicts: list[Verdict] = field(default_factory=list)

    def mean(self, figure: Callable[[Verdict], float]) -> float:
        """The mean of a figure over the seeds."""
        return statistics.mean(figure(verdict) for verdict in self.verdicts)

    def line(self) -> str:
        """The report for a terminal."""
        backs = [verdict.back_s for verdict in self.verdicts]
        recovered = [back_s for back_s in backs if back_s is not None]
        back = (
            f"{max(recovered):5.1f}"
            if len(recovered) == len(backs)
            else f"not {backs.count(None)}/{len(backs)}"
        )
        figures = " ".join(f"{self.mean(FIGURES[name]):{len(name) + 1}.2f}" for name in FIGURES)
        return (
            f"{self.trouble:8} {self.servers:7} {figures} {back:>9} "
            f"{sum(verdict.wrong for verdict in self.verdicts):6}"
        )


@dataclass
class Report:
    """The table."""

    seeds: list[int]
    rows: list[Row] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether no rule was broken. What was served is a figure, not a rule."""
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
    """Run all scenarios one after the other, so that each has all cores."""
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
