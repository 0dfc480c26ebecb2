"""The claim log, with its process killed at every step of a history until none is left."""

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
class History:
    """Two runs with results, one that fails, one that never starts and one without an end.

    Segments are sealed and deleted on the way.
    """

    started: list[bytes] = field(default_factory=list)
    ended: dict[bytes, bytes | None] = field(default_factory=dict)  # with their results

    def play(self, incarnation: ServerIncarnation) -> None:
        """Go through all of it, unless killed on the way."""
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
        """What a later incarnation may answer: of an end that nobody was told of, also that it is unknown."""
        if key in self.ended:
            return [self.ended[key]]
        return [None, RESULTS.get(key)]


def played_until_killed(deployment: Deployment, kill_at: int, history: History) -> bool:
    """Play a history; whether it finished before the step at which its process is killed."""
    folder = KillingFolder(deployment.ledger)
    folder.kill_at = kill_at
    try:
        history.play(deployment.start_incarnation(folder))
        return True
    except Killed:
        return False
    finally:
        folder.kill_at = -1


def test_killed_at_any_step_no_run_is_forgotten_and_no_answer_changes(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A started run is never run again, and a result that was answered is answered again.

    A concurrent incarnation has claimed in between, behind what the kill has cut short.
    """
    monkeypatch.setattr(segment_writer, "SEGMENT_BYTES", 500)
    for kill_at in itertools.count():
        deployment = Deployment(tmp_path / str(kill_at))
        history = History()
        is_finished = played_until_killed(deployment, kill_at, history)
        concurrent = deployment.start_incarnation()
        assert concurrent.start_run(OTHER_KEY) is Start.STARTED
        concurrent.end_run(b"concurrent", OTHER_KEY)
        if deployment.all[0] is not concurrent:
            deployment.all[0].kill()
        new = deployment.start_incarnation()
        for key in history.started:
            assert new.start_run(key) is Start.CLAIMED_ELSEWHERE, (kill_at, key)
            assert new.fetch_result(key) in history.possible_results(key), (kill_at, key)
        assert new.fetch_result(OTHER_KEY) == b"concurrent"
        deployment.stop()
        if is_finished:
            assert kill_at > MIN_STEPS
            return
