"""Answers to health checks, as the module wants them given."""

from __future__ import annotations

import threading
from collections.abc import Callable

from ..contract.actions import SetHealth
from ..exchange import HealthCheck, Response, ResponseStatus
from ..net.worker_pool import WorkerPool


class HealthResponder:
    """Good until told otherwise. A deep check has the pool do its work, unless the answer is to come from
    store; `load` gives the free value that goes with it.

    The pool does one deep check's work at a time, and its end answers all that came meanwhile: each would
    cost it cores and this process a timer's thread, and whoever asks by thousands would take all of both.
    """

    def __init__(self, pool: WorkerPool, load: Callable[[], float | None]) -> None:
        self._pool, self._load = pool, load
        self._good, self._stored = True, False
        self._lock = threading.Lock()
        self._waiting: list[HealthCheck] = []  # for the work that is under way

    def set(self, action: SetHealth) -> None:
        """Answer so from now on."""
        self._good, self._stored = action.healthy, action.cached

    def check(self, check: HealthCheck) -> None:
        """Answer this one."""
        if not (self._good and check.deep and not self._stored):
            return self._reply(check, self._good)
        with self._lock:
            self._waiting.append(check)
            first = len(self._waiting) == 1
        if first:
            self._pool.verify(self._verified)

    def _verified(self, good: bool) -> None:
        """In the thread of the pool's link, or of its timer."""
        with self._lock:
            waiting, self._waiting = self._waiting, []
        for check in waiting:
            self._reply(check, good)

    def _reply(self, check: HealthCheck, good: bool) -> None:
        check.respond(Response(ResponseStatus.SERVED if good else ResponseStatus.REJECTED, load=self._load()))
