"""Whether this process is ready, drained by its operators, or shutting down: no I/O, no clock of its own.

A drain by call is not a shutdown. The process serves on as before; only health checks fail, so that the
platform takes it off the endpoint list, until the drain ends. What is admitted stays the controller's to
decide.
"""

from __future__ import annotations

import threading
from collections.abc import Callable


class Readiness:
    """Ready, drained, shutting down: set from any thread, read from any thread."""

    def __init__(self, can_serve: Callable[[], bool]) -> None:
        # Whether the components that serve are up (the listener, the link to the pool); asked each time.
        self._can_serve = can_serve
        self._lock = threading.Lock()  # guards the drain and its count
        self._is_drained = False
        self._is_shutting_down = False
        self.drains = 0  # calls that began a drain, for the metrics

    @property
    def drained(self) -> bool:
        """Health checks are to fail."""
        return self._is_drained or self._is_shutting_down

    @property
    def ready(self) -> bool:
        """This process can serve, and is not shutting down."""
        return not self._is_shutting_down and self._can_serve()

    def drain(self) -> bool:
        """Begin a drain by call; False if one was under way already, which is no fault."""
        with self._lock:
            has_begun = not self._is_drained
            self._is_drained = True
            if has_begun:
                self.drains += 1
        return has_begun

    def resume(self) -> bool:
        """End the drain; False if there was none. A process that is shutting down stays drained."""
        with self._lock:
            has_ended = self._is_drained
            self._is_drained = False
        return has_ended

    def shut_down(self) -> None:
        """Shut down: never ready again, and health checks fail from now on."""
        self._is_shutting_down = True
