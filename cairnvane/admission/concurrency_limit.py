"""The concurrency limit: hill climbing on the gradient of throughput."""

from __future__ import annotations

from ..contract.events import TimerFired
from ..contract.settings import Settings
from . import parameters
from .estimators import Throughput, WarmUp


class ConcurrencyLimit:
    """How many requests may run at a time."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.limit = settings.cores
        self.throughput = Throughput(now)
        self._settings = settings
        self._warm_up = WarmUp(settings, now)
        self._direction = -1
        self._previous_rate = 0.0
        self._was_binding = False  # in this interval: requests were queued at each timer

    def ceiling(self, now: int) -> float:
        """Running requests that the cores survive, at the least speed that they may have while warming up."""
        oversubscription = 1 + (self._settings.max_oversubscription - 1) * self._warm_up.speed(now)
        return max(1.0, parameters.OVERSUBSCRIPTION_SAFETY * oversubscription * self._settings.cores)

    def on_timer(self, now: int, gauges: TimerFired, running: int, queued: int) -> None:
        """Raise the limit while cores idle, and climb at the end of an interval."""
        self._was_binding &= queued > 0
        ceiling = int(self.ceiling(now))
        # Runs that wait for a disk leave cores idle. Present demand shows it; the mean busy fraction lags,
        # and let a mere burst raise the limit to where runs slow each other down.
        idle = (gauges.runnable or running) < self._settings.cores
        idle = idle and (gauges.cpu_busy or 0.0) < parameters.BUSY_CORES_FRACTION
        if idle and queued and self.limit <= running < ceiling:
            self.limit += 1
        if self.throughput.finished < parameters.CLIMB_RUNS_PER_CORE * self._settings.cores:
            return
        rate = self.throughput.next_interval(now)
        if self._was_binding:  # only an interval in which the limit was binding says something about it
            self._climb(rate, ceiling)
        self._previous_rate = rate
        self._was_binding = queued > 0

    def _climb(self, rate: float, ceiling: int) -> None:
        gain = parameters.CLIMB_MINIMUM_GAIN
        if rate < self._previous_rate * (gain if self._direction > 0 else 1 / gain):
            self._direction = -self._direction
        self.limit = max(self._settings.cores, min(self.limit + self._direction, ceiling))
