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
from .exchange import Request, Verdict
from .interface import Outcome
from .ledger import state
from .keys import Begun, Keeper, Past, Recovered
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
# The last results, that repeats get from memory: most repeats come soon, and to ask the record takes locks, a
# look at the file and a further turn of the host. So much is little beside the least memory a server gets.
RECENT, RECENT_BYTES = 256, 256 << 10
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

    def answer(self, request: Request, verdict: Verdict, body: bytes = b"", away_ms: int = 0) -> None:
        """Its final answer, unless it has one. From any thread."""

    def never_ran(self, known: Tracked) -> None:
        """What was to run provably has not."""

    def ended_elsewhere(self, known: Tracked, result: bytes | None) -> None:
        """What was to run here ran in another life, to this end (None: without a result)."""

    def over(self, known: Tracked, outcome: Outcome) -> None:
        """It will not run any more: tell all who wait."""

    def let_go(self, known: Tracked) -> None:
        """Remember it no more: the record does."""

    def adopt(self, begun: Begun, cls: int, time_left: int) -> Tracked:
        """Take a run of an earlier life for one's own; it is stopped after `time_left`."""

    def again(self, request: Request) -> None:
        """Look at an arrival once more."""


@dataclass(slots=True)
class _Key:
    """A key on account."""

    token: bytes
    until: int
    intended: bool = False  # its intent was handed over
    called: int = 0  # the notice whose call may have been made in an earlier life


@dataclass(slots=True)
class _Wait:
    known: Tracked
    until: int


def _bytes(known: Tracked) -> int:
    return len(known.exchange.body) + len(known.result)


