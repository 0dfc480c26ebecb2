"""Combines the durable log with the claim log, for concurrent incarnations of the server.

The durable log has one writer at a time. An incarnation whose folder is owned by another process writes only
the claim log, which is in the same folder, and reads the durable log for results that were stored before.
Once it owns the folder, it copies what is only in the claim log to the durable log (`ClaimTransfer`). From
then on it writes both: the claim log for concurrent incarnations, the durable log for later ones.
"""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from ...claims import ClaimLog
from ..store import RecoveredState, StartedRun, StoredEntry
from .background_tasks import BackgroundTasks
from .claim_transfer import CLAIM_LOG_PREFIX, ClaimTransfer, ignore_not_started, ignore_written
from .deferred_records import DeferredRecords
from .store import DurableStore

__all__ = ["CLAIM_LOG_PREFIX", "TakeoverStore"]

logger = logging.getLogger(__name__)

# The delay before a failed sync of the claim log is retried. Requests that wait for it have their own
# deadlines.
SYNC_RETRY_S = 0.05


class TakeoverStore:
    """An `IdempotencyStore` that uses a durable log and a claim log."""

    synchronous = False

    def __init__(
        self, store: DurableStore, claim_log: ClaimLog, folder: Path, own_path: Path, *, power: bool
    ) -> None:
        """`folder` is the folder of the durable log, and `own_path` this boot's claim log in it.

        `power`: whether results have to survive a power cut.
        """
        self._store = store
        self._claim_log = claim_log
        self._power = power
        # Guards `_is_owner` and `_deferred`: the server thread writes records to the durable log or defers
        # them, and the writer thread takes over the folder.
        self._lock = threading.RLock()
        self._is_owner = False  # this process owns the folder and has transferred all claims
        self._found_owned = False  # another process owned the folder at the start
        self._deferred = DeferredRecords()
        self._transfer = ClaimTransfer(store, claim_log, folder, own_path, self._deferred)
        self._tasks = BackgroundTasks("takeover-tasks")

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """See `IdempotencyStore`."""
        self._recovered = recovered
        self._claim_log.start(recovered, delayed, lost)
        self._tasks.start()
        self._store.start(self._folder_recovered, delayed, lost, self._folder_owned_elsewhere)

    # --- taking over the folder, in the writer thread

    def _folder_owned_elsewhere(self) -> bool:
        """Serve concurrently with the owner of the folder; returns False if the owner writes no claim log."""
        if self._claim_log.is_alone():
            return False
        self._found_owned = True
        logger.info("another process owns the folder: serving concurrently with it")
        self._recovered(RecoveredState())
        return True

    def _folder_recovered(self, recovered: RecoveredState) -> None:
        """This process owns the folder and has read it: transfer the claims, and write to it from now on."""
        with self._lock:
            self._deferred.reserve_in(self._store)
            unfinished = self._transfer.run(recovered)
            self._deferred.settle_in(self._store)
            self._is_owner = True
        if not self._found_owned:
            # Reported once the transferred records are written, since they can be looked up only then.
            state = replace(recovered, started_runs=unfinished)
            self._store.call_after_writes(lambda: self._recovered(state))
            return
        logger.info("this process owns the folder now")
        for run in unfinished:  # of the previous owner of the folder, which had another worker pool
            self._store.record_end(run.key, run.expires_at, run.fingerprint, None, (), ignore_written)

    # --- requests, in the server thread

    def capacity_wait_us(self) -> int:
        """See `IdempotencyStore`."""
        claim_wait = self._claim_log.capacity_wait_us()
        if self._found_owned and not self._is_owner:
            return claim_wait
        return max(claim_wait, self._store.capacity_wait_us())

    def reserve(self) -> None:
        """See `IdempotencyStore`."""
        with self._lock:
            if self._is_owner:
                self._store.reserve()
            else:
                self._deferred.open_keys += 1

    def release(self) -> None:
        """See `IdempotencyStore`."""
        with self._lock:
            if self._is_owner:
                self._store.release()
            else:
                self._deferred.open_keys -= 1

    def record_start(
        self, run: StartedRun, then: Callable[[], None], not_started: Callable[[bool], None], /
    ) -> None:
        """See `IdempotencyStore`. Positional-only, since the testbed replaces this method by a function."""
        self._claim_log.record_start(
            run,
            lambda: self._start_claimed(run, then),
            lambda is_elsewhere: self._start_prevented(not_started, is_elsewhere),
        )

    def _start_claimed(self, run: StartedRun, then: Callable[[], None]) -> None:
        with self._lock:
            if self._is_owner:
                self._store.record_start(run, then, ignore_not_started)
                return
            self._deferred.started_runs[run.key] = run
        self._call_when_durable(then)

    def _start_prevented(self, not_started: Callable[[bool], None], is_elsewhere: bool) -> None:
        self.release()
        not_started(is_elsewhere)

    def record_never_started(self, key: bytes, expires_at: int, settles: tuple[int, ...]) -> None:
        """See `IdempotencyStore`."""
        self._claim_log.record_never_started(key, expires_at, settles)
        with self._lock:
            if self._is_owner:
                self._store.record_never_started(key, expires_at, settles)
                return
            self._deferred.run_ended(key, settles)

    def record_call(self, key: bytes, expires_at: int, notice: int, then: Callable[[], None]) -> None:
        """See `IdempotencyStore`."""
        with self._lock:
            if self._is_owner:
                self._store.record_call(key, expires_at, notice, then)
                return
            self._deferred.call_recorded(key, notice)
        then()

    def record_end(
        self,
        key: bytes,
        expires_at: int,
        fingerprint: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
        /,
    ) -> None:
        """See `IdempotencyStore`. Positional-only, as `record_start`."""
        self._claim_log.record_end(key, expires_at, fingerprint, result, settles, ignore_written)
        with self._lock:
            if self._is_owner:
                self._store.record_end(key, expires_at, fingerprint, result, settles, then)
                return
            self._deferred.run_ended(key, settles)
        self._call_when_durable(then)

    def notice_read(self, notice: int, pending: bool) -> None:
        """See `IdempotencyStore`."""
        self._store.notice_read(notice, pending)

    def pool_linked(self, pool_started_at: int) -> None:
        """See `IdempotencyStore`."""
        with self._lock:
            self._deferred.pool_started_at = pool_started_at
            if self._is_owner:
                self._store.pool_linked(pool_started_at)

    def pool_replaced(self) -> None:
        """See `IdempotencyStore`."""
        self._store.pool_replaced()

    def look_up(self, key: bytes, fingerprint: bytes, arrived_at: int) -> StoredEntry | None:
        """See `IdempotencyStore`.

        The durable log is searched first: it may have the end of a run whose incarnation has died.
        """
        stored = self._store.look_up(key, fingerprint, arrived_at)
        return stored or self._claim_log.look_up(key, fingerprint, arrived_at)

    def fetch_result(self, key: bytes, fingerprint: bytes, then: Callable[[bytes | None], None]) -> None:
        """See `IdempotencyStore`."""
        with self._lock:
            is_stored = self._store.has_end(key)
            can_ask_writer = self._is_owner or not self._found_owned
        if not is_stored:
            self._claim_log.fetch_result(key, fingerprint, then)
        elif can_ask_writer:
            self._store.fetch_result(key, fingerprint, then)
        else:
            self._tasks.add(lambda: then(self._store.read_unowned_result(key, fingerprint)))

    def close(self) -> None:
        """See `IdempotencyStore`."""
        self._claim_log.close()
        self._store.close()
        self._tasks.stop()

    # --- syncing the claim log, while another process owns the folder

    def _call_when_durable(self, then: Callable[[], None]) -> None:
        """Call `then` once the claim log is synced, if it has to survive a power cut; otherwise at once."""
        if self._power:
            self._tasks.add(lambda: self._sync_claims(then))
        else:
            then()

    def _sync_claims(self, then: Callable[[], None]) -> None:
        while True:
            with contextlib.suppress(OSError):
                self._claim_log.sync()
                then()
                return
            threading.Event().wait(SYNC_RETRY_S)
