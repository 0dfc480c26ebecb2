"""The host's part in keys that outlast it: what waits for a record, and for how long.

The host thread alone calls this, but where said. What a record was waited for is done by the writer itself, a
`spawn` or an answer: to wake the host for it would cost more than the record does. A record that is late
costs its request, never the thread: what has not begun is refused, what has ended is failed when its
caller gives up, and stays recorded for the next try.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from . import clock, log
from . import interface as i
from .digest import digest
from .exchange import Answer, Request, Verdict
from .interface import Outcome
from .keyed import state
from .keys import Begun, Keeper, Past, Recovered, Table
from .net.pool import Pool
from .tracked import Tracked

# A look at what waits; only while something does.
WATCH_S = 0.05
# A run whose record is not written by then is not begun. Ordinary writes take a hundredth of it.
BEGIN_WAIT_US = 250_000
# A try that came before all had been read is kept so long before it is refused.
PARK_US = 1_000_000
# An answer is given this long before its time is over, beside the look's own delay.
MARGIN_US = 60_000
# A run of an earlier life goes on until its caller would have given up, and for this long at the least: its
# end may stand in a notice that is still to come.
ADOPT_US = 1_000_000


class Side(Protocol):
    """What the host lets its part do."""

    def post(self, task: Callable[[], None]) -> None:
        """Have it done in the host thread; from any thread."""

    def tell(self, event: i.Event) -> None:
        """Let the controller know."""

    def begin(self, known: Tracked) -> None:
        """Have the pool run it. From any thread."""

    def withdraw(self, known: Tracked, away_ms: int) -> None:
        """Refuse what was to run and provably has not."""

    def serve_answer(self, known: Tracked) -> None:
        """Its result is recorded: give it to its caller. From any thread."""

    def let_go(self, known: Tracked, good: bool) -> None:
        """The end is recorded: tell all who wait, and remember it no more."""

    def adopt(self, begun: Begun, cls: int, time_left: int) -> Tracked:
        """Take a run of an earlier life for one's own; it is stopped after `time_left`."""

    def again(self, request: Request) -> None:
        """Look at an arrival once more."""


@dataclass(slots=True)
class _Wait:
    known: Tracked
    until: int


