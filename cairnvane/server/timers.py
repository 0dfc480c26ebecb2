"""The controller's timers: each is a timer thread, which fetches the resource gauges when it is due."""

from __future__ import annotations

import threading
from collections.abc import Callable

from .. import clock
from ..contract.actions import SetTimer
from ..contract.events import TimerFired
from ..net.worker_pool import WorkerPool
from ..simulator.settings_reader import timer_fired

MICROSECONDS_PER_SECOND = 1e6


class ControllerTimers:
    """Starts timers, and reports those that are due.

    `gauges` names the values in the pool's answer, in their order; None: of no interest. `fired` is called in
    any thread, with the event and the time in microseconds before which it may not be reported.
    """

    def __init__(
        self,
        pool: WorkerPool,
        gauges: tuple[str | None, ...],
        fired: Callable[[TimerFired, int], None],
    ) -> None:
        self._pool = pool
        self._gauges = gauges
        self._fired = fired

    def set(self, action: SetTimer) -> None:
        """Start a timer."""
        delay_s = max(0, action.due_at - clock.now()) / MICROSECONDS_PER_SECOND
        timer = threading.Timer(delay_s, self._fetch_gauges, (action,))
        timer.daemon = True
        timer.start()

    def _fetch_gauges(self, action: SetTimer) -> None:
        """In the timer's thread."""

        def fetched(values: tuple[float, ...]) -> None:
            event = timer_fired(action.token, list(values), self._gauges)
            # The timer may have ended early by a rounding, and the controller takes an early event for one
            # of a timer that it has replaced.
            self._fired(event, action.due_at)

        self._pool.poll(fetched)
