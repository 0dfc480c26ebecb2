"""Scenarios with several processes of the real program, run by the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.testbed.cluster import scenario_file


def run_scenario(tmp_path: Path, *arguments: str) -> tuple[int, dict[str, Any], str]:
    report = tmp_path / "verdict.json"
    result = CliRunner().invoke(main, ["lab", "fleet", *arguments, "--json", str(report)])
    return result.exit_code, json.loads(report.read_text()) if report.exists() else {}, result.output


def test_a_killed_and_restarted_server_breaks_no_rule(tmp_path: Path) -> None:
    """Runs the default scenario. Its own expectations need a machine with idle cores and are not checked."""
    events = tmp_path / "events.jsonl"
    _, verdict, output = run_scenario(tmp_path, "--seed", "3", "--events", str(events))
    wrong = {name: verdict[name] for name in ("lost", "twice", "refused_after_run", "differing", "invented")}
    assert not any(wrong.values()) and verdict["trouble"] == [], output
    assert verdict["requests"] > 250 and verdict["tries"] >= verdict["requests"]
    logged = [json.loads(line) for line in events.read_text().splitlines()]
    assert [
        (event["event"], event.get("life"))
        for event in logged
        if event.get("who") == "n1" and event["event"] != "fault"
    ] == [("started", 1), ("ended", 1), ("started", 2), ("ended", 2)]
    assert [event["do"] for event in logged if event["event"] == "fault"] == ["kill", "start"]


def test_servers_agree_after_a_partition_in_which_one_was_killed(tmp_path: Path) -> None:
    _, verdict, output = run_scenario(
        tmp_path, str(scenario_file.shipped().with_name("cut.yaml")), "--seed", "5"
    )
    assert (verdict["lost"], verdict["twice"], verdict["trouble"]) == (0, 0, []), output
    assert verdict["views"]["agreed_s"] is not None, output


@pytest.mark.parametrize("name", ["roll", "held-up"])
def test_members_agree_and_break_no_rule_in_hard_scenarios(name: str, tmp_path: Path) -> None:
    """The other expectations of these scenarios are not checked: they need a machine with idle cores."""
    _, verdict, output = run_scenario(
        tmp_path, str(scenario_file.shipped().with_name(f"{name}.yaml")), "--seed", "2"
    )
    wrong = {rule: verdict[rule] for rule in ("lost", "twice", "refused_after_run", "differing", "invented")}
    assert not any(wrong.values()) and verdict["trouble"] == [], output
    assert verdict["views"]["agreed_s"] is not None, output
    assert not any("never said" in line for line in verdict["short"]), output
