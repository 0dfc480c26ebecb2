"""`cairnvane lab shares`: quota leases for one dependency in virtual time, compared with two simple schemes.

The simulated servers experience partitions, message loss, stalls, kills and restarts. The schemes (`arm`) are
`floor`: each server uses only its own guaranteed part; `view`: each server takes the limit divided by the
number of servers that it has recently heard of; `lent`: the real quota leases. For each scheme the report
shows by how much the sum of all quotas exceeded the limit at worst, and the calls that could be made as
a fraction of those that a scheme with complete knowledge would allow.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import Any, Self

from ...load_shedding.quota_leases import LeaseGrant, LeaseMessage, QuotaLeases
from ..parallel import run_cases

SECOND = 1_000_000
ARMS = ("floor", "view", "lent")
TROUBLES = ("calm", "loss", "cut", "stops", "deaths", "all")
# Concurrent calls that the dependency can handle, per server.
FLOOR = 10.0
# Interval of a server's own timer.
TICK_US = 50_000
# Interval at which a server announces its spare quota to the others.
ANNOUNCEMENT_US = 500_000
# Older announcements are ignored; `view` stops counting a server that was silent for this time.
STALE_US = 2_000_000
# Interval at which the demand of each server is redrawn, and the total demand as a fraction of the limit.
DEMAND_SHIFT_US = 4_000_000
DEMAND_FRACTION = 0.9
# Relative demands of single servers to draw from.
DEMAND_WEIGHTS = (0.4, 0.8, 1.6)
# Bounds of a message's delay.
MIN_DELAY_US = 300
MAX_DELAY_US = 30_000
FIRST_FAULT_S = 4
FIRST_MEASUREMENT_S = 2
RUN_S = 40


@dataclass(slots=True)
class _Server:
    incarnation: int
    leases: QuotaLeases
    demand: float = FLOOR  # concurrent calls that its requests need
    up: bool = True
    stalled_until: int = 0
    # By server: the time of its last announcement, and the spare quota in it.
    announcements: dict[int, tuple[int, float]] = field(default_factory=dict)


class World:
    """The servers of one run, the messages between them, and the injected faults. Times in microseconds."""

    def __init__(self, arm: str, trouble: str, servers: int, seed: int) -> None:
        self.arm = arm
        self.trouble = trouble
        self.count = servers
        self.limit = servers * FLOOR
        self._random = {name: random.Random(f"{seed} {name}") for name in ("want", "links", "faults")}
        self.now = 0
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.servers = [
            _Server(next(self._incarnations), QuotaLeases(FLOOR, 0, first=True)) for _ in range(servers)
        ]
        self.loss = 0.2 if trouble in ("loss", "all") else 0.0
        self._partition = [0] * servers
        self.max_excess = 0.0  # highest excess of the sum of quotas over the limit, as a fraction of it
        self.allowed_calls = 0.0  # concurrent calls that the quotas allowed, summed over all measurements
        self.attainable_calls = 0.0  # calls that complete knowledge would allow, summed likewise
        self.messages = 0

    # --- quotas

    def cap(self, number: int) -> float:
        """The current limit on this server's concurrent calls."""
        server = self.servers[number]
        if not server.up:
            return 0.0
        if self.arm == "lent":
            return server.leases.cap(self.now)
        if self.arm == "floor":
            return FLOOR
        seen = sum(self.now - at < STALE_US for at, _ in server.announcements.values())
        return self.limit / (1 + seen)

    def _attainable(self) -> float:
        """Concurrent calls that a scheme with complete knowledge would allow."""
        return min(self.limit, sum(server.demand for server in self.servers if self._is_running(server)))

    def _is_running(self, server: _Server) -> bool:
        return server.up and server.stalled_until <= self.now

    # --- links

    def _reaches(self, source: int, to: int) -> bool:
        return self._partition[source] == self._partition[to] and self._random["links"].random() >= self.loss

    def _send(self, source: int, to: int, task: Callable[[], None]) -> None:
        self.messages += 1
        if self._reaches(source, to):
            self._push(self.now + self._random["links"].randint(MIN_DELAY_US, MAX_DELAY_US), task)

    def _push(self, at: int, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (at, next(self._order), task))

    def _deliver(
        self, source: int, incarnation: int, to: int, to_incarnation: int, message: LeaseMessage
    ) -> None:
        server = self.servers[to]
        if server.incarnation != to_incarnation or not server.up:
            return
        if server.stalled_until > self.now:  # a stalled process reads the message from its socket later
            self._push(
                server.stalled_until, lambda: self._deliver(source, incarnation, to, to_incarnation, message)
            )
            return
        answer: LeaseGrant | None = server.leases.handle_message(self.now, incarnation, message)
        if answer is not None:
            self._send(to, source, lambda: self._deliver(to, to_incarnation, source, incarnation, answer))

    # --- time

    def _tick(self, number: int) -> None:
        self._push(self.now + TICK_US, lambda: self._tick(number))
        server = self.servers[number]
        if not self._is_running(server):
            return
        cap = self.cap(number)
        server.leases.record_usage(self.now, min(server.demand, cap), server.demand - cap)
        others = {
            self.servers[other].incarnation: spare
            for other, (at, spare) in server.announcements.items()
            if self.now - at < STALE_US
        }
        if self.arm == "lent":
            numbers = {server.incarnation: place for place, server in enumerate(self.servers)}
            for incarnation, message in server.leases.tick(self.now, others):
                if incarnation in numbers:
                    self._send(
                        number,
                        numbers[incarnation],
                        partial(
                            self._deliver,
                            number,
                            server.incarnation,
                            numbers[incarnation],
                            incarnation,
                            message,
                        ),
                    )

    def _announce(self, number: int) -> None:
        self._push(self.now + ANNOUNCEMENT_US, lambda: self._announce(number))
        server = self.servers[number]
        if self._is_running(server):
            spare = server.leases.spare(self.now)
            for other in range(self.count):
                if other != number:
                    self._send(number, other, partial(self._receive_announcement, other, number, spare))

    def _receive_announcement(self, number: int, source: int, spare: float) -> None:
        server = self.servers[number]
        if self._is_running(server):
            server.announcements[source] = self.now, spare

    def _shift_demand(self) -> None:
        """Redraw the demand of each server: some get several times that of others."""
        self._push(self.now + DEMAND_SHIFT_US, self._shift_demand)
        weights = [self._random["want"].choice(DEMAND_WEIGHTS) for _ in self.servers]
        total_weight = sum(weights)
        for server, weight in zip(self.servers, weights, strict=True):
            server.demand = weight / total_weight * self.limit * DEMAND_FRACTION

    def _measure(self) -> None:
        self._push(self.now + TICK_US, self._measure)
        caps = [self.cap(number) for number in range(self.count)]
        self.max_excess = max(self.max_excess, sum(caps) / self.limit - 1)
        self.allowed_calls += sum(
            min(cap, server.demand)
            for cap, server in zip(caps, self.servers, strict=True)
            if self._is_running(server)
        )
        self.attainable_calls += self._attainable()

    # --- faults

    def _inject_fault(self) -> None:
        rng = self._random["faults"]
        self._push(self.now + rng.randint(1, 3) * SECOND, self._inject_fault)
        kinds = {"cut": ["cut"], "stops": ["stop"], "deaths": ["kill"], "all": ["cut", "stop", "kill"]}
        kind = rng.choice(kinds.get(self.trouble, [""]))
        if kind == "cut":
            self._partition = [rng.randrange(rng.randint(1, 3)) for _ in range(self.count)]
        elif kind == "stop":
            self.servers[rng.randrange(self.count)].stalled_until = self.now + rng.randint(1, 6) * SECOND
        elif kind == "kill":
            number = rng.randrange(self.count)
            self.servers[number].up = False
            self._push(self.now + rng.randint(1, 20) * SECOND // 10, lambda: self._restart(number))

    def _restart(self, number: int) -> None:
        demand = self.servers[number].demand
        self.servers[number] = _Server(next(self._incarnations), QuotaLeases(FLOOR, self.now), demand)

    def run(self) -> Self:
        """Simulate `RUN_S` seconds of virtual time."""
        self._shift_demand()
        for number in range(self.count):
            self._push(self._random["links"].randint(0, TICK_US), partial(self._tick, number))
            self._push(self._random["links"].randint(0, ANNOUNCEMENT_US), partial(self._announce, number))
        self._push(FIRST_FAULT_S * SECOND, self._inject_fault)
        self._push(FIRST_MEASUREMENT_S * SECOND, self._measure)
        while self._agenda and self._agenda[0][0] <= RUN_S * SECOND:
            self.now, _, task = heapq.heappop(self._agenda)
            task()
        return self


@dataclass(frozen=True)
class Row:
    """Results for a kind of fault, a size and a scheme, over all seeds; field names are JSON keys."""

    trouble: str
    servers: int
    arm: str
    over: float  # highest excess of the sum of quotas over the limit, as a fraction of it
    made: float  # mean fraction of the attainable calls that could be made
    messages_a_second: float  # sent per server


@dataclass
class Report:
    """Results of all cases."""

    rows: list[Row]

    @property
    def good(self) -> bool:
        """Whether the sum of the leased quotas never exceeded the limit."""
        return all(row.over <= 1e-9 for row in self.rows if row.arm == "lent")

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return {"good": self.good, "rows": [asdict(row) for row in self.rows]}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        return [
            f"{'trouble':8} {'servers':>7} {'arm':6} {'over the limit':>15} {'made':>6} {'msg/s':>6}",
            *(
                f"{row.trouble:8} {row.servers:7} {row.arm:6} {row.over:15.3f} {row.made:6.3f} "
                f"{row.messages_a_second:6.1f}"
                for row in self.rows
            ),
            "good" if self.good else "WRONG",
        ]


def _run_world(arm: str, trouble: str, servers: int, seed: int) -> tuple[float, float, float]:
    world = World(arm, trouble, servers, seed).run()
    return world.max_excess, world.allowed_calls / world.attainable_calls, world.messages / servers / RUN_S


def measure(
    sizes: Sequence[int],
    seeds: int,
    troubles: Sequence[str] = TROUBLES,
    arms: Sequence[str] = ARMS,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """Run all cases, using all cores."""
    cases = [(arm, trouble, servers) for servers in sizes for trouble in troubles for arm in arms]
    return Report(
        [
            Row(
                trouble,
                servers,
                arm,
                max(result[0] for result in results),
                statistics.mean(result[1] for result in results),
                statistics.mean(result[2] for result in results),
            )
            for (arm, trouble, servers), results in run_cases(_run_world, cases, seeds, say)
        ]
    )
