"""Ejects failing endpoints temporarily (outlier detection), and ramps up joining ones (slow start).

The rules are Envoy's ('Outlier detection', 'Slow start mode'). Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar("Key")
# Envoy's defaults.
CONSECUTIVE_FAILURES = 5
BASE_EJECTION_US = 30_000_000
MAX_EJECTION_US = 300_000_000
MAX_EJECTED_PERCENT = 10
# The share of its weight that a joining endpoint starts with.
MIN_SLOW_START_SHARE = 0.1


@dataclass(slots=True)
class _Record:
    """The failure and ejection state of one endpoint."""

    consecutive_failures: int = 0
    ejections: int = 0  # multiplies the ejection time; decreases while calls succeed
    ejected_until: int = 0


class OutlierDetector(Generic[Key]):
    """Decides which endpoints are ejected: at most a given share at any time, though one may always be."""

    def __init__(
        self,
        *,
        consecutive_failures: int = CONSECUTIVE_FAILURES,
        base_ejection_us: int = BASE_EJECTION_US,
        max_ejection_us: int = MAX_EJECTION_US,
        max_ejected_percent: int = MAX_EJECTED_PERCENT,
    ) -> None:
        self._consecutive_failures = consecutive_failures
        self._base_ejection_us = base_ejection_us
        self._max_ejection_us = max_ejection_us
        self._max_ejected_percent = max_ejected_percent
        self._records: dict[Key, _Record] = {}
        self._ejected: dict[Key, None] = {}  # an ordered set

    def is_ejected(self, key: Key) -> bool:
        """Whether an endpoint is ejected and gets no calls."""
        return key in self._ejected

    def record_result(self, key: Key, is_success: bool, endpoint_count: int, now: int) -> bool:
        """Record the result of a call; returns whether it ejects the endpoint."""
        record = self._records.setdefault(key, _Record())
        if is_success:
            record.consecutive_failures = 0
            return False
        record.consecutive_failures += 1
        if record.consecutive_failures < self._consecutive_failures or key in self._ejected:
            return False
        if not self._may_eject(endpoint_count):
            return False
        self._eject(key, record, now)
        return True

    def _may_eject(self, endpoint_count: int) -> bool:
        if not self._ejected:
            return True
        return 100 * (len(self._ejected) + 1) <= self._max_ejected_percent * endpoint_count

    def _eject(self, key: Key, record: _Record, now: int) -> None:
        record.consecutive_failures = 0
        record.ejections += 1
        longest_us = max(self._base_ejection_us, self._max_ejection_us)
        record.ejected_until = now + min(self._base_ejection_us * record.ejections, longest_us)
        self._ejected[key] = None

    def readmit_due(self, now: int) -> list[Key]:
        """Readmit and return the endpoints whose ejection time is over.

        Call this once per interval: it shortens the next ejection of endpoints without current failures.
        """
        readmitted = [key for key in self._ejected if self._records[key].ejected_until <= now]
        for key in readmitted:
            del self._ejected[key]
        for key, record in self._records.items():
            in_service = key not in self._ejected and key not in readmitted
            if in_service and record.ejections and not record.consecutive_failures:
                record.ejections -= 1
        return readmitted

    def forget(self, key: Key) -> None:
        """Drop the state of a removed endpoint; it starts with a clean record if it returns."""
        self._records.pop(key, None)
        self._ejected.pop(key, None)


def slow_start(
    weight: int,
    elapsed: int,
    window: int,
    aggression: float = 1.0,
    min_share: float = MIN_SLOW_START_SHARE,
) -> int:
    """The weight of an endpoint during slow start, `elapsed` after it joined; at least 1, or 0 for weight 0.

    A higher aggression raises the weight faster at first. Raises `ValueError` if it is not above 0.
    """
    if aggression <= 0:
        raise ValueError(f"aggression: {aggression} is not above 0")
    if weight == 0 or window <= 0 or elapsed >= window:
        return weight
    share = (max(0, elapsed) / window) ** (1 / aggression)
    return max(1, int(weight * max(min_share, share)))
