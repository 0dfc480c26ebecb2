"""Detection of program versions from before the claim log, which keep claims in another form.

Such a version and this one can't know of each other's runs, so they must not serve at the same time.
"""

from __future__ import annotations

import contextlib
import os
import time
from pathlib import Path

# The folder of such a version's marker files, named NAME.PID.NANOSECONDS by the Unix clock.
MARKERS = "cairnvane-ready"
# A marker is written at most so many seconds after its process started, on a slow machine; a process that
# started at another time merely has the same id.
MAX_START_DELAY_S = 15.0
# The start of a process and its marker's time come from two clocks, and may seem swapped by this much.
_CLOCK_TOLERANCE_S = 1.0
_STARTTIME_FIELD = 19  # of /proc/PID/stat, counted behind the command's name


def find_serving_process(temporary: Path, name: str, proc: Path = Path("/proc")) -> int | None:
    """Return the id of a process of such a version that serves under this name; None if there is none."""
    with contextlib.suppress(OSError):
        for marker in (temporary / MARKERS).glob(f"{name}.*.*"):
            with contextlib.suppress(OSError, ValueError, IndexError):  # its process has ended
                pid, written_at_ns = marker.name.split(".")[-2:]
                start_delay = int(written_at_ns) / 1e9 - _started_at(proc / pid)
                if -_CLOCK_TOLERANCE_S <= start_delay <= MAX_START_DELAY_S:
                    return int(pid)
    return None


def _started_at(process: Path) -> float:
    """When a process was started, in seconds of the Unix clock."""
    fields = (process / "stat").read_text().rpartition(")")[2].split()
    started_after_boot = int(fields[_STARTTIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    age = time.clock_gettime(time.CLOCK_BOOTTIME) - started_after_boot
    return time.time() - age
