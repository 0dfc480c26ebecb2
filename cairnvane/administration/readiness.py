"""What the operators asked of this process, and what it can do: no I/O, no clock of its own.

A drain by call is not the notice to leave. The process serves on as before; only health checks are answered
as bad, so that the platform takes it off the list, until the drain ends. What is let in stays the module's.
"""

from __future__ import annotations

import threading
from collections.abc import Callable


class Readiness:
    """Ready, drained, leaving: set from any thread, read from any thread."""

    def __init__(self, can_serve: Callable[[], bool]) -> None:
        # Whether the parts that serve are up (the listener, the link to the pool); asked at each look.
        self._can_serve = can_serve
        self._lock = threading.Lock()
        self._drained = False
        self._leaving = False
        self.drains = 0  # calls that began a drain, for the figures

    @property
    def drained(self) -> bool:
        """Health checks are to be answered as bad."""
        return self._drained or self._leaving

    @property
    def ready(self) -> bool:
        """This process can serve, and is not on its way out."""
        return not self._leaving and self._can_serve()

    def drain(self) -> bool:
        """A drain by call; False if one was under way already, which is no fault."""
        with self._lock:
            began, self._drained = not self._drained, True
            self.drains += began
        return began

    def resume(self) -> bool:
        """The drain is over; False if there was none. A process on its way out stays drained."""
        with self._lock:
            ended, self._drained = self._drained, False
        return ended

    def leave(self) -> None:
        """The notice to leave: never ready again, and never good."""
        self._leaving = True
