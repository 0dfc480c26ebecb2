"""Untracked runs on the machine count against the ceiling, whatever their cause."""

from __future__ import annotations

import pytest
from admission_helpers import MS, Place, actions_of, occupy_cores, start_host

from cairnvane.contract.actions import LogMessage

CORES = 4
# 0.8 of the 8 runs per core that the machine can sustain.
CEILING = 25


@pytest.mark.parametrize(
    ("untracked_runs", "running"),
    # Up to one runnable task per core may be the reading of a request, and does not count.
    [(CEILING + 1, 0), (CEILING - 1, 2), (CEILING - 2, 3), (CORES + 1, CORES), (CORES, CORES)],
)
def test_untracked_runs_count_against_the_ceiling(untracked_runs: int, running: int) -> None:
    host = start_host(max_oversubscription=8.0)
    occupy_cores(host, 2 * CORES)
    host.runnable = untracked_runs + CORES
    host.advance(60 * MS)
    for request_id in host.ids(Place.RUNNING):
        host.finish(request_id)
    assert host.count(Place.RUNNING) == running


def test_a_missing_gauge_changes_nothing() -> None:
    host = start_host(max_oversubscription=8.0)
    occupy_cores(host, 2 * CORES)
    host.runnable = CEILING + 1 + CORES
    host.advance(60 * MS)
    host.runnable = None
    host.advance(60 * MS)
    for request_id in host.ids(Place.RUNNING):
        host.finish(request_id)
    assert host.count(Place.RUNNING) == 0


def test_untracked_runs_are_logged_when_they_appear_and_when_they_end() -> None:
    host = start_host()
    occupy_cores(host, 2 * CORES)
    logged: list[int] = []
    for runnable in (3 * CORES, 3 * CORES + 1, 3 * CORES, 2 * CORES, 2 * CORES):
        host.runnable = runnable
        host.advance(60 * MS)
        logged.append(len(actions_of(host.actions, LogMessage)))
    assert logged == [0, 1, 1, 2, 2]
