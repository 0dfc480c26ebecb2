"""A watchdog timer that checks for overdue records as long as any record is awaited."""

from __future__ import annotations

import threading
from collections.abc import Callable

# The time between two checks; no check is made while no record is awaited.
CHECK_INTERVAL_S = 0.05


class OverdueWatch:
    """Calls `check` in the server thread at intervals, as long as it reports that records are awaited."""

    def __init__(self, post: Callable[[Callable[[], None]], None], check: Callable[[], bool]) -> None:
        """`post` runs a task in the server thread; `check` returns whether records are still awaited."""
        self._post = post
        self._check = check
        self._is_armed = False

    def arm(self) -> None:
        """Schedule the next check, because a record is awaited. Server thread only."""
        if self._is_armed:
            return
        self._is_armed = True
        timer = threading.Timer(CHECK_INTERVAL_S, lambda: self._post(self._run_check))
        timer.daemon = True
        timer.start()

    def _run_check(self) -> None:
        self._is_armed = False
        if self._check():
            self.arm()
