"""A version of the program from before the ledger, which keeps claims of keyed runs in another form.

The two can't know of each other's runs, so they must not serve side by side.
"""

from __future__ import annotations

import contextlib
import os
import time
from pathlib import Path

# Where such a version leaves its marks, as NAME.PID.NANOSECONDS of the Unix clock.
MARKS = "cairnvane-ready"
# It takes its time so soon after its start, on a slow machine; a process that began at another time than its
# mark says has only been given the same number.
START_S = 15.0
_STARTED = 19  # the field of /proc/PID/stat behind the command's name


def serves(temporary: Path, name: str, proc: Path = Path("/proc")) -> int | None:
    """The process of an earlier version that serves under this name, if there is one."""
    with contextlib.suppress(OSError):
        for mark in (temporary / MARKS).glob(f"{name}.*.*"):
            pid, began = mark.name.split(".")[-2:]
            with contextlib.suppress(OSError, ValueError, IndexError):  # its process has ended
                fields = (proc / pid / "stat").read_text().rpartition(")")[2].split()
                started = int(fields[_STARTED]) / os.sysconf("SC_CLK_TCK")
                age = time.clock_gettime(time.CLOCK_BOOTTIME) - started
                if -1.0 <= int(began) / 1e9 - (time.time() - age) <= START_S:
                    return int(pid)
    return None
