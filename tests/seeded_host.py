"""A simulated host that generates requests and reacts to a controller's actions like a service instance.

The host is deterministic: its events depend only on the scenario and on the controller's actions, so two
controllers with the same decisions get the same events. Simulated time covers several incarnations.
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
# Number of events between recorded digests, which locate the first difference of two recordings.
CHECKPOINT_EVENTS = 2_000
CHECKPOINT_DIGITS = 12
NEW_CLIENT_EACH_TIME = 1 << 20
# Probability per step of an event about a request that has ended or never arrived.
STRAY_CHANCE = 0.003
# A keyed request may be a duplicate of one of this many most recently remembered ones.
RECENT_KEYS = 40
# Probability that an incarnation gets a drain notice (else it is killed), and time from notice to stop.
DRAIN_CHANCE = 0.6
DRAIN_NOTICE = 3 * SECOND


@dataclass(frozen=True)
class Scenario:
    """The configuration of an instance and its load."""

    settings: Settings
    seed: int
    events: int
    mean_work: int  # mean run time of a request on an idle core
    load: float  # mean arrival rate relative to the capacity of the cores, before the variation over time
    call_chance: float = 0.0
    call_time: int = 20 * MS
    failure_chance: float = 0.02  # probability that a run fails outside of fault periods
    clients: int = 20
    delayed_read_chance: float = 0.1  # probability that a request waits long before it is read
    lost_timer_chance: float = 0.0  # probability that a timer never fires
    mean_incarnation_time: int = 7 * SECOND  # mean time that an incarnation lasts
    drains: bool = True  # whether incarnations may get a drain notice before they stop


class Place(Enum):
    """The state of a request at the host."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_CALL = 2
    CALLING = 3
    AWAITING_ORIGINAL = 4
    ENDED = 5


class PlannedKind(Enum):
    """A kind of event that is planned for a future time."""

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
    """The host's record of a request."""

    id: int
    class_index: int
    memory: float
    work_left: int
    needs_call: bool
    original: int | None = None
    place: Place = Place.QUEUED
    answered: bool = False
    generation: int = 0  # events planned for an earlier generation are dropped


