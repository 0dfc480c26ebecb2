"""`cairnvane lab shares`: the vault as one limit in virtual time, through cuts, losses, stops, deaths and
restarts, beside two plain ways.

The arms: `floor`, each keeps to its own part; `view`, each takes the limit over how many it sees; `lent`, the
real `shedding.Lending`. Shown for each: the most that all caps together came to over the limit, and how much
of the calls that were wanted could be made, of what a lender who knows all at once could allow.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from functools import partial
from typing import Any, Self

from ...load_shedding.quota_leases import Grant, QuotaLeases, Word
from ..parallel import run_cases

SECOND = 1_000_000
ARMS = ("floor", "view", "lent")
TROUBLES = ("calm", "loss", "cut", "stops", "deaths", "all")
# Calls in hand that the vault bears, for each server.
FLOOR = 10.0
# A server looks at its own state so often; the others hear of its spare part after this.
TICK_US, TOLD_US = 50_000, 500_000
# What was told longer ago counts for nothing; a view forgets a silent server after as long.
STALE_US = 2_000_000
# The wanted calls of each server are drawn anew so often, and of the fleet come to this part of the limit.
SHIFT_US, PART = 4_000_000, 0.9
PLAY_S = 40


@dataclass(slots=True)
class _Server:
    life: int
    lending: QuotaLeases
    want: float = FLOOR
    up: bool = True
    still_until: int = 0
    told: dict[int, tuple[int, float]] | None = None  # by server: when, and what it had to spare


class World:
    """One play."""

    def __init__(self, arm: str, trouble: str, servers: int, seed: int) -> None:
        self.arm, self.trouble, self.count = arm, trouble, servers
        self.limit = servers * FLOOR
        self._random = {name: random.Random(f"{seed} {name}") for name in ("want", "links", "faults")}
        self.now, self._order, self._lives = 0, itertools.count(), itertools.count(1)
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.servers = [
            _Server(next(self._lives), QuotaLeases(FLOOR, 0, first=True), told={}) for _ in range(servers)
        ]
        self.loss = 0.2 if trouble in ("loss", "all") else 0.0
        self.side = [0] * servers
        self.worst, self.made, self.could, self.messages = 0.0, 0.0, 0.0, 0

    # --- what each may use

    def cap(self, number: int) -> float:
        """Calls in hand that this one may have now."""
        one = self.servers[number]
        if not one.up:
            return 0.0
        if self.arm == "lent":
            return one.lending.cap(self.now)
        if self.arm == "floor":
            return FLOOR
        assert one.told is not None
        seen = sum(self.now - at < STALE_US for at, _ in one.told.values())
        return self.limit / (1 + seen)

    def _best(self) -> float:
        """What could be made if one knew all at once."""
        return min(self.limit, sum(one.want for one in self.servers if self._acts(one)))

    def _acts(self, one: _Server) -> bool:
        return one.up and one.still_until <= self.now

    # --- links

    def _reaches(self, source: int, to: int) -> bool:
        return self.side[source] == self.side[to] and self._random["links"].random() >= self.loss

    def _send(self, source: int, to: int, task: Callable[[], None]) -> None:
        self.messages += 1
        if self._reaches(source, to):
            self._push(self.now + self._random["links"].randint(300, 30_000), task)

    def _push(self, at: int, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (at, next(self._order), task))

    def _deliver(self, source: int, life: int, to: int, to_life: int, word: Word) -> None:
        one = self.servers[to]
        if one.life != to_life or not one.up:
            return
        if one.still_until > self.now:  # it waits in its socket
            self._push(one.still_until, lambda: self._deliver(source, life, to, to_life, word))
            return
        answer: Grant | None = one.lending.hear(self.now, life, word)
        if answer is not None:
            self._send(to, source, lambda: self._deliver(to, to_life, source, life, answer))

    # --- time

    def _tick(self, number: int) -> None:
        self._push(self.now + TICK_US, lambda: self._tick(number))
        one = self.servers[number]
        if not self._acts(one):
            return
        cap = self.cap(number)
        one.lending.note(self.now, min(one.want, cap), one.want - cap)
        assert one.told is not None
        others = {
            self.servers[other].life: spare
            for other, (at, spare) in one.told.items()
            if self.now - at < STALE_US
        }
        if self.arm == "lent":
            numbers = {server.life: place for place, server in enumerate(self.servers)}
            for life, word in one.lending.tick(self.now, others):
                if life in numbers:
                    self._send(
                        number,
                        numbers[life],
                        partial(self._deliver, number, one.life, numbers[life], life, word),
                    )

    def _tell(self, number: int) -> None:
        self._push(self.now + TOLD_US, lambda: self._tell(number))
        one = self.servers[number]
        if self._acts(one):
            spare = one.lending.spare(self.now)
            for other in range(self.count):
                if other != number:
                    self._send(number, other, partial(self._heard, other, number, spare))

    def _heard(self, number: int, of: int, spare: float) -> None:
        one = self.servers[number]
        if self._acts(one) and one.told is not None:
            one.told[of] = self.now, spare

    def _shift(self) -> None:
        """Callers go elsewhere: some servers are wanted three times as much as others."""
        self._push(self.now + SHIFT_US, self._shift)
        weights = [self._random["want"].choice((0.4, 0.8, 1.6)) for _ in self.servers]
        whole = sum(weights)
        for one, weight in zip(self.servers, weights, strict=True):
            one.want = weight / whole * self.limit * PART

    def _measure(self) -> None:
        self._push(self.now + TICK_US, self._measure)
        caps = [self.cap(number) for number in range(self.count)]
        self.worst = max(self.worst, sum(caps) / self.limit - 1)
        self.made += sum(
            min(cap, one.want) for cap, one in zip(caps, self.servers, strict=True) if self._acts(one)
        )
        self.could += self._best()

    # --- faults

    def _fault(self) -> None:
        rng = self._random["faults"]
        self._push(self.now + rng.randint(1, 3) * SECOND, self._fault)
        kinds = {"cut": ["cut"], "stops": ["stop"], "deaths": ["kill"], "all": ["cut", "stop", "kill"]}
        kind = rng.choice(kinds.get(self.trouble, [""]))
        if kind == "cut":
            self.side = [rng.randrange(rng.randint(1, 3)) for _ in range(self.count)]
        elif kind == "stop":
            self.servers[rng.randrange(self.count)].still_until = self.now + rng.randint(1, 6) * SECOND
        elif kind == "kill":
            number = rng.randrange(self.count)
            self.servers[number].up = False
            self._push(self.now + rng.randint(1, 20) * SECOND // 10, lambda: self._start(number))

    def _start(self, number: int) -> None:
        want = self.servers[number].want
        self.servers[number] = _Server(next(self._lives), QuotaLeases(FLOOR, self.now), want, told={})

    def run(self) -> Self:
        """All of it."""
        self._shift()
        for number in range(self.count):
            self._push(self._random["links"].randint(0, TICK_US), partial(self._tick, number))
            self._push(self._random["links"].randint(0, TOLD_US), partial(self._tell, number))
        self._push(4 * SECOND, self._fault)
        self._push(2 * SECOND, self._measure)
        while self._agenda and self._agenda[0][0] <= PLAY_S * SECOND:
            self.now, _, task = heapq.heappop(self._agenda)
            task()
        return self


@dataclass(frozen=True)
class Row:
    """One trouble, one size, one arm, over the seeds."""

    trouble: str
    servers: int
    arm: str
    over: float  # the most that all caps together were over the limit, as a part of it
    made: float  # of the calls that could have been made, in the mean
    messages_a_second: float  # a server


@dataclass
class Report:
    """The table."""

    rows: list[Row]

    @property
    def good(self) -> bool:
        """What is lent never adds up to more than the limit."""
        return all(row.over <= 1e-9 for row in self.rows if row.arm == "lent")

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return {"good": self.good, "rows": [asdict(row) for row in self.rows]}

    def lines(self) -> list[str]:
        """For a terminal."""
        return [
            f"{'trouble':8} {'servers':>7} {'arm':6} {'over the limit':>15} {'made':>6} {'msg/s':>6}",
            *(
                f"{row.trouble:8} {row.servers:7} {row.arm:6} {row.over:15.3f} {row.made:6.3f} "
                f"{row.messages_a_second:6.1f}"
                for row in self.rows
            ),
            "good" if self.good else "WRONG",
        ]


def _one(arm: str, trouble: str, servers: int, seed: int) -> tuple[float, float, float]:
    world = World(arm, trouble, servers, seed).run()
    return world.worst, world.made / world.could, world.messages / servers / PLAY_S


def measure(
    sizes: Sequence[int],
    seeds: int,
    troubles: Sequence[str] = TROUBLES,
    arms: Sequence[str] = ARMS,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """The table, on all cores."""
    all_ = [(arm, trouble, servers) for servers in sizes for trouble in troubles for arm in arms]
    return Report(
        [
            Row(
                trouble,
                servers,
                arm,
                max(one[0] for one in results),
                statistics.mean(one[1] for one in results),
                statistics.mean(one[2] for one in results),
            )
            for (arm, trouble, servers), results in run_cases(_one, all_, seeds, say)
        ]
    )
