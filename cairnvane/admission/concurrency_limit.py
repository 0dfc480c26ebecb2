"""The limit on concurrent runs, adjusted by hill climbing on the throughput."""

from __future__ import annotations

from ..contract.events import TimerFired
from ..contract.settings import Settings
from . import parameters
from .estimators import Throughput, WarmUp


class ConcurrencyLimit:
    """The maximum number of requests that run at a time."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.limit = settings.cores
        self.throughput = Throughput(now)
        self._settings = settings
        self._warm_up = WarmUp(settings, now)
        self._direction = -1
        self._previous_rate = 0.0
        self._limit_was_reached = False  # requests were queued at each timer of this interval

    def ceiling(self, now: int) -> float:
        """Upper bound of the limit: running requests that the cores sustain at their lowest warm-up speed."""
        oversubscription = 1 + (self._settings.max_oversubscription - 1) * self._warm_up.speed(now)
        return max(1.0, parameters.OVERSUBSCRIPTION_SAFETY * oversubscription * self._settings.cores)

    def on_timer(self, now: int, gauges: TimerFired, running: int, queued: int) -> None:
        """Raise the limit while cores are idle; at the end of an interval, take a hill climbing step."""
        self._limit_was_reached &= queued > 0
        ceiling = int(self.ceiling(now))
        # Runs that wait for a disk leave cores idle. The current demand shows this at once. The mean busy
        # fraction lags: on its own it let a short burst raise the limit until runs slowed each other down.
        idle = (gauges.runnable or running) < self._settings.cores
        idle = idle and (gauges.cpu_busy or 0.0) < parameters.BUSY_CORES_FRACTION
        if idle and queued and self.limit <= running < ceiling:
            self.limit += 1
        if self.throughput.finished < parameters.CLIMB_RUNS_PER_CORE * self._settings.cores:
            return
        rate = self.throughput.next_interval(now)
        if self._limit_was_reached:  # otherwise the throughput does not depend on the limit
            self._climb(rate, ceiling)
        self._previous_rate = rate
        self._limit_was_reached = queued > 0

    def _climb(self, rate: float, ceiling: int) -> None:
        minimum_gain = parameters.CLIMB_MINIMUM_THROUGHPUT_GAIN
        if rate < self._previous_rate * (minimum_gain if self._direction > 0 else 1 / minimum_gain):
            self._direction = -self._direction
        self.limit = max(self._settings.cores, min(self.limit + self._direction, ceiling))
