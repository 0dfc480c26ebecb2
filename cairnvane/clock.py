"""The two clocks: a monotonic one for all decisions, Unix time only to place what peers stamp with it."""

from __future__ import annotations

import time
from pathlib import Path

_BOOT = Path("/proc/sys/kernel/random/boot_id")


def now() -> int:
    """Microseconds of the monotonic clock."""
    return time.monotonic_ns() // 1_000


def place(unix_ms: int) -> tuple[int, int]:
    """The monotonic time of a Unix time stamp, one from the future counting as now; and by how many
    microseconds it lies there."""
    ahead = unix_ms * 1_000 - time.time_ns() // 1_000
    return now() + min(0, ahead), max(0, ahead)


def boot() -> str | None:
    """Which boot of the machine this is, 32 hexadecimal digits: its monotonic clock counts within it only.
    None where the system does not tell."""
    try:
        told = _BOOT.read_text().strip().replace("-", "")
    except OSError:
        return None
    return told if len(told) == 32 and told.isalnum() else None
