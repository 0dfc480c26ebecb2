"""One server of the fleet: its processes, its pool, and the links that all it talks to goes through."""

from __future__ import annotations

import signal
import subprocess
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .. import program
from ..pool import StandInPool
from .links import Network, TcpLink
from .peers import Peers
from .scenario import Scenario

STOP_MS = 3_000
# What a process may say that no process should.
ALARMS = ("Traceback", "has ended:")
CALLING = frozenset({"price-view", "bid-commit"})


def settings(told: Scenario) -> dict[str, Any]:
    """What each server is told, as the platform does: the classes, the machine, its share of the vault."""
    def cls(name: str, worth: float, aim_ms: int, patience_ms: int, **more: Any) -> dict[str, Any]:
        times = {"OnTimeUs": aim_ms * 1_000, "GiveUpUs": patience_ms * 1_000}
        return {"Name": name, "Worth": worth} | times | more

    keyed = {"Repeat": "guarded", "WindowUs": 17_364_000, "LateWorth": 0.2}
    return {
        "Classes": [cls("price-view", 1.0, 1_400, 3_400), cls("bid-update", 2.0, 2_300, 5_800),
                    cls("bid-commit", 3.0, 2_300, 5_800, **keyed)],
        "Extra": {
            "Cores": told.server.cores, "HeapKb": 200_000.0, "RunFactor": 16.0, "KeyKb": 1.0, "Halt": "drop",
            "Say": "credit", "Downstream": "shared", "FairCalls": told.vault.slots / told.servers,
            "CallsOverUs": 5_000_000, "LingerUs": 0, "ClientsTotal": told.load.balancers,
            "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"], "TellsGone": True,
        },
        "Guarantees": {"TipMultiple": 8.0, "StopSendingWithinUs": 2_500_000},
        "Limits": {"MaxRetryAfterUs": 1_000_000},
    }


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Node:
    """Safe to use from any thread; what is done to it is done by one."""

    def __init__(
        self, told: Scenario, number: int, seed: int, folder: Path, network: Network, vault: str, roster: str,
        event: Callable[..., None], refused: Callable[[], None], peers: Peers | None,
    ) -> None:
        """`refused`: a balancer's connection was refused by a process that is there; from any thread."""
        self.name = told.names[number]
        self._network, self._event = network, event
        half_ms = told.server.work_ms / 2
        self.pool = StandInPool(
            seed * 100 + number, CALLING, (half_ms * 0.7, half_ms * 1.3), cores=told.server.cores)
        self._port: int | None = None  # of the process that listens
        self.links = {"balancers": network.add(
            TcpLink(f"{seed} {self.name} balancers", self._to, refused))}
        for name, address in (("pool", self.pool.address), ("vault", vault), ("roster", roster)):
            to = _address(address)
            self.links[name] = network.add(TcpLink(f"{seed} {self.name} {name}", lambda to=to: to))  # type: ignore[misc]
        folder.mkdir()
        near = {name: f"127.0.0.1:{link.port}" for name, link in self.links.items()}
        text = told.operator + ("" if peers is None else peers.section(number))
        self.door = peers.doors[number] if peers is not None else None
        self._site = program.Site(
            folder, near["pool"], near["vault"], near["roster"], settings(told), text or None,
            stop_ms=STOP_MS, name=self.name, control=self.door)
        self.lives: list[program.Life] = []
        self.generation = 0  # counts lives: a try belongs to the one that it was sent to
        self.killed: set[int] = set()  # generations that did not end in order, by the scenario's will
        self.statuses: list[int] = []  # with which others ended
        self.trouble: list[str] = []
        network.listen(self.links["balancers"], False)

    @property
    def port(self) -> int:
        """Where balancers find it."""
        return self.links["balancers"].port

    @property
    def up(self) -> bool:
        """A process serves."""
        return self._port is not None

    def _to(self) -> tuple[str, int] | None:
        return ("127.0.0.1", self._port) if self._port is not None else None

    def start(self) -> None:
        """A new life, with a pool that has only just started; returns once it listens."""
        if self.lives and self.lives[-1].alive():
            return
        if self.lives:
            self.pool.restart()
        life = program.start(self._site)
        self.lives.append(life)
        self.generation += 1
        if not life.listens():
            self.trouble.append(f"{self.name} did not start: " + " | ".join(life.lines[-3:]))
            return
        self._port = life.port
        self._network.listen(self.links["balancers"], True)
        threading.Thread(target=self._watch, args=(life, self.generation), daemon=True).start()
        self._event("started", who=self.name, life=self.generation)

    def _watch(self, life: program.Life, generation: int) -> None:
        """Until it ends; what should not have ended is trouble."""
        status = life.process.wait()
        self._down(life)
        self._event("ended", who=self.name, life=generation, status=status)
        if generation not in self.killed:
            self.statuses.append(status)
            if status != 0:
                self.trouble.append(f"{self.name} ended with {status}: " + " | ".join(life.lines[-2:]))

    def _down(self, life: program.Life) -> None:
        if self.lives[-1] is life and self._port is not None:
            self._port = None
            self._network.listen(self.links["balancers"], False)

    def kill(self) -> None:
        """SIGKILL, as a machine that is lost."""
        life = self.lives[-1]
        if life.alive():
            self.killed.add(self.generation)
            life.kill()
            self._down(life)

    def stop(self, stopped: bool) -> None:
        """SIGSTOP, or SIGCONT."""
        if self.lives[-1].alive():
            self.lives[-1].process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def leave(self) -> None:
        """SIGTERM; it drains, and ends by itself."""
        if self.lives[-1].alive():
            self.lives[-1].process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        """At the end of all: in order, and for good."""
        life = self.lives[-1]
        if life.alive():
            life.process.send_signal(signal.SIGCONT)
            try:
                life.stop(STOP_MS / 1e3 + 2)
            except subprocess.TimeoutExpired:
                self.trouble.append(f"{self.name} did not end within its time")
                self.killed.add(self.generation)
                life.kill()
        self.pool.close()
        for life in self.lives:
            self.trouble += [f"{self.name}: {line}" for line in life.lines if any(a in line for a in ALARMS)]
