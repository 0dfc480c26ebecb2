"""Configures, starts, observes (by log lines) and kills processes of the real program."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .. import log_events
from .faults import instrumented_server

# Maximum time until a process listens.
START_TIMEOUT_S = 20.0
# Maximum time until a process executes a fault order: immediately, unless it gets little CPU time.
ORDER_TIMEOUT_S = 5.0
ORDER_POLL_S = 0.005
_LISTENING = log_events.pattern(log_events.LISTENING)
_LISTENING_PORT_GROUP = 3
_RECOVERED = log_events.pattern(log_events.RESULTS_RECOVERED)
_RECOVERED_MS_GROUP = 4
# Prefixes of environment variables that a server must not inherit from the testbed.
_SERVER_VARIABLE_PREFIXES = ("LB_", "CAIRN")


@dataclass
class ServerConfiguration:
    """Configuration of a server, and the folder to which its files are written.

    `pool`, `vault` and `roster` are the addresses of the worker pool, the dependency and the service
    registry; `control` is that of the administration endpoint.
    """

    folder: Path
    pool: str
    vault: str
    roster: str
    settings: dict[str, Any]
    operator: str | None = None  # the text of the operator's file
    stop_ms: int = 3_000
    listen: str = "127.0.0.1:0"
    control: str | None = None
    name: str = "lab"
    label: str = ""  # part of the file names that distinguishes processes sharing the folder

    def write(self) -> dict[str, str]:
        """Write the files, and return the environment variables that name them."""
        config = self.folder / f"config{self.label}.json"
        config.write_text(json.dumps(self._configuration()))
        environment = {"LB_CONFIG": str(config), "TMPDIR": str(self.folder)}
        if self.operator is not None:
            path = self.folder / f"operator{self.label}.yaml"
            path.write_text(self.operator)
            environment["CAIRNVANE_OPERATOR"] = str(path)
        return environment

    def _configuration(self) -> dict[str, Any]:
        administration = {} if self.control is None else {"control": self.control}
        return administration | {
            "name": self.name,
            "listen": self.listen,
            "pool": self.pool,
            "vault": self.vault,
            "roster": self.roster,
            "seed": "1f",
            "stop_ms": self.stop_ms,
            "settings": self.settings,
        }


@dataclass
class ServerProcess:
    """One process of the program, with its log lines so far."""

    process: subprocess.Popen[str]
    started_at: float  # on the monotonic clock
    port: int = 0  # its listening port; 0 until it listens
    configuration: Path | None = None  # the file that it rereads on SIGHUP
    lines: list[str] = field(default_factory=list)
    line_times: list[float] = field(default_factory=list)  # when each line was read, on the monotonic clock
    recovery_ms: float | None = None
    # Set once it listens or has exited.
    _listening_or_ended: threading.Event = field(default_factory=threading.Event)

    def watch(self) -> None:
        """Read its log lines until it exits."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.line_times.append(time.monotonic())
            self.lines.append(line.rstrip())
            self._interpret(line)
        self._listening_or_ended.set()

    def _interpret(self, line: str) -> None:
        if (listening := _LISTENING.search(line)) is not None:
            self.port = int(listening[_LISTENING_PORT_GROUP])
            self._listening_or_ended.set()
        if (recovered := _RECOVERED.search(line)) is not None:
            self.recovery_ms = float(recovered[_RECOVERED_MS_GROUP])

    def listens(self) -> bool:
        """Wait until it listens; False if it exits first or does not listen in time."""
        return self._listening_or_ended.wait(START_TIMEOUT_S) and self.port > 0

    def alive(self) -> bool:
        """Whether it has not exited."""
        return self.process.poll() is None

    def wait(self, seconds: float) -> None:
        """Wait up to `seconds` for its exit."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(seconds)

    def order(self, folder: Path, fault: str, seconds: float) -> None:
        """Inject a fault into the process, one of `instrumented_server.FAULTS`; return once it begins."""
        path = instrumented_server.order_file(folder, self.process.pid)
        path.write_text(json.dumps([fault, seconds]))
        self.process.send_signal(instrumented_server.ORDER_SIGNAL)
        deadline = time.monotonic() + ORDER_TIMEOUT_S
        while path.exists() and self.alive() and time.monotonic() < deadline:
            time.sleep(ORDER_POLL_S)

    def reload(self, torn: bool) -> None:
        """Send SIGHUP; `torn`: the file holds half of the configuration until the process logs a line."""
        assert self.configuration is not None
        whole = self.configuration.read_bytes()
        lines_before = len(self.lines)
        if torn:
            self.configuration.write_bytes(whole[: len(whole) // 2])
        self.process.send_signal(signal.SIGHUP)
        deadline = time.monotonic() + ORDER_TIMEOUT_S
        while len(self.lines) == lines_before and self.alive() and time.monotonic() < deadline:
            time.sleep(ORDER_POLL_S)
        if torn:
            self.configuration.write_bytes(whole)

    def kill(self) -> None:
        """Send SIGKILL and wait for its exit."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self, wait_s: float) -> int:
        """Send SIGTERM and return the exit status; `subprocess.TimeoutExpired` after `wait_s` seconds."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(wait_s)


def start(
    configuration: ServerConfiguration, kill: str = "", mutant: str = "", clock_s: float = 0.0
) -> ServerProcess:
    """Start the instrumented server; `instrumented_server` describes `kill`, `mutant` and `clock_s`."""
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith(_SERVER_VARIABLE_PREFIXES)
    }
    environment |= configuration.write()
    environment |= {
        instrumented_server.KILL_VARIABLE: kill,
        instrumented_server.MUTANT_VARIABLE: mutant,
        instrumented_server.CLOCK_VARIABLE: str(clock_s),
        instrumented_server.TESTBED_PID_VARIABLE: str(os.getpid()),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", instrumented_server.__name__],
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    )
    server = ServerProcess(process, time.monotonic(), configuration=Path(environment["LB_CONFIG"]))
    threading.Thread(target=server.watch, name="server log reader", daemon=True).start()
    return server
