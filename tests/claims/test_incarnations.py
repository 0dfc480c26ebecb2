"""Which incarnations of a server are alive, stopped or dead, and which is a successor."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import pytest

from cairnvane import clock
from cairnvane.claims import Incarnations
from cairnvane.claims.incarnations import HEARTBEAT_TIMEOUT_US, Liveness


def entered(folder: Path) -> Incarnations:
    incarnation = Incarnations(folder)
    incarnation.enter()
    return incarnation


def test_only_a_later_incarnation_that_is_alive_and_ready_is_a_successor(tmp_path: Path) -> None:
    """Guards against a handover to nobody, at the marker of a later version that had crashed."""
    first, second = entered(tmp_path), entered(tmp_path)
    assert not first.has_successor() and first.liveness(second.number) is Liveness.ALIVE
    second.mark_ready()
    assert first.has_successor() and not second.has_successor()
    first.mark_ready()
    assert not second.has_successor()  # the first one is older
    assert not first.is_alone()
    os.close(second._fd or -1)  # killed: its file stays, its lock does not
    assert not first.has_successor()
    assert first.liveness(second.number) is Liveness.DEAD and first.is_alone()
    third = entered(tmp_path)
    assert third.others() == [first.number]  # the file of the dead one is deleted
    third.mark_ready()
    assert first.has_successor()
    third.leave()
    assert not first.has_successor()


def test_a_stopped_incarnation_is_no_successor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = entered(tmp_path), entered(tmp_path)
    second.mark_ready()
    later = clock.now() + HEARTBEAT_TIMEOUT_US + 1
    monkeypatch.setattr(clock, "now", lambda: later)
    assert first.liveness(second.number) is Liveness.STOPPED
    assert not first.has_successor() and not first.is_alone()


def test_an_incarnation_is_never_seen_without_its_lock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a file that is taken for a dead one's, and deleted, before it is locked."""
    first, second = entered(tmp_path), Incarnations(tmp_path)
    seen_by_first: list[list[int]] = []
    monkeypatch.setattr(fcntl, "flock", lambda fd, operation: seen_by_first.append(first.others()))
    second.enter()
    assert seen_by_first[-1] == []
