"""The server's side of the idempotency store: which operations wait for a record, and for how long.

All methods are called in the server thread only, unless a method says otherwise. Once a record is written,
the store's writer thread itself starts the run or sends the answer that waited for it: waking the server
thread would cost more than writing the record. No thread blocks on a late record; only its request is
affected. A run that has not started is rejected. A request whose run has ended is failed when its client
gives up; the end is still recorded for the next attempt.
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
# Bounds of the cache of recent results, from which duplicates are answered. Most duplicates arrive soon after
# the original, and reading the store takes locks, a file read and another pass of the server thread. The
# bounds are small compared with the least memory that a server gets.
RECENT_RESULTS = 256
RECENT_RESULT_BYTES = 256 << 10


class _SettledNotices(NamedTuple):
    """The notices of the worker pool that the record of an end settles; 0: none."""

    call_notice: int  # of the run's last call; settled whether or not the call was made
    end_notice: int


def _decode_key(request: Request) -> bytes:
    assert request.idempotency_key is not None
    return bytes.fromhex(request.idempotency_key)


class DurableKeys:
    """Keyed requests whose keys and results are shared with other incarnations of the server."""

    def __init__(self, store: IdempotencyStore, settings: Settings) -> None:
        self._store = store
        self._classes = {
            request_class.name: NumberedClass(number, request_class)
            for number, request_class in enumerate(settings.classes)
        }
        self._open_keys: dict[int, OpenKey] = {}  # by request id
        self._gate = RecoveryGate()
        self._watch = OverdueWatch(lambda task: self._owner.post(task), self._check_overdue)
        self._starts = StartRecorder(store, self._open_keys, self._watch)
        self._ends = EndRecorder(store, self._watch)

    def start(self, owner: RequestOwner, pool: WorkerPool, fail: Callable[[str], None]) -> None:
        """Recover the keys and runs of earlier incarnations, then link to the worker pool.

        `fail` is called with the reason if recovery is impossible, from any thread.
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
        """Queue a keyed request if recovery is not complete; return whether it was queued.

        Until then it is not known whether the request is a duplicate.
        """
        if self._gate.is_open:
            return False
        client_timeout = self._classes[request.class_name].request_class.client_timeout
        self._gate.enqueue(request, clock.now() + min(RECOVERY_QUEUE_US, client_timeout // 2))
        self._watch.arm()
        return True

    def fingerprint(self, request: Request) -> bytes:
        """Return the fingerprint, which is the same for all attempts of a request."""
        return fingerprint(request.class_name, request.body)

    def look_up(self, request: Request, request_fingerprint: bytes) -> StoredEntry | None:
        """Return the stored entry that this request duplicates.

        Raises `KeyConflictError` if its key was stored for another class or body.
        """
        return self._store.look_up(_decode_key(request), request_fingerprint, request.arrived_at)

    def capacity_wait_us(self) -> int:
        """Return the microseconds until one more key can be stored; 0: now."""
        return self._store.capacity_wait_us()

    def replay(
        self, in_flight: InFlightRequest, entry: StoredEntry, then: Callable[[bytes | None], None]
    ) -> None:
        """Call `then` in the server thread with the stored result, or with None if the original failed."""
        if not entry.has_result:
            then(None)
            return
        self._store.fetch_result(
            entry.key, in_flight.fingerprint, lambda result: self._owner.post(lambda: then(result))
        )

    # --- the states of a request

    def key_remembered(self, in_flight: InFlightRequest, expires_at: int) -> None:
        """Note that the request was admitted; its key is valid until `expires_at`."""
        self._open_keys[in_flight.request_id] = OpenKey(_decode_key(in_flight.request), expires_at)
        self._store.reserve()

    def key_forgotten(self, in_flight: InFlightRequest) -> None:
        """Note that the request never ran, so that its key can be used again."""
        open_key = self._open_keys.pop(in_flight.request_id, None)
        if open_key is None:
            return
        if open_key.start_requested:
            self._store.record_never_started(open_key.key, open_key.expires_at, ())
        else:
            self._store.release()

    def request_start(self, in_flight: InFlightRequest) -> None:
        """Have the start recorded; the run starts once the record is written."""
        self._starts.request_start(in_flight)

    def withdraw_start(self, in_flight: InFlightRequest) -> bool:
        """Cancel a start that still waits for its record; False if the run started or was withdrawn before.

        May be called from any thread.
        """
        return self._starts.pending.withdraw(in_flight)

    def call_requested(self, in_flight: InFlightRequest) -> bool:
        """Note that the run asks for its call; return False if an earlier incarnation may have made it."""
        self._store.notice_read(in_flight.call_notice, True)
        earlier_call_notice = self._open_keys[in_flight.request_id].earlier_call_notice
        state = states.KeyState.CALLING if earlier_call_notice else states.KeyState.INTENDED
        return states.call_may_be_made(state, earlier_call_notice, in_flight.call_notice)

    def record_call(self, in_flight: InFlightRequest, make_call: Callable[[], None]) -> None:
        """Call `make_call` in the server thread once it is recorded that the call is about to be made."""
        open_key = self._open_keys[in_flight.request_id]
        notice = in_flight.call_notice

        def call_recorded() -> None:
            if in_flight.call_notice == notice:
                make_call()

        self._store.record_call(
            open_key.key, open_key.expires_at, notice, lambda: self._owner.post(call_recorded)
        )

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome, notice: int) -> None:
        """Have the end of a run recorded; `notice` is the pool's notice of it (0: there is none).

        An answer with a result is sent only after the record is written.
        """
        open_key = self._open_keys.pop(in_flight.request_id, None)
        self._starts.pending.remove_awaiting_record(in_flight)
        if open_key is None:  # if it ran at all, then in another incarnation, which has recorded its end
            self._starts.pending.remove_claimed_elsewhere(in_flight)
            if outcome is not Outcome.NEVER_STARTED:
                self._ends.end_recorded(in_flight, outcome is Outcome.OK)
            return
        if notice:
            self._store.notice_read(notice, True)
        settles = _SettledNotices(in_flight.call_notice, notice)
        if outcome is Outcome.NEVER_STARTED:
            self._store.record_never_started(open_key.key, open_key.expires_at, settles)
            return
        self._ends.record_end(in_flight, open_key, outcome is Outcome.OK, settles)

    def settle_recorded(self) -> None:
        """Process the ends that were recorded since the last call."""
        self._ends.process_recorded(RECENT_RESULTS, RECENT_RESULT_BYTES)

    def notice_read(self, notice: int) -> None:
        """Note that a notice was read that affects no key."""
        if notice:
            self._store.notice_read(notice, False)

    # --- the worker pool

    def pool_linked(self) -> None:
        """Note that the link to the worker pool is up."""
        if self._pool.pool_started_at is not None:
            self._store.pool_linked(self._pool.pool_started_at)

    def pool_replaced(self) -> None:
        """Note that the worker pool was replaced by a new one."""
        self._store.pool_replaced()

    # --- deadlines

    def drain(self, time_left: int) -> None:
        """Begin the drain: every request must be answered within `time_left` microseconds."""
        self._ends.drain(time_left)

    def _check_overdue(self) -> bool:
        """Answer the requests whose record is overdue; return whether others still wait."""
        now = clock.now()
        self._starts.reject_overdue(now)
        self._ends.fail_overdue(now)
        for request in self._gate.pop_overdue(now):
            wait_ms = retry_after_ms(self._store.capacity_wait_us())
            self._owner.respond(request, ResponseStatus.REJECTED, away_ms=wait_ms)
        return bool(self._starts.pending) or bool(self._ends.pending) or bool(self._gate)
