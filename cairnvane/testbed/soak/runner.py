"""Runs the scenarios of many seeds, several at a time, and reports the broken rules."""

from __future__ import annotations

import json
import shutil
import tempfile
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from ..cluster.checker import Verdict
from ..cluster.scenario_run import ScenarioRun
from .drawing import Bounds, draw

FOLDER_PREFIX = "cairnvane-soak-"
EVENTS_FILE = "events.jsonl"
VERDICT_FILE = "verdict.json"


@dataclass(frozen=True)
class SeedResult:
    """The verdict on one seed; the names are the keys of the JSON report."""

    seed: int
    faults: list[str]
    broken_rules: list[str]
    verdict: dict[str, Any]
    folder: str = ""  # contains the logs and the event log, if they were kept

    @property
    def good(self) -> bool:
        """Whether all rules held."""
        return not self.broken_rules

    def line(self) -> str:
        """The report for a terminal."""
        verdict = self.verdict
        figures = (
            f"{verdict['requests']:5} requests  served {verdict['served']:.2f}  "
            f"runs a core {verdict['highest_mean_crowding']:4.1f}  memory {verdict['memory_used']:.2f}  "
            f"calls {verdict['highest_mean_calls']:.2f}"
        )
        state = "good" if self.good else f"WRONG: {'; '.join(self.broken_rules)} {self.folder}"
        return f"seed {self.seed:4}  {figures}  {state}  [{', '.join(self.faults)}]"


@dataclass
class SoakReport:
    """Results of all seeds, in the order of completion."""

    results: list[SeedResult] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether all rules held for all seeds."""
        return all(result.good for result in self.results)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return {"good": self.good, "results": [asdict(result) for result in self.results]}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        wrong = sorted(result.seed for result in self.results if not result.good)
        seeds = f"wrong: {', '.join(map(str, wrong))}" if wrong else "no rule was broken"
        return [f"{len(self.results)} seeds, {seeds}", "good" if self.good else "WRONG"]


def broken_rules(verdict: Verdict) -> list[str]:
    """Names and counts of the rules that a run broke, and its troubles, such as alarms in log lines."""
    counts = {
        "lost": verdict.lost,
        "run twice": verdict.twice,
        "rejected after a run": verdict.refused_after_run,
        "differing": verdict.differing,
        "invented": verdict.invented,
        "machines overloaded": verdict.overloaded,
        "machines out of memory": verdict.memory_exceeded,
        "dependency overloaded": int(verdict.dependency_overloaded),
    }
    return [f"{name} {count}" for name, count in counts.items() if count] + verdict.trouble


def run_seed(seed: int, bounds: Bounds, keep: Path | None, mutant: str = "") -> SeedResult:
    """Run one seed. If a rule was broken, its files are copied to a folder below `keep`, if given."""
    scenario = draw(seed, bounds)
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as name:
        folder = Path(name)
        scenario_run = ScenarioRun(scenario, seed, folder, events=folder / EVENTS_FILE, mutant=mutant)
        verdict = scenario_run.run()
        broken = broken_rules(verdict)
        kept = ""
        if broken and keep is not None:
            kept = str(_keep(scenario_run, verdict, folder, keep / f"seed-{seed}"))
    return SeedResult(seed, sorted({fault.do for fault in scenario.faults}), broken, verdict.as_json(), kept)


def _keep(scenario_run: ScenarioRun, verdict: Verdict, folder: Path, target: Path) -> Path:
    for node in scenario_run.nodes:
        for number, version in enumerate(node.versions):
            (folder / f"{node.name}-{number}.log").write_text("\n".join(version.server.lines) + "\n")
    (folder / VERDICT_FILE).write_text(json.dumps(verdict.as_json(), indent=1) + "\n")
    shutil.copytree(folder, target, dirs_exist_ok=True)
    return target


def run(
    seeds: Sequence[int],
    bounds: Bounds,
    *,
    parallel: int = 1,
    keep: Path | None = None,
    mutant: str = "",
    say: Callable[[str], None] = lambda line: None,
) -> SoakReport:
    """Run the seeds, `parallel` at a time; `say` is called with a line for each result."""
    report = SoakReport()
    for result in _run_seeds(seeds, bounds, parallel, keep, mutant):
        report.results.append(result)
        say(result.line())
    return report


def _run_seeds(
    seeds: Sequence[int], bounds: Bounds, parallel: int, keep: Path | None, mutant: str
) -> Iterator[SeedResult]:
    if parallel == 1:
        for seed in seeds:
            yield run_seed(seed, bounds, keep, mutant)
        return
    with ProcessPoolExecutor(parallel) as workers:
        futures = [workers.submit(run_seed, seed, bounds, keep, mutant) for seed in seeds]
        for future in as_completed(futures):
            yield future.result()
