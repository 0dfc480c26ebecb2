"""Answers health checks with the health state that the controller set last."""

from __future__ import annotations

import threading
from collections.abc import Callable

from ..contract.actions import SetHealth
from ..exchange import HealthCheck, Response, ResponseStatus
from ..net.worker_pool import WorkerPool


class HealthResponder:
    """Answers health checks; the state is healthy until the controller sets another one.

    For a deep check the pool does real work, unless the controller asked for cached answers. `load` returns
    the load signal to send with an answer.

    The pool does the work of one deep check at a time, and its result answers all deep checks that arrived in
    the meantime. Otherwise, in a flood of deep checks, each would cost the pool CPU time and this process a
    timer thread.
    """

    def __init__(self, pool: WorkerPool, load: Callable[[], float | None]) -> None:
        self._pool = pool
        self._load = load
        self._is_healthy = True
        self._is_cached = False
        self._lock = threading.Lock()  # guards `_waiting`
        self._waiting: list[HealthCheck] = []  # deep checks that wait for the result of the work in progress

    def set(self, action: SetHealth) -> None:
        """Set the state for all answers from now on."""
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
        """Answer the waiting checks; called in the thread of the pool's link or of its timer."""
        with self._lock:
            waiting = self._waiting
            self._waiting = []
        for check in waiting:
            self._respond(check, succeeded)

    def _respond(self, check: HealthCheck, is_healthy: bool) -> None:
        status = ResponseStatus.SERVED if is_healthy else ResponseStatus.REJECTED
        check.respond(Response(status, load=self._load()))
