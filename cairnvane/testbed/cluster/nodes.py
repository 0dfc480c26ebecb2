"""One server of the cluster: its versions, their worker pools, and the links to all its peers."""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from .. import server_process, server_version
from ..server_version import ServerVersion
from ..stand_ins.sockets import HOST, free_ports
from ..stand_ins.worker_pool import RunRecord, StandInPool
from .links import Network, TcpLink
from .peers import Peers
from .scenario import Scenario

STOP_MS = 3_000
# Time that a server may take to exit beyond its own timeout for a graceful shutdown.
STOP_MARGIN_S = 2
# Request classes that call the dependency.
CALLING_CLASSES = frozenset({"price-view", "bid-commit"})
# A machine survives this mean number of runnable runs per core over the window.
MAX_OVERSUBSCRIPTION = 8.0
OVERSUBSCRIPTION_WINDOW_S = 1.5
# Memory of a running request, as a multiple of that of a queued one.
RUNNING_MEMORY_FACTOR = 16.0
# The dependency survives a mean number of calls in flight up to its number of slots over this window.
CALLS_WINDOW_S = 5.0
# Maximum time that an abandoned call stays in flight at the dependency.
MAX_ABANDONED_CALL_S = 0.1
# The work of a run is drawn between these multiples of its mean.
MIN_WORK_FACTOR = 0.7
MAX_WORK_FACTOR = 1.3


def _request_class(
    name: str, weight: float, objective_ms: int, timeout_ms: int, **further_keys: Any
) -> dict[str, Any]:
    times = {"OnTimeUs": objective_ms * 1_000, "GiveUpUs": timeout_ms * 1_000}
    return {"Name": name, "Worth": weight} | times | further_keys


def settings(scenario: Scenario) -> dict[str, Any]:
    """The settings of each server in the platform's format: classes, machine and share of the dependency."""
    keyed = {"Repeat": "guarded", "WindowUs": 17_364_000, "LateWorth": 0.2}
    return {
        "Classes": [
            _request_class("price-view", 1.0, 1_400, 3_400),
            _request_class("bid-update", 2.0, 2_300, 5_800),
            _request_class("bid-commit", 3.0, 2_300, 5_800, **keyed),
        ],
        "Extra": {
            "Cores": scenario.server.cores,
            "HeapKb": scenario.server.memory_kb,
            "RunFactor": RUNNING_MEMORY_FACTOR,
            "KeyKb": 1.0,
            "Halt": "drop",
            "Say": "credit",
            "Downstream": "shared",
            "FairCalls": scenario.vault.slots / scenario.servers,
            "CallsOverUs": int(CALLS_WINDOW_S * 1e6),
            "LingerUs": int(MAX_ABANDONED_CALL_S * 1e6),
            "ClientsTotal": scenario.load.balancers,
            "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "TellsGone": True,
        },
        "Guarantees": {
            "TipMultiple": MAX_OVERSUBSCRIPTION,
            "OverloadForUs": int(OVERSUBSCRIPTION_WINDOW_S * 1e6),
            "StopSendingWithinUs": 2_500_000,
        },
        "Limits": {"MaxRetryAfterUs": 1_000_000},
    }


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass
class _Slot:
    """A worker pool that successive versions reuse; an upgraded server alternates between two slots."""

    label: str
    pool: StandInPool
    pool_address: str  # of the link to the pool
    operator: str | None  # the text of the operator's file
    used: bool = False
    # The line of versions that used the pool, by the pool's incarnation.
    line_by_incarnation: dict[int, int] = field(default_factory=dict)


class Handover(NamedTuple):
    """When the old version was asked to shut down and when it had exited, in seconds of the load."""

    began_at: float
    ended_at: float


@dataclass(frozen=True)
class NodeEnvironment:
    """Objects that all servers of a cluster share."""

    network: Network
    vault: str  # address
    roster: str  # address
    event: Callable[..., None]  # records an event with its details
    peers: Peers | None


