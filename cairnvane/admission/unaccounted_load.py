"""Detects runs on the machine that this instance does not track, by the gauge of runnable tasks.

This protects the cores whatever the cause of such runs: they show in the gauges of the next timer, and count
against the ceiling like tracked runs.
"""

from __future__ import annotations

from ..contract.actions import LogMessage
from ..contract.events import TimerFired
from ..contract.settings import Settings
from . import parameters


class UnaccountedLoad:
    """The number of untracked runs according to the last gauges."""

    def __init__(self, settings: Settings) -> None:
        self.runs = 0.0
        self._cores = settings.cores
        self._is_excessive = False  # and was logged

    def on_timer(self, gauges: TimerFired, running: int) -> LogMessage | None:
        """Compare the gauges with the number of tracked runs; returns a log message if the state changed.

        Reading requests also needs cores, at most one request per core at a time, so an excess of up to one
        per core is ignored. Without the gauge nothing changes.
        """
        if gauges.runnable is None:
            return None
        excess = gauges.runnable - running
        self.runs = excess if excess > self._cores else 0.0
        was_excessive = self._is_excessive
        limit = parameters.UNACCOUNTED_RUNS_LOG_THRESHOLD_PER_CORE * self._cores
        self._is_excessive = self.runs > (0.0 if was_excessive else limit)
        if self._is_excessive is was_excessive:
            return None
        change = "more runs than are known" if self._is_excessive else "the runs that are known again"
        return LogMessage(f"machine carries {change}: runnable={gauges.runnable:g} running={running}")
