"""Answers health checks as the controller asked last."""

from __future__ import annotations

import threading
from collections.abc import Callable

from ..contract.actions import SetHealth
from ..exchange import HealthCheck, Response, ResponseStatus
from ..net.worker_pool import WorkerPool


class HealthResponder:
    """Answers health checks: healthy until the controller says otherwise.

    For a deep check the pool does real work, unless the answer is to come from cache. `load` gives the load
    signal that goes with an answer.

    The pool does the work of one deep check at a time, and its result answers all that arrived meanwhile.
    Guards against a flood of deep checks: each would cost the pool cores, and this process a timer's thread.
    """

    def __init__(self, pool: WorkerPool, load: Callable[[], float | None]) -> None:
        self._pool = pool
        self._load = load
        self._is_healthy = True
        self._is_cached = False
        self._lock = threading.Lock()  # guards `_waiting`
        self._waiting: list[HealthCheck] = []  # deep checks, for the work that is under way

    def set(self, action: SetHealth) -> None:
        """Answer so from now on."""
        self._is_healthy = action.healthy
        self._is_cached = action.cached

    def check(self, check: HealthCheck) -> None:
        """Answer a health check, at once or after the pool's work."""
        needs_work = self._is_healthy and check.deep and not self._is_cached
        if not needs_work:
            self._respond(check, self._is_healthy)
            return
        with self._lock:
            self._waiting.append(check)
            is_first = len(self._waiting) == 1
        if is_first:
            self._pool.verify(self._verified)

    def _verified(self, succeeded: bool) -> None:
        """In the thread of the pool's link, or of its timer."""
        with self._lock:
            waiting = self._waiting
            self._waiting = []
        for check in waiting:
            self._respond(check, succeeded)

    def _respond(self, check: HealthCheck, is_healthy: bool) -> None:
        status = ResponseStatus.SERVED if is_healthy else ResponseStatus.REJECTED
        check.respond(Response(status, load=self._load()))
