"""`cairnvane lab recovery`: whether and when a server recovers from a fault, on a virtual clock.

The admission controller is the real one. The worker pool, whose cores all runs share, the dependency, and the
clients, which retry at once after a rejection, are simulated. Each run has one fault of limited duration.
After it the controller must not keep rejecting requests: see `ServerSimulation.recovery_s`.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from enum import Enum
from functools import partial
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
# CPU time of a request before its call, and again after it; four cores then serve 22 requests per second.
HALF_WORK_S = 0.088
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
CLASS_WEIGHTS = (5, 3, 2)
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
# Delay between a rejection and the client's retry, and the attempts of a client for one request.
RETRY_DELAY_US = 2_000
MAX_ATTEMPTS = 5
# Requests per second that the cores serve at least while the server also reads the rejected requests.
MIN_SERVICE_RATE = 0.85 * CORES / (2 * HALF_WORK_S)
# Time without faults before the fault; the rate that is served in it must be reached again afterwards.
BEFORE_FAULT_S = 8
# Time for which the server is observed after the fault.
OBSERVED_S = 60
# The server has recovered when it serves this fraction of the earlier rate over a window of this length.
RECOVERED_FRACTION = 0.9
RECOVERY_WINDOW_S = 3

KINDS = ("slow", "silent", "refusing", "down", "away", "late", "cores")


# A call that is rejected, or can't be delivered, ends after this time.
REJECTED_CALL_US = 1_000


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins at `BEFORE_FAULT_S` (`late`: at the start).

    `slow`: calls take `factor` times as long. `silent`: calls are never answered. `refusing`: calls are
    rejected before they run. `down`: calls can't be delivered. `away`, `late`: the pool's notices arrive only
    at the end of the fault. `cores`: CPU work takes `factor` times as long.
    """

    kind: str
    duration_s: int
    factor: float = 8.0


class _Stage(Enum):
    """Progress of a run with respect to its call."""

    BEFORE_CALL = 1
    AT_CALL = 2
    AFTER_CALL = 3


