"""Runs that the machine carries beyond those that this instance knows of, as far as the gauges show them.

A guard that does not depend on the cause: whatever leaves runs on the cores that no table here has, they show
in the gauges of the next timer, and take up room under the ceiling like those that are known.
"""

from __future__ import annotations

from ..contract.actions import LogMessage
from ..contract.events import TimerFired
from ..contract.settings import Settings
from . import parameters


class UnaccountedLoad:
    """How many runs are on the machine and in no table, by the last gauges."""

    def __init__(self, settings: Settings) -> None:
        self.runs = 0.0
        self._cores = settings.cores
        self._is_excessive = False  # and has been logged

    def on_timer(self, gauges: TimerFired, running: int) -> LogMessage | None:
        """Compare the gauges with the requests that run; None if there is nothing to log.

        What is read wants a core too, one request a core at a time: so much is no sign of unknown runs.
        Without the gauge nothing is known, and nothing changes.
        """
        if gauges.runnable is None:
            return None
        excess = gauges.runnable - running
        self.runs = excess if excess > self._cores else 0.0
        was_excessive = self._is_excessive
        limit = parameters.UNACCOUNTED_RUNS_LOGGED_PER_CORE * self._cores
        self._is_excessive = self.runs > (0.0 if was_excessive else limit)
        if self._is_excessive is was_excessive:
            return None
        change = "more runs than are known" if self._is_excessive else "the runs that are known again"
        return LogMessage(f"machine carries {change}: runnable={gauges.runnable:g} running={running}")
