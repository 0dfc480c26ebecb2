"""Takes over the open runs of an earlier incarnation of the server, and links to the worker pool.

All methods are called in the server thread only.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from .. import clock
from ..claims import states
from ..contract.events import KeysRestored
from ..contract.settings import RequestClass
from ..net.worker_pool import WorkerPool
from .pending_records import OpenKey
from .recovery_gate import RecoveryGate
from .request_owner import RequestOwner
from .store import IdempotencyStore, RecoveredState, StartedRun

logger = logging.getLogger(__name__)

# An adopted run continues until its client would have given up, and at least for this long: the pool's notice
# of its end may not have been read yet.
MIN_ADOPTED_RUN_US = 1_000_000


class NumberedClass(NamedTuple):
    """A request class and its index in the settings."""

    number: int
    request_class: RequestClass


class RunRecovery:
    """Restores the keys and adopts the runs of earlier incarnations."""

    def __init__(
        self,
        store: IdempotencyStore,
        classes: dict[str, NumberedClass],
        gate: RecoveryGate,
        add_key: Callable[[int, OpenKey], None],
        owner: RequestOwner,
        pool: WorkerPool,
    ) -> None:
        """`add_key` is called with the id of each adopted request and its key."""
        self._store = store
        self._classes = classes
        self._gate = gate
        self._add_key = add_key
        self._owner = owner
        self._pool = pool
        self._linked_without_recovery = False  # linked to the pool before the store could be read

    def store_delayed(self) -> None:
        """Link to the pool before the store could be read, so that requests without keys can be served.

        The notices of the ends of earlier incarnations' runs are then not waited for, so those ends stay
        unknown.
        """
        self._linked_without_recovery = True
        self._pool.resume(0, None, states.is_same_pool)
        self._pool.start()

    def store_recovered(self, recovered: RecoveredState) -> None:
        """Adopt or fail the started runs, link to the pool, and process the queued requests."""
        now = clock.now()
        if self._linked_without_recovery:
            self._store.pool_replaced()
        for key_count, lifetime in recovered.key_lifetimes:
            self._owner.notify(KeysRestored(key_count, lifetime))
        for run in recovered.started_runs:
            self._adopt_or_fail(run, now)
        if not self._linked_without_recovery:
            self._pool.resume(recovered.last_notice, recovered.pool_started_at, states.is_same_pool)
            self._pool.start()
        for request in self._gate.open():
            self._owner.retry_arrival(request)

    def _adopt_or_fail(self, run: StartedRun, now: int) -> None:
        numbered_class = self._classes.get(run.class_name)
        if numbered_class is None:
            self._fail(run, "its request class is no longer configured")
            return
        decision = states.decide_duplicate(states.KeyState.INTENDED, not self._linked_without_recovery)
        if decision is states.RetryDecision.FAIL:
            self._fail(run, "the worker pool's notices were read before the store was recovered")
            return
        # Unless the earlier incarnation had passed on the reply to the run's call, that reply is lost.
        time_left = 0 if run.call_notice else run.deadline - now
        in_flight = self._owner.adopt_run(run, numbered_class.number, max(MIN_ADOPTED_RUN_US, time_left))
        self._add_key(in_flight.request_id, OpenKey(run.key, run.expires_at, True, run.call_notice))

    def _fail(self, run: StartedRun, cause: str) -> None:
        logger.warning("run %s of an earlier incarnation failed: %s", run.uid, cause)
        self._store.record_end(run.key, run.expires_at, run.fingerprint, None, (), lambda: None)
