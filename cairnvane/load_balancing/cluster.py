"""Clusters and endpoints as a description has them, in no protocol's words."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .circuit_breakers import Breakers
from .endpoints import Address, Described
from .locality_weights import OVERPROVISIONING, PANIC_THRESHOLD

MILLION = 1_000_000


class Policy(Enum):
    """How an endpoint is chosen."""

    ROUND_ROBIN = "round robin"
    LEAST_REQUEST = "least request"
    RANDOM = "random"
    RING_HASH = "ring hash"
    MAGLEV = "maglev"


@dataclass(frozen=True, slots=True)
class Locality:
    """Endpoints in one place. One without weight gets nothing where localities share by weight."""

    name: str
    priority: int
    weight: int
    endpoints: Mapping[Address, Described]


@dataclass(frozen=True, slots=True)
class Assignment:
    """The endpoints of a cluster."""

    name: str
    localities: tuple[Locality, ...] = ()
    overprovisioning: int = OVERPROVISIONING
    drops: tuple[tuple[str, int], ...] = ()  # of each category so many in a million calls are dropped

    def priorities(self) -> int:
        """How many there are."""
        return 1 + max((locality.priority for locality in self.localities), default=-1)


@dataclass(frozen=True, slots=True)
class Cluster:
    """A cluster, without its endpoints unless they stand in it."""

    name: str
    service: str  # the name that its endpoints are asked for by
    policy: Policy = Policy.ROUND_ROBIN
    breakers: Breakers = field(default_factory=Breakers)
    panic: float = PANIC_THRESHOLD
    slow_start_us: int = 0
    inline: Assignment | None = None