@dataclass(slots=True)
class Recording:
    """Digests and counts of the events that a controller got and of its actions."""

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
        self._recent_keys: deque[int] = deque(maxlen=RECENT_KEYS)  # the most recently remembered
        self._running = 0
        self._waiting: dict[int, list[HostedRequest]] = {}  # original -> duplicates waiting for its result
        self._next_id = 1
        self._incarnations = 0
        self._pending: list[Event] = []
        self._hash = sha256()
        self._count = 0
        self._recording = Recording()
        self._start_incarnation()

    def record(self) -> Recording:
        """Run the whole scenario and return its recording."""
        recording = self._recording
        while self._count < self._scenario.events:
            self._step()
        recording.digest = self._hash.hexdigest()
        return recording

    # --- incarnations

    def _start_incarnation(self) -> None:
        """Start a new controller, which takes over keyed runs and keys of the previous incarnation."""
        running = [request for request in self._requests.values() if request.place is Place.RUNNING]
        live_keys = {request_id: end for request_id, end in self._remembered.items() if end > self._now}
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
        length = int(self._scenario.mean_incarnation_time * self._random.uniform(0.7, 1.3))
        if self._scenario.drains and self._random.random() < DRAIN_CHANCE:
            self._plan(PlannedKind.DRAIN, length - DRAIN_NOTICE)
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

    def _plan(self, kind: PlannedKind, delay: int, subject_id: int = 0, generation: int = 0) -> None:
        self._plan_count += 1
        heapq.heappush(
            self._planned, (self._now + max(0, delay), self._plan_count, kind, subject_id, generation)
        )

    def _step(self) -> None:
        """Deliver all events of one round in one batch."""
        planned_at = self._planned[0][0]
        self._now = max(self._now, planned_at)
        if self._random.random() < 0.5:
            self._now += self._settings.min_round_interval  # events within this interval share a batch
        events, self._pending = self._pending, []
        while self._planned and self._planned[0][0] <= self._now:
            _, _, kind, subject_id, generation = heapq.heappop(self._planned)
            if kind is PlannedKind.RESTART:
                self._start_incarnation()
                events = self._pending
                self._pending = []
            else:
                events += self._events_of(kind, subject_id, generation)
        if self._random.random() < STRAY_CHANCE:
            events.append(self._stray_event())
        self._deliver_events(events)

    def _stray_event(self) -> Event:
        request_id = self._random.choice((0, self._next_id + 1_000, max(1, self._next_id // 2)))
        if request_id in self._requests:
            request_id = 0
        outcome = self._random.choice(CALL_FAILURES)
        stray_events = (
            ClientDisconnected(request_id),
            RunFinished(request_id, outcome),
            CallRequested(request_id),
            CallFinished(request_id, outcome),
        )
        return self._random.choice(stray_events)

    def _deliver_events(self, events: list[Event]) -> None:
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

    def _events_of(self, kind: PlannedKind, subject_id: int, generation: int) -> list[Event]:
        if kind is PlannedKind.ARRIVAL:
            return [self._arrive()]
        if kind is PlannedKind.TIMER:
            return [self._timer_event(subject_id)]
        if kind is PlannedKind.DRAIN:
            return [DrainStarted(DRAIN_NOTICE - self._random.randrange(SECOND))]
        request = self._requests.get(subject_id)
        if request is None:
            return []
        if kind is PlannedKind.DISCONNECT:
            return self._disconnect(request)
        if generation != request.generation:
            return []
        if kind is PlannedKind.RUN_END:
            return self._end_run(request, self._run_outcome())
        if kind is PlannedKind.CANCELLED:
            return self._end_run(request, Outcome.CANCELLED)
        if kind is PlannedKind.REPLAYED:
            return self._end_run(request, self._run_outcome())
        if kind is PlannedKind.CALL_REQUEST:
            return self._request_call(request)
        return self._end_call(request)

    def _is_fault_period(self) -> bool:
        """Whether this is the one second in 25 in which most runs fail and calls take long."""
        return self._now // SECOND % 25 == 13

    def _arrival_gap(self) -> int:
        """Time to the next arrival. Low load and overload alternate, with bursts in between."""
        phase = self._now // SECOND % 20
        load = self._scenario.load * (0.4 if phase < 7 else 1.0 if phase < 13 else 2.0 if phase < 19 else 5.0)
        mean = self._scenario.mean_work / (self._settings.cores * load)
        return max(1, int(self._random.expovariate(1 / mean)))

    def _arrive(self) -> Event:
        rng = self._random
        self._plan(PlannedKind.ARRIVAL, self._arrival_gap())
        request_id, self._next_id = self._next_id, self._next_id + 1
        index = rng.randrange(len(self._settings.classes))
        request_class = self._settings.classes[index]
        work = max(1, int(rng.expovariate(1 / self._scenario.mean_work)))
        request = HostedRequest(request_id, index, rng.choice((8.0, 24.5, 60.0)), work, False)
        request.needs_call = rng.random() < self._scenario.call_chance
        event = Arrival(request_id, index, memory=request.memory)
        event.queue_delay = (
            rng.randrange(5 * MS)
            if rng.random() < 1 - self._scenario.delayed_read_chance
            else rng.randrange(request_class.latency_objective // 3)
        )
        event.is_retry = rng.random() < 0.15
        if rng.random() < 0.6:
            timeout_fraction = rng.choice((1.0, 1.0, 0.6)) if not event.is_retry else rng.random()
            event.time_left = int(timeout_fraction * request_class.client_timeout)
        if rng.random() < 0.5:
            event.cost = int(work * rng.uniform(0.8, 1.2))
        event.client = rng.randrange(self._scenario.clients)
        event.tenant = rng.randrange(len(self._settings.tenants) + 1) if self._settings.tenants else 0
        if request_class.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED:
            self._choose_key(event, request)
        self._requests[request_id] = request
        if rng.random() < 0.2:
            self._plan(PlannedKind.DISCONNECT, rng.randrange(request_class.client_timeout // 3), request_id)
        return event

    def _choose_key(self, event: Arrival, request: HostedRequest) -> None:
        """Make some keyed requests duplicates of recent ones, and delay the storage of some keys."""
        candidates = [
            request_id for request_id in self._recent_keys if self._remembered.get(request_id, 0) > self._now
        ]
        if candidates and self._random.random() < 0.25:
            event.duplicate_of = request.original = self._random.choice(candidates)
        elif self._random.random() < 0.03:
            event.storage_delay = self._random.randrange(1, SECOND)

    def _timer_event(self, token: int) -> Event:
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
        failing = 0.8 if self._is_fault_period() else self._scenario.failure_chance
        if self._random.random() >= failing:
            return Outcome.OK
        return self._random.choice((Outcome.ERROR, Outcome.ERROR, *RUN_OUTCOMES[1:]))

    def _end_run(self, request: HostedRequest, outcome: Outcome) -> list[Event]:
        """End a run and the duplicates that wait for its result."""
        self._move(request, Place.ENDED)
        duration = int(self._random.uniform(0.5, 2.0) * self._scenario.mean_work)
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
        """Run a request on the cores; it takes longer the more requests run."""
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

    def _move(self, request: HostedRequest, new_place: Place) -> None:
        """Change a request's state, which invalidates the events planned for it."""
        self._running += (new_place is Place.RUNNING) - (request.place is Place.RUNNING)
        request.place = new_place
        request.generation += 1
        if new_place is Place.ENDED:
            del self._requests[request.id]

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            if self._scenario.lost_timer_chance and self._random.random() < self._scenario.lost_timer_chance:
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
        """Cancel the run shortly; one in ten is not cancelled, as if it had ended by itself before."""
        if request.place is Place.RUNNING and self._random.random() < 0.9:
            request.generation += 1
            self._plan(PlannedKind.CANCELLED, self._random.randrange(3 * MS), request.id, request.generation)

    def _await_original(self, request: HostedRequest) -> None:
        self._move(request, Place.AWAITING_ORIGINAL)
        if request.original in self._requests:
            self._waiting.setdefault(request.original, []).append(request)
        else:
            self._plan(PlannedKind.REPLAYED, self._random.randrange(MS), request.id, request.generation)
