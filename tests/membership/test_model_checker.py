"""The model checker explores small clusters exhaustively and detects mutants; fuzzed datagrams do no harm."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.membership.transport import MemberTransport
from cairnvane.testbed.experiments.fuzz import fuzz
from cairnvane.testbed.simulation.model_checker import MUTANTS, World, _shares, _walk, explore


def test_three_members_reach_agreement_after_any_two_steps(tmp_path: Path) -> None:
    path = tmp_path / "report.json"
    result = CliRunner().invoke(
        main, ["lab", "explore", "--depth", "2", "--workers", "1", "--json", str(path)]
    )
    report = json.loads(path.read_text())
    assert result.exit_code == 0 and not report["cut_short"], result.output
    assert all(count >= 50 for count in report["states"].values()) and sum(report["ends"].values()) > 200


# Members, depth and initial state with which the model checker detects each mutant.
MUTANT_DETECTED_WITH = {
    "no-refutation": (3, 2, "suspected"),
    "refutes-as-before": (3, 2, "suspected"),
    "no-second-look": (4, 1, "cut"),
    "any-claim-counts": (3, 2, "joined"),
    "others-raise-incarnations": (3, 3, "joined"),
    "rumours-for-ever": (3, 2, "joined"),
    "no-last-probes": (3, 2, "joined"),
}


@pytest.mark.parametrize("mutant", list(MUTANTS))
def test_each_mutant_breaks_an_invariant(mutant: str) -> None:
    members, depth, beginning = MUTANT_DETECTED_WITH[mutant]
    report = explore(members, depth, beginnings=[beginning], mutant=mutant, workers=1)
    assert report.broken and report.path[0] == f"from {beginning}" and report.good, report.lines()


def test_an_unknown_mutant_is_named() -> None:
    result = CliRunner().invoke(main, ["lab", "explore", "--mutant", "none"])
    assert result.exit_code == 2 and "no-refutation" in result.output


def test_fuzzed_datagrams_change_nothing() -> None:
    report = fuzz(4_000, 3)
    assert report.good, report.lines()
    assert {"stranger", "torn", "oversized", "unreadable"} <= report.counts.keys()
    assert report.counts["of these replayed"] > 300 and report.counts["of these insane"] > 300


def test_the_fuzzer_notices_invalid_claims_that_count(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cairnvane.membership.swim.is_valid_claim", lambda claim: True)
    assert fuzz(4_000, 3).changed


def test_the_fuzzer_notices_datagrams_that_are_not_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    original_take = MemberTransport._handle_sealed
    monkeypatch.setattr(
        MemberTransport,
        "_handle_sealed",
        lambda self, data, source, max_bytes: (
            original_take(self, data, source, max_bytes) if len(data) <= max_bytes else None
        ),
    )
    report = fuzz(900, 3)
    assert report.uncounted == 100 and not report.good


def test_sharing_work_by_first_steps_leaves_out_no_state() -> None:
    """Workers share the walk by its first steps; together they must reach the states of a single walk."""
    world = World(3)
    initial = world.restarted()
    whole_walk = _walk(world, initial, [], 1, 10_000)
    assert (
        len(list(world.steps(initial)))
        == whole_walk[1]
        == explore(3, 1, beginnings=["restarted"], workers=1).ends["restarted"]
    )
    firsts = {tuple(path) for _, path in _shares(world, initial, 3)}
    assert len(firsts) > 24
