"""How much of a cluster's traffic each priority and each locality gets (Envoy's load balancing documentation:
'Priority levels', 'Panic threshold', 'Locality weighted load balancing')."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# So much more than its healthy share may a level take before traffic spills over, in percent.
OVERPROVISIONING = 140
# Below this share of healthy endpoints, in percent, a level's health is not believed.
PANIC_THRESHOLD = 50.0
FULL = 100


@dataclass(frozen=True, slots=True)
class Health:
    """The endpoints of one priority or locality."""

    healthy: int
    total: int
    weight: int = 1  # a locality's; priorities have none

    def __post_init__(self) -> None:
        if not 0 <= self.healthy <= self.total:
            raise ValueError(f"healthy: {self.healthy} of {self.total} endpoints")
        if self.weight < 0:
            raise ValueError(f"weight: {self.weight} is below 0")

    def percent(self, overprovisioning: int) -> int:
        """Its health with what it may take on top, in whole percents as published, at most 100."""
        return min(FULL, overprovisioning * self.healthy // self.total) if self.total else 0


@dataclass(frozen=True, slots=True)
class Level:
    """What one priority gets."""

    load: int  # percent of the traffic
    panic: bool  # its traffic goes to all of its endpoints, healthy or not


def priorities(
    levels: Sequence[Health],
    *,
    overprovisioning: int = OVERPROVISIONING,
    panic: float = PANIC_THRESHOLD,
) -> list[Level]:
    """The load of each priority, the most wanted first. All loads are 0 if there is no endpoint at all.

    Panic is looked at only where all levels together have not health enough for all traffic: else the healthy
    ones of a lower priority are better than the unhealthy ones of a higher.
    """
    health = [level.percent(overprovisioning) for level in levels]
    enough = sum(health) >= FULL
    panics = [
        not enough and level.total > 0 and FULL * level.healthy < panic * level.total for level in levels
    ]
    if sum(health) == 0:  # nobody is healthy: by size, since all are as good
        sizes = [level.total for level in levels]
        loads = _parts(sizes)
        return [Level(load, size > 0 and panic > 0) for load, size in zip(loads, sizes, strict=True)]
    loads, left = [], FULL
    normal = min(FULL, sum(health))
    for part in health:
        load = min(left, part * FULL // normal)
        loads.append(load)
        left -= load
    if left:  # what rounding has left goes to the first that takes any
        loads[next(at for at, part in enumerate(health) if part)] += left
    return [Level(load, panicked) for load, panicked in zip(loads, panics, strict=True)]


def _parts(sizes: Sequence[int]) -> list[int]:
    """Percents in proportion, which add up to 100; what rounding leaves goes to the first."""
    total = sum(sizes)
    if not total:
        return [0] * len(sizes)
    parts = [FULL * size // total for size in sizes]
    parts[next(at for at, size in enumerate(sizes) if size)] += FULL - sum(parts)
    return parts


def localities(found: Sequence[Health], *, overprovisioning: int = OVERPROVISIONING) -> list[float]:
    """The share of each locality within its priority, from 0 to 1; all 0 if none can take any.

    A locality keeps its weight until too little of it is healthy for what it may take on top, and loses in
    proportion from there.
    """
    effective = [one.weight * one.percent(overprovisioning) / FULL for one in found]
    total = sum(effective)
    return [part / total if total else 0.0 for part in effective]
