"""Versions of one server: processes of the real program, each with its own worker pool.

During an upgrade two versions serve side by side, on the same address and in the same folder.
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

# Maximum time until a new version reports readiness.
READY_TIMEOUT_S = 6.0
READY_POLL_S = 0.01
# Log lines of failures within the program: an unhandled exception, and the end of the store's writer.
ALARMS = (re.compile("Traceback"), log_events.pattern(log_events.STORE_WRITER_ENDED))
# Number of lines that are reported per alarm, starting with the alarm.
ALARM_CONTEXT_LINES = 30


def is_alarm(line: str) -> bool:
    """Whether this log line reports a failure within the program."""
    return any(alarm.search(line) is not None for alarm in ALARMS)


@dataclass(eq=False)
class ServerVersion:
    """One process with its stand-in worker pool and the address of its administration endpoint."""

    server: server_process.ServerProcess
    pool: StandInPool
    administration: tuple[str, int] | None
    ready: bool = False

    def await_ready(self) -> float | None:
        """Wait for readiness; returns the milliseconds since its start, None if it was not ready in time."""
        assert self.administration is not None
        deadline = self.server.started_at + READY_TIMEOUT_S
        while time.monotonic() < deadline and self.server.alive():
            requests = OperatorRequests()
            send_request(self.administration, "GET", "/-/ready", 200, requests)
            if not requests.failures:
                self.ready = True
                return (time.monotonic() - self.server.started_at) * 1e3
            time.sleep(READY_POLL_S)
        return None

    def shut_down(self, wait_s: float) -> int:
        """Send SIGTERM and return its exit status; a process that does not exit in time is killed."""
        self.ready = False
        try:
            return self.server.stop(wait_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def kill(self) -> None:
        """Send SIGKILL and wait for its exit."""
        self.ready = False
        self.server.kill()

    def alarms(self) -> list[str]:
        """All alarms among its log lines, each with the lines that follow it."""
        lines = self.server.lines
        return [
            " | ".join(lines[number : number + ALARM_CONTEXT_LINES])
            for number, line in enumerate(lines)
            if is_alarm(line)
        ]


def start(
    configuration: server_process.ServerConfiguration,
    pool: StandInPool,
    pool_address: str,
    administration: tuple[str, int] | None,
    label: str,
    mutant: str = "",
    clock_s: float = 0.0,
) -> ServerVersion:
    """Start a version that connects to its pool at `pool_address`.

    `administration` is the address of its administration endpoint. `label` distinguishes its files from those
    of other versions in the folder.
    """
    control = None if administration is None else "{}:{}".format(*administration)
    server = server_process.start(
        replace(configuration, pool=pool_address, control=control, label=label),
        mutant=mutant,
        clock_s=clock_s,
    )
    return ServerVersion(server, pool, administration)
