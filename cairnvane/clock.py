"""The monotonic clock, used for all decisions, and conversion of Unix time stamps from peers to it."""

from __future__ import annotations

import time
from pathlib import Path
from typing import NamedTuple

_BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_DIGITS = 32
NANOSECONDS_PER_MICROSECOND = 1_000
MICROSECONDS_PER_MILLISECOND = 1_000
MICROSECONDS_PER_SECOND = 1e6


class PlacedStamp(NamedTuple):
    """A Unix time stamp converted to the monotonic clock, in microseconds."""

    at: int  # never later than now
    ahead: int  # how far the time stamp lies in the future, else 0


def now() -> int:
    """The current time of the monotonic clock, in microseconds."""
    return time.monotonic_ns() // NANOSECONDS_PER_MICROSECOND


def to_monotonic(unix_ms: int) -> PlacedStamp:
    """Convert a Unix time stamp to the monotonic clock; a time in the future counts as now."""
    unix_now = time.time_ns() // NANOSECONDS_PER_MICROSECOND
    ahead = unix_ms * MICROSECONDS_PER_MILLISECOND - unix_now
    return PlacedStamp(now() + min(0, ahead), max(0, ahead))


def boot_id() -> str | None:
    """The id of the machine's current boot, 32 hexadecimal digits; None if the system does not provide it.

    Times of the monotonic clock are comparable only within one boot.
    """
    try:
        boot_id = _BOOT_ID_FILE.read_text().strip().replace("-", "")
    except OSError:
        return None
    return boot_id if len(boot_id) == BOOT_ID_DIGITS and boot_id.isalnum() else None