class Lasting:
    """What waits for the keeper."""

    def __init__(self, keeper: Keeper, table: Table, settings: i.Settings) -> None:
        self._keeper, self._table, self._settings = keeper, table, settings
        self._classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self._open: dict[int, bool] = {}  # with a key on account: whether their intent went out
        self._begins: dict[int, _Wait] = {}
        self._ends: dict[int, _Wait] = {}
        self._done: deque[tuple[Tracked, bool]] = deque()  # recorded, the host has not looked yet
        self._parked: list[tuple[int, Request]] | None = []  # None once all has been read
        self._adopted: dict[int, int] = {}  # the notice whose call may have been made
        self._watching = self._early = False  # early: linked to the pool before all was read
        self._stop_at = 1 << 62

    def start(self, side: Side, pool: Pool, fail: Callable[[str], None]) -> None:
        """Take up what an earlier life left, then link to the pool. `fail`: it can't be; from any thread."""
        self._side, self._pool = side, pool
        self._keeper.start(
            lambda left: side.post(lambda: self._recovered(left)), lambda: side.post(self._delayed), fail)

    # --- arrivals

    def parked(self, request: Request) -> bool:
        """Whether this keyed try has to wait until all has been read; nobody knows yet what it repeats."""
        if self._parked is None:
            return False
        patience = self._settings.classes[self._classes[request.lane]].patience
        limit = min(PARK_US, patience // 2)
        self._parked.append((clock.now() + limit, request))
        self._watch()
        return True

    def recall(self, request: Request) -> Past | None:
        """What it repeats, if the host no longer holds that; `ValueError` if its token is another's."""
        assert request.token is not None
        same = digest(request.lane, request.body)
        return self._keeper.recall(bytes.fromhex(request.token), same, request.arrived)

    def wait_us(self) -> int:
        """How long until one more key can be kept."""
        return self._keeper.wait_us()

    def reuse(self, known: Tracked, past: Past, then: Callable[[bytes | None], None]) -> None:
        """`then`, in the host thread, with the result that it may have; None: it failed."""
        stands = state.State.FINISHED if past.served else state.State.FAILED
        if state.repeat(stands, True) is state.Repeat.FAIL:
            return then(None)
        same = digest(known.exchange.lane, known.exchange.body)
        self._keeper.fetch(past, same, lambda result: self._side.post(lambda: then(result)))

    # --- a request's way

    def remembered(self, known: Tracked) -> None:
        """Its key is taken on."""
        self._open[known.id] = False
        self._keeper.reserve()

    def forgotten(self, known: Tracked) -> None:
        """It never ran."""
        intended = self._open.pop(known.id, None)
        if intended:
            self._keeper.never(self._token(known), self._until(known))
        elif intended is False:
            self._keeper.release()
        self._begins.pop(known.id, None)

    def run(self, known: Tracked) -> None:
        """It is to run, once that is recorded."""
        exchange = known.exchange
        known.same = digest(exchange.lane, exchange.body)
        self._open[known.id] = True
        self._begins[known.id] = _Wait(known, clock.now() + BEGIN_WAIT_US)
        self._watch()
        due = exchange.arrived + known.cls.patience
        begun = Begun(self._token(known), exchange.uid, exchange.lane, known.same, self._until(known), due,
                      exchange.memory, 0)
        self._keeper.intend(begun, lambda: self._begin(known))

    def _begin(self, known: Tracked) -> None:
        """In the writer's thread; whoever takes the wait out of the table has the say."""
        if self.take_back(known):
            self._side.begin(known)

    def take_back(self, known: Tracked) -> bool:
        """True once, if it was to run and the pool has not been told."""
        return self._begins.pop(known.id, None) is not None

    def waits(self, known: Tracked) -> bool:
        """Whether the pool has not been told to run it."""
        return known.id in self._begins

    def asks(self, known: Tracked, pos: int) -> bool:
        """It asks for its call. False if that may have been made in an earlier life: its end is not known."""
        self._keeper.noticed(pos, True)
        recorded = self._adopted.get(known.id, 0)
        was = state.State.CALLING if recorded else state.State.INTENDED
        return state.call_may_be_made(was, recorded, pos)

    def call(self, known: Tracked, go: Callable[[], None]) -> None:
        """`go`, in the host thread, once it is recorded that its call is about to be made."""
        pos = known.call_pos
        self._keeper.calling(
            self._token(known), self._until(known), pos,
            lambda: self._side.post(lambda: go() if known.call_pos == pos else None))

    def ended(self, known: Tracked, outcome: Outcome, pos: int) -> None:
        """Its run is over. With a result, its answer waits for the record."""
        self._begins.pop(known.id, None)
        if self._open.pop(known.id, None) is None:
            return self.noticed(pos)
        if outcome is Outcome.MOOT:
            self._keeper.never(self._token(known), self._until(known))
            return self.noticed(pos)
        if pos:
            self._keeper.noticed(pos, True)
        good = outcome is Outcome.OK
        if good:
            due = known.exchange.arrived + known.cls.patience
            self._ends[known.id] = _Wait(known, min(due, self._stop_at) - MARGIN_US)
            self._watch()
        self._keeper.ended(
            self._token(known), self._until(known), known.same, known.result if good else None, pos,
            lambda: self._recorded(known, good))

    def _recorded(self, known: Tracked, good: bool) -> None:
        """In the writer's thread. The host looks at the rest when it is next awake, or is woken if someone
        waits: who comes to wait after this look comes before the host's own, at the end of the same pass."""
        if good:
            self._side.serve_answer(known)
        self._done.append((known, good))
        if known.waiting:
            self._side.post(lambda: None)

    def settle(self) -> None:
        """What was recorded since the host last looked."""
        while self._done:
            known, good = self._done.popleft()
            self._ends.pop(known.id, None)
            self._side.let_go(known, good)

    def noticed(self, pos: int) -> None:
        """A notice that changes nothing here."""
        if pos:
            self._keeper.noticed(pos, False)

    def _token(self, known: Tracked) -> bytes:
        assert known.exchange.token is not None
        return bytes.fromhex(known.exchange.token)

    def _until(self, known: Tracked) -> int:
        assert known.exchange.token is not None
        return self._table.until(known.exchange.token) or clock.now() + known.cls.window

    # --- the pool

    def linked(self) -> None:
        """The pool's link is up."""
        if self._pool.started is not None:
            self._keeper.linked(self._pool.started)

    def replaced(self) -> None:
        """The pool is a new one."""
        self._keeper.reset()

    # --- an earlier life

    def _delayed(self) -> None:
        """What needs no key goes on without the disk. The pool's notices are not waited for, so runs of an
        earlier life will have no end that anyone hears of."""
        self._early = True
        self._pool.resume(0, None, state.same_pool)
        self._pool.start()

    def _recovered(self, left: Recovered) -> None:
        now = clock.now()
        if self._early:
            self._keeper.reset()
        for count, life in left.kept:
            self._side.tell(i.Kept(count, life))
        for begun in left.begun:
            number = self._classes.get(begun.lane)
            gets = state.repeat(state.State.INTENDED, not self._early)
            if number is None or gets is state.Repeat.FAIL:
                why = "its class is gone" if number is None else "its pool's notices have passed by"
                log.say("keyed", f"{begun.uid}: failed, since {why}")
                self._keeper.ended(begun.token, begun.until, begun.digest, None, 0, lambda: None)
                continue
            # The reply to a call died with the earlier life, unless it had been passed on.
            left_us = 0 if begun.call_pos else begun.due - now
            known = self._side.adopt(begun, number, max(ADOPT_US, left_us))
            self._open[known.id] = True
            self._adopted[known.id] = begun.call_pos
        if not self._early:
            self._pool.resume(left.pos, left.pool_started, state.same_pool)
            self._pool.start()
        parked, self._parked = self._parked or [], None
        for _, request in parked:
            self._side.again(request)

    def drain(self, time_left: int) -> None:
        """All is answered by then."""
        self._stop_at = clock.now() + time_left

    # --- the watch

    def _watch(self) -> None:
        if not self._watching:
            self._watching = True
            timer = threading.Timer(WATCH_S, lambda: self._side.post(self._look))
            timer.daemon = True
            timer.start()

    def _look(self) -> None:
        """Who has waited long enough for a record."""
        self._watching = False
        now = clock.now()
        for wait in [wait for wait in list(self._begins.values()) if wait.until <= now]:
            known = wait.known
            if not self.take_back(known):
                continue  # begun meanwhile
            log.say("keyed", f"{known.exchange.uid}: refused, since the disk did not record it in time")
            self._side.withdraw(known, -(-max(self._keeper.wait_us(), BEGIN_WAIT_US) // 1_000))
        late = now if now < self._stop_at else 1 << 62
        for number in [number for number, wait in self._ends.items() if wait.until <= late]:
            known = self._ends.pop(number).known
            log.say("keyed", f"{known.exchange.uid}: failed, since its result was not recorded in time")
            known.exchange.finish(Answer(Verdict.FAILED))
        if self._parked:
            over = [request for until, request in self._parked if until <= now]
            self._parked = [(until, request) for until, request in self._parked if until > now]
            for request in over:
                request.finish(Answer(Verdict.REFUSED, stay_away_ms=-(-self._keeper.wait_us() // 1_000)))
        if self._begins or self._ends or self._parked:
            self._watch()
