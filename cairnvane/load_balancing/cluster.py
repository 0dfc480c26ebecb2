"""Descriptions of clusters and their endpoints, independent of any protocol."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .circuit_breakers import CircuitBreakers
from .endpoints import Address, EndpointDescription
from .locality_weights import OVERPROVISIONING_PERCENT, PANIC_THRESHOLD_PERCENT

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
    """The endpoints of one locality; with weight 0 it gets no traffic if localities share by weight."""

    name: str
    priority: int
    weight: int
    endpoints: Mapping[Address, EndpointDescription]


class DropRate(NamedTuple):
    """The rate at which an overload category drops calls."""

    category: str
    per_million: int


@dataclass(frozen=True, slots=True)
class Assignment:
    """The endpoints of a cluster."""

    name: str
    localities: tuple[Locality, ...] = ()
    overprovisioning: int = OVERPROVISIONING_PERCENT  # percent
    drops: tuple[DropRate, ...] = ()

    def priority_count(self) -> int:
        """The number of priorities."""
        return 1 + max((locality.priority for locality in self.localities), default=-1)


@dataclass(frozen=True, slots=True)
class Cluster:
    """A cluster, without its endpoints unless they are inline."""

    name: str
    service_name: str  # the name under which its endpoints are requested
    policy: LoadBalancingPolicy = LoadBalancingPolicy.ROUND_ROBIN
    circuit_breakers: CircuitBreakers = field(default_factory=CircuitBreakers)
    panic_threshold: float = PANIC_THRESHOLD_PERCENT  # percent of healthy endpoints
    slow_start_us: int = 0
    inline_assignment: Assignment | None = None
