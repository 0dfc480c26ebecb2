"""Computes the traffic share of each priority and each locality of a cluster.

The rules are Envoy's ('Priority levels', 'Panic threshold', 'Locality weighted load balancing').
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# The overprovisioning factor in percent: a priority below full health takes this multiple of its healthy
# share before traffic spills over to the next one.
OVERPROVISIONING_PERCENT = 140
# If a smaller share of a priority's endpoints is healthy, its health information is disregarded (panic mode).
PANIC_THRESHOLD_PERCENT = 50.0
FULL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class HealthCount:
    """The endpoints of one priority or locality; `ValueError` for impossible numbers."""

    healthy: int
    total: int
    weight: int = 1  # for localities only

    def __post_init__(self) -> None:
        if not 0 <= self.healthy <= self.total:
            raise ValueError(f"healthy: {self.healthy} of {self.total} endpoints")
        if self.weight < 0:
            raise ValueError(f"weight: {self.weight} is below 0")

    def percent(self, overprovisioning: int) -> int:
        """The health with overprovisioning, in whole percents as in Envoy's tables, at most 100."""
        if not self.total:
            return 0
        return min(FULL_PERCENT, overprovisioning * self.healthy // self.total)


@dataclass(frozen=True, slots=True)
class PriorityLoad:
    """The traffic share and the panic mode of one priority."""

    load: int  # percent of the traffic
    panic: bool  # traffic goes to all its endpoints, healthy or not


def priority_loads(
    levels: Sequence[HealthCount],
    *,
    overprovisioning: int = OVERPROVISIONING_PERCENT,
    panic: float = PANIC_THRESHOLD_PERCENT,
) -> list[PriorityLoad]:
    """The load of each priority, the highest priority first; all loads are 0 if there are no endpoints.

    Panic mode applies only if all priorities together are not healthy enough for all traffic. Otherwise the
    healthy endpoints of a lower priority are preferred to the unhealthy ones of a higher priority.
    """
    health = [level.percent(overprovisioning) for level in levels]
    if sum(health) == 0:
        return _loads_by_size(levels, panic)
    lack_health = sum(health) < FULL_PERCENT
    panics = [lack_health and _below_threshold(level, panic) for level in levels]
    loads = _loads_by_health(health)
    return [PriorityLoad(load, panicked) for load, panicked in zip(loads, panics, strict=True)]


def _below_threshold(level: HealthCount, panic: float) -> bool:
    return level.total > 0 and FULL_PERCENT * level.healthy < panic * level.total


def _loads_by_size(levels: Sequence[HealthCount], panic: float) -> list[PriorityLoad]:
    """Share the load by size, if no endpoint is healthy."""
    sizes = [level.total for level in levels]
    loads = _proportional_percents(sizes)
    return [PriorityLoad(load, size > 0 and panic > 0) for load, size in zip(loads, sizes, strict=True)]


def _loads_by_health(health: Sequence[int]) -> list[int]:
    """Percents of the traffic; earlier priorities take as much as their health allows."""
    loads = []
    unassigned = FULL_PERCENT
    total_health = min(FULL_PERCENT, sum(health))
    for percent in health:
        load = min(unassigned, percent * FULL_PERCENT // total_health)
        loads.append(load)
        unassigned -= load
    if unassigned:  # the rounding remainder goes to the first priority with healthy endpoints
        first = next(index for index, percent in enumerate(health) if percent)
        loads[first] += unassigned
    return loads


def _proportional_percents(sizes: Sequence[int]) -> list[int]:
    """Proportional percents that add up to 100; the rounding remainder goes to the first nonzero size."""
    total = sum(sizes)
    if not total:
        return [0] * len(sizes)
    percents = [FULL_PERCENT * size // total for size in sizes]
    first = next(index for index, size in enumerate(sizes) if size)
    percents[first] += FULL_PERCENT - sum(percents)
    return percents


def locality_shares(
    localities: Sequence[HealthCount],
    *,
    overprovisioning: int = OVERPROVISIONING_PERCENT,
) -> list[float]:
    """The share of each locality within its priority, from 0 to 1; all 0 if no locality can take traffic.

    A locality keeps its full weight until its health with overprovisioning falls below 100 percent. Below
    that, its weight decreases in proportion.
    """
    effective = [
        locality.weight * locality.percent(overprovisioning) / FULL_PERCENT for locality in localities
    ]
    total = sum(effective)
    return [weight / total if total else 0.0 for weight in effective]
