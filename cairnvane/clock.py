"""The two clocks: a monotonic one for all decisions, Unix time only to place what peers stamp with it."""

from __future__ import annotations

import time


def now() -> int:
    """Microseconds of the monotonic clock."""
    return time.monotonic_ns() // 1_000


def place(unix_ms: int) -> int:
    """The monotonic time of a Unix time stamp; one from the future counts as now."""
    return now() - max(0, time.time_ns() // 1_000 - unix_ms * 1_000)
