"""The soak test: drawn scenarios, checked rules, and a few short seeds with real processes."""

from __future__ import annotations

from dataclasses import fields

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.testbed.cluster import schedule
from cairnvane.testbed.cluster.checker import Verdict
from cairnvane.testbed.soak import drawing, runner

SHORT_BOUNDS = drawing.Bounds(seconds=8.0, max_servers=2)
DRAWN_SEEDS = range(200)


def test_a_seed_always_draws_the_same_scenario() -> None:
    for seed in DRAWN_SEEDS:
        assert drawing.draw(seed, SHORT_BOUNDS) == drawing.draw(seed, SHORT_BOUNDS)


def test_all_faults_end_with_the_load_and_every_kind_is_drawn() -> None:
    kinds: set[str] = set()
    for seed in DRAWN_SEEDS:
        scenario = drawing.draw(seed, drawing.Bounds())
        steps = schedule.draw(scenario, seed)
        assert all(0 <= step.at <= scenario.seconds + 0.2 for step in steps), seed
        kinds |= {fault.do for fault in scenario.faults}
    assert {"reset", "stall", "cut", "drop", "delay", "freeze", "heavy", "slow", "garble", "silent"} <= kinds
    assert {"down", "tear", "reload", "stop", "busy", "clock", "surge", "leave", "terminate"} <= kinds
    assert {"kill", "start"} <= kinds


@pytest.mark.parametrize(
    "rule",
    [
        "lost",
        "twice",
        "refused_after_run",
        "differing",
        "invented",
        "overloaded",
        "memory_exceeded",
        "dependency_overloaded",
    ],
)
def test_each_broken_rule_is_named(rule: str) -> None:
    assert rule in {field.name for field in fields(Verdict)}
    verdict = Verdict("a", 1, **{rule: 1})  # type: ignore[arg-type]
    assert len(runner.broken_rules(verdict)) == 1 and verdict.wrong == 1


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_rule_is_broken_in_a_short_soak(seed: int) -> None:
    result = runner.run_seed(seed, SHORT_BOUNDS, keep=None)
    assert result.good, result.line()


@pytest.mark.parametrize("seeds", ["x", "5-1", "1-", "-3"])
def test_an_invalid_range_of_seeds_is_reported(seeds: str) -> None:
    result = CliRunner().invoke(main, ["lab", "soak", f"--seeds={seeds}"])
    assert result.exit_code == 2 and repr(seeds) in result.output
