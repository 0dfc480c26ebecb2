"""Detects running versions of the program from before the claim log, which store claims in another form.

Such a version and this one can't see each other's runs, so they must not serve at the same time.
"""

from __future__ import annotations

import contextlib
import os
import time
from pathlib import Path

# The folder of such a version's marker files, which are named NAME.PID.NANOSECONDS (Unix time).
MARKER_FOLDER = "cairnvane-ready"
# A marker is written at most this long after its process started, on a slow machine. A process that started
# at another time is a different one to which the same id was assigned.
MAX_START_DELAY_S = 15.0
# The start of a process and the time of its marker come from two clocks, so the marker may seem to be older
# than its process by this much.
_CLOCK_TOLERANCE_S = 1.0
_STARTTIME_FIELD = 19  # index of `starttime` in /proc/PID/stat among the fields behind the command's name


def find_serving_process(temporary_folder: Path, server_name: str, proc: Path = Path("/proc")) -> int | None:
    """Return the id of a process of such a version that serves under this name, or None."""
    with contextlib.suppress(OSError):
        for marker in (temporary_folder / MARKER_FOLDER).glob(f"{server_name}.*.*"):
            with contextlib.suppress(OSError, ValueError, IndexError):  # the process has ended
                pid, written_at_ns = marker.name.split(".")[-2:]
                start_delay = int(written_at_ns) / 1e9 - _started_at(proc / pid)
                if -_CLOCK_TOLERANCE_S <= start_delay <= MAX_START_DELAY_S:
                    return int(pid)
    return None


def _started_at(process: Path) -> float:
    """Return the time when a process was started, in seconds of the Unix clock."""
    fields = (process / "stat").read_text().rpartition(")")[2].split()
    started_after_boot = int(fields[_STARTTIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    age = time.clock_gettime(time.CLOCK_BOOTTIME) - started_after_boot
    return time.time() - age
