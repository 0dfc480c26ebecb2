"""The thread that runs the event loop; the process ends if the thread fails."""

from __future__ import annotations

import logging
import os
import signal
import threading

from .. import clock
from .event_loop import EventLoop
from .lifecycle import Component, Shutdown

logger = logging.getLogger(__name__)

# How long the process waits at its end for the thread to finish its last task.
LAST_TASK_WAIT_S = 0.2


class EventLoopThread:
    """Runs the event loop in a thread of its own.

    Without the event loop no request would be answered, so a failure ends the process, which the platform
    then restarts.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        self.has_failed = threading.Event()
        self._event_loop = event_loop
        self._thread = threading.Thread(target=self._serve, name="event-loop", daemon=True)

    def _serve(self) -> None:
        try:
            self._event_loop.serve()
        except BaseException:
            self._fail()
            raise

    def _fail(self) -> None:
        """End the process by sending the signal that the main thread waits for."""
        self.has_failed.set()
        os.kill(os.getpid(), signal.SIGTERM)

    def fail_recovery(self, reason: str) -> None:
        """End the process because an earlier incarnation's state can't be read; callable from any thread."""
        logger.error("recovery of stored results failed: %s", reason)
        self._fail()

    def stop(self, timeout_s: float | None = None) -> None:
        """Stop the event loop and wait for its thread; None waits without a limit."""
        self._event_loop.stop()
        self._thread.join(timeout_s)

    def component(self) -> Component:
        """The lifecycle component that starts, drains and stops the thread."""

        def drain(shutdown: Shutdown) -> None:
            self._event_loop.drain(int(shutdown.time_left_s * clock.MICROSECONDS_PER_SECOND))

        return Component(
            "event loop",
            start=self._thread.start,
            on_shutdown=drain,
            stop=lambda shutdown: self.stop(LAST_TASK_WAIT_S),
        )
