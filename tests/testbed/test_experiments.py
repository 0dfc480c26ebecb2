"""The experiments with one server: kills and upgrades under load, and the detection of mutants."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from cairnvane.cli import main


def run_experiment(tmp_path: Path, *arguments: str) -> tuple[int, dict[str, Any]]:
    path = tmp_path / "report.json"
    result = CliRunner().invoke(main, ["lab", *arguments, "--json", str(path)])
    return result.exit_code, json.loads(path.read_text())


@pytest.mark.parametrize("durability", ["process", "power"])
def test_restarts_run_no_commit_twice_and_change_no_result(tmp_path: Path, durability: str) -> None:
    arguments = ["--commits", "100", "--kills", "5", "--seed", "3", "--durability", durability]
    status, report = run_experiment(tmp_path, "restarts", *arguments)
    assert (status, report["good"]) == (0, True), report
    verdict = report["verdict"]
    assert verdict["commits"] == 100 and verdict["tries"] > 100 and verdict["runs"] > 50


@pytest.mark.parametrize("mutant", ["no-intents", "no-results"])
def test_mutants_without_records_are_detected_by_duplicate_runs(tmp_path: Path, mutant: str) -> None:
    """A duplicate needs a run that began before a kill and a retry after it; 10 kills always produce one."""
    arguments = ["--commits", "300", "--kills", "10", "--seed", "3", "--mutant", mutant]
    status, report = run_experiment(tmp_path, "restarts", *arguments)
    assert status == 1 and report["verdict"]["second_runs"] > 0


@pytest.mark.parametrize("durability", ["memory", "process"])
def test_upgrades_run_no_commit_twice_and_serve_no_forged_one(tmp_path: Path, durability: str) -> None:
    arguments = ["--rounds", "5", "--commits", "400", "--kill", "--forge", "--seed", "11"]
    _, report = run_experiment(tmp_path, "upgrade", *arguments, "--durability", durability)
    verdict = report["verdict"]
    wrong = {
        name: verdict[name]
        for name in ("second_runs", "second_calls", "differing", "invented", "unanswered", "lost")
    }
    assert not any(wrong.values()), wrong
    assert (report["forged_served"], report["trouble"]) == (0, [])
    assert report["forged"] > 20 and verdict["runs"] > 300 and sum(report["rounds"].values()) == 5


@pytest.mark.parametrize("mutant, count", [("no-claims", "second_runs"), ("no-digests", "forged_served")])
def test_mutants_without_claims_or_fingerprints_are_detected(
    tmp_path: Path,
    mutant: str,
    count: str,
) -> None:
    arguments = ["--rounds", "3", "--commits", "300", "--forge", "--seed", "3", "--mutant", mutant]
    status, report = run_experiment(tmp_path, "upgrade", *arguments)
    assert status == 1 and (report | report["verdict"])[count] > 0
