"""Draws a random scenario from a seed: servers, machines, load and overlapping faults. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..cluster.scenario import Fault, Load, Scenario, Servers, Vault

# Range of runs per core that fit into memory: as on the operators' machines, or so few that memory is the
# limit.
RUNS_PER_CORE_IN_MEMORY = (9.3, 23.0)
FEW_RUNS_PER_CORE_IN_MEMORY = (1.0, 2.5)
LITTLE_MEMORY_CHANCE = 0.3
RUNNING_MEMORY_FACTOR = 16.0
REQUEST_KB = (9.3, 61.0)
CORES = (2, 6)
WORK_MS = (25.0, 90.0)
CALL_MS = (5.0, 60.0)
# Calls that the dependency survives, per core of all servers.
SLOTS_PER_CORE = (0.5, 1.5)
# The load as a fraction of the cores' capacity, and the maximum rate that one testbed process can generate.
DEMAND = (0.3, 1.2)
MAX_RATE = 120.0
# Timeouts of a balancer's attempts; the last one is longer than any client timeout.
WAITS_S = (0.3, 0.5, 0.7, 1.5, 3.0, 8.0)
FAULTS = (3, 6)
# Time before the first fault; with the probability `QUIET_CHANCE` it is half of the load's duration instead.
FIRST_FAULT_S = 1.0
QUIET_CHANCE = 0.1
# Time from SIGTERM to SIGKILL, which may follow after the longest deadline, 3 s at most, and a margin.
KILL_AFTER_TERM_S = 3.7
# Time reserved for a restart: the new process starts after half of it.
RESTART_TIME_S = 0.8


@dataclass(frozen=True)
class Bounds:
    """Bounds of the drawn scenarios: duration of the load and maximum number of servers."""

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
        # Servers whose process is ended, each at most once so that replacements don't overlap.
        self._replaced: set[str] = set()

    def _draw_time(self, duration: float = 0.0) -> float:
        latest = max(self._begin, self._end - duration)
        return round(self._rng.uniform(self._begin, latest), 2)

    def _draw_period(self, minimum: float, maximum: float) -> tuple[float, float]:
        """Draw a start time and a duration that ends with the load at the latest."""
        duration = round(min(self._rng.uniform(minimum, maximum), self._end - self._begin), 2)
        return self._draw_time(duration), duration

    def _draw_server(self) -> str:
        return self._rng.choice(self._names)

    def _draw_server_to_replace(self) -> str | None:
        remaining = [name for name in self._names if name not in self._replaced]
        if not remaining:
            return None
        name = self._rng.choice(remaining)
        self._replaced.add(name)
        return name

    # --- kinds of faults

    def pool_resets(self) -> list[Fault]:
        """Links to the pools are reset repeatedly."""
        every = round(self._rng.uniform(0.3, 1.2), 2)
        link: list[str | list[str]] = ["servers", "pool"]
        return [Fault("reset", self._begin, 0.02, jitter=0.1, every=every, link=link)]

    def pool_silence(self) -> list[Fault]:
        """One link to a pool stalls, is cut or loses data for a while, in one or both directions."""
        at, duration = self._draw_period(0.3, 2.5)
        way = self._rng.choice(("there", "back", "both"))
        do = self._rng.choice(("stall", "cut", "drop"))
        return [Fault(do, at, duration, link=[self._draw_server(), "pool"], way=way)]

    def frozen_cores_behind_broken_links(self) -> list[Fault]:
        """Cores are frozen for a long time while links to the pools are reset repeatedly."""
        at, duration = self._draw_period(6.0, 10.0)
        return [Fault("freeze", at, duration, who=self._draw_server()), *self.pool_resets()]

    def frozen_cores(self) -> list[Fault]:
        """Cores are frozen once for a long time or repeatedly for a short time."""
        name = self._draw_server()
        if self._rng.random() < 0.5:
            at, duration = self._draw_period(2.0, 8.0)
            return [Fault("freeze", at, duration, who=name)]
        return [Fault("freeze", self._begin, 0.4, who=name, jitter=0.2, every=1.1)]

    def heavy_work(self) -> list[Fault]:
        """Runs take a multiple of their usual time."""
        at, duration = self._draw_period(2.0, 8.0)
        return [
            Fault("heavy", at, duration, who=self._draw_server(), times=round(self._rng.uniform(3, 30), 1))
        ]

    def vault_faults(self) -> list[Fault]:
        """The dependency is slow, down or silent, or sends malformed replies."""
        at, duration = self._draw_period(1.0, 6.0)
        do = self._rng.choice(("slow", "down", "silent", "garble"))
        share = round(self._rng.uniform(0.05, 0.5), 2)
        return [Fault(do, at, duration, who="vault", times=round(self._rng.uniform(2, 12), 1), share=share)]

    def vault_link_faults(self) -> list[Fault]:
        """Links to the dependency are reset, stall, are cut or delay data."""
        at, duration = self._draw_period(0.5, 3.0)
        do = self._rng.choice(("reset", "stall", "cut", "delay"))
        way = self._rng.choice(("there", "back", "both"))
        return [Fault(do, at, duration, link=["servers", "vault"], way=way)]

    def unreachable_registry(self) -> list[Fault]:
        """The service registry is unreachable."""
        at, duration = self._draw_period(3.0, self._end)
        do = self._rng.choice(("reset", "stall", "cut"))
        return [Fault(do, at, duration, link=["servers", "roster"])]

    def reloads(self) -> list[Fault]:
        """Repeated SIGHUP, with a complete or a truncated configuration file."""
        do = self._rng.choice(("reload", "tear"))
        every = round(self._rng.uniform(0.3, 2.0), 2)
        return [Fault(do, max(1.5, self._begin), who=self._draw_server(), every=every, jitter=0.1)]

    def stopped_process(self) -> list[Fault]:
        """SIGSTOP and SIGCONT."""
        at, duration = self._draw_period(0.2, 1.5)
        return [Fault("stop", at, duration, who=self._draw_server())]

    def stalled_event_loop(self) -> list[Fault]:
        """Only the event loop stalls."""
        at, duration = self._draw_period(0.2, 1.2)
        return [Fault("busy", at, duration, who=self._draw_server())]

    def wrong_clock(self) -> list[Fault]:
        """Unix time jumps."""
        by = self._rng.choice((-3600.0, -2.0, 2.0, 3600.0))
        return [Fault("clock", self._draw_time(), who=self._draw_server(), by=by)]

    def load_surge(self) -> list[Fault]:
        """The load increases for a while."""
        at, duration = self._draw_period(1.0, 4.0)
        return [Fault("surge", at, duration, times=round(self._rng.uniform(1.5, 3.0), 1))]

    def slow_balancers(self) -> list[Fault]:
        """Data from balancers is delayed."""
        at, duration = self._draw_period(1.0, 5.0)
        return [
            Fault("delay", at, duration, link=["balancers", self._draw_server()], ms=60.0, spread_ms=50.0)
        ]

    def replaced_server(self) -> list[Fault]:
        """SIGTERM, once or twice, SIGKILL at the earliest allowed time, and a new process."""
        needed = KILL_AFTER_TERM_S + RESTART_TIME_S
        name = self._draw_server_to_replace()
        if name is None or self._end - self._begin < needed:
            return []
        at = self._draw_time(needed)
        do = self._rng.choice(("leave", "terminate"))
        killed_at = round(at + KILL_AFTER_TERM_S, 2)
        return [
            Fault(do, at, who=name),
            Fault("kill", killed_at, who=name),
            Fault("start", round(killed_at + RESTART_TIME_S / 2, 2), who=name),
        ]

    def killed_server(self) -> list[Fault]:
        """SIGKILL and a new process."""
        name = self._draw_server_to_replace()
        if name is None:
            return []
        at = self._draw_time(RESTART_TIME_S)
        return [Fault("kill", at, who=name), Fault("start", round(at + RESTART_TIME_S / 2, 2), who=name)]

    def draw(self) -> list[Fault]:
        """Draw kinds of faults, each used at most once.

        Faults of links and cores have higher weights, as they overlap with other faults most.
        """
        kinds: list[Callable[[], list[Fault]]] = [
            self.pool_resets,
            self.pool_silence,
            self.frozen_cores_behind_broken_links,
            self.frozen_cores,
            self.heavy_work,
            self.vault_faults,
            self.vault_link_faults,
            self.unreachable_registry,
            self.reloads,
            self.stopped_process,
            self.stalled_event_loop,
            self.wrong_clock,
            self.load_surge,
            self.slow_balancers,
            self.replaced_server,
            self.killed_server,
        ]
        weights = [2, 1, 4, 2] + [1] * (len(kinds) - 4)
        chosen = self._rng.choices(kinds, weights, k=self._rng.randint(*FAULTS))
        return [fault for kind in dict.fromkeys(chosen) for fault in kind()]


def draw(seed: int, bounds: Bounds) -> Scenario:
    """The scenario of a seed; the same seed and bounds give the same scenario."""
    rng = random.Random(f"{seed} soak")
    servers = rng.randint(1, bounds.max_servers)
    cores = rng.randint(*CORES)
    work_ms = round(rng.uniform(*WORK_MS), 1)
    request_kb = round(rng.uniform(*REQUEST_KB), 1)
    has_little_memory = rng.random() < LITTLE_MEMORY_CHANCE
    runs_per_core = rng.uniform(
        *(FEW_RUNS_PER_CORE_IN_MEMORY if has_little_memory else RUNS_PER_CORE_IN_MEMORY)
    )
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
