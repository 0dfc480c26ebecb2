"""Settings and a simulated host for the admission tests; the host checks every action of a controller."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

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
    UNEXECUTED_OUTCOMES,
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    Outcome,
    RunFinished,
    TimerFired,
)
from cairnvane.contract.settings import CancelMode, DependencyKind, RequestClass, RetrySemantics, Settings

MS = 1_000
IDEMPOTENT, KEYED, NON_IDEMPOTENT = 0, 1, 2
ANSWER_TOLERANCE = 60 * MS  # tolerated delay of an answer after its deadline
CLASSES = (
    RequestClass("read", latency_objective=1_000 * MS, client_timeout=3_000 * MS, degraded_fraction=0.5),
    RequestClass(
        "write",
        latency_objective=1_000 * MS,
        client_timeout=3_000 * MS,
        priority_weight=3,
        retry_semantics=RetrySemantics.IDEMPOTENCY_KEYED,
        retry_window=8_000 * MS,
    ),
    RequestClass(
        "once",
        latency_objective=1_000 * MS,
        client_timeout=3_000 * MS,
        priority_weight=2,
        retry_semantics=RetrySemantics.NON_IDEMPOTENT,
    ),
)


def settings(**changes: Any) -> Settings:
    """Four cores, plenty of memory, three classes."""
    base = Settings(
        cores=4,
        memory=100_000.0,
        classes=CLASSES,
        running_memory_factor=8.0,
        key_memory=10.0,
        cancel_mode=CancelMode.DISCARD,
        max_oversubscription=5.0,
        drain_grace=2_000 * MS,
        max_retry_after=1_000 * MS,
        min_round_interval=5 * MS,
    )
    return replace(base, **changes)


def actions_of(actions: list[Action], kind: type) -> list[Any]:
    """Return the actions of one type."""
    return [action for action in actions if type(action) is kind]


RequestAction = (
    StartRun | Reject | Fail | Cancel | MakeCall | SkipCall | RememberKey | ForgetKey | ReplayResult
)


class Place(Enum):
    """The state of a request at its host."""

    QUEUED = "queued"
    AWAITING_ORIGINAL = "awaiting_original"
    RUNNING = "running"
    AWAITING_CALL = "awaiting_call"
    CALLING = "calling"
    ENDED = "ended"


WITH_QUEUE_MEMORY = (Place.QUEUED, Place.AWAITING_ORIGINAL)
AT_CALL = (Place.AWAITING_CALL, Place.CALLING)
WITH_RUN_MEMORY = (Place.RUNNING, *AT_CALL)


@dataclass
class HostedRequest:
    """The host's record of a request."""

    class_index: int
    arrived_at: int
    deadline: int
    memory: float
    place: Place = Place.QUEUED
    has_run: bool = False
    answered: bool = False
    original: int | None = None
    call_may_have_run: bool = False  # and the call has an effect

    def end(self) -> None:
        """Record that the request was answered and has ended."""
        self.answered = True
        self.place = Place.ENDED


