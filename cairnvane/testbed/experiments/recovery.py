"""One server's decisions through a trouble and after it, on a virtual clock: is it back, and when?

The decision module is the real one; what is around it is a model: a pool whose cores are shared by whoever
runs, a vault, callers that come back at once after a refusal. A trouble lasts for a while, and all is well
from then on. What the module must never do is to stay shut: see `Life.back_s`.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any

from ...admission.controller import Controller
from ...contract.actions import Action, Cancel, Fail, MakeCall, Reject, SetTimer, StartRun
from ...contract.events import Arrival, CallFinished, CallRequested, Event, Outcome, RunFinished, TimerFired
from ...contract.settings import (
    CancelMode,
    DependencyKind,
    LoadSignal,
    RequestClass,
    RetrySemantics,
    Settings,
)

SECOND = 1_000_000
CORES = 4
# Half of a request's work on a core at full speed, before its call and after it: 22 requests a second.
HALF_S = 0.088
CLASSES = (
    RequestClass("price-view", latency_objective=1_400_000, client_timeout=3_400_000),
    RequestClass("bid-update", latency_objective=2_300_000, client_timeout=5_800_000, priority_weight=2.0),
    RequestClass(
        "bid-commit",
        latency_objective=2_300_000,
        client_timeout=5_800_000,
        priority_weight=3.0,
        late_fraction=0.2,
        retry_semantics=RetrySemantics.IDEMPOTENCY_KEYED,
        retry_window=17_364_000,
    ),
)
MIX = (5, 3, 2)
SETTINGS = Settings(
    cores=CORES,
    memory=200_000.0,
    classes=CLASSES,
    running_memory_factor=16.0,
    key_memory=1.0,
    cancel_mode=CancelMode.DISCARD,
    load_signal=LoadSignal.CREDIT,
    dependency=DependencyKind.SHARED,
    dependency_quota=4.0,
    dependency_window=5_000_000,
    clients=8,
    max_oversubscription=8.0,
    drain_grace=2_500_000,
    max_retry_after=1_000_000,
)
# Callers try again so soon after a refusal, and so often in all.
AGAIN_US, TRIES = 2_000, 5
# What the cores serve a second at the least, with all that is refused read beside it.
SERVES = 0.85 * CORES / (2 * HALF_S)
# Before a trouble, the server is watched for so long, and has to come back to what it then served a second.
CALM_S, WATCH_S = 8, 60
# Back: this share of what it served before, over so many seconds.
BACK_PART, BACK_OVER_S = 0.9, 3

KINDS = ("slow", "silent", "refusing", "down", "away", "late", "cores")


@dataclass(frozen=True, slots=True)
class Fault:
    """What goes wrong, from `CALM_S` on (`late`: from the start on).

    `slow`: calls take `size` times as long. `silent`: calls are never answered. `refusing`, `down`: calls are
    refused unseen, or find nobody. `away`, `late`: nothing is heard of the pool until the end, and all of it
    then. `cores`: work takes `size` times as long.
    """

    kind: str
    duration_s: int
    factor: float = 8.0


@dataclass
class ServerSimulation:
    """One server, from its start to `WATCH_S` after the trouble's end."""

    trouble: Fault
    rate: float  # first tries a second
    call_s: float = 0.16
    seed: int = 1
    tells_over: bool = True  # the pool ends a run at a call by itself, once its request is over
    watch_s: int = WATCH_S  # after the trouble's end
    served: Counter[int] = field(default_factory=Counter)  # served in each second
    rejected: Counter[int] = field(default_factory=Counter)
    runs: Counter[int] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.control = Controller(SETTINGS, self.seed, 0)
        self.now = 0
        self.from_us = 0 if self.trouble.kind == "late" else CALM_S * SECOND
        self.over_us = (CALM_S + self.trouble.duration_s) * SECOND
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count(1)
        self._queue: list[int] = []  # runs that wait for a core
        self._busy = 0
        self._stage: dict[int, int] = {}  # of each run: 1 on its way to its call, 2 at it, 3 behind it
        self._calls: dict[int, int] = {}  # which call of a run is out
        self._began: dict[int, int] = {}
        self._tries: dict[int, tuple[int, int]] = {}  # class and number of the try
        self._at(0, self._caller)
        self._tell()

    @property
    def faulty(self) -> bool:
        """Whether the trouble lasts."""
        return self.from_us <= self.now < self.over_us

    def run(self) -> ServerSimulation:
        """All of it."""
        end = self.over_us + self.watch_s * SECOND
        while self._agenda[0][0] < end:
            self.now, _, task = heapq.heappop(self._agenda)
            task()
        return self

    def recovery_s(self) -> int | None:
        """Seconds from the trouble's end until as much is served as before, or as comes; None: not at all."""
        over = self.over_us // SECOND
        before = range(2, CALM_S)
        usual = min(self.rate, SERVES)
        if self.trouble.kind != "late":
            usual = min(usual, sum(self.served[second] for second in before) / len(before))
        for second in range(over, over + self.watch_s - BACK_OVER_S):
            served = sum(self.served[second + more] for more in range(BACK_OVER_S)) / BACK_OVER_S
            if served >= BACK_PART * usual:
                return second - over
        return None

    def longest_standstill_s(self) -> int:
        """The longest stretch after the trouble in which requests came and nothing was begun."""
        over, longest, shut = self.over_us // SECOND, 0, 0
        for second in range(over, over + self.watch_s):
            idle = not self.runs[second] and self.rejected[second]
            shut = shut + 1 if idle else 0
            longest = max(longest, shut)
        return longest

    # --- callers

    def _at(self, delay_us: float, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (self.now + int(delay_us), next(self._count), task))

    def _caller(self) -> None:
        self._at(self.random.expovariate(self.rate) * SECOND, self._caller)
        self._try(self.random.choices(range(len(MIX)), MIX)[0], 1)

    def _try(self, cls: int, number: int) -> None:
        rid = next(self._count)
        self._tries[rid] = cls, number
        self._tell(Arrival(rid, cls, memory=24.5, client=self.random.randrange(8)))

    # --- the module

    def _tell(self, *events: Event) -> None:
        for action in self.control.handle(self.now, events):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._at(max(0, action.due_at - self.now), self._tick)
        elif isinstance(action, StartRun):
            self.runs[self.now // SECOND] += 1
            self._stage[action.request_id], self._began[action.request_id] = 1, self.now
            self._queue.append(action.request_id)
            self._work()
        elif isinstance(action, Reject):
            self.rejected[self.now // SECOND] += 1
            cls, number = self._tries.pop(action.request_id)
            if number < TRIES:
                self._at(AGAIN_US, lambda: self._try(cls, number + 1))
        elif isinstance(action, Fail):
            if self._stage.get(action.request_id) == 2 and self.tells_over:
                self._end(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, Cancel):
            if action.request_id in self._stage:
                self._end(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, MakeCall):
            self._call(action.request_id, action.timeout)

    def _tick(self) -> None:
        self._tell(TimerFired(0, self._busy / CORES, float(self._busy + len(self._queue)), 0.1, 10))

    # --- the pool

    def _notice(self, event: Event) -> None:
        """What the pool says is heard at once, or once its link is up."""
        away = self.faulty and self.trouble.kind in ("away", "late")
        self._at(self.over_us - self.now if away else 0, lambda: self._tell(event))

    def _work(self) -> None:
        while self._busy < CORES and self._queue:
            rid = self._queue.pop(0)
            if rid in self._stage:
                self._busy += 1
                slow = self.trouble.factor if self.faulty and self.trouble.kind == "cores" else 1.0
                self._at(HALF_S * slow * SECOND, lambda rid=rid: self._worked(rid))  # type: ignore[misc]

    def _worked(self, rid: int) -> None:
        self._busy -= 1
        if self._stage.get(rid) == 1:
            self._stage[rid] = 2
            self._notice(CallRequested(rid))
        elif rid in self._stage:
            self.served[self.now // SECOND] += 1
            self._end(rid, Outcome.OK)
        self._work()

    def _end(self, rid: int, outcome: Outcome) -> None:
        del self._stage[rid]
        took = self.now - self._began.pop(rid)
        self._calls.pop(rid, None)
        self._tries.pop(rid, None)
        self._notice(RunFinished(rid, outcome, took))

    # --- the vault

    def _call(self, rid: int, timeout: int) -> None:
        trouble = self.trouble.kind if self.faulty else ""
        took = self.call_s * SECOND * self.random.uniform(0.7, 1.3)
        took *= self.trouble.factor if trouble == "slow" else 1.0
        end = {"refusing": Outcome.REJECTED, "down": Outcome.UNREACHED}.get(trouble, Outcome.OK)
        if end is not Outcome.OK:
            took = 1_000
        elif trouble == "silent" or took >= timeout:
            took, end = timeout, Outcome.TIMEOUT
        number = self._calls[rid] = next(self._count)
        self._at(took, lambda: self._called(rid, number, end, int(took)))

    def _called(self, rid: int, number: int, end: Outcome, took: int) -> None:
        if self._calls.get(rid) != number:
            return  # its run is over
        del self._calls[rid]
        if end is Outcome.OK:
            self._stage[rid] = 3
            self._queue.append(rid)
            self._work()
        self._tell(CallFinished(rid, end, took))


RATES, LENGTHS_S, SEEDS = (1.0, 5.0, 13.0, 20.0, 50.0), (2, 6, 30), (1, 2, 3)


@dataclass(frozen=True)
class Row:
    """A trouble, a rate and a kind of pool, played for each length and seed."""

    kind: str
    rate: float
    tells_over: bool
    back_s: list[list[int | None]]  # by length, then by seed
    shut_s: int  # the longest


@dataclass
class Report:
    """What all of it has shown."""

    rows: list[Row]

    @property
    def good(self) -> bool:
        """The server came back from everything."""
        return all(back is not None for row in self.rows for seeds in row.back_s for back in seeds)

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        rows = [asdict(row) for row in self.rows]
        return {"good": self.good, "lengths_s": LENGTHS_S, "seeds": SEEDS, "rows": rows}

    def lines(self) -> list[str]:
        """For a terminal."""
        head = " ".join(f"{f'{length} s':>19}" for length in LENGTHS_S)
        lines = [
            f"Seconds from the trouble's end until as much is served as before it, seeds {SEEDS}.",
            f"{'trouble':9} {'a second':>8} {'pool':5} {head} shut",
        ]
        for row in self.rows:
            backs = (", ".join("never" if back is None else str(back) for back in one) for one in row.back_s)
            told = " ".join(f"{back:>19}" for back in backs)
            pool = "tells" if row.tells_over else "mute"
            lines.append(f"{row.kind:9} {row.rate:8g} {pool:5} {told} {row.shut_s:4}")
        return lines


def _row(case: tuple[str, float, bool]) -> Row:
    kind, rate, tells = case
    lives = [
        [ServerSimulation(Fault(kind, length), rate, seed=seed, tells_over=tells).run() for seed in SEEDS]
        for length in LENGTHS_S
    ]
    return Row(
        kind,
        rate,
        tells,
        [[life.recovery_s() for life in row] for row in lives],
        max(life.longest_standstill_s() for row in lives for life in row),
    )


def play(kinds: Sequence[str] = KINDS, rates: Sequence[float] = RATES) -> Report:
    """All troubles at all rates, on all cores."""
    cases = [(kind, rate, tells) for kind in kinds for rate in rates for tells in (True, False)]
    with ProcessPoolExecutor() as workers:
        return Report(list(workers.map(_row, cases)))
