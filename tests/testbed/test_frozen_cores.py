"""A real process whose machine stands still while its link to the worker pool breaks again and again.

The failure and its evidence: `tests/server/test_cancelled_runs.py`.
"""

from __future__ import annotations

from pathlib import Path

from cairnvane.testbed.cluster import scenario_file
from cairnvane.testbed.cluster.scenario_run import Play


def test_a_machine_that_stands_still_is_not_given_more_than_it_survives(tmp_path: Path) -> None:
    scenario = scenario_file.load(scenario_file.shipped().with_name("frozen-cores.yaml"))
    verdict = Play(scenario, 1, tmp_path).run()
    assert verdict.overloaded == 0, "\n".join(verdict.lines())
    assert verdict.wrong == 0 and verdict.trouble == [], "\n".join(verdict.lines())
    assert verdict.requests > 300
