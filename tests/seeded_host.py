"""A simulated host that generates requests, and reacts to a controller's actions as an instance would.

All that it does follows from a scenario and the actions: two controllers that decide alike get the same
events to the last one. Time is simulated, and covers several incarnations of the instance.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256

from neutral import ACTION_LABELS, EVENT_LABELS, action_form, event_form

from cairnvane.admission.controller import Controller
from cairnvane.contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    LogMessage,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
)
from cairnvane.contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    KeysRestored,
    Outcome,
    RunAdopted,
    RunFinished,
    TimerFired,
)
from cairnvane.contract.settings import RequestClass, RetrySemantics, Settings

MS, SECOND = 1_000, 1_000_000
# A digest of all so far is taken after each so many events: the first one that differs shows where.
CHECKPOINT_EVENTS = 2_000
CHECKPOINT_DIGITS = 12
NO_CALLER_COMES_BACK = 1 << 20
# An event about a request that has ended or was never announced is inserted with this probability.
STRAY_CHANCE = 0.003
# A keyed request may be a duplicate of one of so many remembered last.
RECENT_KEYS = 40
# Most incarnations are notified so long before they are stopped; the others are killed.
DRAIN_CHANCE = 0.6
NOTICE = 3 * SECOND


@dataclass(frozen=True)
class Scenario:
    """The configuration of an instance, and its load."""

    settings: Settings
    seed: int
    events: int
    work: int  # the mean work of a request
    load: float  # arrivals as a multiple of what the cores can serve, before its variation in time
    call_chance: float = 0.0
    call_time: int = 20 * MS
    failing: float = 0.02  # runs that fail, except in periods in which most do
    callers: int = 20
    unread: float = 0.1  # requests that waited long before they were read
    lost_timers: float = 0.0  # timers that never fire
    life: int = 7 * SECOND  # how long an incarnation lasts
    drains: bool = True  # most incarnations are notified before they are stopped


class Place(Enum):
    """Where a request is."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_CALL = 2
    CALLING = 3
    AWAITING_ORIGINAL = 4
    ENDED = 5


class PlannedKind(Enum):
    """A kind of event that is planned for some time."""

    ARRIVAL = 0
    RUN_END = 1
    CALL_REQUEST = 2
    CALL_END = 3
    CANCELLED = 4
    REPLAYED = 5
    DISCONNECT = 6
    TIMER = 7
    DRAIN = 8
    RESTART = 9


@dataclass(slots=True)
class HostedRequest:
    """A request as its host knows it."""

    id: int
    class_index: int
    memory: float
    work_left: int
    needs_call: bool
    original: int | None = None
    place: Place = Place.QUEUED
    answered: bool = False
    generation: int = 0  # what was planned for an earlier generation does not happen


@dataclass(slots=True)
class Recording:
    """The events that a controller was given, and the actions that it took."""

    digest: str = ""
    checkpoints: list[str] = field(default_factory=list)
    events: Counter[str] = field(default_factory=Counter)
    actions: Counter[str] = field(default_factory=Counter)


RUN_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.BROKEN, Outcome.NEVER_STARTED)
CALL_FAILURES = (
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.BROKEN,
    Outcome.CANCELLED,
    Outcome.REJECTED,
    Outcome.UNREACHED,
    Outcome.NEVER_STARTED,
)


