"""The controller's timers: a library timer for each, and the gauges that a tick brings."""

from __future__ import annotations

import threading
from collections.abc import Callable

from .. import clock
from ..contract.actions import SetTimer
from ..contract.events import TimerFired
from ..net.worker_pool import WorkerPool
from ..simulator.settings_reader import timer_fired


class ControllerTimers:
    """`tick` is called with the event and the time before which it may not be told, in whatever thread."""

    def __init__(
        self,
        pool: WorkerPool,
        gauges: tuple[str | None, ...],
        tick: Callable[[TimerFired, int], None],
    ) -> None:
        self._pool, self._gauges, self._tick = pool, gauges, tick

    def set(self, action: SetTimer) -> None:
        """Ask for a tick."""
        timer = threading.Timer(max(0, action.due_at - clock.now()) / 1e6, self._due, (action,))
        timer.daemon = True
        timer.start()

    def _due(self, timer: SetTimer) -> None:
        """In the timer's thread: fetch the gauges."""

        def gauged(meters: tuple[float, ...]) -> None:
            # Never before its time by a rounding: the controller takes that for one that it replaced.
            self._tick(timer_fired(timer.token, list(meters), self._gauges), timer.due_at)

        self._pool.poll(gauged)
