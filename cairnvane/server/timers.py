"""The controller's timers. Each is a timer thread that fetches the resource gauges when it is due."""

from __future__ import annotations

import threading
from collections.abc import Callable

from .. import clock
from ..contract.actions import SetTimer
from ..contract.events import TimerFired
from ..net.worker_pool import WorkerPool
from ..simulator.settings_reader import timer_fired


class ControllerTimers:
    """Starts timers, and reports those that are due.

    `gauges` has the names of the values in the pool's answer, in order, with None for an unused value.
    `on_fired` is called in any thread, with the event and its due time in microseconds; the event must not be
    reported as of an earlier time.
    """

    def __init__(
        self,
        pool: WorkerPool,
        gauges: tuple[str | None, ...],
        on_fired: Callable[[TimerFired, int], None],
    ) -> None:
        self._pool = pool
        self._gauges = gauges
        self._on_fired = on_fired

    def set(self, action: SetTimer) -> None:
        """Start a timer."""
        delay_s = max(0, action.due_at - clock.now()) / clock.MICROSECONDS_PER_SECOND
        timer = threading.Timer(delay_s, self._fetch_gauges, (action,))
        timer.daemon = True
        timer.start()

    def _fetch_gauges(self, action: SetTimer) -> None:
        """Poll the gauges, then report the timer; called in the timer's thread."""

        def on_fetched(values: tuple[float, ...]) -> None:
            event = timer_fired(action.token, list(values), self._gauges)
            # Rounding may let the timer end early, and the controller takes an event before its due time for
            # that of a timer that it has replaced.
            self._on_fired(event, action.due_at)

        self._pool.poll(on_fetched)
