"""Runs on the machine that no table has take up room under the ceiling, whatever left them there."""

from __future__ import annotations

import pytest
from admission_helpers import MS, Place, actions_of, occupy_cores, start_host

from cairnvane.contract.actions import LogMessage

CORES = 4
# 0.8 of the 8 runs a core that the machine survives.
CEILING = 25


@pytest.mark.parametrize(
    ("unknown_runs", "running"),
    # As many as the cores may be what is read, and take no room.
    [(CEILING + 1, 0), (CEILING - 1, 2), (CEILING - 2, 3), (CORES + 1, CORES), (CORES, CORES)],
)
def test_runs_that_no_table_has_take_up_room(unknown_runs: int, running: int) -> None:
    host = start_host(max_oversubscription=8.0)
    occupy_cores(host, 2 * CORES)
    host.runnable = unknown_runs + CORES
    host.advance(60 * MS)
    for request_id in host.ids(Place.RUNNING):
        host.finish(request_id)
    assert host.count(Place.RUNNING) == running


def test_a_gauge_that_does_not_come_changes_nothing() -> None:
    host = start_host(max_oversubscription=8.0)
    occupy_cores(host, 2 * CORES)
    host.runnable = CEILING + 1 + CORES
    host.advance(60 * MS)
    host.runnable = None
    host.advance(60 * MS)
    for request_id in host.ids(Place.RUNNING):
        host.finish(request_id)
    assert host.count(Place.RUNNING) == 0


def test_more_runs_than_are_known_are_logged_when_they_come_and_when_they_are_gone() -> None:
    host = start_host()
    occupy_cores(host, 2 * CORES)
    logged: list[int] = []
    for runnable in (3 * CORES, 3 * CORES + 1, 3 * CORES, 2 * CORES, 2 * CORES):
        host.runnable = runnable
        host.advance(60 * MS)
        logged.append(len(actions_of(host.actions, LogMessage)))
    assert logged == [0, 1, 1, 2, 2]
