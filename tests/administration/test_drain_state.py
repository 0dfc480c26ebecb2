"""The state of a drain by call that the processes of one bid server share."""

from __future__ import annotations

from pathlib import Path

from cairnvane.administration.drain_state import DRAIN_FILE, SharedDrainState


def test_drain_and_its_end_reach_the_other_process(tmp_path: Path) -> None:
    first = SharedDrainState(tmp_path / DRAIN_FILE, is_alone=True)
    second = SharedDrainState(tmp_path / DRAIN_FILE, is_alone=False)
    assert not second.read()
    first.write(True)
    assert second.read()
    second.write(False)
    assert not first.read()


def test_drain_ends_with_the_last_process(tmp_path: Path) -> None:
    SharedDrainState(tmp_path / DRAIN_FILE, is_alone=True).write(True)
    assert SharedDrainState(tmp_path / DRAIN_FILE, is_alone=False).read()
    assert not SharedDrainState(tmp_path / DRAIN_FILE, is_alone=True).read()


def test_process_goes_by_its_own_drain_where_the_file_cannot_be_written(tmp_path: Path) -> None:
    """Guards against a drain that has no effect: on a removed folder or a full disk it can't be shared."""
    state = SharedDrainState(tmp_path / "removed" / DRAIN_FILE, is_alone=True)
    state.write(True)
    assert state.read()
    state.write(False)
    assert not state.read()


def test_drain_continues_when_its_file_is_removed_or_damaged(tmp_path: Path) -> None:
    state = SharedDrainState(tmp_path / DRAIN_FILE, is_alone=True)
    state.write(True)
    (tmp_path / DRAIN_FILE).write_bytes(b"")
    assert state.read()
    (tmp_path / DRAIN_FILE).unlink()
    assert state.read()
