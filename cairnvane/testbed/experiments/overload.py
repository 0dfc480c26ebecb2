"""`cairnvane lab overload`: what retries and probes of a whole fleet add up to when its vault is sick, its
load rises, or some of it is gone.

Real processes, one vault that bears a little more than all of them can bring, and balancers that walk on at
once after a refusal, three in ten of which heed advice. For each trouble and size: what was served by worth
before, during and after it, how many tries a request took, what share of all reads had been refused
elsewhere, how many calls met a vault that was sick, and when service was back.
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
from ..cluster.scenario_run import Play

BEFORE_S, DURING_S, AFTER_S = 8.0, 6.0, 14.0
# A server bears 22 requests a second, the vault 25 for each server; 0.6 of that comes.
CORES, WORK_MS, CALL_MS, SLOTS, RATE = 4, 176.0, 160.0, 4, 13.4
# Balancers walk on to so many servers, and so many of them heed advice.
TRIES, HEED, BALANCERS = 12, 0.3, 10


def _faults(kind: str, servers: int) -> list[Fault]:
    at, span = BEFORE_S, DURING_S
    third = range(max(1, servers // 3))
    if kind == "vault":
        return [Fault("slow", at, duration=span, times=8.0)]
    if kind == "surge":
        return [Fault("surge", at, duration=span, times=3.0)]
    if kind == "lost":
        return [
            fault
            for n in third
            for fault in (Fault("kill", at, who=f"n{n}"), Fault("start", at + span, who=f"n{n}"))
        ]
    if kind == "flap":
        return [Fault("down", at + step * span / 5, duration=span / 5 - 0.2) for step in range(5)]
    return [
        Fault("down", at, duration=span),
        *(
            fault
            for n in range(servers)
            for fault in (Fault("kill", at + 0.5, who=f"n{n}"), Fault("start", at + 1.0, who=f"n{n}"))
        ),
    ]


# The vault eight times slower; three times the load; a third killed; the vault back for moments only; all
# restarted while the vault is down.
TROUBLES = ("vault", "surge", "lost", "flap", "restart")


def scenario(kind: str, servers: int) -> Scenario:
    """One trouble, for a fleet of this size."""
    return Scenario(
        f"{kind}, {servers} servers",
        servers=servers,
        seconds=BEFORE_S + DURING_S + AFTER_S,
        load=Load(rate=RATE * servers, balancers=BALANCERS, tries=TRIES, heed=HEED),
        server=Servers(CORES, WORK_MS),
        vault=Vault(SLOTS * servers, CALL_MS, 5.0),
        faults=_faults(kind, servers),
    )


FIGURES: dict[str, Callable[[Verdict], float]] = {
    "before": lambda one: one.worth_before,
    "during": lambda one: one.worth_during,
    "after": lambda one: one.worth_after,
    "tries": lambda one: one.tries_a_request,
    "again": lambda one: one.again,
    "sick calls": lambda one: one.sick_calls,
    "over": lambda one: one.vault_over,
}


@dataclass
class Row:
    """One trouble at one size, over its seeds."""

    trouble: str
    servers: int
    verdicts: list[Verdict] = field(default_factory=list)

    def mean(self, what: Callable[[Verdict], float]) -> float:
        """Over the seeds."""
        return statistics.mean(what(one) for one in self.verdicts)

    def line(self) -> str:
        """For a terminal."""
        backs = [one.back_s for one in self.verdicts]
        known = [one for one in backs if one is not None]
        back = f"{max(known):5.1f}" if len(known) == len(backs) else f"not {backs.count(None)}/{len(backs)}"
        figures = " ".join(f"{self.mean(FIGURES[name]):{len(name) + 1}.2f}" for name in FIGURES)
        return (
            f"{self.trouble:8} {self.servers:7} {figures} {back:>9} "
            f"{sum(one.wrong for one in self.verdicts):6}"
        )


@dataclass
class Report:
    """All of them."""

    seeds: list[int]
    rows: list[Row] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """No rule was broken. What was served is a figure, not a rule."""
        return not any(one.wrong or one.trouble for row in self.rows for one in row.verdicts)

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """For a terminal."""
        trouble = [
            f"trouble: {row.trouble}, {row.servers}: {line}"
            for row in self.rows
            for one in row.verdicts
            for line in (*one.trouble, *one.lost_tries)
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
    """One play after the other: they are to have the cores."""
    report = Report(list(seeds))
    for servers in sizes:
        for kind in troubles:
            row = Row(kind, servers)
            report.rows.append(row)
            for seed in seeds:
                with tempfile.TemporaryDirectory(prefix="cairnvane-lab-") as folder:
                    row.verdicts.append(Play(scenario(kind, servers), seed, Path(folder)).run())
            say(row.line())
    return report
