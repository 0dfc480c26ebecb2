"""One server of the fleet: its versions, their pools, and the links that all it talks to goes through."""

from __future__ import annotations

import signal
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .. import server_process, server_version
from ..server_version import Version
from ..stand_ins.sockets import HOST, free_ports
from ..stand_ins.worker_pool import Facts, StandInPool
from .links import Network, TcpLink
from .peers import Peers
from .scenario import Scenario

STOP_MS = 3_000
CALLING = frozenset({"price-view", "bid-commit"})


def settings(told: Scenario) -> dict[str, Any]:
    """What each server is told, as the platform does: the classes, the machine, its share of the vault."""

    def cls(name: str, worth: float, aim_ms: int, patience_ms: int, **more: Any) -> dict[str, Any]:
        times = {"OnTimeUs": aim_ms * 1_000, "GiveUpUs": patience_ms * 1_000}
        return {"Name": name, "Worth": worth} | times | more

    keyed = {"Repeat": "guarded", "WindowUs": 17_364_000, "LateWorth": 0.2}
    return {
        "Classes": [
            cls("price-view", 1.0, 1_400, 3_400),
            cls("bid-update", 2.0, 2_300, 5_800),
            cls("bid-commit", 3.0, 2_300, 5_800, **keyed),
        ],
        "Extra": {
            "Cores": told.server.cores,
            "HeapKb": 200_000.0,
            "RunFactor": 16.0,
            "KeyKb": 1.0,
            "Halt": "drop",
            "Say": "credit",
            "Downstream": "shared",
            "FairCalls": told.vault.slots / told.servers,
            "CallsOverUs": 5_000_000,
            "LingerUs": 0,
            "ClientsTotal": told.load.balancers,
            "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "TellsGone": True,
        },
        "Guarantees": {"TipMultiple": 8.0, "StopSendingWithinUs": 2_500_000},
        "Limits": {"MaxRetryAfterUs": 1_000_000},
    }


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class _Slot:
    """A place for a version, with a pool that is used again: two by turns where a server is upgraded."""

    def __init__(self, number: int, pool: StandInPool, at: str, operator: str | None) -> None:
        self.label, self.pool, self.at, self.operator = f"-{number}", pool, at, operator
        self.used = False
        self.line: dict[int, int] = {}  # by the pool's life, the line of versions that ran in it