@dataclass
class ServerSimulation:
    """One server, from its start to `OBSERVED_S` after the end of the fault."""

    fault: Fault
    rate: float  # original requests per second, without retries
    call_s: float = 0.16
    seed: int = 1
    tells_over: bool = True  # the pool ends a run that waits for its call once the request is over
    watch_s: int = OBSERVED_S  # observed time after the end of the fault
    served: Counter[int] = field(default_factory=Counter)  # number of served requests in each second
    rejected: Counter[int] = field(default_factory=Counter)
    runs: Counter[int] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.control = Controller(SETTINGS, self.seed, 0)
        self.now = 0
        self.fault_begins_us = 0 if self.fault.kind == "late" else BEFORE_FAULT_S * SECOND
        self.fault_ends_us = (BEFORE_FAULT_S + self.fault.duration_s) * SECOND
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._waiting_for_core: list[int] = []
        self._busy_cores = 0
        self._stage: dict[int, _Stage] = {}  # by request id
        self._calls: dict[int, int] = {}  # by request id, the number of the call that the run waits for
        self._started_at: dict[int, int] = {}
        self._attempts: dict[int, tuple[int, int]] = {}  # by request id, class and number of the attempt
        self._schedule(0, self._create_request)
        self._handle()

    @property
    def faulty(self) -> bool:
        """Whether the fault is active now."""
        return self.fault_begins_us <= self.now < self.fault_ends_us

    def run(self) -> ServerSimulation:
        """Run until the end of the observation."""
        end = self.fault_ends_us + self.watch_s * SECOND
        while self._agenda[0][0] < end:
            self.now, _, task = heapq.heappop(self._agenda)
            task()
        return self

    def recovery_s(self) -> int | None:
        """Seconds from the end of the fault until the earlier rate, or the load's, is served; None: never."""
        ends_at = self.fault_ends_us // SECOND
        before = range(2, BEFORE_FAULT_S)
        rate_before = min(self.rate, MIN_SERVICE_RATE)
        if self.fault.kind != "late":
            rate_before = min(rate_before, sum(self.served[second] for second in before) / len(before))
        for second in range(ends_at, ends_at + self.watch_s - RECOVERY_WINDOW_S):
            window = range(second, second + RECOVERY_WINDOW_S)
            served = sum(self.served[in_window] for in_window in window) / RECOVERY_WINDOW_S
            if served >= RECOVERED_FRACTION * rate_before:
                return second - ends_at
        return None

    def longest_standstill_s(self) -> int:
        """The longest time in seconds after the fault in which requests arrived and none was started."""
        ends_at = self.fault_ends_us // SECOND
        longest = 0
        standstill = 0
        for second in range(ends_at, ends_at + self.watch_s):
            is_standstill = not self.runs[second] and self.rejected[second]
            standstill = standstill + 1 if is_standstill else 0
            longest = max(longest, standstill)
        return longest

    # --- clients

    def _schedule(self, delay_us: float, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (self.now + int(delay_us), next(self._numbers), task))

    def _create_request(self) -> None:
        self._schedule(self.random.expovariate(self.rate) * SECOND, self._create_request)
        self._send_attempt(self.random.choices(range(len(CLASS_WEIGHTS)), CLASS_WEIGHTS)[0], 1)

    def _send_attempt(self, class_index: int, number: int) -> None:
        request_id = next(self._numbers)
        self._attempts[request_id] = class_index, number
        self._handle(Arrival(request_id, class_index, memory=24.5, client=self.random.randrange(8)))

    # --- the controller

    def _handle(self, *events: Event) -> None:
        for action in self.control.handle(self.now, events):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._schedule(max(0, action.due_at - self.now), self._tick)
        elif isinstance(action, StartRun):
            self.runs[self.now // SECOND] += 1
            self._stage[action.request_id] = _Stage.BEFORE_CALL
            self._started_at[action.request_id] = self.now
            self._waiting_for_core.append(action.request_id)
            self._assign_cores()
        elif isinstance(action, Reject):
            self.rejected[self.now // SECOND] += 1
            class_index, number = self._attempts.pop(action.request_id)
            if number < MAX_ATTEMPTS:
                self._schedule(RETRY_DELAY_US, lambda: self._send_attempt(class_index, number + 1))
        elif isinstance(action, Fail):
            if self._stage.get(action.request_id) is _Stage.AT_CALL and self.tells_over:
                self._end(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, Cancel):
            if action.request_id in self._stage:
                self._end(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, MakeCall):
            self._call(action.request_id, action.timeout)

    def _tick(self) -> None:
        runnable = float(self._busy_cores + len(self._waiting_for_core))
        self._handle(TimerFired(0, self._busy_cores / CORES, runnable, 0.1, 10))

    # --- the pool

    def _notice(self, event: Event) -> None:
        """Pass a notice of the pool to the controller at once, or when the link is up again."""
        link_down = self.faulty and self.fault.kind in ("away", "late")
        self._schedule(self.fault_ends_us - self.now if link_down else 0, lambda: self._handle(event))

    def _assign_cores(self) -> None:
        while self._busy_cores < CORES and self._waiting_for_core:
            request_id = self._waiting_for_core.pop(0)
            if request_id in self._stage:
                self._busy_cores += 1
                slowdown = self.fault.factor if self.faulty and self.fault.kind == "cores" else 1.0
                self._schedule(HALF_WORK_S * slowdown * SECOND, partial(self._finish_half, request_id))

    def _finish_half(self, request_id: int) -> None:
        self._busy_cores -= 1
        if self._stage.get(request_id) is _Stage.BEFORE_CALL:
            self._stage[request_id] = _Stage.AT_CALL
            self._notice(CallRequested(request_id))
        elif request_id in self._stage:
            self.served[self.now // SECOND] += 1
            self._end(request_id, Outcome.OK)
        self._assign_cores()

    def _end(self, request_id: int, outcome: Outcome) -> None:
        del self._stage[request_id]
        duration = self.now - self._started_at.pop(request_id)
        self._calls.pop(request_id, None)
        self._attempts.pop(request_id, None)
        self._notice(RunFinished(request_id, outcome, duration))

    # --- the dependency

    def _call(self, request_id: int, timeout: int) -> None:
        fault = self.fault.kind if self.faulty else ""
        duration = self.call_s * SECOND * self.random.uniform(0.7, 1.3)
        duration *= self.fault.factor if fault == "slow" else 1.0
        outcome = {"refusing": Outcome.REJECTED, "down": Outcome.UNREACHED}.get(fault, Outcome.OK)
        if outcome is not Outcome.OK:
            duration = REJECTED_CALL_US
        elif fault == "silent" or duration >= timeout:
            duration = timeout
            outcome = Outcome.TIMEOUT
        number = self._calls[request_id] = next(self._numbers)
        self._schedule(duration, lambda: self._finish_call(request_id, number, outcome, int(duration)))

    def _finish_call(self, request_id: int, number: int, outcome: Outcome, duration: int) -> None:
        if self._calls.get(request_id) != number:
            return  # the run has ended
        del self._calls[request_id]
        if outcome is Outcome.OK:
            self._stage[request_id] = _Stage.AFTER_CALL
            self._waiting_for_core.append(request_id)
            self._assign_cores()
        self._handle(CallFinished(request_id, outcome, duration))


RATES = (1.0, 5.0, 13.0, 20.0, 50.0)
FAULT_DURATIONS_S = (2, 6, 30)
SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Row:
    """Results for a kind of fault, a rate and a kind of pool; field names are keys of the JSON report."""

    kind: str
    rate: float
    tells_over: bool
    back_s: list[list[int | None]]  # by duration of the fault, then by seed; None: never
    shut_s: int  # the longest standstill in seconds


@dataclass
class Report:
    """Results of all cases."""

    rows: list[Row]

    @property
    def good(self) -> bool:
        """Whether the server recovered from every fault."""
        return all(back is not None for row in self.rows for seeds in row.back_s for back in seeds)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        rows = [asdict(row) for row in self.rows]
        return {"good": self.good, "lengths_s": FAULT_DURATIONS_S, "seeds": SEEDS, "rows": rows}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        head = " ".join(f"{f'{length} s':>19}" for length in FAULT_DURATIONS_S)
        lines = [
            f"Seconds from the end of the fault until the earlier rate is served again, seeds {SEEDS}.",
            f"{'trouble':9} {'a second':>8} {'pool':5} {head} shut",
        ]
        for row in self.rows:
            by_length = (
                ", ".join("never" if back is None else str(back) for back in seeds) for seeds in row.back_s
            )
            columns = " ".join(f"{seeds:>19}" for seeds in by_length)
            pool = "tells" if row.tells_over else "mute"
            lines.append(f"{row.kind:9} {row.rate:8g} {pool:5} {columns} {row.shut_s:4}")
        return lines


def _row(case: tuple[str, float, bool]) -> Row:
    kind, rate, tells_over = case
    simulations = [
        [
            ServerSimulation(Fault(kind, length), rate, seed=seed, tells_over=tells_over).run()
            for seed in SEEDS
        ]
        for length in FAULT_DURATIONS_S
    ]
    return Row(
        kind,
        rate,
        tells_over,
        [[simulation.recovery_s() for simulation in row] for row in simulations],
        max(simulation.longest_standstill_s() for row in simulations for simulation in row),
    )


def play(kinds: Sequence[str] = KINDS, rates: Sequence[float] = RATES) -> Report:
    """Simulate all kinds of faults at all rates, using all cores."""
    cases = [(kind, rate, tells_over) for kind in kinds for rate in rates for tells_over in (True, False)]
    with ProcessPoolExecutor() as workers:
        return Report(list(workers.map(_row, cases)))
