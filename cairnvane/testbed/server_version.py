"""Versions of one server: processes of the real program, each with a worker pool of its own.

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
from .faults.hostile_clients import OperatorRequests, send_request
from .stand_ins.worker_pool import StandInPool

# A new version has to report readiness within this time.
READY_TIMEOUT_S = 6.0
READY_POLL_S = 0.01
# Log lines that no process should write: an unhandled error, and the end of the store's writer.
ALARMS = (re.compile("Traceback"), log_events.pattern(log_events.STORE_WRITER_ENDED))
# Number of lines that are reported from an alarm on.
ALARM_CONTEXT_LINES = 30


def is_alarm(line: str) -> bool:
    """Whether no process should write this log line."""
    return any(alarm.search(line) is not None for alarm in ALARMS)


@dataclass(eq=False)
class ServerVersion:
    """One process, with the stand-in worker pool and the administration endpoint that belong to it."""

    server: server_process.Life
    pool: StandInPool
    administration: tuple[str, int] | None
    ready: bool = False

    def await_ready(self) -> float | None:
        """Milliseconds from its start until it reports readiness; None if it does not in time."""
        assert self.administration is not None
        deadline = self.server.began + READY_TIMEOUT_S
        while time.monotonic() < deadline and self.server.alive():
            requests = OperatorRequests()
            send_request(self.administration, "GET", "/-/ready", 200, requests)
            if not requests.failures:
                self.ready = True
                return (time.monotonic() - self.server.began) * 1e3
            time.sleep(READY_POLL_S)
        return None

    def shut_down(self, wait_s: float) -> int:
        """Send SIGTERM, and wait for its exit status; a process that does not end in time is killed."""
        self.ready = False
        try:
            return self.server.stop(wait_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def kill(self) -> None:
        """Send SIGKILL, and wait for its end."""
        self.ready = False
        self.server.kill()

    def alarms(self) -> list[str]:
        """The log lines that no process should write, each with the lines that followed."""
        lines = self.server.lines
        return [
            " | ".join(lines[number : number + ALARM_CONTEXT_LINES])
            for number, line in enumerate(lines)
            if is_alarm(line)
        ]


def start(
    site: server_process.Site,
    pool: StandInPool,
    pool_at: str,
    administration: tuple[str, int] | None,
    label: str,
    mutant: str = "",
    clock_s: float = 0.0,
) -> ServerVersion:
    """Start a version that reaches its pool at the address `pool_at`.

    `administration` is the address of its administration endpoint. `label` distinguishes its files from those
    of other versions in the folder.
    """
    control = None if administration is None else "{}:{}".format(*administration)
    server = server_process.start(
        replace(site, pool=pool_at, control=control, label=label), mutant=mutant, clock_s=clock_s
    )
    return ServerVersion(server, pool, administration)
