"""Draws a scenario from a seed: fleet, machines, load, and faults that cross each other. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..cluster.scenario import Fault, Load, Scenario, Servers, Vault

# Memory for so many runs a core: as the operators' machines have it, or so little that it limits what runs.
RUNS_PER_CORE_IN_MEMORY = (9.3, 23.0)
FEW_RUNS_PER_CORE_IN_MEMORY = (1.0, 2.5)
LITTLE_MEMORY_CHANCE = 0.3
RUNNING_MEMORY_FACTOR = 16.0
REQUEST_KB = (9.3, 61.0)
CORES = (2, 6)
WORK_MS = (25.0, 90.0)
CALL_MS = (5.0, 60.0)
# Calls that the dependency survives, for each core of the fleet.
SLOTS_PER_CORE = (0.5, 1.5)
# The load, as a fraction of what the cores can do; and what one testbed process can generate.
DEMAND = (0.3, 1.2)
MAX_RATE = 120.0
# Seconds that a balancer waits for an attempt; the last one is longer than any client timeout.
WAITS_S = (0.3, 0.5, 0.7, 1.5, 3.0, 8.0)
FAULTS = (3, 6)
# Before the first fault; in one scenario of `QUIET_CHANCE` half of the time is quiet.
FIRST_FAULT_S = 1.0
QUIET_CHANCE = 0.1
# SIGKILL may follow SIGTERM after the longest deadline (3 s at most) and this time.
KILL_AFTER_TERM_S = 3.7
# From the end of a server's process to the start of the next one.
DOWN_S = 0.8


@dataclass(frozen=True)
class Bounds:
    """What a soak may draw: seconds of load, and the most servers."""

    seconds: float = 15.0
    max_servers: int = 4


class _FaultDrawer:
    """Draws the faults of one scenario."""

    def __init__(self, rng: random.Random, bounds: Bounds, names: list[str]) -> None:
        self._rng = rng
        self._names = names
        self._end = bounds.seconds
        is_quiet = rng.random() < QUIET_CHANCE
        self._begin = bounds.seconds / 2 if is_quiet else FIRST_FAULT_S
        self._replaced: set[str] = set()  # servers whose process is ended; each once, so that none overlap

    def _at(self, duration: float = 0.0) -> float:
        latest = max(self._begin, self._end - duration)
        return round(self._rng.uniform(self._begin, latest), 2)

    def _span(self, least: float, most: float) -> tuple[float, float]:
        """A beginning, and a duration that ends with the load at the latest."""
        duration = round(min(self._rng.uniform(least, most), self._end - self._begin), 2)
        return self._at(duration), duration

    def _server(self) -> str:
        return self._rng.choice(self._names)

    def _server_to_end(self) -> str | None:
        left = [name for name in self._names if name not in self._replaced]
        if not left:
            return None
        name = self._rng.choice(left)
        self._replaced.add(name)
        return name

    # --- kinds of faults

    def pool_resets(self) -> list[Fault]:
        """Links to the pools break again and again."""
        every = round(self._rng.uniform(0.3, 1.2), 2)
        link: list[str | list[str]] = ["servers", "pool"]
        return [Fault("reset", self._begin, 0.02, jitter=0.1, every=every, link=link)]

    def pool_silence(self) -> list[Fault]:
        """One link to a pool stalls, is cut one way, or loses what it carries for a while."""
        at, duration = self._span(0.3, 2.5)
        way = self._rng.choice(("there", "back", "both"))
        do = self._rng.choice(("stall", "cut", "drop"))
        return [Fault(do, at, duration, link=[self._server(), "pool"], way=way)]

    def frozen_cores_behind_broken_links(self) -> list[Fault]:
        """Cores stand still for long, while links to the pools break again and again."""
        at, duration = self._span(6.0, 10.0)
        return [Fault("freeze", at, duration, who=self._server()), *self.pool_resets()]

    def frozen_cores(self) -> list[Fault]:
        """Cores stand still, once for long or several times for a moment."""
        name = self._server()
        if self._rng.random() < 0.5:
            at, duration = self._span(2.0, 8.0)
            return [Fault("freeze", at, duration, who=name)]
        return [Fault("freeze", self._begin, 0.4, who=name, jitter=0.2, every=1.1)]

    def heavy_work(self) -> list[Fault]:
        """Work takes many times as long."""
        at, duration = self._span(2.0, 8.0)
        return [Fault("heavy", at, duration, who=self._server(), times=round(self._rng.uniform(3, 30), 1))]

    def vault_faults(self) -> list[Fault]:
        """The dependency is slow, down, silent, or its replies can't be read."""
        at, duration = self._span(1.0, 6.0)
        do = self._rng.choice(("slow", "down", "silent", "garble"))
        share = round(self._rng.uniform(0.05, 0.5), 2)
        return [Fault(do, at, duration, who="vault", times=round(self._rng.uniform(2, 12), 1), share=share)]

    def vault_link_faults(self) -> list[Fault]:
        """Links to the dependency break, stall, or delay."""
        at, duration = self._span(0.5, 3.0)
        do = self._rng.choice(("reset", "stall", "cut", "delay"))
        way = self._rng.choice(("there", "back", "both"))
        return [Fault(do, at, duration, link=["servers", "vault"], way=way)]

    def registry_out(self) -> list[Fault]:
        """The service registry can't be reached."""
        at, duration = self._span(3.0, self._end)
        do = self._rng.choice(("reset", "stall", "cut"))
        return [Fault(do, at, duration, link=["servers", "roster"])]

    def reloads(self) -> list[Fault]:
        """SIGHUP in a row, in some with a torn file."""
        do = self._rng.choice(("reload", "tear"))
        every = round(self._rng.uniform(0.3, 2.0), 2)
        return [Fault(do, max(1.5, self._begin), who=self._server(), every=every, jitter=0.1)]

    def stopped_process(self) -> list[Fault]:
        """SIGSTOP and SIGCONT."""
        at, duration = self._span(0.2, 1.5)
        return [Fault("stop", at, duration, who=self._server())]

    def stalled_event_loop(self) -> list[Fault]:
        """The event loop alone gets no time."""
        at, duration = self._span(0.2, 1.2)
        return [Fault("busy", at, duration, who=self._server())]

    def wrong_clock(self) -> list[Fault]:
        """Unix time steps."""
        by = self._rng.choice((-3600.0, -2.0, 2.0, 3600.0))
        return [Fault("clock", self._at(), who=self._server(), by=by)]

    def crowd(self) -> list[Fault]:
        """More load."""
        at, duration = self._span(1.0, 4.0)
        return [Fault("surge", at, duration, times=round(self._rng.uniform(1.5, 3.0), 1))]

    def slow_balancers(self) -> list[Fault]:
        """What balancers write comes late."""
        at, duration = self._span(1.0, 5.0)
        return [Fault("delay", at, duration, link=["balancers", self._server()], ms=60.0, spread_ms=50.0)]

    def replaced_server(self) -> list[Fault]:
        """SIGTERM, once or twice, SIGKILL at the earliest moment that is allowed, and a new process."""
        needed = KILL_AFTER_TERM_S + DOWN_S
        name = self._server_to_end()
        if name is None or self._end - self._begin < needed:
            return []
        at = self._at(needed)
        do = self._rng.choice(("leave", "terminate"))
        killed_at = round(at + KILL_AFTER_TERM_S, 2)
        return [
            Fault(do, at, who=name),
            Fault("kill", killed_at, who=name),
            Fault("start", round(killed_at + DOWN_S / 2, 2), who=name),
        ]

    def killed_server(self) -> list[Fault]:
        """SIGKILL, and a new process."""
        name = self._server_to_end()
        if name is None:
            return []
        at = self._at(DOWN_S)
        return [Fault("kill", at, who=name), Fault("start", round(at + DOWN_S / 2, 2), who=name)]

    def draw(self) -> list[Fault]:
        """So many kinds, each at most once, but for links and cores, which are what crosses most."""
        kinds: list[Callable[[], list[Fault]]] = [
            self.pool_resets,
            self.pool_silence,
            self.frozen_cores_behind_broken_links,
            self.frozen_cores,
            self.heavy_work,
            self.vault_faults,
            self.vault_link_faults,
            self.registry_out,
            self.reloads,
            self.stopped_process,
            self.stalled_event_loop,
            self.wrong_clock,
            self.crowd,
            self.slow_balancers,
            self.replaced_server,
            self.killed_server,
        ]
        weights = [2, 1, 4, 2] + [1] * (len(kinds) - 4)
        chosen = self._rng.choices(kinds, weights, k=self._rng.randint(*FAULTS))
        return [fault for kind in dict.fromkeys(chosen) for fault in kind()]


