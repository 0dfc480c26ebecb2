"""The host's part in keys that outlast it: what waits for a record, and for how long.

The host thread alone calls this, but where said. What a record was waited for is done by the writer itself, a
`spawn` or an answer: to wake the host for it would cost more than the record does. A record that is late
costs its request, never the thread: what has not begun is refused, what has ended is failed when its
caller gives up, and stays recorded for the next try.
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from .. import clock
from ..claims import states
from ..contract.events import Event, KeysRestored, Outcome
from ..contract.settings import Settings
from ..exchange import Request, ResponseStatus
from ..net.worker_pool import WorkerPool
from ..server.in_flight import InFlightRequest
from .fingerprint import fingerprint
from .store import IdempotencyStore, RecoveredState, StartedRun, StoredEntry

logger = logging.getLogger(__name__)

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
RECENT_RESULTS, RECENT_BYTES = 256, 256 << 10
# A run of an earlier life goes on until its caller would have given up, and for this long at the least: its
# end may stand in a notice that is still to come.
ADOPT_US = 1_000_000


class RequestOwner(Protocol):
    """What the host lets its part do."""

    def post(self, task: Callable[[], None]) -> None:
        """Have it done in the host thread; from any thread."""

    def notify(self, event: Event) -> None:
        """Let the controller know."""

    def start_run(self, known: InFlightRequest) -> None:
        """Have the pool run it. From any thread."""

    def respond(self, request: Request, verdict: ResponseStatus, body: bytes = b"", away_ms: int = 0) -> None:
        """Its final answer, unless it has one. From any thread."""

    def run_never_started(self, known: InFlightRequest) -> None:
        """What was to run provably has not."""

    def run_ended_elsewhere(self, known: InFlightRequest, result: bytes | None) -> None:
        """What was to run here ran in another life, to this end (None: without a result)."""

    def run_ended(self, known: InFlightRequest, outcome: Outcome) -> None:
        """It will not run any more: tell all who wait."""

    def release(self, known: InFlightRequest) -> None:
        """Remember it no more: the record does."""

    def adopt_run(self, begun: StartedRun, cls: int, time_left: int) -> InFlightRequest:
        """Take a run of an earlier life for one's own; it is stopped after `time_left`."""

    def retry_arrival(self, request: Request) -> None:
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
    known: InFlightRequest
    until: int


def _bytes(known: InFlightRequest) -> int:
    return len(known.request.body) + len(known.result)


