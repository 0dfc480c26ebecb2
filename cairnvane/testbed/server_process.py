"""Lives of the real program: started among stand-ins, watched, killed."""

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

START_WAIT_S = 20.0
# An order is taken at once, but by a process that may have little of a core.
ORDER_WAIT_S = 5.0
_RECOVERED = log_events.pattern(log_events.RESULTS_RECOVERED)
_LISTENING = log_events.pattern(log_events.LISTENING)


@dataclass
class Site:
    """The files that a server is started from."""

    folder: Path
    pool: str
    vault: str
    roster: str
    settings: dict[str, Any]
    operator: str | None = None  # the text of the operator's file
    stop_ms: int = 3_000
    listen: str = "127.0.0.1:0"
    control: str | None = None  # the operators' door
    name: str = "lab"
    label: str = ""  # in the name of its configuration, where several lives are there at once

    def write(self) -> dict[str, str]:
        """Write them; the environment that names them."""
        config = self.folder / f"config{self.label}.json"
        door = {} if self.control is None else {"control": self.control}
        config.write_text(
            json.dumps(
                door
                | {
                    "name": self.name,
                    "listen": self.listen,
                    "pool": self.pool,
                    "vault": self.vault,
                    "roster": self.roster,
                    "seed": "1f",
                    "stop_ms": self.stop_ms,
                    "settings": self.settings,
                }
            )
        )
        environment = {"LB_CONFIG": str(config), "TMPDIR": str(self.folder)}
        if self.operator is not None:
            path = self.folder / f"operator{self.label}.yaml"
            path.write_text(self.operator)
            environment["CAIRNVANE_OPERATOR"] = str(path)
        return environment


@dataclass
class Life:
    """One process."""

    process: subprocess.Popen[str]
    began: float
    port: int = 0
    lines: list[str] = field(default_factory=list)
    said_at: list[float] = field(default_factory=list)  # when each was read
    recovery_ms: float | None = None
    _said: threading.Event = field(default_factory=threading.Event)

    def watch(self) -> None:
        """Read what it says until it ends."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.said_at.append(time.monotonic())
            self.lines.append(line.rstrip())
            if (found := _LISTENING.search(line)) is not None:
                self.port = int(found[3])
                self._said.set()
            if (found := _RECOVERED.search(line)) is not None:
                self.recovery_ms = float(found[4])
        self._said.set()

    def listens(self) -> bool:
        """Wait until it does; False if it ended first."""
        return self._said.wait(START_WAIT_S) and self.port > 0

    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    def wait(self, seconds: float) -> None:
        """Until it has ended, but no longer than this."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(seconds)

    def order(self, folder: Path, what: str, seconds: float) -> None:
        """A fault within the process; see `instrumented_server.FAULTS`. Returns once it begins."""
        path = instrumented_server.order_file(folder, self.process.pid)
        path.write_text(json.dumps([what, seconds]))
        self.process.send_signal(instrumented_server.ORDER)
        end = time.monotonic() + ORDER_WAIT_S
        while path.exists() and self.alive() and time.monotonic() < end:
            time.sleep(0.005)

    def kill(self) -> None:
        """SIGKILL, and its end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self, wait_s: float) -> int:
        """SIGTERM, and its status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(wait_s)


def start(site: Site, kill: str = "", mutant: str = "", clock_s: float = 0.0) -> Life:
    """A life of the server, killed at the named point if one is given; its Unix time is off by `clock_s`."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "CAIRN"))}
    environment |= site.write()
    environment |= {
        instrumented_server.KILL: kill,
        instrumented_server.MUTANT: mutant,
        instrumented_server.CLOCK: str(clock_s),
    }
    environment[instrumented_server.RIG] = str(os.getpid())
    process = subprocess.Popen(
        [sys.executable, "-m", "cairnvane.testbed.faults.instrumented_server"],
        env=environment,
        stderr=subprocess.PIPE,
        text=True,
    )
    life = Life(process, time.monotonic())
    threading.Thread(target=life.watch, daemon=True).start()
    return life
