"""Endpoints that fail are ejected for a while (Envoy: 'Outlier detection'), and those that join get their
share slowly ('Slow start mode'). Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar("Key")
# Envoy's own figures.
CONSECUTIVE, BASE_US, MOST_US = 5, 30_000_000, 300_000_000
MOST_PERCENT = 10
# A share of its weight that a joining endpoint gets at once.
LEAST_SHARE = 0.1


@dataclass(slots=True)
class _Standing:
    failures: int = 0  # in a row
    ejections: int = 0  # multiplies the time; falls while it behaves
    until: int = 0  # ejected until then


class Outliers(Generic[Key]):
    """Who is ejected. At most `percent` of the endpoints are at any time, but one may always be."""

    def __init__(
        self,
        *,
        consecutive: int = CONSECUTIVE,
        base_us: int = BASE_US,
        most_us: int = MOST_US,
        percent: int = MOST_PERCENT,
    ) -> None:
        self._consecutive, self._base, self._most, self._percent = consecutive, base_us, most_us, percent
        self._known: dict[Key, _Standing] = {}
        self._ejected: dict[Key, None] = {}

    def ejected(self, key: Key) -> bool:
        """Whether it gets no calls."""
        return key in self._ejected

    def told(self, key: Key, good: bool, members: int, now: int) -> bool:
        """How a call to it ended, of `members` endpoints; True if that has it ejected."""
        standing = self._known.setdefault(key, _Standing())
        if good:
            standing.failures = 0
            return False
        standing.failures += 1
        if standing.failures < self._consecutive or key in self._ejected or not self._room(members):
            return False
        standing.failures = 0
        standing.ejections += 1
        standing.until = now + min(self._base * standing.ejections, max(self._base, self._most))
        self._ejected[key] = None
        return True

    def _room(self, members: int) -> bool:
        return not self._ejected or 100 * (len(self._ejected) + 1) <= self._percent * members

    def look(self, now: int) -> list[Key]:
        """Who is let back in. To be called once an interval; who behaved through it is trusted a little
        more."""
        back = [key for key in self._ejected if self._known[key].until <= now]
        for key in back:
            del self._ejected[key]
        for key, standing in self._known.items():
            if key not in self._ejected and key not in back and standing.ejections and not standing.failures:
                standing.ejections -= 1
        return back

    def forget(self, key: Key) -> None:
        """It is no member any more; back under the same address, it begins anew."""
        self._known.pop(key, None)
        self._ejected.pop(key, None)


def slow_start(
    weight: int, joined_for: int, window: int, aggression: float = 1.0, least: float = LEAST_SHARE
) -> int:
    """The weight of an endpoint that joined so long ago; never below 1, unless it has none. A higher
    aggression takes it up faster at first."""
    if aggression <= 0:
        raise ValueError(f"aggression: {aggression} is not above 0")
    if weight == 0 or window <= 0 or joined_for >= window:
        return weight
    share = (max(0, joined_for) / window) ** (1 / aggression)
    return max(1, int(weight * max(least, share)))