class DurableKeys:
    """What waits for the keeper."""

    def __init__(self, keeper: IdempotencyStore, settings: Settings) -> None:
        self._keeper = keeper
        self._classes = {cls.name: (number, cls) for number, cls in enumerate(settings.classes)}
        self._keys: dict[int, _Key] = {}  # by request, until their end is handed over
        self._begins: dict[int, _Wait] = {}
        self._ends: dict[int, _Wait] = {}
        self._elsewhere: dict[int, InFlightRequest] = {}  # runs that another life claimed first
        self._done: deque[tuple[InFlightRequest, bool]] = deque()  # recorded, the host has not looked yet
        self._recent: deque[InFlightRequest] = deque()  # recorded, and still remembered; oldest first
        self._recent_bytes = 0
        self._parked: list[tuple[int, Request]] | None = []  # None once all has been read
        self._watching = self._early = False  # early: linked to the pool before all was read
        self._stop_at = 1 << 62

    def start(self, side: RequestOwner, pool: WorkerPool, fail: Callable[[str], None]) -> None:
        """Take up what an earlier life left, then link to the pool. `fail`: it can't be; from any thread."""
        self._side, self._pool = side, pool
        if self._keeper.synchronous:
            self._parked = None
            pool.start()
        self._keeper.start(
            lambda left: side.post(lambda: self._recovered(left)), lambda: side.post(self._delayed), fail
        )

    # --- arrivals

    def hold_until_recovered(self, request: Request) -> bool:
        """Whether this keyed try has to wait until all has been read; nobody knows yet what it repeats."""
        if self._parked is None:
            return False
        limit = min(PARK_US, self._classes[request.class_name][1].client_timeout // 2)
        self._parked.append((clock.now() + limit, request))
        self._watch()
        return True

    def fingerprint(self, request: Request) -> bytes:
        """What all its tries have in common."""
        return fingerprint(request.class_name, request.body)

    def look_up(self, request: Request, same: bytes) -> StoredEntry | None:
        """What it repeats, if the host no longer holds that; `ValueError` if its token is another's."""
        assert request.idempotency_key is not None
        return self._keeper.look_up(bytes.fromhex(request.idempotency_key), same, request.arrived_at)

    def capacity_wait_us(self) -> int:
        """How long until one more key can be kept."""
        return self._keeper.capacity_wait_us()

    def replay(self, known: InFlightRequest, past: StoredEntry, then: Callable[[bytes | None], None]) -> None:
        """`then`, in the host thread, with the result that it may have; None: it failed."""
        if past.has_result:
            self._keeper.fetch_result(
                past.key, known.fingerprint, lambda result: self._side.post(lambda: then(result))
            )
        else:
            then(None)

    # --- a request's way

    def key_remembered(self, known: InFlightRequest, until: int) -> None:
        """Its key is taken on."""
        assert known.request.idempotency_key is not None
        self._keys[known.request_id] = _Key(bytes.fromhex(known.request.idempotency_key), until)
        self._keeper.reserve()

    def key_forgotten(self, known: InFlightRequest) -> None:
        """It never ran."""
        if (key := self._keys.pop(known.request_id, None)) is None:
            return
        if key.intended:
            self._keeper.record_never_started(key.token, key.until, ())
        else:
            self._keeper.release()

    def request_start(self, known: InFlightRequest) -> None:
        """It is to run, once that is recorded."""
        exchange, key = known.request, self._keys[known.request_id]
        key.intended = True
        self._begins[known.request_id] = _Wait(known, clock.now() + BEGIN_WAIT_US)
        due = exchange.arrived_at + known.request_class.client_timeout
        begun = StartedRun(
            key.token,
            exchange.uid,
            exchange.class_name,
            known.fingerprint,
            key.until,
            due,
            exchange.memory,
            0,
        )
        self._keeper.record_start(
            begun, lambda: self._begin(known), lambda there: self._kept_back(known, there)
        )
        if not self._keeper.synchronous:
            self._watch()

    def _begin(self, known: InFlightRequest) -> None:
        """In the writer's thread; whoever takes the wait out of the table has the say."""
        if self.withdraw_start(known):
            self._side.start_run(known)

    def _kept_back(self, known: InFlightRequest, elsewhere: bool) -> None:
        """In the host thread: it must not run here. If another life runs it, its end is that run's end, and
        until then it counts as a run of ours: its place is soon free again."""
        if not self.withdraw_start(known):
            return
        del self._keys[known.request_id]
        if not elsewhere:
            return self._refuse_begin(known, "can't be recorded")
        self._elsewhere[known.request_id] = known
        assert known.request.idempotency_key is not None
        self._keeper.fetch_result(
            bytes.fromhex(known.request.idempotency_key),
            known.fingerprint,
            lambda result: self._side.post(lambda: self._ended_elsewhere(known, result)),
        )

    def _ended_elsewhere(self, known: InFlightRequest, result: bytes | None) -> None:
        if known.request_id in self._elsewhere:
            self._side.run_ended_elsewhere(known, result)

    def withdraw_start(self, known: InFlightRequest) -> bool:
        """True once, if it was to run and the pool has not been told."""
        waited = self._begins.pop(known.request_id, None) is not None
        return self._elsewhere.pop(known.request_id, None) is not None or waited

    def awaits_start(self, known: InFlightRequest) -> bool:
        """Whether the pool has not been told to run it."""
        return known.request_id in self._begins or known.request_id in self._elsewhere

    def call_requested(self, known: InFlightRequest) -> bool:
        """It asks for its call. False if that may have been made in an earlier life: its end is not known."""
        self._keeper.notice_read(known.call_notice, True)
        called = self._keys[known.request_id].called
        was = states.KeyState.CALLING if called else states.KeyState.INTENDED
        return states.call_may_be_made(was, called, known.call_notice)

    def record_call(self, known: InFlightRequest, go: Callable[[], None]) -> None:
        """`go`, in the host thread, once it is recorded that its call is about to be made."""
        key, pos = self._keys[known.request_id], known.call_notice
        self._keeper.record_call(
            key.token,
            key.until,
            pos,
            lambda: self._side.post(lambda: go() if known.call_notice == pos else None),
        )

    def run_ended(self, known: InFlightRequest, outcome: Outcome, pos: int) -> None:
        """Its run is over, says notice `pos` (0: none does). With a result, its answer waits for the
        record."""
        key = self._keys.pop(known.request_id, None)
        self._begins.pop(known.request_id, None)
        if key is None:  # it ran in another life, if at all, and that has recorded it
            self._elsewhere.pop(known.request_id, None)
            if outcome is not Outcome.NEVER_STARTED:
                self._recorded(known, outcome is Outcome.OK)
            return
        if pos:
            self._keeper.notice_read(pos, True)
        # Whatever became of the call that it last asked for: its end settles that too.
        settles = known.call_notice, pos
        if outcome is Outcome.NEVER_STARTED:
            return self._keeper.record_never_started(key.token, key.until, settles)
        good = outcome is Outcome.OK
        if good and not self._keeper.synchronous:
            due = known.request.arrived_at + known.request_class.client_timeout
            self._ends[known.request_id] = _Wait(known, min(due, self._stop_at) - MARGIN_US)
            self._watch()
        self._keeper.record_end(
            key.token,
            key.until,
            known.fingerprint,
            known.result if good else None,
            settles,
            lambda: self._recorded(known, good),
        )

    def _recorded(self, known: InFlightRequest, good: bool) -> None:
        """In the writer's thread. The host looks at the rest when it is next awake, or is woken if someone
        waits: who comes to wait after this look comes before the host's own, at the end of the same pass."""
        if good:
            self._side.respond(known.request, ResponseStatus.SERVED, known.result)
        self._done.append((known, good))
        if known.waiting_duplicates:
            self._side.post(lambda: None)

    def settle_recorded(self) -> None:
        """What was recorded since the host last looked."""
        while self._done:
            known, good = self._done.popleft()
            self._ends.pop(known.request_id, None)
            if not good:
                self._side.release(known)
                continue
            self._side.run_ended(known, Outcome.OK)
            self._recent.append(known)
            self._recent_bytes += _bytes(known)
        while len(self._recent) > RECENT_RESULTS or self._recent_bytes > RECENT_BYTES:
            oldest = self._recent.popleft()
            self._recent_bytes -= _bytes(oldest)
            self._side.release(oldest)

    def notice_read(self, pos: int) -> None:
        """A notice that changes nothing here."""
        if pos:
            self._keeper.notice_read(pos, False)

    # --- the pool

    def pool_linked(self) -> None:
        """The pool's link is up."""
        if self._pool.started is not None:
            self._keeper.pool_linked(self._pool.started)

    def pool_replaced(self) -> None:
        """The pool is a new one."""
        self._keeper.pool_replaced()

    # --- an earlier life

    def _delayed(self) -> None:
        """What needs no key goes on without the disk. The pool's notices are not waited for, so runs of an
        earlier life will have no end that anyone hears of."""
        self._early = True
        self._pool.resume(0, None, states.same_pool)
        self._pool.start()

    def _recovered(self, left: RecoveredState) -> None:
        now = clock.now()
        if self._early:
            self._keeper.pool_replaced()
        for count, life in left.key_lifetimes:
            self._side.notify(KeysRestored(count, life))
        for begun in left.started_runs:
            number, cls = self._classes.get(begun.class_name, (0, None))
            if (
                cls is None
                or states.repeat(states.KeyState.INTENDED, not self._early) is states.RetryDecision.FAIL
            ):
                why = "its class is gone" if cls is None else "its pool's notices have passed by"
                logger.warning("%s: failed, since %s", begun.uid, why)
                self._keeper.record_end(
                    begun.key, begun.expires_at, begun.fingerprint, None, (), lambda: None
                )
                continue
            # The reply to a call died with the earlier life, unless it had been passed on.
            left_us = 0 if begun.call_notice else begun.deadline - now
            known = self._side.adopt_run(begun, number, max(ADOPT_US, left_us))
            self._keys[known.request_id] = _Key(begun.key, begun.expires_at, True, begun.call_notice)
        if not self._early:
            self._pool.resume(left.last_notice, left.pool_started_at, states.same_pool)
            self._pool.start()
        parked, self._parked = self._parked or [], None
        for _, request in parked:
            self._side.retry_arrival(request)

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

    def _refuse_begin(self, known: InFlightRequest, why: str) -> None:
        """Nothing ran, and nothing will."""
        logger.warning("%s: refused, since its run %s", known.request.uid, why)
        away_ms = -(-max(self._keeper.capacity_wait_us(), BEGIN_WAIT_US) // 1_000)
        self._side.respond(known.request, ResponseStatus.REJECTED, away_ms=away_ms)
        self._side.run_never_started(known)

    def _look(self) -> None:
        """Who has waited long enough for a record."""
        self._watching = False
        now = clock.now()
        for wait in [wait for wait in list(self._begins.values()) if wait.until <= now]:
            known = wait.known
            if not self.withdraw_start(known):
                continue  # begun meanwhile
            self._refuse_begin(known, "was not recorded in time")
        ends = self._ends.items()
        for number in [number for number, wait in ends if min(wait.until, self._stop_at) <= now]:
            exchange = self._ends.pop(number).known.request
            logger.warning("%s: failed, since its result was not recorded in time", exchange.uid)
            self._side.respond(exchange, ResponseStatus.FAILED)
        if self._parked:
            over = [request for until, request in self._parked if until <= now]
            self._parked = [(until, request) for until, request in self._parked if until > now]
            for request in over:
                away_ms = -(-self._keeper.capacity_wait_us() // 1_000)
                self._side.respond(request, ResponseStatus.REJECTED, away_ms=away_ms)
        if self._begins or self._ends or self._parked:
            self._watch()
