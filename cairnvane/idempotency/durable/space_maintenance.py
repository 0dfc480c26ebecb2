"""Expires entries, and drops and compacts segments at intervals. Used by the writer thread only."""

from __future__ import annotations

import logging
from collections.abc import Callable

from .state import StoreState

logger = logging.getLogger(__name__)

# The minimum interval between two attempts to reclaim space.
INTERVAL_US = 500_000


class SpaceMaintenance:
    """Reclaims memory and disk space."""

    def __init__(self, state: StoreState, is_idle: Callable[[], bool], *, max_read_delay_us: int) -> None:
        """`is_idle` returns whether the writer's queue is empty; compaction continues only while it is."""
        self._state = state
        self._is_idle = is_idle
        self._max_read_delay_us = max_read_delay_us
        self._last_run = 0

    def run(self, now: int) -> None:
        """Reclaim space, unless the disk fails or the last attempt was less than `INTERVAL_US` ago."""
        state = self._state
        if now - self._last_run < INTERVAL_US or state.is_failing:
            return
        self._last_run = now
        with state.lock:
            state.index.expire(now - self._max_read_delay_us)
        try:
            state.log.drop(now)
            while state.log.compact_step(state.index, now) and self._is_idle():
                pass
        except OSError as error:
            state.log.stop_compacting()  # the current segment is not affected and stays in use
            logger.warning("reclaiming disk space failed: %s", error)
        state.measure_disk(now)
