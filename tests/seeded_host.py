"""A host that makes up its requests, and reacts to a controller's actions as a service instance would.

All that it does follows from a scenario and the actions: two controllers that decide alike get the same
events to the last one. It lives in simulated time, through several lives of the instance.
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
# A digest of all so far is taken behind each so many events: the first one that differs tells where.
CHECKPOINT_EVENTS = 2_000
CHECKPOINT_DIGITS = 12
NO_CALLER_COMES_BACK = 1 << 20
# An event about a request that is over or was never announced is thrown in this often.
STRAY_CHANCE = 0.003
# A keyed request may repeat one of so many remembered last.
RECENT_KEYS = 40
# Most lives are told so long before they are stopped; the others are killed.
DRAIN_CHANCE = 0.6
NOTICE = 3 * SECOND


@dataclass(frozen=True)
class Scenario:
    """What a service instance is like, and what is asked of it."""

    settings: Settings
    seed: int
    events: int
    work: int  # the mean of a request's own work
    load: float  # what arrives, as a multiple of what the cores can do, before it goes up and down
    call_chance: float = 0.0
    call_time: int = 20 * MS
    failing: float = 0.02  # runs that fail, but for spells in which most do
    callers: int = 20
    unread: float = 0.1  # requests that waited long before they were read
    lost_timers: float = 0.0  # timers that never fire
    life: int = 7 * SECOND  # how long the instance lives
    drains: bool = True  # most of its lives are told before they are stopped


class Place(Enum):
    """Where a request is."""

    HELD = 0
    RUNNING = 1
    AT_CALL = 2
    CALLING = 3
    REUSING = 4
    OVER = 5


class Kind(Enum):
    """What will happen at some time."""

    ARRIVAL = 0
    RUN_END = 1
    CALL_NEED = 2
    CALL_END = 3
    HALTED = 4
    REUSED = 5
    GONE = 6
    TIMER = 7
    DRAIN = 8
    RESTART = 9


@dataclass(slots=True)
class Entry:
    """A request, as the host knows it."""

    id: int
    cls: int
    memory: float
    left: int  # work
    call: bool  # it needs a call yet
    original: int | None = None
    place: Place = Place.HELD
    answered: bool = False
    turn: int = 0  # what was planned for an earlier turn does not happen


@dataclass(slots=True)
class Recording:
    """What a controller did."""

    digest: str = ""
    checkpoints: list[str] = field(default_factory=list)
    events: Counter[str] = field(default_factory=Counter)
    actions: Counter[str] = field(default_factory=Counter)


ENDS = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.BROKEN, Outcome.NEVER_STARTED)
CALL_ENDS = (
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.BROKEN,
    Outcome.CANCELLED,
    Outcome.REJECTED,
    Outcome.UNREACHED,
    Outcome.NEVER_STARTED,
)


class SeededHost:
    """See the module."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario, self._settings = scenario, scenario.settings
        self._random = random.Random(scenario.seed)
        self._now = 0
        self._planned: list[tuple[int, int, Kind, int, int]] = []
        self._plans = 0
        self._entries: dict[int, Entry] = {}
        self._remembered: dict[int, int] = {}  # until when
        self._recent: deque[int] = deque(maxlen=RECENT_KEYS)  # remembered last
        self._running = 0
        self._waiting: dict[int, list[Entry]] = {}  # for the end of the request that they repeat
        self._next_id = 1
        self._lives = 0
        self._pending: list[Event] = []
        self._hash = sha256()
        self._count = 0
        self._recording = Recording()
        self._begin_life()

    def record(self) -> Recording:
        """Play the whole scenario."""
        recording = self._recording
        while self._count < self._scenario.events:
            self._turn()
        recording.digest = self._hash.hexdigest()
        return recording

    # --- lives

    def _begin_life(self) -> None:
        """A new controller; of what an earlier life had in hand, keyed runs and keys go on."""
        running = [entry for entry in self._entries.values() if entry.place is Place.RUNNING]
        kept = {number: end for number, end in self._remembered.items() if end > self._now}
        self._entries, self._planned, self._pending, self._remembered = {}, [], [], {}
        self._running, self._waiting = 0, {}
        self._recent.clear()
        self._lives += 1
        self._control = Controller(self._settings, self._scenario.seed * 1_000 + self._lives, self._now)
        adopted = [
            entry
            for entry in running
            if self._class(entry).retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        ][:3]
        for entry in adopted:
            self._adopt(entry, kept.pop(entry.id, self._now + SECOND))
        if kept:
            self._pending.append(KeysRestored(len(kept), max(kept.values()) - self._now))
        self._plan(Kind.ARRIVAL, 0)
        length = int(self._scenario.life * self._random.uniform(0.7, 1.3))
        if self._scenario.drains and self._random.random() < DRAIN_CHANCE:
            self._plan(Kind.DRAIN, length - NOTICE)
        self._plan(Kind.RESTART, length)

    def _adopt(self, entry: Entry, until: int) -> None:
        entry.original, entry.turn, entry.answered, entry.place = None, 0, True, Place.HELD
        self._entries[entry.id] = entry
        self._remembered[entry.id] = until
        time_left = self._random.randrange(200 * MS, 2 * SECOND)
        self._pending.append(RunAdopted(entry.id, entry.cls, time_left, until - self._now, entry.memory))
        self._run_on(entry)

    def _class(self, entry: Entry) -> RequestClass:
        return self._settings.classes[entry.cls]

    # --- time

    def _plan(self, kind: Kind, after: int, number: int = 0, turn: int = 0) -> None:
        self._plans += 1
        heapq.heappush(self._planned, (self._now + max(0, after), self._plans, kind, number, turn))

    def _turn(self) -> None:
        """All that happens within a round, in one batch."""
        at = self._planned[0][0]
        self._now = max(self._now, at)
        if self._random.random() < 0.5:
            self._now += self._settings.min_round_interval  # what happens within it is told together
        events, self._pending = self._pending, []
        while self._planned and self._planned[0][0] <= self._now:
            _, _, kind, number, turn = heapq.heappop(self._planned)
            if kind is Kind.RESTART:
                self._begin_life()
                events = self._pending
                self._pending = []
            else:
                events += self._happen(kind, number, turn)
        if self._random.random() < STRAY_CHANCE:
            events.append(self._stray())
        self._tell(events)

    def _stray(self) -> Event:
        number = self._random.choice((0, self._next_id + 1_000, max(1, self._next_id // 2)))
        if number in self._entries:
            number = 0
        outcome = self._random.choice(CALL_ENDS)
        strays = (
            ClientDisconnected(number),
            RunFinished(number, outcome),
            CallRequested(number),
            CallFinished(number, outcome),
        )
        return self._random.choice(strays)

    def _tell(self, events: list[Event]) -> None:
        for event in events:
            self._recording.events[EVENT_LABELS[type(event)]] += 1
            self._count += 1
            if self._count % CHECKPOINT_EVENTS == 0:
                self._recording.checkpoints.append(self._hash.hexdigest()[:CHECKPOINT_DIGITS])
            self._hash.update(repr(event_form(event)).encode())
        actions = self._control.handle(self._now, events)
        self._hash.update(repr(self._now).encode())
        for action in actions:
            self._recording.actions[ACTION_LABELS[type(action)]] += 1
            self._hash.update(repr(action_form(action)).encode())
            self._carry_out(action)

    # --- what happens

    def _happen(self, kind: Kind, number: int, turn: int) -> list[Event]:
        if kind is Kind.ARRIVAL:
            return [self._arrive()]
        if kind is Kind.TIMER:
            return [self._fire(number)]
        if kind is Kind.DRAIN:
            return [DrainStarted(NOTICE - self._random.randrange(SECOND))]
        entry = self._entries.get(number)
        if entry is None:
            return []
        if kind is Kind.GONE:
            return self._leave(entry)
        if turn != entry.turn:
            return []
        if kind is Kind.RUN_END:
            return self._end(entry, self._run_outcome())
        if kind is Kind.HALTED:
            return self._end(entry, Outcome.CANCELLED)
        if kind is Kind.REUSED:
            return self._end(entry, self._run_outcome())
        if kind is Kind.CALL_NEED:
            return self._need_call(entry)
        return self._end_call(entry)

    def _bad_spell(self) -> bool:
        """One second in twenty-five, most runs fail and calls take long."""
        return self._now // SECOND % 25 == 13

    def _arrival_gap(self) -> int:
        """Calm and crowded times take turns; in between there are bursts."""
        phase = self._now // SECOND % 20
        load = self._scenario.load * (0.4 if phase < 7 else 1.0 if phase < 13 else 2.0 if phase < 19 else 5.0)
        mean = self._scenario.work / (self._settings.cores * load)
        return max(1, int(self._random.expovariate(1 / mean)))

    def _arrive(self) -> Event:
        rng = self._random
        self._plan(Kind.ARRIVAL, self._arrival_gap())
        number, self._next_id = self._next_id, self._next_id + 1
        index = rng.randrange(len(self._settings.classes))
        cls = self._settings.classes[index]
        work = max(1, int(rng.expovariate(1 / self._scenario.work)))
        entry = Entry(number, index, rng.choice((8.0, 24.5, 60.0)), work, False)
        entry.call = rng.random() < self._scenario.call_chance
        event = Arrival(number, index, memory=entry.memory)
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
            self._set_key(event, entry)
        self._entries[number] = entry
        if rng.random() < 0.2:
            self._plan(Kind.GONE, rng.randrange(cls.client_timeout // 3), number)
        return event

    def _set_key(self, event: Arrival, entry: Entry) -> None:
        """Some keyed requests repeat one of late, and for some the key can't be kept at once."""
        known = [number for number in self._recent if self._remembered.get(number, 0) > self._now]
        if known and self._random.random() < 0.25:
            event.duplicate_of = entry.original = self._random.choice(known)
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

    def _leave(self, entry: Entry) -> list[Event]:
        gone = ClientDisconnected(entry.id)
        if entry.place in (Place.HELD, Place.REUSING):
            self._move(entry, Place.OVER)
        elif entry.place in (Place.AT_CALL, Place.CALLING):
            self._move(entry, Place.OVER)
            return [gone, RunFinished(entry.id, Outcome.CANCELLED)]
        entry.answered = True
        return [gone]

    def _run_outcome(self) -> Outcome:
        failing = 0.8 if self._bad_spell() else self._scenario.failing
        if self._random.random() >= failing:
            return Outcome.OK
        return self._random.choice((Outcome.ERROR, Outcome.ERROR, *ENDS[1:]))

    def _end(self, entry: Entry, outcome: Outcome) -> list[Event]:
        """A run is over, and with it those that wait for its end."""
        self._move(entry, Place.OVER)
        took = int(self._random.uniform(0.5, 2.0) * self._scenario.work)
        events: list[Event] = [RunFinished(entry.id, outcome, took)]
        for other in self._waiting.pop(entry.id, []):
            if other.place is Place.REUSING:
                self._move(other, Place.OVER)
                events.append(RunFinished(other.id, outcome))
        return events

    def _need_call(self, entry: Entry) -> list[Event]:
        self._move(entry, Place.AT_CALL)
        need = CallRequested(entry.id)
        if not entry.answered:
            return [need]
        self._move(entry, Place.OVER)
        return [need, RunFinished(entry.id, Outcome.CANCELLED)]

    def _end_call(self, entry: Entry) -> list[Event]:
        took = int(self._random.uniform(0.5, 2.0) * self._call_time())
        if self._random.random() < (0.5 if self._bad_spell() else 0.9):
            entry.call = False
            self._run_on(entry)
            return [CallFinished(entry.id, Outcome.OK, took)]
        self._move(entry, Place.AT_CALL)
        return [CallFinished(entry.id, self._random.choice(CALL_ENDS), took)]

    def _call_time(self) -> int:
        return self._scenario.call_time * (8 if self._bad_spell() else 1)

    # --- actions

    def _run_on(self, entry: Entry) -> None:
        """It has a place on the cores; the more do, the longer it takes."""
        self._move(entry, Place.RUNNING)
        takes = int(entry.left * max(1.0, self._running / self._settings.cores))
        if entry.call:
            takes //= 2
            entry.left -= entry.left // 2
        self._plan(Kind.CALL_NEED if entry.call else Kind.RUN_END, takes, entry.id, entry.turn)

    def _move(self, entry: Entry, to: Place) -> None:
        """It is somewhere else, and nothing that was planned for it counts any more."""
        self._running += (to is Place.RUNNING) - (entry.place is Place.RUNNING)
        entry.place, entry.turn = to, entry.turn + 1
        if to is Place.OVER:
            del self._entries[entry.id]

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            if self._scenario.lost_timers and self._random.random() < self._scenario.lost_timers:
                return
            late = self._random.randrange(2 * MS)
            self._plan(Kind.TIMER, max(action.due_at - self._now, 1) + late, action.token)
        elif not isinstance(action, (SetHealth, ReportLoad, CloseIdleConnections, LogMessage)):
            if isinstance(action, RememberKey):
                self._recent.append(action.request_id)
                self._remembered[action.request_id] = self._now + action.lifetime
            elif isinstance(action, ForgetKey):
                self._remembered.pop(action.request_id, None)
            elif (entry := self._entries.get(action.request_id)) is not None:
                self._act_on(entry, action)

    def _act_on(self, entry: Entry, action: Action) -> None:
        if isinstance(action, StartRun):
            self._run_on(entry)
        elif isinstance(action, Reject):
            self._move(entry, Place.OVER)
        elif isinstance(action, Fail):
            self._fail(entry)
        elif isinstance(action, Cancel):
            self._halt(entry)
        elif isinstance(action, MakeCall):
            self._move(entry, Place.CALLING)
            takes = min(action.timeout, int(self._random.expovariate(1 / self._call_time())))
            self._plan(Kind.CALL_END, takes, entry.id, entry.turn)
        elif isinstance(action, SkipCall):
            entry.call = False
            self._run_on(entry)
        elif isinstance(action, ReplayResult):
            self._reuse(entry)

    def _fail(self, entry: Entry) -> None:
        entry.answered = True
        if entry.place in (Place.AT_CALL, Place.CALLING):
            self._pending.append(RunFinished(entry.id, Outcome.CANCELLED))
        if entry.place is not Place.RUNNING:
            self._move(entry, Place.OVER)

    def _halt(self, entry: Entry) -> None:
        """Most stop at once; some have ended by themselves before they hear of it."""
        if entry.place is Place.RUNNING and self._random.random() < 0.9:
            entry.turn += 1
            self._plan(Kind.HALTED, self._random.randrange(3 * MS), entry.id, entry.turn)

    def _reuse(self, entry: Entry) -> None:
        self._move(entry, Place.REUSING)
        if entry.original in self._entries:
            self._waiting.setdefault(entry.original, []).append(entry)
        else:
            self._plan(Kind.REUSED, self._random.randrange(MS), entry.id, entry.turn)
