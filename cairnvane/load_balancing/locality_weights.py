"""How much of a cluster's traffic each priority and each locality gets.

The rules are Envoy's ('Priority levels', 'Panic threshold', 'Locality weighted load balancing').
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# A priority may take so much more than its healthy share before traffic spills over, in percent.
OVERPROVISIONING = 140
# Below this share of healthy endpoints, in percent, the health of a priority is not believed.
PANIC_THRESHOLD = 50.0
FULL = 100


@dataclass(frozen=True, slots=True)
class HealthCount:
    """The endpoints of one priority or locality; `ValueError` for impossible numbers."""

    healthy: int
    total: int
    weight: int = 1  # of a locality; priorities have none

    def __post_init__(self) -> None:
        if not 0 <= self.healthy <= self.total:
            raise ValueError(f"healthy: {self.healthy} of {self.total} endpoints")
        if self.weight < 0:
            raise ValueError(f"weight: {self.weight} is below 0")

    def percent(self, overprovisioning: int) -> int:
        """Its health with overprovisioning, in whole percents as published, at most 100."""
        if not self.total:
            return 0
        return min(FULL, overprovisioning * self.healthy // self.total)


@dataclass(frozen=True, slots=True)
class PriorityLoad:
    """What one priority gets."""

    load: int  # percent of the traffic
    panic: bool  # its traffic goes to all of its endpoints, healthy or not


def priority_loads(
    levels: Sequence[HealthCount],
    *,
    overprovisioning: int = OVERPROVISIONING,
    panic: float = PANIC_THRESHOLD,
) -> list[PriorityLoad]:
    """The load of each priority, the most wanted first; all loads are 0 if there is no endpoint at all.

    Panic mode is considered only where all priorities together lack health for all traffic: else the healthy
    endpoints of a lower priority are better than the unhealthy ones of a higher.
    """
    health = [level.percent(overprovisioning) for level in levels]
    if sum(health) == 0:
        return _loads_by_size(levels, panic)
    lack_health = sum(health) < FULL
    panics = [lack_health and _below_threshold(level, panic) for level in levels]
    loads = _loads_by_health(health)
    return [PriorityLoad(load, panicked) for load, panicked in zip(loads, panics, strict=True)]


def _below_threshold(level: HealthCount, panic: float) -> bool:
    return level.total > 0 and FULL * level.healthy < panic * level.total


def _loads_by_size(levels: Sequence[HealthCount], panic: float) -> list[PriorityLoad]:
    """No endpoint is healthy: share by size, since all are as good."""
    sizes = [level.total for level in levels]
    loads = _proportional_percents(sizes)
    return [PriorityLoad(load, size > 0 and panic > 0) for load, size in zip(loads, sizes, strict=True)]


def _loads_by_health(health: Sequence[int]) -> list[int]:
    """Percents of the traffic, the first priorities taking all that they can."""
    loads = []
    unassigned = FULL
    total_health = min(FULL, sum(health))
    for percent in health:
        load = min(unassigned, percent * FULL // total_health)
        loads.append(load)
        unassigned -= load
    if unassigned:  # the rest from rounding goes to the first priority with any health
        first = next(index for index, percent in enumerate(health) if percent)
        loads[first] += unassigned
    return loads


def _proportional_percents(sizes: Sequence[int]) -> list[int]:
    """Percents in proportion, which add up to 100; the rest from rounding goes to the first."""
    total = sum(sizes)
    if not total:
        return [0] * len(sizes)
    percents = [FULL * size // total for size in sizes]
    first = next(index for index, size in enumerate(sizes) if size)
    percents[first] += FULL - sum(percents)
    return percents


def locality_shares(
    localities: Sequence[HealthCount],
    *,
    overprovisioning: int = OVERPROVISIONING,
) -> list[float]:
    """The share of each locality within its priority, from 0 to 1; all 0 if none can take any.

    A locality keeps its weight until too little of it is healthy even with overprovisioning, and loses in
    proportion from there.
    """
    effective = [locality.weight * locality.percent(overprovisioning) / FULL for locality in localities]
    total = sum(effective)
    return [weight / total if total else 0.0 for weight in effective]