def draw(seed: int, bounds: Bounds) -> Scenario:
    """The scenario of this seed; the same seed and bounds give the same one."""
    rng = random.Random(f"{seed} soak")
    servers = rng.randint(1, bounds.max_servers)
    cores = rng.randint(*CORES)
    work_ms = round(rng.uniform(*WORK_MS), 1)
    request_kb = round(rng.uniform(*REQUEST_KB), 1)
    has_little = rng.random() < LITTLE_MEMORY_CHANCE
    runs_per_core = rng.uniform(*(FEW_RUNS_PER_CORE_IN_MEMORY if has_little else RUNS_PER_CORE_IN_MEMORY))
    memory_kb = cores * runs_per_core * request_kb * RUNNING_MEMORY_FACTOR
    capacity = servers * cores * 1e3 / work_ms
    load = Load(
        rate=round(min(MAX_RATE, capacity * rng.uniform(*DEMAND)), 1),
        balancers=rng.randint(2, 5),
        keyed=round(rng.uniform(0.1, 0.4), 2),
        tries=rng.choice((1, 2, 4, 8)),
        heed=round(rng.random(), 1),
        wait=rng.choice(WAITS_S),
        walk=rng.random() < 0.5,
    )
    vault = Vault(
        slots=max(1, round(servers * cores * rng.uniform(*SLOTS_PER_CORE))),
        call_ms=round(rng.uniform(*CALL_MS), 1),
    )
    names = [f"n{number}" for number in range(servers)]
    return Scenario(
        f"soak {seed}",
        servers=servers,
        seconds=bounds.seconds,
        load=load,
        server=Servers(cores, work_ms, round(memory_kb, 1), request_kb),
        vault=vault,
        faults=_FaultDrawer(rng, bounds, names).draw(),
    )