@dataclass
class SimulatedHost:
    """Carries out actions like a service instance, and asserts the four rules of the controller."""

    controller: Controller
    settings: Settings
    now: int = 0
    runnable: float | None = 4
    cpu_busy: float = 0.5
    requests: dict[int, HostedRequest] = field(default_factory=dict)
    remembered_keys: dict[int, int] = field(default_factory=dict)  # request -> expiry
    timers: list[tuple[int, int]] = field(default_factory=list)
    drain_at: int | None = None
    stop_at: int | None = None
    pending: list[Event] = field(default_factory=list)
    actions: list[Action] = field(default_factory=list)

    def send(self, *events: Event) -> list[Action]:
        """Deliver a batch of these events, the results of earlier actions and the timers that are due."""
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        fired = (TimerFired(token, cpu_busy=self.cpu_busy, runnable=self.runnable) for _, token in due)
        batch = [*self.pending, *events, *fired]
        self.pending = []
        for event in events:
            if isinstance(event, Arrival):
                self._track(event)
            elif isinstance(event, DrainStarted):
                self.drain_at = self.now
                self.stop_at = self.now + event.time_left
        actions = self.controller.handle(self.now, batch)
        for action in actions:
            self._carry_out(action)
        self.check()
        self.actions += actions
        return actions

    def _track(self, event: Arrival) -> None:
        arrived_at = self.now - event.queue_delay
        client_timeout = self.settings.classes[event.class_index].client_timeout
        deadline = max(self.now, arrived_at + client_timeout)
        if event.time_left is not None:
            deadline = self.now + event.time_left
        request = HostedRequest(
            event.class_index, arrived_at, deadline, event.memory, original=event.duplicate_of
        )
        self.requests[event.request_id] = request

    def _end_run(self, request_id: int, outcome: Outcome) -> None:
        self.pending.append(RunFinished(request_id, outcome))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((max(action.due_at, self.now + 1), action.token))
        elif not isinstance(action, (SetHealth, ReportLoad, CloseIdleConnections, LogMessage)):
            self._carry_out_for(self.requests[action.request_id], action)

    def _carry_out_for(self, request: HostedRequest, action: RequestAction) -> None:
        if isinstance(action, StartRun):
            self._start(request)
        elif isinstance(action, Reject):
            assert not request.answered, "two answers"
            is_idempotent = self._retry_semantics(request) is RetrySemantics.IDEMPOTENT
            assert is_idempotent or not (request.has_run or request.original), "rejected after a run"
            request.end()
        elif isinstance(action, Fail):
            self._fail(action.request_id, request)
        elif isinstance(action, Cancel) and request.place is Place.RUNNING:
            assert self.settings.cancel_mode is not CancelMode.NONE
            request.place = Place.ENDED if request.answered else Place.QUEUED
            self._end_run(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, MakeCall) and request.place is Place.AWAITING_CALL:
            assert not request.call_may_have_run, "a call twice"
            request.place = Place.CALLING
        elif isinstance(action, SkipCall) and request.place is Place.AWAITING_CALL:
            assert self.settings.classes[request.class_index].degraded_fraction > 0
            request.place = Place.RUNNING
        elif isinstance(action, RememberKey):
            self.remembered_keys[action.request_id] = self.now + action.lifetime
        elif isinstance(action, ForgetKey):
            self.remembered_keys.pop(action.request_id, None)
        elif isinstance(action, ReplayResult):
            assert request.original is not None
            request.place = Place.AWAITING_ORIGINAL

    def _start(self, request: HostedRequest) -> None:
        is_idempotent = self._retry_semantics(request) is RetrySemantics.IDEMPOTENT
        assert request.place is Place.QUEUED
        assert is_idempotent or not request.has_run, "an effect twice"
        latest = (self.drain_at or 0) + self.settings.drain_grace
        assert self.drain_at is None or request.arrived_at <= latest, "drain"
        assert is_idempotent or request.original is None, "a duplicate was run"
        request.place = Place.RUNNING
        request.has_run = True

    def _fail(self, request_id: int, request: HostedRequest) -> None:
        assert not request.answered, "two answers"
        request.answered = True
        if request.place in AT_CALL:
            self._end_run(request_id, Outcome.CANCELLED)
        if request.place is not Place.RUNNING:
            request.place = Place.ENDED

    def _retry_semantics(self, request: HostedRequest) -> RetrySemantics:
        return self.settings.classes[request.class_index].retry_semantics

    def check(self) -> None:
        """Assert all limits, and that no unanswered request is past its deadline."""
        self.remembered_keys = {key: end for key, end in self.remembered_keys.items() if end > self.now}
        settings = self.settings
        queued = self._memory(WITH_QUEUE_MEMORY)
        running = self._memory(WITH_RUN_MEMORY) * settings.running_memory_factor
        assert queued + running + len(self.remembered_keys) * settings.key_memory <= settings.memory, "memory"
        speed = 1.0
        if settings.cold_start:
            warmed_up = self.now / max(1, settings.warmup_time)
            speed = min(1.0, settings.cold_speed + (1 - settings.cold_speed) * warmed_up)
        ceiling = (1 + (settings.max_oversubscription - 1) * speed) * settings.cores
        assert self.count(Place.RUNNING) <= max(1, ceiling), "oversubscription"
        if settings.dependency is DependencyKind.SHARED:
            assert self.count(Place.CALLING) <= max(1.0, settings.dependency_quota), "dependency quota"
        for request_id, request in self.requests.items():
            deadline = request.deadline if self.stop_at is None else min(request.deadline, self.stop_at)
            assert request.answered or self.now <= deadline + ANSWER_TOLERANCE, f"request {request_id} lost"

    def _memory(self, places: tuple[Place, ...]) -> float:
        return sum(request.memory for request in self.requests.values() if request.place in places)

    def count(self, place: Place) -> int:
        """The number of requests in this state."""
        return sum(request.place is place for request in self.requests.values())

    def ids(self, *places: Place) -> list[int]:
        """The ids of requests in these states, in order of arrival."""
        return [number for number, request in self.requests.items() if request.place in places]

    def finish(self, request_id: int, outcome: Outcome = Outcome.OK) -> list[Action]:
        """End a run, and replay its result to the duplicates of its request."""
        self.requests[request_id].end()
        for duplicate in self.ids(Place.AWAITING_ORIGINAL):
            if self.requests[duplicate].original == request_id:
                self.requests[duplicate].end()
                self._end_run(duplicate, outcome)
        return self.send(RunFinished(request_id, outcome))

    def finish_after(self, request_id: int, duration: int) -> list[Action]:
        """End a run successfully after this duration."""
        self.requests[request_id].end()
        return self.send(RunFinished(request_id, Outcome.OK, duration))

    def request_call(self, request_id: int) -> list[Action]:
        """Make a run reach its call."""
        request = self.requests[request_id]
        request.place = Place.AWAITING_CALL
        request.call_may_have_run = False
        if request.answered:
            request.place = Place.ENDED
            return self.send(CallRequested(request_id), RunFinished(request_id, Outcome.CANCELLED))
        return self.send(CallRequested(request_id))

    def finish_call(self, request_id: int, outcome: Outcome) -> list[Action]:
        """End a call with this outcome."""
        request = self.requests[request_id]
        request.place = Place.RUNNING if outcome is Outcome.OK else Place.AWAITING_CALL
        has_effect = self._retry_semantics(request) is not RetrySemantics.IDEMPOTENT
        request.call_may_have_run = outcome not in UNEXECUTED_OUTCOMES and has_effect
        return self.send(CallFinished(request_id, outcome))

    def disconnect(self, request_id: int) -> list[Action]:
        """Disconnect the client of a request."""
        request = self.requests[request_id]
        request.answered = True
        was_at_call = request.place in AT_CALL
        if request.place is not Place.RUNNING:
            request.place = Place.ENDED
        if was_at_call:
            return self.send(ClientDisconnected(request_id), RunFinished(request_id, Outcome.CANCELLED))
        return self.send(ClientDisconnected(request_id))

    def advance(self, duration: int) -> None:
        """Advance the clock, firing the timers that become due."""
        end = self.now + duration
        while self.timers and min(self.timers)[0] <= end:
            self.now = max(self.now, min(self.timers)[0])
            self.send()
        self.now = end


def start_host(seed: int = 1, **changes: Any) -> SimulatedHost:
    """Return a host with a newly started controller."""
    instance_settings = settings(**changes)
    host = SimulatedHost(Controller(instance_settings, seed, 0), instance_settings)
    host.send()
    return host


def arrive(
    host: SimulatedHost,
    request_id: int,
    class_index: int = IDEMPOTENT,
    memory: float = 10.0,
    **fields: Any,
) -> list[Action]:
    """Deliver the arrival of a request."""
    return host.send(Arrival(request_id, class_index, memory=memory, **fields))


def occupy_cores(host: SimulatedHost, count: int = 4, first: int = 1) -> None:
    """Deliver this many arrivals; on four cores the first four run."""
    for request_id in range(first, first + count):
        arrive(host, request_id)
