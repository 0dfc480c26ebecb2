"""Makes settings, and plays a host that keeps account of what a controller may do."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from cairnvane import interface as i
from cairnvane.control import Controller

MS = 1_000
SAFE, KEYED, UNSAFE = 0, 1, 2
SLACK = 60 * MS  # an answer this long after its due time still counts
CLASSES = (
    i.RequestClass("read", aim=1_000 * MS, patience=3_000 * MS, skip_worth=0.5),
    i.RequestClass(
        "write",
        aim=1_000 * MS,
        patience=3_000 * MS,
        worth=3,
        repeat=i.Repeat.KEYED,
        window=8_000 * MS,
    ),
    i.RequestClass("once", aim=1_000 * MS, patience=3_000 * MS, worth=2, repeat=i.Repeat.UNSAFE),
)


def settings(**changes: Any) -> i.Settings:
    """Four cores, plenty of memory, three classes."""
    base = i.Settings(
        cores=4,
        memory=100_000.0,
        classes=CLASSES,
        run_factor=8.0,
        key_memory=10.0,
        halt=i.HaltMode.DROP,
        crowd_multiple=5.0,
        drain_grace=2_000 * MS,
        max_advice=1_000 * MS,
        round=5 * MS,
    )
    return replace(base, **changes)


def of(actions: list[i.Action], kind: type) -> list[Any]:
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
    settings: i.Settings
    now: int = 0
    runnable: float | None = 4
    busy: float = 0.5
    requests: dict[int, Request] = field(default_factory=dict)
    kept: dict[int, int] = field(default_factory=dict)
    timers: list[tuple[int, int]] = field(default_factory=list)
    drain_at: int | None = None
    stop_at: int | None = None
    pending: list[i.Event] = field(default_factory=list)
    log: list[i.Action] = field(default_factory=list)

    def send(self, *events: i.Event) -> list[i.Action]:
        """One batch, with what earlier actions brought about and the timers that fell due."""
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        fired = (i.TimerFired(token, cpu_busy=self.busy, runnable=self.runnable) for _, token in due)
        batch = [*self.pending, *events, *fired]
        self.pending = []
        for event in events:
            if isinstance(event, i.Arrival):
                wait = event.time_left
                arrived = self.now - event.queued
                due_at = (
                    self.now + wait
                    if wait is not None
                    else max(self.now, arrived + self.settings.classes[event.cls].patience)
                )
                self.requests[event.id] = Request(
                    event.cls, arrived, due_at, event.memory, original=event.repeats
                )
            elif isinstance(event, i.Draining):
                self.drain_at = self.now
                self.stop_at = self.now + event.time_left
        actions = self.control.handle(self.now, batch)
        for action in actions:
            self._carry_out(action)
        self.check()
        self.log += actions
        return actions

    def _settle(self, rid: int, outcome: i.Outcome) -> None:
        self.pending.append(i.Finished(rid, outcome))

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self.timers.append((max(action.at, self.now + 1), action.token))
            return
        if isinstance(action, (i.SetHealth, i.Advertise, i.CloseIdle, i.Log)):
            return
        request = self.requests[action.id]
        repeat = self.settings.classes[request.cls].repeat
        if isinstance(action, i.Run):
            assert request.where == "held"
            assert not (request.ran and repeat is not i.Repeat.SAFE), "an effect twice"
            latest = (self.drain_at or 0) + self.settings.drain_grace
            assert self.drain_at is None or request.arrived <= latest, "drain"
            assert request.original is None or repeat is i.Repeat.SAFE, "a repeat was run"
            request.where, request.ran = "running", True
        elif isinstance(action, i.Refuse):
            assert not request.answered, "two answers"
            assert repeat is i.Repeat.SAFE or not (request.ran or request.original), "refused after a run"
            request.answered, request.where = True, "over"
        elif isinstance(action, i.Fail):
            assert not request.answered, "two answers"
            request.answered = True
            if request.where in ("held", "reusing"):
                request.where = "over"
            elif request.where in ("at_call", "calling"):
                request.where = "over"
                self._settle(action.id, i.Outcome.CANCELLED)
        elif isinstance(action, i.Halt) and request.where == "running":
            assert self.settings.halt is not i.HaltMode.NONE
            request.where = "over" if request.answered else "held"
            self._settle(action.id, i.Outcome.CANCELLED)
        elif isinstance(action, i.Call) and request.where == "at_call":
            assert not request.call_unsafe, "a call twice"
            request.where = "calling"
        elif isinstance(action, i.SkipCall) and request.where == "at_call":
            assert self.settings.classes[request.cls].skip_worth > 0
            request.where = "running"
        elif isinstance(action, i.Remember):
            self.kept[action.id] = self.now + action.life
        elif isinstance(action, i.Forget):
            self.kept.pop(action.id, None)
        elif isinstance(action, i.Reuse):
            assert request.original is not None
            request.where = "reusing"

    def check(self) -> None:
        """Memory and the crowd after a batch; nothing overdue."""
        self.kept = {rid: end for rid, end in self.kept.items() if end > self.now}
        s = self.settings
        held = sum(r.memory for r in self.requests.values() if r.where in ("held", "reusing"))
        run = sum(r.memory for r in self.requests.values() if r.where in ("running", "at_call", "calling"))
        assert held + run * s.run_factor + len(self.kept) * s.key_memory <= s.memory, "memory"
        share = 1.0
        if s.cold:
            share = min(1.0, s.cold_from + (1 - s.cold_from) * self.now / max(1, s.cold_for))
        assert self.count("running") <= max(1, (1 + (s.crowd_multiple - 1) * share) * s.cores), "crowd"
        if s.downstream is i.Downstream.SHARED:
            assert self.count("calling") <= max(1.0, s.fair_calls), "calls below"
        for rid, r in self.requests.items():
            due = r.due if self.stop_at is None else min(r.due, self.stop_at)
            assert r.answered or self.now <= due + SLACK, f"request {rid} lost"

    def count(self, where: str) -> int:
        """Requests in one place."""
        return sum(r.where == where for r in self.requests.values())

    def ids(self, *where: str) -> list[int]:
        """Requests in these places, in order of arrival."""
        return [rid for rid, r in self.requests.items() if r.where in where]

    def finish(self, rid: int, outcome: i.Outcome = i.Outcome.OK) -> list[i.Action]:
        """A run ends."""
        request = self.requests[rid]
        request.where, request.answered = "over", True
        for other in self.ids("reusing"):
            if self.requests[other].original == rid:
                self.requests[other].where, self.requests[other].answered = "over", True
                self._settle(other, outcome)
        return self.send(i.Finished(rid, outcome))

    def finish_after(self, rid: int, took: int) -> list[i.Action]:
        """A run ends well that took so long."""
        self.requests[rid].where, self.requests[rid].answered = "over", True
        return self.send(i.Finished(rid, i.Outcome.OK, took))

    def need(self, rid: int) -> list[i.Action]:
        """A run reaches a call."""
        self.requests[rid].where = "at_call"
        self.requests[rid].call_unsafe = False
        if self.requests[rid].answered:
            self.requests[rid].where = "over"
            return self.send(i.CallNeeded(rid), i.Finished(rid, i.Outcome.CANCELLED))
        return self.send(i.CallNeeded(rid))

    def called(self, rid: int, outcome: i.Outcome) -> list[i.Action]:
        """A call ends."""
        request = self.requests[rid]
        request.where = "running" if outcome is i.Outcome.OK else "at_call"
        unrun = outcome in (i.Outcome.REJECTED, i.Outcome.UNREACHED, i.Outcome.MOOT)
        request.call_unsafe = not unrun and self.settings.classes[request.cls].repeat is not i.Repeat.SAFE
        return self.send(i.CallEnded(rid, outcome))

    def gone(self, rid: int) -> list[i.Action]:
        """A caller gives up."""
        request = self.requests[rid]
        request.answered = True
        if request.where in ("held", "reusing"):
            request.where = "over"
        elif request.where in ("at_call", "calling"):
            request.where = "over"
            return self.send(i.Gone(rid), i.Finished(rid, i.Outcome.CANCELLED))
        return self.send(i.Gone(rid))

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
