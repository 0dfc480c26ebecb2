"""A watchdog that looks at overdue records while any record is awaited."""

from __future__ import annotations

import threading
from collections.abc import Callable

# Between two checks; none is made while nothing is awaited.
CHECK_INTERVAL_S = 0.05


class OverdueWatch:
    """Calls `check` in the server thread at intervals, as long as it reports that records are awaited."""

    def __init__(self, post: Callable[[Callable[[], None]], None], check: Callable[[], bool]) -> None:
        """`post` runs a task in the server thread; `check` returns whether records are still awaited."""
        self._post = post
        self._check = check
        self._is_armed = False

    def arm(self) -> None:
        """A record is awaited from now on. Server thread only."""
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
