"""The claim log, with its process killed at each step of a sequence of runs in turn."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from claim_helpers import OTHER_KEY, Deployment, Killed, KillingFolder, ServerIncarnation, Start

from cairnvane.claims import segment_writer

FIRST_KEY, SECOND_KEY, FAILED_KEY, NEVER_STARTED_KEY, OPEN_KEY = (
    bytes([number]) * 16 for number in range(1, 6)
)
RESULTS = {FIRST_KEY: b"a" * 300, SECOND_KEY: b"b" * 300, FAILED_KEY: None}
MIN_STEPS = 30


@dataclass
class RunSequence:
    """Two runs with results, one that fails, one that never starts and one without an end.

    Segments are sealed and deleted in between.
    """

    started: list[bytes] = field(default_factory=list)
    ended: dict[bytes, bytes | None] = field(default_factory=dict)  # with their results

    def execute(self, incarnation: ServerIncarnation) -> None:
        """Execute the sequence until its end, or until the process is killed."""
        for key in (*RESULTS, NEVER_STARTED_KEY, OPEN_KEY):
            if incarnation.start_run(key) is Start.STARTED:
                self.started.append(key)
        for key, result in RESULTS.items():
            incarnation.end_run(result, key)
            self.ended[key] = result
        self.started.remove(NEVER_STARTED_KEY)
        incarnation.give_up_run(NEVER_STARTED_KEY)
        incarnation.run_housekeeping()

    def possible_results(self, key: bytes) -> list[bytes | None]:
        """Return the results that a later incarnation may report.

        If the end of the run was not reported before the kill, it may also be unknown.
        """
        if key in self.ended:
            return [self.ended[key]]
        return [None, RESULTS.get(key)]


def execute_until_killed(deployment: Deployment, kill_at: int, sequence: RunSequence) -> bool:
    """Execute a sequence; return whether it finished before the step at which its process is killed."""
    folder = KillingFolder(deployment.claim_log_folder)
    folder.kill_at = kill_at
    try:
        sequence.execute(deployment.start_incarnation(folder))
        return True
    except Killed:
        return False
    finally:
        folder.kill_at = -1


def test_a_kill_at_any_step_loses_no_run_and_changes_no_result(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a kill that leads to a second run, or that loses or changes a reported result.

    A concurrent incarnation writes a claim behind the record that the kill has cut short.
    """
    monkeypatch.setattr(segment_writer, "SEGMENT_BYTES", 500)
    for kill_at in itertools.count():
        deployment = Deployment(tmp_path / str(kill_at))
        sequence = RunSequence()
        is_finished = execute_until_killed(deployment, kill_at, sequence)
        concurrent = deployment.start_incarnation()
        assert concurrent.start_run(OTHER_KEY) is Start.STARTED
        concurrent.end_run(b"concurrent", OTHER_KEY)
        if deployment.incarnations[0] is not concurrent:
            deployment.incarnations[0].kill()
        new = deployment.start_incarnation()
        for key in sequence.started:
            assert new.start_run(key) is Start.CLAIMED_ELSEWHERE, (kill_at, key)
            assert new.fetch_result(key) in sequence.possible_results(key), (kill_at, key)
        assert new.fetch_result(OTHER_KEY) == b"concurrent"
        deployment.stop()
        if is_finished:
            assert kill_at > MIN_STEPS
            return
