"""Detection of a running version of the program from before the claim log, by its marker file."""

from __future__ import annotations

import os
import time
from pathlib import Path

from cairnvane.claims import legacy

NAME = "n3"


def test_without_a_marker_no_legacy_process_is_found(tmp_path: Path) -> None:
    assert legacy.find_serving_process(tmp_path, NAME) is None


def test_a_marker_of_an_ended_process_is_ignored(tmp_path: Path) -> None:
    markers = tmp_path / legacy.MARKER_FOLDER
    markers.mkdir()
    (markers / f"{NAME}.4194305.17").write_bytes(b"17\n")  # no such process
    (markers / f"{NAME}.{os.getpid()}.17").write_bytes(b"17\n")  # the id was reused by another process
    assert legacy.find_serving_process(tmp_path, NAME) is None


def test_a_marker_of_a_running_process_is_found(tmp_path: Path) -> None:
    markers = tmp_path / legacy.MARKER_FOLDER
    markers.mkdir()
    (markers / f"{NAME}.4194305.17").write_bytes(b"17\n")
    (markers / f"{NAME}.{os.getpid()}.17").write_bytes(b"17\n")
    process = tmp_path / "proc" / "77"  # it started with the machine
    process.mkdir(parents=True)
    (process / "stat").write_text("77 (a (b) c) S" + " 0" * 30)
    booted_at_ns = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    (markers / f"{NAME}.77.{booted_at_ns + 1_000_000_000}").write_bytes(b"17\n")
    assert legacy.find_serving_process(tmp_path, NAME, process.parent) == 77
