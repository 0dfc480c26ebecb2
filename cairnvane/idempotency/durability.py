"""The server's side of the idempotency store: what waits for a record, and for how long.

Called in the server thread alone, unless a method says otherwise. What a record was awaited for (a start, an
answer) is done by the store's writer thread itself: waking the server thread would cost more than the record
does. A late record costs its request, never the thread: a run that has not started is rejected; a run that
has ended is failed when its client gives up, and stays recorded for the next attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .. import clock
from ..claims import states
from ..contract.events import Outcome
from ..contract.settings import Settings
from ..exchange import Request, ResponseStatus
from ..net.worker_pool import WorkerPool
from ..server.in_flight import InFlightRequest
from .end_recorder import EndRecorder
from .fingerprint import fingerprint
from .overdue_watch import OverdueWatch
from .pending_records import OpenKey
from .recovery_gate import RecoveryGate
from .request_owner import RequestOwner
from .run_recovery import NumberedClass, RunRecovery
from .start_recorder import StartRecorder, retry_after_ms
from .store import IdempotencyStore, RecoveredState, StoredEntry

__all__ = ["RECENT_RESULTS", "DurableKeys", "RequestOwner"]

# A request that arrived before recovery was complete is queued for this long before it is rejected.
RECOVERY_QUEUE_US = 1_000_000
# The last results, which duplicates get from memory: most duplicates come soon, and to ask the store takes
# locks, a read of the file and a further turn of the server thread. These bounds are small beside the least
# memory that a server gets.
RECENT_RESULTS = 256
RECENT_RESULT_BYTES = 256 << 10


class _CallSettlement(NamedTuple):
    """The notices that a record of an end settles; 0: none."""

    call_notice: int  # whatever became of the call that the run last asked for, its end settles that too
    end_notice: int


def _stored_key(request: Request) -> bytes:
    assert request.idempotency_key is not None
    return bytes.fromhex(request.idempotency_key)


class DurableKeys:
    """Keyed requests whose keys and results other incarnations of the server have to know."""

    def __init__(self, store: IdempotencyStore, settings: Settings) -> None:
        self._store = store
        self._classes = {
            request_class.name: NumberedClass(number, request_class)
            for number, request_class in enumerate(settings.classes)
        }
        self._open_keys: dict[int, OpenKey] = {}  # by request
        self._gate = RecoveryGate()
        self._watch = OverdueWatch(lambda task: self._owner.post(task), self._check_overdue)
        self._starts = StartRecorder(store, self._open_keys, self._watch)
        self._ends = EndRecorder(store, self._watch)

    def start(self, owner: RequestOwner, pool: WorkerPool, fail: Callable[[str], None]) -> None:
        """Recover what an earlier incarnation left, then link to the pool.

        `fail` gets the reason why recovery is impossible; it is called from any thread.
        """
        self._owner = owner
        self._pool = pool
        self._starts.owner = owner
        self._ends.owner = owner
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

    def wait_for_recovery(self, request: Request) -> bool:
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
        self._starts.request_start(in_flight)

    def withdraw_start(self, in_flight: InFlightRequest) -> bool:
        """True once, if the run was about to start and the pool has not been told. From any thread."""
        return self._starts.pending.withdraw(in_flight)

    def awaits_start(self, in_flight: InFlightRequest) -> bool:
        """Whether the run is about to start and the pool has not been told."""
        return in_flight in self._starts.pending

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
        self._starts.pending.record_settled(in_flight)
        if open_key is None:  # it ran in another incarnation, if at all, which has recorded its end
            self._starts.pending.end_settled(in_flight)
            if outcome is not Outcome.NEVER_STARTED:
                self._ends.recorded(in_flight, outcome is Outcome.OK)
            return
        if notice:
            self._store.notice_read(notice, True)
        settles = _CallSettlement(in_flight.call_notice, notice)
        if outcome is Outcome.NEVER_STARTED:
            self._store.record_never_started(open_key.key, open_key.expires_at, settles)
            return
        self._ends.record_end(in_flight, open_key, outcome is Outcome.OK, settles)

    def settle_recorded(self) -> None:
        """Process the ends that were recorded since the last call."""
        self._ends.settle(RECENT_RESULTS, RECENT_RESULT_BYTES)

    def notice_read(self, notice: int) -> None:
        """The pool sent a notice without consequence for any key."""
        if notice:
            self._store.notice_read(notice, False)

    # --- the worker pool

    def pool_linked(self) -> None:
        """The link to the pool is up."""
        if self._pool.pool_started_at is not None:
            self._store.pool_linked(self._pool.pool_started_at)

    def pool_replaced(self) -> None:
        """The pool is a new one."""
        self._store.pool_replaced()

    # --- deadlines

    def drain(self, time_left: int) -> None:
        """Every request is answered within `time_left` microseconds."""
        self._ends.drain(time_left)

    def _check_overdue(self) -> bool:
        """Answer requests that have waited long enough for a record; whether others still wait."""
        now = clock.now()
        self._starts.reject_overdue(now)
        self._ends.fail_overdue(now)
        for request in self._gate.take_overdue(now):
            away_ms = retry_after_ms(self._store.capacity_wait_us())
            self._owner.respond(request, ResponseStatus.REJECTED, away_ms=away_ms)
        return bool(self._starts.pending) or bool(self._ends.pending) or bool(self._gate)
