"""Delays the retries of failed disk operations, with exponential backoff."""

from __future__ import annotations

import logging
import threading

from . import retention
from .state import StoreState

logger = logging.getLogger(__name__)


class DiskRetry:
    """Counts consecutive failures of the disk. Used by the writer thread only."""

    def __init__(self, state: StoreState, stop: threading.Event) -> None:
        """Setting `stop` ends a pause between two attempts."""
        self._state = state
        self._stop = stop
        self.failures = 0

    def pause(self, error: OSError) -> bool:
        """Wait before the next attempt; True if the store is being closed."""
        self.failures += 1
        if not self._state.is_failing:  # logged once, not at every attempt
            self._state.is_failing = True
            logger.warning(
                "disk operation failed: %s; rejecting new keyed requests until one succeeds", error
            )
        self._state.writing_since = 0
        return self._stop.wait(retention.disk_retry_delay_us(self.failures) / 1e6)

    def succeeded(self) -> None:
        """A disk operation has succeeded."""
        if self._state.is_failing:
            self._state.is_failing = False
            logger.info("disk operation succeeded after %s failures", self.failures)
        self.failures = 0
