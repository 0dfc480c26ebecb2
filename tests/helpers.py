"""Makes settings, and plays a host that keeps account of what a controller may do."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
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
SAFE, KEYED, UNSAFE = 0, 1, 2
SLACK = 60 * MS  # an answer this long after its due time still counts
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


def of(actions: list[Action], kind: type) -> list[Any]:
    """The actions of one kind."""
    return [a for a in actions if type(a) is kind]


@dataclass
class Request:
    """What the host knows of a request."""

    cls: int
    arrived: int
    due: int
    memory: float
    where: str = "held"
    ran: bool = False
    answered: bool = False
    original: int | None = None
    call_unsafe: bool = False


@dataclass
class Host:
    """Carries out actions as a service instance would, and asserts the four rules."""

    control: Controller
    settings: Settings
    now: int = 0
    runnable: float | None = 4
    busy: float = 0.5
    requests: dict[int, Request] = field(default_factory=dict)
    kept: dict[int, int] = field(default_factory=dict)
    timers: list[tuple[int, int]] = field(default_factory=list)
    drain_at: int | None = None
    stop_at: int | None = None
    pending: list[Event] = field(default_factory=list)
    log: list[Action] = field(default_factory=list)

    def send(self, *events: Event) -> list[Action]:
        """One batch, with what earlier actions brought about and the timers that fell due."""
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        fired = (TimerFired(token, cpu_busy=self.busy, runnable=self.runnable) for _, token in due)
        batch = [*self.pending, *events, *fired]
        self.pending = []
        for event in events:
            if isinstance(event, Arrival):
                wait = event.time_left
                arrived = self.now - event.queue_delay
                due_at = (
                    self.now + wait
                    if wait is not None
                    else max(self.now, arrived + self.settings.classes[event.class_index].client_timeout)
                )
                self.requests[event.request_id] = Request(
                    event.class_index, arrived, due_at, event.memory, original=event.duplicate_of
                )
            elif isinstance(event, DrainStarted):
                self.drain_at = self.now
                self.stop_at = self.now + event.time_left
        actions = self.control.handle(self.now, batch)
        for action in actions:
            self._carry_out(action)
        self.check()
        self.log += actions
        return actions

    def _settle(self, rid: int, outcome: Outcome) -> None:
        self.pending.append(RunFinished(rid, outcome))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((max(action.due_at, self.now + 1), action.token))
            return
        if isinstance(action, (SetHealth, ReportLoad, CloseIdleConnections, LogMessage)):
            return
        request = self.requests[action.request_id]
        repeat = self.settings.classes[request.cls].retry_semantics
        if isinstance(action, StartRun):
            assert request.where == "held"
            assert not (request.ran and repeat is not RetrySemantics.IDEMPOTENT), "an effect twice"
            latest = (self.drain_at or 0) + self.settings.drain_grace
            assert self.drain_at is None or request.arrived <= latest, "drain"
            assert request.original is None or repeat is RetrySemantics.IDEMPOTENT, "a repeat was run"
            request.where, request.ran = "running", True
        elif isinstance(action, Reject):
            assert not request.answered, "two answers"
            assert repeat is RetrySemantics.IDEMPOTENT or not (request.ran or request.original), (
                "refused after a run"
            )
            request.answered, request.where = True, "over"
        elif isinstance(action, Fail):
            assert not request.answered, "two answers"
            request.answered = True
            if request.where in ("held", "reusing"):
                request.where = "over"
            elif request.where in ("at_call", "calling"):
                request.where = "over"
                self._settle(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, Cancel) and request.where == "running":
            assert self.settings.cancel_mode is not CancelMode.NONE
            request.where = "over" if request.answered else "held"
            self._settle(action.request_id, Outcome.CANCELLED)
        elif isinstance(action, MakeCall) and request.where == "at_call":
            assert not request.call_unsafe, "a call twice"
            request.where = "calling"
        elif isinstance(action, SkipCall) and request.where == "at_call":
            assert self.settings.classes[request.cls].degraded_fraction > 0
            request.where = "running"
        elif isinstance(action, RememberKey):
            self.kept[action.request_id] = self.now + action.lifetime
        elif isinstance(action, ForgetKey):
            self.kept.pop(action.request_id, None)
        elif isinstance(action, ReplayResult):
            assert request.original is not None
            request.where = "reusing"

    def check(self) -> None:
        """Memory and the crowd after a batch; nothing overdue."""
        self.kept = {rid: end for rid, end in self.kept.items() if end > self.now}
        s = self.settings
        held = sum(r.memory for r in self.requests.values() if r.where in ("held", "reusing"))
        run = sum(r.memory for r in self.requests.values() if r.where in ("running", "at_call", "calling"))
        assert held + run * s.running_memory_factor + len(self.kept) * s.key_memory <= s.memory, "memory"
        share = 1.0
        if s.cold_start:
            share = min(1.0, s.cold_speed + (1 - s.cold_speed) * self.now / max(1, s.warmup_time))
        assert self.count("running") <= max(1, (1 + (s.max_oversubscription - 1) * share) * s.cores), "crowd"
        if s.dependency is DependencyKind.SHARED:
            assert self.count("calling") <= max(1.0, s.dependency_quota), "calls below"
        for rid, r in self.requests.items():
            due = r.due if self.stop_at is None else min(r.due, self.stop_at)
            assert r.answered or self.now <= due + SLACK, f"request {rid} lost"

    def count(self, where: str) -> int:
        """Requests in one place."""
        return sum(r.where == where for r in self.requests.values())

    def ids(self, *where: str) -> list[int]:
        """Requests in these places, in order of arrival."""
        return [rid for rid, r in self.requests.items() if r.where in where]

    def finish(self, rid: int, outcome: Outcome = Outcome.OK) -> list[Action]:
        """A run ends."""
        request = self.requests[rid]
        request.where, request.answered = "over", True
        for other in self.ids("reusing"):
            if self.requests[other].original == rid:
                self.requests[other].where, self.requests[other].answered = "over", True
                self._settle(other, outcome)
        return self.send(RunFinished(rid, outcome))

    def finish_after(self, rid: int, took: int) -> list[Action]:
        """A run ends well that took so long."""
        self.requests[rid].where, self.requests[rid].answered = "over", True
        return self.send(RunFinished(rid, Outcome.OK, took))

    def need(self, rid: int) -> list[Action]:
        """A run reaches a call."""
        self.requests[rid].where = "at_call"
        self.requests[rid].call_unsafe = False
        if self.requests[rid].answered:
            self.requests[rid].where = "over"
            return self.send(CallRequested(rid), RunFinished(rid, Outcome.CANCELLED))
        return self.send(CallRequested(rid))

    def called(self, rid: int, outcome: Outcome) -> list[Action]:
        """A call ends."""
        request = self.requests[rid]
        request.where = "running" if outcome is Outcome.OK else "at_call"
        unrun = outcome in (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NEVER_STARTED)
        request.call_unsafe = (
            not unrun and self.settings.classes[request.cls].retry_semantics is not RetrySemantics.IDEMPOTENT
        )
        return self.send(CallFinished(rid, outcome))

    def gone(self, rid: int) -> list[Action]:
        """A caller gives up."""
        request = self.requests[rid]
        request.answered = True
        if request.where in ("held", "reusing"):
            request.where = "over"
        elif request.where in ("at_call", "calling"):
            request.where = "over"
            return self.send(ClientDisconnected(rid), RunFinished(rid, Outcome.CANCELLED))
        return self.send(ClientDisconnected(rid))

    def pass_time(self, by: int) -> None:
        """Move the clock, firing the timers on the way."""
        end = self.now + by
        while self.timers and min(self.timers)[0] <= end:
            self.now = max(self.now, min(self.timers)[0])
            self.send()
        self.now = end


def host(seed: int = 1, **changes: Any) -> Host:
    """A host and its controller, just started."""
    chosen = settings(**changes)
    started = Host(Controller(chosen, seed, 0), chosen)
    started.send()
    return started