class SeededHost:
    """Runs one scenario against a controller."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._settings = scenario.settings
        self._random = random.Random(scenario.seed)
        self._now = 0
        self._planned: list[tuple[int, int, PlannedKind, int, int]] = []
        self._plan_count = 0
        self._requests: dict[int, HostedRequest] = {}
        self._remembered: dict[int, int] = {}  # request -> expiry
        self._recent_keys: deque[int] = deque(maxlen=RECENT_KEYS)  # remembered last
        self._running = 0
        self._waiting: dict[int, list[HostedRequest]] = {}  # original -> duplicates that wait for its result
        self._next_id = 1
        self._incarnations = 0
        self._pending: list[Event] = []
        self._hash = sha256()
        self._count = 0
        self._recording = Recording()
        self._start_incarnation()

    def record(self) -> Recording:
        """Run the whole scenario."""
        recording = self._recording
        while self._count < self._scenario.events:
            self._step()
        recording.digest = self._hash.hexdigest()
        return recording

    # --- incarnations

    def _start_incarnation(self) -> None:
        """A new controller; of an earlier incarnation, keyed runs and keys continue."""
        running = [request for request in self._requests.values() if request.place is Place.RUNNING]
        live_keys = {number: end for number, end in self._remembered.items() if end > self._now}
        self._requests = {}
        self._planned = []
        self._pending = []
        self._remembered = {}
        self._running = 0
        self._waiting = {}
        self._recent_keys.clear()
        self._incarnations += 1
        self._controller = Controller(
            self._settings, self._scenario.seed * 1_000 + self._incarnations, self._now
        )
        adopted = [
            request
            for request in running
            if self._class(request).retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        ][:3]
        for request in adopted:
            self._adopt(request, live_keys.pop(request.id, self._now + SECOND))
        if live_keys:
            self._pending.append(KeysRestored(len(live_keys), max(live_keys.values()) - self._now))
        self._plan(PlannedKind.ARRIVAL, 0)
        length = int(self._scenario.life * self._random.uniform(0.7, 1.3))
        if self._scenario.drains and self._random.random() < DRAIN_CHANCE:
            self._plan(PlannedKind.DRAIN, length - NOTICE)
        self._plan(PlannedKind.RESTART, length)

    def _adopt(self, request: HostedRequest, until: int) -> None:
        request.original = None
        request.generation = 0
        request.answered = True
        request.place = Place.QUEUED
        self._requests[request.id] = request
        self._remembered[request.id] = until
        time_left = self._random.randrange(200 * MS, 2 * SECOND)
        self._pending.append(
            RunAdopted(request.id, request.class_index, time_left, until - self._now, request.memory)
        )
        self._run(request)

    def _class(self, request: HostedRequest) -> RequestClass:
        return self._settings.classes[request.class_index]

    # --- time

    def _plan(self, kind: PlannedKind, after: int, number: int = 0, generation: int = 0) -> None:
        self._plan_count += 1
        heapq.heappush(self._planned, (self._now + max(0, after), self._plan_count, kind, number, generation))

    def _step(self) -> None:
        """All that happens within a round, in one batch."""
        at = self._planned[0][0]
        self._now = max(self._now, at)
        if self._random.random() < 0.5:
            self._now += self._settings.min_round_interval  # what happens within it is reported together
        events, self._pending = self._pending, []
        while self._planned and self._planned[0][0] <= self._now:
            _, _, kind, number, generation = heapq.heappop(self._planned)
            if kind is PlannedKind.RESTART:
                self._start_incarnation()
                events = self._pending
                self._pending = []
            else:
                events += self._events_of(kind, number, generation)
        if self._random.random() < STRAY_CHANCE:
            events.append(self._stray())
        self._deliver(events)

    def _stray(self) -> Event:
        number = self._random.choice((0, self._next_id + 1_000, max(1, self._next_id // 2)))
        if number in self._requests:
            number = 0
        outcome = self._random.choice(CALL_FAILURES)
        strays = (
            ClientDisconnected(number),
            RunFinished(number, outcome),
            CallRequested(number),
            CallFinished(number, outcome),
        )
        return self._random.choice(strays)

    def _deliver(self, events: list[Event]) -> None:
        for event in events:
            self._recording.events[EVENT_LABELS[type(event)]] += 1
            self._count += 1
            if self._count % CHECKPOINT_EVENTS == 0:
                self._recording.checkpoints.append(self._hash.hexdigest()[:CHECKPOINT_DIGITS])
            self._hash.update(repr(event_form(event)).encode())
        actions = self._controller.handle(self._now, events)
        self._hash.update(repr(self._now).encode())
        for action in actions:
            self._recording.actions[ACTION_LABELS[type(action)]] += 1
            self._hash.update(repr(action_form(action)).encode())
            self._carry_out(action)

    # --- events

    def _events_of(self, kind: PlannedKind, number: int, generation: int) -> list[Event]:
        if kind is PlannedKind.ARRIVAL:
            return [self._arrive()]
        if kind is PlannedKind.TIMER:
            return [self._fire(number)]
        if kind is PlannedKind.DRAIN:
            return [DrainStarted(NOTICE - self._random.randrange(SECOND))]
        request = self._requests.get(number)
        if request is None:
            return []
        if kind is PlannedKind.DISCONNECT:
            return self._disconnect(request)
        if generation != request.generation:
            return []
        if kind is PlannedKind.RUN_END:
            return self._end(request, self._run_outcome())
        if kind is PlannedKind.CANCELLED:
            return self._end(request, Outcome.CANCELLED)
        if kind is PlannedKind.REPLAYED:
            return self._end(request, self._run_outcome())
        if kind is PlannedKind.CALL_REQUEST:
            return self._request_call(request)
        return self._end_call(request)

    def _is_fault_period(self) -> bool:
        """One second in twenty-five, most runs fail and calls take long."""
        return self._now // SECOND % 25 == 13

    def _arrival_gap(self) -> int:
        """Low load and overload alternate, with bursts in between."""
        phase = self._now // SECOND % 20
        load = self._scenario.load * (0.4 if phase < 7 else 1.0 if phase < 13 else 2.0 if phase < 19 else 5.0)
        mean = self._scenario.work / (self._settings.cores * load)
        return max(1, int(self._random.expovariate(1 / mean)))

    def _arrive(self) -> Event:
        rng = self._random
        self._plan(PlannedKind.ARRIVAL, self._arrival_gap())
        number, self._next_id = self._next_id, self._next_id + 1
        index = rng.randrange(len(self._settings.classes))
        cls = self._settings.classes[index]
        work = max(1, int(rng.expovariate(1 / self._scenario.work)))
        request = HostedRequest(number, index, rng.choice((8.0, 24.5, 60.0)), work, False)
        request.needs_call = rng.random() < self._scenario.call_chance
        event = Arrival(number, index, memory=request.memory)
        event.queue_delay = (
            rng.randrange(5 * MS)
            if rng.random() < 1 - self._scenario.unread
            else rng.randrange(cls.latency_objective // 3)
        )
        event.is_retry = rng.random() < 0.15
        if rng.random() < 0.6:
            part = rng.choice((1.0, 1.0, 0.6)) if not event.is_retry else rng.random()
            event.time_left = int(part * cls.client_timeout)
        if rng.random() < 0.5:
            event.cost = int(work * rng.uniform(0.8, 1.2))
        event.client = rng.randrange(self._scenario.callers)
        event.tenant = rng.randrange(len(self._settings.tenants) + 1) if self._settings.tenants else 0
        if cls.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED:
            self._choose_key(event, request)
        self._requests[number] = request
        if rng.random() < 0.2:
            self._plan(PlannedKind.DISCONNECT, rng.randrange(cls.client_timeout // 3), number)
        return event

    def _choose_key(self, event: Arrival, request: HostedRequest) -> None:
        """Some keyed requests are duplicates of recent ones, and some keys can't be stored at once."""
        candidates = [number for number in self._recent_keys if self._remembered.get(number, 0) > self._now]
        if candidates and self._random.random() < 0.25:
            event.duplicate_of = request.original = self._random.choice(candidates)
        elif self._random.random() < 0.03:
            event.storage_delay = self._random.randrange(1, SECOND)

    def _fire(self, token: int) -> Event:
        rng = self._random
        running = self._running
        event = TimerFired(token)
        if rng.random() < 0.9:
            event.cpu_busy = min(1.0, running / self._settings.cores) * rng.uniform(0.7, 1.0)
        if rng.random() < 0.9:
            event.runnable = float(round(running * rng.uniform(0.5, 1.2)))
        if rng.random() < 0.5:
            event.memory_used, event.connections = rng.random(), float(rng.randrange(40))
        return event

    def _disconnect(self, request: HostedRequest) -> list[Event]:
        disconnected = ClientDisconnected(request.id)
        if request.place in (Place.QUEUED, Place.AWAITING_ORIGINAL):
            self._move(request, Place.ENDED)
        elif request.place in (Place.AWAITING_CALL, Place.CALLING):
            self._move(request, Place.ENDED)
            return [disconnected, RunFinished(request.id, Outcome.CANCELLED)]
        request.answered = True
        return [disconnected]

    def _run_outcome(self) -> Outcome:
        failing = 0.8 if self._is_fault_period() else self._scenario.failing
        if self._random.random() >= failing:
            return Outcome.OK
        return self._random.choice((Outcome.ERROR, Outcome.ERROR, *RUN_OUTCOMES[1:]))

    def _end(self, request: HostedRequest, outcome: Outcome) -> list[Event]:
        """A run ends, and with it the duplicates that wait for its result."""
        self._move(request, Place.ENDED)
        duration = int(self._random.uniform(0.5, 2.0) * self._scenario.work)
        events: list[Event] = [RunFinished(request.id, outcome, duration)]
        for duplicate in self._waiting.pop(request.id, []):
            if duplicate.place is Place.AWAITING_ORIGINAL:
                self._move(duplicate, Place.ENDED)
                events.append(RunFinished(duplicate.id, outcome))
        return events

    def _request_call(self, request: HostedRequest) -> list[Event]:
        self._move(request, Place.AWAITING_CALL)
        requested = CallRequested(request.id)
        if not request.answered:
            return [requested]
        self._move(request, Place.ENDED)
        return [requested, RunFinished(request.id, Outcome.CANCELLED)]

    def _end_call(self, request: HostedRequest) -> list[Event]:
        duration = int(self._random.uniform(0.5, 2.0) * self._call_time())
        if self._random.random() < (0.5 if self._is_fault_period() else 0.9):
            request.needs_call = False
            self._run(request)
            return [CallFinished(request.id, Outcome.OK, duration)]
        self._move(request, Place.AWAITING_CALL)
        return [CallFinished(request.id, self._random.choice(CALL_FAILURES), duration)]

    def _call_time(self) -> int:
        return self._scenario.call_time * (8 if self._is_fault_period() else 1)

    # --- actions

    def _run(self, request: HostedRequest) -> None:
        """It runs on the cores; the more requests do, the longer it takes."""
        self._move(request, Place.RUNNING)
        duration = int(request.work_left * max(1.0, self._running / self._settings.cores))
        if request.needs_call:
            duration //= 2
            request.work_left -= request.work_left // 2
        self._plan(
            PlannedKind.CALL_REQUEST if request.needs_call else PlannedKind.RUN_END,
            duration,
            request.id,
            request.generation,
        )

    def _move(self, request: HostedRequest, to: Place) -> None:
        """Its place changes, and nothing that was planned for it counts any more."""
        self._running += (to is Place.RUNNING) - (request.place is Place.RUNNING)
        request.place = to
        request.generation += 1
        if to is Place.ENDED:
            del self._requests[request.id]

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            if self._scenario.lost_timers and self._random.random() < self._scenario.lost_timers:
                return
            delay = self._random.randrange(2 * MS)
            self._plan(PlannedKind.TIMER, max(action.due_at - self._now, 1) + delay, action.token)
        elif not isinstance(action, (SetHealth, ReportLoad, CloseIdleConnections, LogMessage)):
            if isinstance(action, RememberKey):
                self._recent_keys.append(action.request_id)
                self._remembered[action.request_id] = self._now + action.lifetime
            elif isinstance(action, ForgetKey):
                self._remembered.pop(action.request_id, None)
            elif (request := self._requests.get(action.request_id)) is not None:
                self._carry_out_for(request, action)

    def _carry_out_for(self, request: HostedRequest, action: Action) -> None:
        if isinstance(action, StartRun):
            self._run(request)
        elif isinstance(action, Reject):
            self._move(request, Place.ENDED)
        elif isinstance(action, Fail):
            self._fail(request)
        elif isinstance(action, Cancel):
            self._cancel(request)
        elif isinstance(action, MakeCall):
            self._move(request, Place.CALLING)
            duration = min(action.timeout, int(self._random.expovariate(1 / self._call_time())))
            self._plan(PlannedKind.CALL_END, duration, request.id, request.generation)
        elif isinstance(action, SkipCall):
            request.needs_call = False
            self._run(request)
        elif isinstance(action, ReplayResult):
            self._await_original(request)

    def _fail(self, request: HostedRequest) -> None:
        request.answered = True
        if request.place in (Place.AWAITING_CALL, Place.CALLING):
            self._pending.append(RunFinished(request.id, Outcome.CANCELLED))
        if request.place is not Place.RUNNING:
            self._move(request, Place.ENDED)

    def _cancel(self, request: HostedRequest) -> None:
        """Most are cancelled at once; some have ended by themselves before."""
        if request.place is Place.RUNNING and self._random.random() < 0.9:
            request.generation += 1
            self._plan(PlannedKind.CANCELLED, self._random.randrange(3 * MS), request.id, request.generation)

    def _await_original(self, request: HostedRequest) -> None:
        self._move(request, Place.AWAITING_ORIGINAL)
        if request.original in self._requests:
            self._waiting.setdefault(request.original, []).append(request)
        else:
            self._plan(PlannedKind.REPLAYED, self._random.randrange(MS), request.id, request.generation)
