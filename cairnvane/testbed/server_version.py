"""Versions of one bid server: processes of the real program, each with a pool and perhaps a door of its own.

Two of them serve side by side during an upgrade, at one address and in one folder.
"""

from __future__ import annotations

import re
import signal
import subprocess
import time
from dataclasses import dataclass, replace

from .. import log_events
from . import server_process
from .faults.hostile_clients import Calls, call
from .stand_ins.worker_pool import StandInPool

# A new version must say yes within this.
READY_S = 6.0
# Log lines that no process should write: an unhandled error, and the end of the store's writer.
ALARMS = (re.compile("Traceback"), log_events.pattern(log_events.STORE_WRITER_ENDED))
# So many lines are shown from an alarm on.
SHOWN = 30
# Between two looks at whether it says yes.
LOOK_S = 0.01


def is_alarm(line: str) -> bool:
    """Whether no process should write this log line."""
    return any(alarm.search(line) is not None for alarm in ALARMS)


@dataclass(eq=False)
class Version:
    """One process, with what belongs to it."""

    life: server_process.Life
    pool: StandInPool
    door: tuple[str, int] | None
    ready: bool = False

    def await_ready(self) -> float | None:
        """Milliseconds from its start until it says yes at its door; None if it does not in time."""
        assert self.door is not None
        end = self.life.began + READY_S
        while time.monotonic() < end and self.life.alive():
            told = Calls()
            call(self.door, "GET", "/-/ready", 200, told)
            if not told.wrong:
                self.ready = True
                return (time.monotonic() - self.life.began) * 1e3
            time.sleep(LOOK_S)
        return None

    def leave(self, wait_s: float) -> int:
        """SIGTERM, and its status; one that does not end in time is killed."""
        self.ready = False
        try:
            return self.life.stop(wait_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def kill(self) -> None:
        """SIGKILL."""
        self.ready = False
        self.life.kill()

    def alarms(self) -> list[str]:
        """The log lines that no process should write, each with the lines that followed."""
        lines = self.life.lines
        return [
            " | ".join(lines[number : number + SHOWN]) for number, line in enumerate(lines) if is_alarm(line)
        ]


def start(
    site: server_process.Site,
    pool: StandInPool,
    pool_at: str,
    door: tuple[str, int] | None,
    label: str,
    mutant: str = "",
    clock_s: float = 0.0,
) -> Version:
    """A version that reaches its pool at `pool_at`; `label` tells its files from those of others there."""
    control = None if door is None else "{}:{}".format(*door)
    life = server_process.start(
        replace(site, pool=pool_at, control=control, label=label), mutant=mutant, clock_s=clock_s
    )
    return Version(life, pool, door)