class Lasting:
    """What waits for the keeper."""

    def __init__(self, keeper: Keeper, settings: i.Settings) -> None:
        self._keeper = keeper
        self._classes = {cls.name: (number, cls) for number, cls in enumerate(settings.classes)}
        self._keys: dict[int, _Key] = {}  # by request, until their end is handed over
        self._begins: dict[int, _Wait] = {}
        self._ends: dict[int, _Wait] = {}
        self._elsewhere: dict[int, Tracked] = {}  # runs that another life claimed first
        self._done: deque[tuple[Tracked, bool]] = deque()  # recorded, the host has not looked yet
        self._recent: deque[Tracked] = deque()  # recorded, and still remembered; oldest first
        self._recent_bytes = 0
        self._parked: list[tuple[int, Request]] | None = []  # None once all has been read
        self._watching = self._early = False  # early: linked to the pool before all was read
        self._stop_at = 1 << 62

    def start(self, side: Side, pool: Pool, fail: Callable[[str], None]) -> None:
        """Take up what an earlier life left, then link to the pool. `fail`: it can't be; from any thread."""
        self._side, self._pool = side, pool
        if self._keeper.prompt:
            self._parked = None
            pool.start()
        self._keeper.start(
            lambda left: side.post(lambda: self._recovered(left)), lambda: side.post(self._delayed), fail
        )

    # --- arrivals

    def parked(self, request: Request) -> bool:
        """Whether this keyed try has to wait until all has been read; nobody knows yet what it repeats."""
        if self._parked is None:
            return False
        limit = min(PARK_US, self._classes[request.lane][1].patience // 2)
        self._parked.append((clock.now() + limit, request))
        self._watch()
        return True

    def digest(self, request: Request) -> bytes:
        """What all its tries have in common."""
        return digest(request.lane, request.body)

    def recall(self, request: Request, same: bytes) -> Past | None:
        """What it repeats, if the host no longer holds that; `ValueError` if its token is another's."""
        assert request.token is not None
        return self._keeper.recall(bytes.fromhex(request.token), same, request.arrived)

    def wait_us(self) -> int:
        """How long until one more key can be kept."""
        return self._keeper.wait_us()

    def reuse(self, known: Tracked, past: Past, then: Callable[[bytes | None], None]) -> None:
        """`then`, in the host thread, with the result that it may have; None: it failed."""
        if past.served:
            self._keeper.fetch(past.token, known.same, lambda result: self._side.post(lambda: then(result)))
        else:
            then(None)

    # --- a request's way

    def remembered(self, known: Tracked, until: int) -> None:
        """Its key is taken on."""
        assert known.exchange.token is not None
        self._keys[known.id] = _Key(bytes.fromhex(known.exchange.token), until)
        self._keeper.reserve()

    def forgotten(self, known: Tracked) -> None:
        """It never ran."""
        if (key := self._keys.pop(known.id, None)) is None:
            return
        if key.intended:
            self._keeper.never(key.token, key.until, ())
        else:
            self._keeper.release()

    def run(self, known: Tracked) -> None:
        """It is to run, once that is recorded."""
        exchange, key = known.exchange, self._keys[known.id]
        key.intended = True
        self._begins[known.id] = _Wait(known, clock.now() + BEGIN_WAIT_US)
        due = exchange.arrived + known.cls.patience
        begun = Begun(key.token, exchange.uid, exchange.lane, known.same, key.until, due, exchange.memory, 0)
        self._keeper.intend(begun, lambda: self._begin(known), lambda there: self._kept_back(known, there))
        if not self._keeper.prompt:
            self._watch()

    def _begin(self, known: Tracked) -> None:
        """In the writer's thread; whoever takes the wait out of the table has the say."""
        if self.take_back(known):
            self._side.begin(known)

    def _kept_back(self, known: Tracked, elsewhere: bool) -> None:
        """In the host thread: it must not run here. If another life runs it, its end is that run's end, and
        until then it counts as a run of ours: its place is soon free again."""
        if not self.take_back(known):
            return
        del self._keys[known.id]
        if not elsewhere:
            return self._refuse_begin(known, "can't be recorded")
        self._elsewhere[known.id] = known
        assert known.exchange.token is not None
        self._keeper.fetch(
            bytes.fromhex(known.exchange.token),
            known.same,
            lambda result: self._side.post(lambda: self._ended_elsewhere(known, result)),
        )

    def _ended_elsewhere(self, known: Tracked, result: bytes | None) -> None:
        if known.id in self._elsewhere:
            self._side.ended_elsewhere(known, result)

    def take_back(self, known: Tracked) -> bool:
        """True once, if it was to run and the pool has not been told."""
        waited = self._begins.pop(known.id, None) is not None
        return self._elsewhere.pop(known.id, None) is not None or waited

    def waits(self, known: Tracked) -> bool:
        """Whether the pool has not been told to run it."""
        return known.id in self._begins or known.id in self._elsewhere

    def asks(self, known: Tracked) -> bool:
        """It asks for its call. False if that may have been made in an earlier life: its end is not known."""
        self._keeper.noticed(known.call_pos, True)
        called = self._keys[known.id].called
        was = state.State.CALLING if called else state.State.INTENDED
        return state.call_may_be_made(was, called, known.call_pos)

    def call(self, known: Tracked, go: Callable[[], None]) -> None:
        """`go`, in the host thread, once it is recorded that its call is about to be made."""
        key, pos = self._keys[known.id], known.call_pos
        self._keeper.calling(
            key.token,
            key.until,
            pos,
            lambda: self._side.post(lambda: go() if known.call_pos == pos else None),
        )

    def ended(self, known: Tracked, outcome: Outcome, pos: int) -> None:
        """Its run is over, says notice `pos` (0: none does). With a result, its answer waits for the
        record."""
        key = self._keys.pop(known.id, None)
        self._begins.pop(known.id, None)
        if key is None:  # it ran in another life, if at all, and that has recorded it
            self._elsewhere.pop(known.id, None)
            if outcome is not Outcome.MOOT:
                self._recorded(known, outcome is Outcome.OK)
            return
        if pos:
            self._keeper.noticed(pos, True)
        # Whatever became of the call that it last asked for: its end settles that too.
        settles = known.call_pos, pos
        if outcome is Outcome.MOOT:
            return self._keeper.never(key.token, key.until, settles)
        good = outcome is Outcome.OK
        if good and not self._keeper.prompt:
            due = known.exchange.arrived + known.cls.patience
            self._ends[known.id] = _Wait(known, min(due, self._stop_at) - MARGIN_US)
            self._watch()
        self._keeper.ended(
            key.token,
            key.until,
            known.same,
            known.result if good else None,
            settles,
            lambda: self._recorded(known, good),
        )

    def _recorded(self, known: Tracked, good: bool) -> None:
        """In the writer's thread. The host looks at the rest when it is next awake, or is woken if someone
        waits: who comes to wait after this look comes before the host's own, at the end of the same pass."""
        if good:
            self._side.answer(known.exchange, Verdict.SERVED, known.result)
        self._done.append((known, good))
        if known.waiting:
            self._side.post(lambda: None)

    def settle(self) -> None:
        """What was recorded since the host last looked."""
        while self._done:
            known, good = self._done.popleft()
            self._ends.pop(known.id, None)
            if not good:
                self._side.let_go(known)
                continue
            self._side.over(known, Outcome.OK)
            self._recent.append(known)
            self._recent_bytes += _bytes(known)
        while len(self._recent) > RECENT or self._recent_bytes > RECENT_BYTES:
            oldest = self._recent.popleft()
            self._recent_bytes -= _bytes(oldest)
            self._side.let_go(oldest)

    def noticed(self, pos: int) -> None:
        """A notice that changes nothing here."""
        if pos:
            self._keeper.noticed(pos, False)

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
            number, cls = self._classes.get(begun.lane, (0, None))
            if cls is None or state.repeat(state.State.INTENDED, not self._early) is state.Repeat.FAIL:
                why = "its class is gone" if cls is None else "its pool's notices have passed by"
                log.say("keyed", f"{begun.uid}: failed, since {why}")
                self._keeper.ended(begun.token, begun.until, begun.digest, None, (), lambda: None)
                continue
            # The reply to a call died with the earlier life, unless it had been passed on.
            left_us = 0 if begun.call_pos else begun.due - now
            known = self._side.adopt(begun, number, max(ADOPT_US, left_us))
            self._keys[known.id] = _Key(begun.token, begun.until, True, begun.call_pos)
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

    def _refuse_begin(self, known: Tracked, why: str) -> None:
        """Nothing ran, and nothing will."""
        log.say("keyed", f"{known.exchange.uid}: refused, since its run {why}")
        away_ms = -(-max(self._keeper.wait_us(), BEGIN_WAIT_US) // 1_000)
        self._side.answer(known.exchange, Verdict.REFUSED, away_ms=away_ms)
        self._side.never_ran(known)

    def _look(self) -> None:
        """Who has waited long enough for a record."""
        self._watching = False
        now = clock.now()
        for wait in [wait for wait in list(self._begins.values()) if wait.until <= now]:
            known = wait.known
            if not self.take_back(known):
                continue  # begun meanwhile
            self._refuse_begin(known, "was not recorded in time")
        ends = self._ends.items()
        for number in [number for number, wait in ends if min(wait.until, self._stop_at) <= now]:
            exchange = self._ends.pop(number).known.exchange
            log.say("keyed", f"{exchange.uid}: failed, since its result was not recorded in time")
            self._side.answer(exchange, Verdict.FAILED)
        if self._parked:
            over = [request for until, request in self._parked if until <= now]
            self._parked = [(until, request) for until, request in self._parked if until > now]
            for request in over:
                away_ms = -(-self._keeper.wait_us() // 1_000)
                self._side.answer(request, Verdict.REFUSED, away_ms=away_ms)
        if self._begins or self._ends or self._parked:
            self._watch()