class Node:
    """One server. Any thread may read it; only one thread at a time may change it."""

    def __init__(
        self,
        scenario: Scenario,
        number: int,
        seed: int,
        folder: Path,
        environment: NodeEnvironment,
        on_refused: Callable[[], None],
        mutant: str = "",
    ) -> None:
        """`on_refused` is called, in any thread, when a running process refuses a balancer's connection.

        `mutant`: see `instrumented_server`.
        """
        self._mutant = mutant
        # Guards the configuration file, which must be complete while a process starts.
        self._configuration_lock = threading.Lock()
        self.name = scenario.names[number]
        self.versions: list[ServerVersion] = []
        # Number of the current line of versions, which take over from each other and keep idempotency keys.
        self.version_line = 0
        self.trouble: list[str] = []
        self._scenario = scenario
        self._number = number
        self._seed = seed
        self._network = environment.network
        self._event = environment.event
        self._peers = environment.peers
        self._port: int | None = None  # of the listening process
        self._is_reachable = False  # whether the balancers' link was opened after the last start
        self._killed: set[ServerVersion] = set()  # killed by the testbed: their exit status is expected
        self.links = self._create_links(environment, on_refused)
        upgraded = self.name in scenario.upgraded
        self._slots = [self._create_slot(slot) for slot in range(1 + upgraded)]
        folder.mkdir()
        self._has_administration = upgraded or self._peers is not None
        self._configuration = self._create_configuration(folder)
        self._network.set_listening(self.links["balancers"][0], False)

    def _create_links(
        self, environment: NodeEnvironment, on_refused: Callable[[], None]
    ) -> dict[str, list[TcpLink]]:
        """The links by their other end; links to pools are added when their slots are created."""
        from_balancers = TcpLink(f"{self._seed} {self.name} balancers", self._serving_address, on_refused)
        return {
            "balancers": [self._network.add(from_balancers)],
            "vault": [self._link("vault", environment.vault)],
            "roster": [self._link("roster", environment.roster)],
            "pool": [],
        }

    def _link(self, end: str, address: str) -> TcpLink:
        return self._network.add(TcpLink(f"{self._seed} {self.name} {end}", lambda: _address(address)))

    def _create_slot(self, number: int) -> _Slot:
        scenario = self._scenario
        mean_half_ms = scenario.server.work_ms / 2
        pool = StandInPool(
            self._seed * 100 + self._number + 50 * number,
            CALLING_CLASSES,
            (mean_half_ms * MIN_WORK_FACTOR, mean_half_ms * MAX_WORK_FACTOR),
            cores=scenario.server.cores,
        )
        link = self._link(f"pool{number or ''}", pool.address)
        self.links["pool"].append(link)
        members = "" if self._peers is None else self._peers.operator_section(self._number, number)
        operator = scenario.operator + members
        return _Slot(f"-{number}", pool, f"{HOST}:{link.port}", operator or None)

    def _create_configuration(self, folder: Path) -> server_process.ServerConfiguration:
        return server_process.ServerConfiguration(
            folder,
            "",
            f"{HOST}:{self.links['vault'][0].port}",
            f"{HOST}:{self.links['roster'][0].port}",
            settings(self._scenario),
            stop_ms=STOP_MS,
            name=self.name,
            listen=f"{HOST}:{free_ports(1)[0]}",
        )

    @property
    def port(self) -> int:
        """The port to which balancers connect."""
        return self.links["balancers"][0].port

    @property
    def up(self) -> bool:
        """Whether a process serves and balancers can reach it."""
        return self._port is not None and self._is_reachable

    def _serving_address(self) -> tuple[str, int] | None:
        return (HOST, self._port) if self._port is not None else None

    def _running(self) -> list[ServerVersion]:
        return [version for version in self.versions if version.server.alive()]

    def _add_trouble(self, version: ServerVersion, problem: str, last_lines: int) -> None:
        self.trouble.append(f"{self.name} {problem}: " + " | ".join(version.server.lines[-last_lines:]))

    # --- starts

    def _start_version(self, slot: _Slot, clock_s: float = 0.0) -> ServerVersion | None:
        """Start a version in this slot; None if it does not listen in time."""
        if slot.used:
            slot.pool.restart()
        slot.used = True
        slot.line_by_incarnation[slot.pool.incarnation] = self.version_line
        with self._configuration_lock:
            version = self._launch(slot, clock_s)
            self.versions.append(version)
            listens = version.server.listens()
        if not listens:
            self._add_trouble(version, "did not start", 3)
            return None
        threading.Thread(target=self._watch, args=(version,), name="server watcher", daemon=True).start()
        return version

    def _launch(self, slot: _Slot, clock_s: float) -> ServerVersion:
        self._configuration.operator = slot.operator
        administration = (HOST, free_ports(1)[0]) if self._has_administration else None
        return server_version.start(
            self._configuration,
            slot.pool,
            slot.pool_address,
            administration,
            slot.label,
            mutant=self._mutant,
            clock_s=clock_s,
        )

    def start(self, clock_s: float = 0.0) -> None:
        """Start a new incarnation with a restarted pool; return once it listens."""
        if self._running():
            return
        self.version_line += 1
        if (version := self._start_version(self._slots[0], clock_s)) is not None:
            self._serve_with(version)
            self._port = version.server.port
            self._network.set_listening(self.links["balancers"][0], True)
            self._is_reachable = True

    def _serve_with(self, version: ServerVersion) -> None:
        if self._peers is not None and version.administration is not None:
            self._peers.administration[self._number] = version.administration
        self._event("started", who=self.name, life=self.versions.index(version) + 1)

    def upgrade(self, clock: Callable[[], float]) -> Handover | None:
        """Start a new version beside the serving one, then shut the old version down.

        None if no version serves or the new one was not ready in time. Times are those of `clock`.
        """
        old = self.versions[-1]
        if not old.server.alive():
            return None
        slot = next(slot for slot in self._slots if slot.pool is not old.pool)
        new = self._start_version(slot)
        if new is None or new.await_ready() is None:
            self._abandon_upgrade(old, new)
            return None
        self._serve_with(new)
        began_at = clock()
        old.server.process.send_signal(signal.SIGTERM)
        old.server.process.wait()
        return Handover(began_at, clock())

    def _abandon_upgrade(self, old: ServerVersion, new: ServerVersion | None) -> None:
        self.trouble.append(f"{self.name}: its new version was not ready in time")
        if new is not None and new.server.alive():
            self._killed.add(new)
            new.kill()
        self.versions.sort(key=lambda version: version is old)  # the last version is the serving one

    # --- ends

    def _watch(self, version: ServerVersion) -> None:
        """Wait until a version exits; an unexpected exit is reported as trouble."""
        status = version.server.process.wait()
        if self.versions[-1] is version and self._port is not None:
            self._port = None
            self._is_reachable = False
            self._network.set_listening(self.links["balancers"][0], False)
        self._event("ended", who=self.name, life=self.versions.index(version) + 1, status=status)
        if version not in self._killed and status != 0:
            self._add_trouble(version, f"ended with {status}", 2)

    def kill(self) -> None:
        """Send SIGKILL to all processes, which simulates the loss of the machine."""
        for version in self._running():
            self._killed.add(version)
            version.kill()

    def stop(self, stopped: bool) -> None:
        """Send SIGSTOP (`stopped`) or SIGCONT to all processes."""
        for version in self._running():
            version.server.process.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def shut_down(self) -> None:
        """Send SIGTERM to all processes, which drain and exit."""
        for version in self._running():
            version.server.process.send_signal(signal.SIGTERM)

    def order(self, fault: str, seconds: float) -> None:
        """Inject a fault into all processes, one of `instrumented_server.FAULTS`."""
        for version in self._running():
            version.server.order(self._configuration.folder, fault, seconds)

    def reload(self, torn: bool) -> None:
        """Send SIGHUP to all processes; `torn`: the file holds half of the configuration meanwhile."""
        with self._configuration_lock:
            for version in self._running():
                version.server.reload(torn)

    def set_work_factor(self, factor: float) -> None:
        """Multiply the work of all runs by `factor`, starting with the next half of each run."""
        for slot in self._slots:
            slot.pool.work_factor = factor

    def freeze(self, frozen: bool) -> None:
        """Freeze or unfreeze the cores of all its pools."""
        for slot in self._slots:
            if frozen:
                slot.pool.freeze()
            else:
                slot.pool.thaw()

    def watch_requests(self, is_over: Callable[[str], bool]) -> None:
        """Set the function by which its pools check whether a request id has ended."""
        for slot in self._slots:
            slot.pool.is_over = is_over

    def end(self) -> None:
        """Shut everything down at the end of the run and collect the alarms."""
        for version in self._running():
            version.server.process.send_signal(signal.SIGCONT)
            if version.shut_down(STOP_MS / 1e3 + STOP_MARGIN_S) == -signal.SIGKILL:
                self._killed.add(version)
                self.trouble.append(f"{self.name} did not end within its time")
        for slot in self._slots:
            slot.pool.close()
        self.trouble += [f"{self.name}: {line}" for version in self.versions for line in version.alarms()]

    # --- records

    @property
    def running(self) -> int:
        """Number of runs in its pools, on the cores or waiting for a call."""
        return sum(slot.pool.running for slot in self._slots)

    @property
    def max_runnable(self) -> int:
        """Maximum number of runnable runs at a time."""
        return max(slot.pool.max_runnable for slot in self._slots)

    def highest_mean_runnable(self, window_s: float) -> float:
        """Highest mean number of runnable runs over any window of `window_s` seconds."""
        return max(slot.pool.highest_mean_runnable(window_s) for slot in self._slots)

    def run_records(self) -> dict[bytes, RunRecord]:
        """The run records of all its pools by request body, merged; runs are counted by line of versions."""
        merged: dict[bytes, RunRecord] = {}
        for slot in self._slots:
            for body, record in slot.pool.records.items():
                total = merged.setdefault(body, RunRecord())
                total.runs += record.runs
                total.results += record.results
                total.request_ids |= record.request_ids
                for incarnation, runs in record.runs_by_incarnation.items():
                    total.runs_by_incarnation[slot.line_by_incarnation[incarnation]] += runs
        return merged
