"""Detection of alive, stopped and dead incarnations of a server, and of a successor."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import pytest

from cairnvane import clock
from cairnvane.claims import Incarnations
from cairnvane.claims.incarnations import HEARTBEAT_TIMEOUT_US, Liveness


def enter_incarnation(folder: Path) -> Incarnations:
    incarnation = Incarnations(folder)
    incarnation.enter()
    return incarnation


def test_only_a_later_incarnation_that_is_alive_and_ready_is_a_successor(tmp_path: Path) -> None:
    """Guards against a handover to a later incarnation that has crashed but left its marker file."""
    first, second = enter_incarnation(tmp_path), enter_incarnation(tmp_path)
    assert not first.has_successor() and first.liveness(second.number) is Liveness.ALIVE
    second.mark_ready()
    assert first.has_successor() and not second.has_successor()
    first.mark_ready()
    assert not second.has_successor()  # the first one is older
    assert not first.is_alone()
    os.close(second._fd or -1)  # killed: its file stays, but its lock is released
    assert not first.has_successor()
    assert first.liveness(second.number) is Liveness.DEAD and first.is_alone()
    third = enter_incarnation(tmp_path)
    assert third.others() == [first.number]  # the file of the dead one is deleted
    third.mark_ready()
    assert first.has_successor()
    third.leave()
    assert not first.has_successor()


def test_a_stopped_incarnation_is_no_successor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = enter_incarnation(tmp_path), enter_incarnation(tmp_path)
    second.mark_ready()
    later = clock.now() + HEARTBEAT_TIMEOUT_US + 1
    monkeypatch.setattr(clock, "now", lambda: later)
    assert first.liveness(second.number) is Liveness.STOPPED
    assert not first.has_successor() and not first.is_alone()


def test_the_file_of_an_incarnation_is_never_visible_without_a_lock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against deleting the file of a starting incarnation as a dead one's before it is locked."""
    first, second = enter_incarnation(tmp_path), Incarnations(tmp_path)
    seen_by_first: list[list[int]] = []
    monkeypatch.setattr(fcntl, "flock", lambda fd, operation: seen_by_first.append(first.others()))
    second.enter()
    assert seen_by_first[-1] == []
