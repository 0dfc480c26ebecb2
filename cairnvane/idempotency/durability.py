"""The server's side of the idempotency store: what waits for a record, and for how long.

Called in the server thread alone, unless a method says otherwise. What a record was awaited for (a start, an
answer) is done by the store's writer thread itself: waking the server thread would cost more than the record
does. A late record costs its request, never the thread: a run that has not started is rejected; a run that
has ended is failed when its client gives up, and stays recorded for the next attempt.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from .. import clock
from ..claims import states
from ..contract.events import Outcome
from ..contract.settings import Settings
from ..exchange import Request, ResponseStatus
from ..net.worker_pool import WorkerPool
from ..server.in_flight import InFlightRequest
from .fingerprint import fingerprint
from .overdue_watch import OverdueWatch
from .pending_records import OpenKey, PendingEnds, PendingStarts
from .recent_results import RecentResults
from .recovery_gate import RecoveryGate
from .run_recovery import NumberedClass, RecoveryOwner, RunRecovery
from .store import IdempotencyStore, RecoveredState, StartedRun, StoredEntry

logger = logging.getLogger(__name__)

# A run whose start record is not written by then is not started. Ordinary writes take a hundredth of it.
START_RECORD_TIMEOUT_US = 250_000
# A request that arrived before recovery was complete is queued for this long before it is rejected.
RECOVERY_QUEUE_US = 1_000_000
# An answer is failed this long before its deadline, in addition to the delay of the watchdog.
ANSWER_MARGIN_US = 60_000
# The last results, which duplicates get from memory: most duplicates come soon, and to ask the store takes
# locks, a read of the file and a further turn of the server thread. These bounds are small beside the least
# memory that a server gets.
RECENT_RESULTS = 256
RECENT_RESULT_BYTES = 256 << 10
# Later than any time of the monotonic clock.
NEVER_US = 1 << 62


class RequestOwner(RecoveryOwner, Protocol):
    """What the server does on behalf of `DurableKeys`."""

    def post(self, task: Callable[[], None]) -> None:
        """Run a task in the server thread. From any thread."""

    def start_run(self, in_flight: InFlightRequest) -> None:
        """Have the worker pool run the request. From any thread."""

    def respond(self, request: Request, status: ResponseStatus, body: bytes = b"", away_ms: int = 0) -> None:
        """Give the final answer, unless one was given. `away_ms` is the retry-after. From any thread."""

    def run_never_started(self, in_flight: InFlightRequest) -> None:
        """A run that was about to start provably has not."""

    def run_ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        """A run that was to start here has ended in another incarnation (None: without a result)."""

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome) -> None:
        """The run is over: notify all who wait for it."""

    def release(self, in_flight: InFlightRequest) -> None:
        """The request may leave memory: the store has it."""


class _CallSettlement(NamedTuple):
    """The notices that a record of an end settles; 0: none."""

    call_notice: int  # whatever became of the call that the run last asked for, its end settles that too
    end_notice: int


def _retry_after_ms(wait_us: int) -> int:
    """Microseconds as milliseconds, rounded up."""
    return -(-wait_us // 1_000)


def _stored_key(request: Request) -> bytes:
    assert request.idempotency_key is not None
    return bytes.fromhex(request.idempotency_key)


def _client_deadline(in_flight: InFlightRequest) -> int:
    return in_flight.request.arrived_at + in_flight.request_class.client_timeout


class DurableKeys:
    """Keyed requests whose keys and results other incarnations of the server have to know."""

    def __init__(self, store: IdempotencyStore, settings: Settings) -> None:
        self._store = store
        self._classes = {
            request_class.name: NumberedClass(number, request_class)
            for number, request_class in enumerate(settings.classes)
        }
        self._open_keys: dict[int, OpenKey] = {}  # by request
        self._starts = PendingStarts()
        self._ends = PendingEnds()
        # Recorded ends that the server thread has not processed yet: appended by the writer thread.
        self._recorded_ends: deque[tuple[InFlightRequest, bool]] = deque()
        self._recent = RecentResults()
        self._gate = RecoveryGate()
        self._drain_deadline = NEVER_US

    def start(self, owner: RequestOwner, pool: WorkerPool, fail: Callable[[str], None]) -> None:
        """Recover what an earlier incarnation left, then link to the pool.

        `fail` gets the reason why recovery is impossible; it is called from any thread.
        """
        self._owner = owner
        self._pool = pool
        self._watch = OverdueWatch(owner.post, self._check_overdue)
        recovery = RunRecovery(
            self._store, self._classes, self._gate, self._open_keys.__setitem__, owner, pool
        )
        if self._store.synchronous:
            self._gate.open()
            pool.start()

        def recovered(state: RecoveredState) -> None:
            owner.post(lambda: recovery.store_recovered(state))

        self._store.start(recovered, lambda: owner.post(recovery.store_delayed), fail)

    # --- arrivals

    def hold_until_recovered(self, request: Request) -> bool:
        """Queue a keyed request if recovery is not complete: nobody knows yet what it duplicates."""
        if self._gate.is_open:
            return False
        client_timeout = self._classes[request.class_name].request_class.client_timeout
        self._gate.enqueue(request, clock.now() + min(RECOVERY_QUEUE_US, client_timeout // 2))
        self._watch.arm()
        return True

    def fingerprint(self, request: Request) -> bytes:
        """What all attempts of a request have in common."""
        return fingerprint(request.class_name, request.body)

    def look_up(self, request: Request, request_fingerprint: bytes) -> StoredEntry | None:
        """The stored entry that this request duplicates; `KeyConflictError` if its key is another's."""
        return self._store.look_up(_stored_key(request), request_fingerprint, request.arrived_at)

    def capacity_wait_us(self) -> int:
        """Microseconds until one more key can be stored."""
        return self._store.capacity_wait_us()

    def replay(
        self, in_flight: InFlightRequest, entry: StoredEntry, then: Callable[[bytes | None], None]
    ) -> None:
        """Call `then` in the server thread with the stored result; None: the original request failed."""
        if not entry.has_result:
            then(None)
            return
        self._store.fetch_result(
            entry.key, in_flight.fingerprint, lambda result: self._owner.post(lambda: then(result))
        )

    # --- the states of a request

    def key_remembered(self, in_flight: InFlightRequest, expires_at: int) -> None:
        """The request is admitted, and its key counts until `expires_at`."""
        self._open_keys[in_flight.request_id] = OpenKey(_stored_key(in_flight.request), expires_at)
        self._store.reserve()

    def key_forgotten(self, in_flight: InFlightRequest) -> None:
        """The request never ran."""
        open_key = self._open_keys.pop(in_flight.request_id, None)
        if open_key is None:
            return
        if open_key.start_requested:
            self._store.record_never_started(open_key.key, open_key.expires_at, ())
        else:
            self._store.release()

    def request_start(self, in_flight: InFlightRequest) -> None:
        """Start the run once its start is recorded."""
        request = in_flight.request
        open_key = self._open_keys[in_flight.request_id]
        open_key.start_requested = True
        self._starts.add(in_flight, clock.now() + START_RECORD_TIMEOUT_US)
        run = StartedRun(
            open_key.key,
            request.uid,
            request.class_name,
            in_flight.fingerprint,
            open_key.expires_at,
            _client_deadline(in_flight),
            request.memory,
            0,
        )
        self._store.record_start(
            run,
            lambda: self._start_recorded(in_flight),
            lambda is_elsewhere: self._start_prevented(in_flight, is_elsewhere),
        )
        if not self._store.synchronous:
            self._watch.arm()

    def _start_recorded(self, in_flight: InFlightRequest) -> None:
        """In the writer thread, which competes with the server thread for the pending start."""
        if self.withdraw_start(in_flight):
            self._owner.start_run(in_flight)

    def _start_prevented(self, in_flight: InFlightRequest, is_elsewhere: bool) -> None:
        """In the server thread: the run must not start here.

        If another incarnation runs it, its end is that run's end. Until then it counts as a run of this
        incarnation: its place is soon free again.
        """
        if not self.withdraw_start(in_flight):
            return
        del self._open_keys[in_flight.request_id]
        if not is_elsewhere:
            self._reject_start(in_flight, "the start can't be recorded")
            return
        self._starts.add_claimed_elsewhere(in_flight)
        self._store.fetch_result(
            _stored_key(in_flight.request),
            in_flight.fingerprint,
            lambda result: self._owner.post(lambda: self._ended_elsewhere(in_flight, result)),
        )

    def _ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        if self._starts.is_claimed_elsewhere(in_flight):
            self._owner.run_ended_elsewhere(in_flight, result)

    def withdraw_start(self, in_flight: InFlightRequest) -> bool:
        """True once, if the run was about to start and the pool has not been told. From any thread."""
        return self._starts.withdraw(in_flight)

    def awaits_start(self, in_flight: InFlightRequest) -> bool:
        """Whether the run is about to start and the pool has not been told."""
        return in_flight in self._starts

    def call_requested(self, in_flight: InFlightRequest) -> bool:
        """The run asks for its call; False if an earlier incarnation may have made that call."""
        self._store.notice_read(in_flight.call_notice, True)
        earlier_call_notice = self._open_keys[in_flight.request_id].earlier_call_notice
        state = states.KeyState.CALLING if earlier_call_notice else states.KeyState.INTENDED
        return states.call_may_be_made(state, earlier_call_notice, in_flight.call_notice)

    def record_call(self, in_flight: InFlightRequest, make_call: Callable[[], None]) -> None:
        """Run `make_call` in the server thread once it is recorded that the call is about to be made."""
        open_key = self._open_keys[in_flight.request_id]
        notice = in_flight.call_notice

        def call_recorded() -> None:
            if in_flight.call_notice == notice:
                make_call()

        self._store.record_call(
            open_key.key, open_key.expires_at, notice, lambda: self._owner.post(call_recorded)
        )

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome, notice: int) -> None:
        """The run is over, as the pool's notice says (0: no notice does).

        An answer with a result waits for the record.
        """
        open_key = self._open_keys.pop(in_flight.request_id, None)
        self._starts.record_settled(in_flight)
        if open_key is None:  # it ran in another incarnation, if at all, which has recorded its end
            self._starts.end_settled(in_flight)
            if outcome is not Outcome.NEVER_STARTED:
                self._end_recorded(in_flight, outcome is Outcome.OK)
            return
        if notice:
            self._store.notice_read(notice, True)
        settles = _CallSettlement(in_flight.call_notice, notice)
        if outcome is Outcome.NEVER_STARTED:
            self._store.record_never_started(open_key.key, open_key.expires_at, settles)
            return
        self._record_end(in_flight, open_key, outcome is Outcome.OK, settles)

    def _record_end(
        self, in_flight: InFlightRequest, open_key: OpenKey, has_result: bool, settles: _CallSettlement
    ) -> None:
        if has_result and not self._store.synchronous:
            deadline = min(_client_deadline(in_flight), self._drain_deadline)
            self._ends.add(in_flight, deadline - ANSWER_MARGIN_US)
            self._watch.arm()
        self._store.record_end(
            open_key.key,
            open_key.expires_at,
            in_flight.fingerprint,
            in_flight.result if has_result else None,
            settles,
            lambda: self._end_recorded(in_flight, has_result),
        )

    def _end_recorded(self, in_flight: InFlightRequest, has_result: bool) -> None:
        """In the writer thread: answer. The server thread does the rest when it is next awake.

        It is woken if duplicates wait. A duplicate that starts to wait after this check does so before the
        server thread processes recorded ends, at the end of the same pass.
        """
        if has_result:
            self._owner.respond(in_flight.request, ResponseStatus.SERVED, in_flight.result)
        self._recorded_ends.append((in_flight, has_result))
        if in_flight.waiting_duplicates:
            self._owner.post(lambda: None)

    def settle_recorded(self) -> None:
        """Process the ends that were recorded since the last call."""
        while self._recorded_ends:
            in_flight, has_result = self._recorded_ends.popleft()
            self._ends.settled(in_flight)
            if not has_result:
                self._owner.release(in_flight)
                continue
            self._owner.run_ended(in_flight, Outcome.OK)
            self._recent.add(in_flight)
        for in_flight in self._recent.evict(RECENT_RESULTS, RECENT_RESULT_BYTES):
            self._owner.release(in_flight)

    def notice_read(self, notice: int) -> None:
        """The pool sent a notice without consequence for any key."""
        if notice:
            self._store.notice_read(notice, False)

    # --- the worker pool

    def pool_linked(self) -> None:
        """The link to the pool is up."""
        if self._pool.started is not None:
            self._store.pool_linked(self._pool.started)

    def pool_replaced(self) -> None:
        """The pool is a new one."""
        self._store.pool_replaced()

    # --- deadlines

    def drain(self, time_left: int) -> None:
        """Every request is answered within `time_left` microseconds."""
        self._drain_deadline = clock.now() + time_left

    def _reject_start(self, in_flight: InFlightRequest, cause: str) -> None:
        """Nothing ran, and nothing will."""
        logger.warning("run %s rejected: %s", in_flight.request.uid, cause)
        wait_us = max(self._store.capacity_wait_us(), START_RECORD_TIMEOUT_US)
        self._owner.respond(in_flight.request, ResponseStatus.REJECTED, away_ms=_retry_after_ms(wait_us))
        self._owner.run_never_started(in_flight)

    def _check_overdue(self) -> bool:
        """Answer requests that have waited long enough for a record; whether others still wait."""
        now = clock.now()
        for in_flight in self._starts.overdue(now):
            if self.withdraw_start(in_flight):  # else it was started meanwhile
                self._reject_start(in_flight, "the start was not recorded in time")
        for request in self._ends.take_overdue(now, self._drain_deadline):
            logger.warning("request %s failed: its result was not recorded in time", request.uid)
            self._owner.respond(request, ResponseStatus.FAILED)
        for request in self._gate.take_overdue(now):
            away_ms = _retry_after_ms(self._store.capacity_wait_us())
            self._owner.respond(request, ResponseStatus.REJECTED, away_ms=away_ms)
        return bool(self._starts) or bool(self._ends) or bool(self._gate)
