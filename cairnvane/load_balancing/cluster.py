"""Clusters and endpoints as a description has them, independent of any protocol."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .circuit_breakers import CircuitBreakers
from .endpoints import Address, EndpointDescription
from .locality_weights import OVERPROVISIONING, PANIC_THRESHOLD

MILLION = 1_000_000


class LoadBalancingPolicy(Enum):
    """How an endpoint is chosen."""

    ROUND_ROBIN = "round robin"
    LEAST_REQUEST = "least request"
    RANDOM = "random"
    RING_HASH = "ring hash"
    MAGLEV = "maglev"


@dataclass(frozen=True, slots=True)
class Locality:
    """The endpoints of one locality; without weight, it gets nothing where localities share by weight."""

    name: str
    priority: int
    weight: int
    endpoints: Mapping[Address, EndpointDescription]


class DropRate(NamedTuple):
    """How many calls a category of overload drops."""

    category: str
    per_million: int


@dataclass(frozen=True, slots=True)
class Assignment:
    """The endpoints of a cluster."""

    name: str
    localities: tuple[Locality, ...] = ()
    overprovisioning: int = OVERPROVISIONING  # percent
    drops: tuple[DropRate, ...] = ()

    def priority_count(self) -> int:
        """How many priorities there are."""
        return 1 + max((locality.priority for locality in self.localities), default=-1)


@dataclass(frozen=True, slots=True)
class Cluster:
    """A cluster, without its endpoints unless they are inline."""

    name: str
    service_name: str  # under which its endpoints are requested
    policy: LoadBalancingPolicy = LoadBalancingPolicy.ROUND_ROBIN
    circuit_breakers: CircuitBreakers = field(default_factory=CircuitBreakers)
    panic_threshold: float = PANIC_THRESHOLD  # percent of healthy endpoints
    slow_start_us: int = 0
    inline_assignment: Assignment | None = None
