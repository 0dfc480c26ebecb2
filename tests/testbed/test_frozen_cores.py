"""A server process whose machine has frozen cores while its link to the worker pool is reset repeatedly.

`tests/server/test_cancelled_runs.py` describes the failure that this guards against.
"""

from __future__ import annotations

from pathlib import Path

from cairnvane.testbed.cluster import scenario_file
from cairnvane.testbed.cluster.scenario_run import ScenarioRun


def test_a_machine_with_frozen_cores_is_not_overloaded(tmp_path: Path) -> None:
    scenario = scenario_file.load(scenario_file.shipped().with_name("frozen-cores.yaml"))
    verdict = ScenarioRun(scenario, 1, tmp_path).run()
    assert verdict.overloaded == 0, "\n".join(verdict.lines())
    assert verdict.wrong == 0 and verdict.trouble == [], "\n".join(verdict.lines())
    assert verdict.requests > 300
