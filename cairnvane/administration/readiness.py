"""The readiness state of the process: ready, drained by an operator, or shutting down. No clock.

A requested drain is not a shutdown. The process continues to serve requests; only health checks fail, so that
the platform removes it from the endpoint list until the drain ends. Admission is still decided by the
controller.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from .drain_state import DrainState, ProcessDrainState


class Readiness:
    """The readiness state; it may be read and changed from any thread."""

    def __init__(self, can_serve: Callable[[], bool], drain_state: DrainState | None = None) -> None:
        """`drain_state` may be shared with other processes; by default it is not."""
        # Whether the serving components (listener, link to the pool) are up; called for each check.
        self._can_serve = can_serve
        self._lock = threading.Lock()  # guards the drain and its count
        self._drain_state = drain_state or ProcessDrainState()
        self._is_shutting_down = False
        self.drains = 0  # requests that started a drain, for the metrics

    @property
    def drained(self) -> bool:
        """Whether health checks must fail."""
        return self._is_shutting_down or self._drain_state.read()

    @property
    def ready(self) -> bool:
        """Whether the process can serve and is not shutting down."""
        return not self._is_shutting_down and self._can_serve()

    def drain(self) -> bool:
        """Start a drain; returns False if one was already active, which is not an error."""
        with self._lock:
            has_started = not self._drain_state.read()
            self._drain_state.write(True)
            if has_started:
                self.drains += 1
        return has_started

    def resume(self) -> bool:
        """End the drain; returns False if there was none. A process that is shutting down stays drained."""
        with self._lock:
            has_ended = self._drain_state.read()
            self._drain_state.write(False)
        return has_ended

    def shut_down(self) -> None:
        """Mark the process as shutting down: it is never ready again, and health checks fail."""
        self._is_shutting_down = True
