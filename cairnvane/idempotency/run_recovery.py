"""Takes over the runs that an earlier incarnation of the server has left, and links to the worker pool.

Server thread only.
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

# A run of an earlier incarnation goes on until its client would have given up, and for this long at least:
# its end may stand in a notice that is still to come.
MIN_ADOPTED_RUN_US = 1_000_000


class NumberedClass(NamedTuple):
    """A request class and its place in the settings."""

    number: int
    request_class: RequestClass


class RunRecovery:
    """Takes over what an earlier incarnation has left."""

    def __init__(
        self,
        store: IdempotencyStore,
        classes: dict[str, NumberedClass],
        gate: RecoveryGate,
        add_key: Callable[[int, OpenKey], None],
        owner: RequestOwner,
        pool: WorkerPool,
    ) -> None:
        """`add_key` gets the number of an adopted request and its key."""
        self._store = store
        self._classes = classes
        self._gate = gate
        self._add_key = add_key
        self._owner = owner
        self._pool = pool
        self._linked_without_recovery = False  # linked to the pool before the store could be read

    def store_delayed(self) -> None:
        """Let requests without keys go on without the disk.

        The pool's notices are not waited for, so nobody will learn the end of an earlier incarnation's runs.
        """
        self._linked_without_recovery = True
        self._pool.resume(0, None, states.same_pool)
        self._pool.start()

    def store_recovered(self, recovered: RecoveredState) -> None:
        """Adopt or fail the started runs, link to the pool, and process the queued requests."""
        now = clock.now()
        if self._linked_without_recovery:
            self._store.pool_replaced()
        for key_count, lifetime in recovered.key_lifetimes:
            self._owner.notify(KeysRestored(key_count, lifetime))
        for run in recovered.started_runs:
            self._take_over(run, now)
        if not self._linked_without_recovery:
            self._pool.resume(recovered.last_notice, recovered.pool_started_at, states.same_pool)
            self._pool.start()
        for request in self._gate.open():
            self._owner.retry_arrival(request)

    def _take_over(self, run: StartedRun, now: int) -> None:
        numbered = self._classes.get(run.class_name)
        if numbered is None:
            self._fail(run, "its request class is no longer configured")
            return
        decision = states.decide_duplicate(states.KeyState.INTENDED, not self._linked_without_recovery)
        if decision is states.RetryDecision.FAIL:
            self._fail(run, "the worker pool's notices were read before the store was recovered")
            return
        # The reply to a call is lost with the earlier incarnation, unless it had been passed on.
        time_left = 0 if run.call_notice else run.deadline - now
        in_flight = self._owner.adopt_run(run, numbered.number, max(MIN_ADOPTED_RUN_US, time_left))
        self._add_key(in_flight.request_id, OpenKey(run.key, run.expires_at, True, run.call_notice))

    def _fail(self, run: StartedRun, cause: str) -> None:
        logger.warning("run %s of an earlier incarnation failed: %s", run.uid, cause)
        self._store.record_end(run.key, run.expires_at, run.fingerprint, None, (), lambda: None)
