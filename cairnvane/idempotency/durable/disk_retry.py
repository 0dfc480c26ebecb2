"""Retries of a disk that fails, with exponential backoff."""

from __future__ import annotations

import logging
import threading

from . import retention
from .state import StoreState

logger = logging.getLogger(__name__)


class DiskRetry:
    """Counts the failures of the disk in a row. Writer thread only."""

    def __init__(self, state: StoreState, stop: threading.Event) -> None:
        """`stop` ends a pause between two attempts."""
        self._state = state
        self._stop = stop
        self.failures = 0

    def pause(self, error: OSError) -> bool:
        """Wait before the next attempt; True if the store is being closed."""
        self.failures += 1
        if not self._state.is_failing:  # logged once, not with every attempt
            self._state.is_failing = True
            logger.warning("the disk fails: %s; new keyed requests are rejected until it works again", error)
        self._state.writing_since = 0
        return self._stop.wait(retention.retry_after(self.failures) / 1e6)

    def succeeded(self) -> None:
        """The disk has done what was asked."""
        if self._state.is_failing:
            self._state.is_failing = False
            logger.info("the disk works again, after %s failures", self.failures)
        self.failures = 0