class Node:
    """Safe to use from any thread; what is done to it is done by one."""

    def __init__(
        self,
        told: Scenario,
        number: int,
        seed: int,
        folder: Path,
        network: Network,
        vault: str,
        roster: str,
        event: Callable[..., None],
        refused: Callable[[], None],
        peers: Peers | None,
    ) -> None:
        """`refused`: a balancer's connection was refused by a process that is there; from any thread."""
        self.name, self._number = told.names[number], number
        self._network, self._event, self._peers = network, event, peers
        self._port: int | None = None  # of the process that listens
        self.links: dict[str, list[TcpLink]] = {
            "balancers": [network.add(TcpLink(f"{seed} {self.name} balancers", self._to, refused))]
        }
        for name, address in (("vault", vault), ("roster", roster)):
            self.links[name] = [self._link(f"{seed} {self.name} {name}", address)]
        self.links["pool"] = []
        upgraded = self.name in told.upgraded
        self._slots = []
        half_ms = told.server.work_ms / 2
        for slot in range(1 + upgraded):
            pool = StandInPool(
                seed * 100 + number + 50 * slot,
                CALLING,
                (half_ms * 0.7, half_ms * 1.3),
                cores=told.server.cores,
            )
            link = self._link(f"{seed} {self.name} pool{slot or ''}", pool.address)
            self.links["pool"].append(link)
            text = told.operator + ("" if peers is None else peers.section(number, slot))
            self._slots.append(_Slot(slot, pool, f"{HOST}:{link.port}", text or None))
        folder.mkdir()
        self._has_door = upgraded or peers is not None
        self._site = server_process.Site(
            folder,
            "",
            f"{HOST}:{self.links['vault'][0].port}",
            f"{HOST}:{self.links['roster'][0].port}",
            settings(told),
            stop_ms=STOP_MS,
            name=self.name,
            listen=f"{HOST}:{free_ports(1)[0]}",
        )
        self.versions: list[Version] = []
        self.line = 0  # counts lines of versions that took over from each other: keys are kept along one
        self._killed: set[Version] = set()  # did not end in order, by the scenario's will
        self.trouble: list[str] = []
        network.listen(self.links["balancers"][0], False)

    def _link(self, seed: str, address: str) -> TcpLink:
        return self._network.add(TcpLink(seed, lambda: _address(address)))

    @property
    def port(self) -> int:
        """Where balancers find it."""
        return self.links["balancers"][0].port

    @property
    def up(self) -> bool:
        """A process serves."""
        return self._port is not None

    def _to(self) -> tuple[str, int] | None:
        return (HOST, self._port) if self._port is not None else None

    def _alive(self) -> list[Version]:
        return [version for version in self.versions if version.life.alive()]

    # --- starts

    def _start(self, slot: _Slot, clock_s: float = 0.0) -> Version | None:
        """A version in this place; None if it did not come to listen."""
        if slot.used:
            slot.pool.restart()
        slot.used, slot.line[slot.pool.lives] = True, self.line
        self._site.operator = slot.operator
        door = (HOST, free_ports(1)[0]) if self._has_door else None
        version = server_version.start(self._site, slot.pool, slot.at, door, slot.label, clock_s=clock_s)
        self.versions.append(version)
        if not version.life.listens():
            self.trouble.append(f"{self.name} did not start: " + " | ".join(version.life.lines[-3:]))
            return None
        threading.Thread(target=self._watch, args=(version,), daemon=True).start()
        return version

    def start(self, clock_s: float = 0.0) -> None:
        """A new life, with a pool that has only just started; returns once it listens."""
        if self._alive():
            return
        self.line += 1
        if (version := self._start(self._slots[0], clock_s)) is not None:
            self._serves(version)
            self._port = version.life.port
            self._network.listen(self.links["balancers"][0], True)

    def _serves(self, version: Version) -> None:
        if self._peers is not None and version.door is not None:
            self._peers.doors[self._number] = version.door
        self._event("started", who=self.name, life=self.versions.index(version) + 1)

    def upgrade(self, clock: Callable[[], float]) -> tuple[float, float] | None:
        """A new version beside the one that serves, which then leaves; from when until when it did, by this
        clock. None if there was nothing to take over from, or nobody who did."""
        old = self.versions[-1]
        if not old.life.alive():
            return None
        slot = next(slot for slot in self._slots if slot.pool is not old.pool)
        new = self._start(slot)
        if new is None or new.await_ready() is None:
            self.trouble.append(f"{self.name}: its new version was not ready in time")
            if new is not None and new.life.alive():
                self._killed.add(new)
                new.kill()
            self.versions.sort(key=lambda version: version is old)  # which goes on
            return None
        self._serves(new)
        began = clock()
        old.life.process.send_signal(signal.SIGTERM)
        old.life.process.wait()
        return began, clock()

    # --- ends

    def _watch(self, version: Version) -> None:
        """Until it ends; what should not have ended is trouble."""
        status = version.life.process.wait()
        if self.versions[-1] is version and self._port is not None:
            self._port = None
            self._network.listen(self.links["balancers"][0], False)
        self._event("ended", who=self.name, life=self.versions.index(version) + 1, status=status)
        if version not in self._killed and status != 0:
            self.trouble.append(f"{self.name} ended with {status}: " + " | ".join(version.life.lines[-2:]))

    def kill(self) -> None:
        """SIGKILL, as a machine that is lost."""
        for version in self._alive():
            self._killed.add(version)
            version.kill()

    def stop(self, stopped: bool) -> None:
        """SIGSTOP, or SIGCONT."""
        for version in self._alive():
            version.life.process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def leave(self) -> None:
        """SIGTERM; it drains, and ends by itself."""
        for version in self._alive():
            version.life.process.send_signal(signal.SIGTERM)

    def order(self, what: str, seconds: float) -> None:
        """A fault within its processes; see `instrumented_server`."""
        for version in self._alive():
            version.life.order(self._site.folder, what, seconds)

    def end(self) -> None:
        """At the end of all: in order, and for good."""
        for version in self._alive():
            version.life.process.send_signal(signal.SIGCONT)
            if version.leave(STOP_MS / 1e3 + 2) == -signal.SIGKILL:
                self._killed.add(version)
                self.trouble.append(f"{self.name} did not end within its time")
        for slot in self._slots:
            slot.pool.close()
        self.trouble += [f"{self.name}: {line}" for version in self.versions for line in version.alarms()]

    # --- what was seen

    @property
    def crowded(self) -> int:
        """The most runs that wanted a core of it at a time."""
        return max(slot.pool.most_crowded for slot in self._slots)

    def facts(self) -> dict[bytes, Facts]:
        """What its pools saw, as those of one server: runs by line of versions, over which keys are kept."""
        seen: dict[bytes, Facts] = {}
        for slot in self._slots:
            for body, one in slot.pool.facts.items():
                whole = seen.setdefault(body, Facts(by_life=Counter()))
                whole.runs += one.runs
                whole.results += one.results
                whole.uids |= one.uids
                for life, runs in one.by_life.items():
                    whole.by_life[slot.line[life]] += runs
        return seen
