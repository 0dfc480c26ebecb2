"""The life cycle of endpoints: joining, active, draining, leaving with calls in flight, and joining again.

This module does no I/O and reads no clock; times are microseconds. A description lists the endpoints of a
cluster. This module decides which of them get calls, and keeps an endpoint until its last call has ended. An
address identifies one endpoint within a cluster; the parser rejects a description that lists it twice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from .outlier_detection import OutlierDetector, slow_start
from .weighted_choice import Weighted

Address = tuple[str, int]


class EndpointHealth(Enum):
    """The health of an endpoint according to its description."""

    HEALTHY = "healthy"  # or unknown, which counts as healthy
    DEGRADED = "degraded"
    UNHEALTHY = "unhealthy"  # or timed out
    DRAINING = "draining"


class Stage(Enum):
    """A stage in the life cycle of an endpoint."""

    JOINING = "joining"  # gets a growing share of calls
    ACTIVE = "active"
    DRAINING = "draining"  # still described, but gets no new calls
    LEAVING = "leaving"  # no longer described, but calls are still in flight


@dataclass(frozen=True, slots=True)
class EndpointDescription:
    """The description of an endpoint."""

    weight: int = 1
    health: EndpointHealth = EndpointHealth.HEALTHY


@dataclass(slots=True)
class Endpoint:
    """The state of one endpoint."""

    description: EndpointDescription
    joined_at: int
    stage: Stage
    calls: int = 0  # in flight, for all generations of this address
    generation: int = 0  # results of calls to earlier generations do not count


@dataclass(frozen=True, slots=True)
class CallHandle:
    """A call in flight."""

    address: Address
    generation: int


class EndpointSet:
    """The endpoints of one priority of a cluster."""

    def __init__(self, *, slow_start_us: int = 0, outliers: OutlierDetector[Address] | None = None) -> None:
        self.endpoints: dict[Address, Endpoint] = {}
        self._choice: Weighted[Address] = Weighted()  # endpoints that take calls
        self._all: Weighted[Address] = Weighted()  # also unhealthy and ejected ones, for panic mode
        self._slow_start_us = slow_start_us
        self._outliers = outliers
        self._last_generation = 0
        self._joining: dict[Address, None] = {}  # an ordered set

    def update(self, now: int, described: Mapping[Address, EndpointDescription], first: bool = False) -> None:
        """Apply a changed description.

        `first`: there was no description before, so endpoints become active without slow start.
        """
        removed = [address for address in self.endpoints if address not in described]
        for address in removed:
            self._remove(address)
        for address, description in described.items():
            endpoint = self.endpoints.get(address)
            if endpoint is None or endpoint.stage is Stage.LEAVING:
                self._add(address, description, now, first)
            elif endpoint.description != description:
                self._change(address, endpoint, description, now)

    def _add(self, address: Address, description: EndpointDescription, now: int, first: bool) -> None:
        """Add an endpoint; calls to an earlier endpoint at its address may still be in flight."""
        calls = self.endpoints[address].calls if address in self.endpoints else 0
        self._last_generation += 1
        stage = Stage.ACTIVE if first or not self._slow_start_us else Stage.JOINING
        endpoint = Endpoint(description, now, stage, calls, self._last_generation)
        self.endpoints[address] = endpoint
        if stage is Stage.JOINING:
            self._joining[address] = None
        self._change(address, endpoint, description, now)

    def _change(
        self,
        address: Address,
        endpoint: Endpoint,
        description: EndpointDescription,
        now: int,
    ) -> None:
        previous = endpoint.description
        endpoint.description = description
        recovered = (
            previous.health is EndpointHealth.UNHEALTHY and description.health is EndpointHealth.HEALTHY
        )
        if description.health is EndpointHealth.DRAINING:
            endpoint.stage = Stage.DRAINING
            self._joining.pop(address, None)
        elif endpoint.stage is Stage.DRAINING and not self._slow_start_us:
            endpoint.stage = Stage.ACTIVE
            endpoint.joined_at = now
        elif self._slow_start_us and (endpoint.stage is Stage.DRAINING or recovered):
            self._start_slowly(address, endpoint, now)
        self._update_weights(address, endpoint, now)

    def _start_slowly(self, address: Address, endpoint: Endpoint, now: int) -> None:
        """Apply slow start to an endpoint that returns to service."""
        endpoint.stage = Stage.JOINING
        endpoint.joined_at = now
        self._joining[address] = None

    def _remove(self, address: Address) -> None:
        """Take an endpoint out of service; its record stays until its last call has ended."""
        endpoint = self.endpoints[address]
        self._joining.pop(address, None)
        if self._outliers is not None:
            self._outliers.forget(address)
        endpoint.stage = Stage.LEAVING
        self._update_weights(address, endpoint, 0)
        if not endpoint.calls:
            del self.endpoints[address]

    def _update_weights(self, address: Address, endpoint: Endpoint, now: int) -> None:
        """Set an endpoint's weights for normal and panic mode, by its stage, health and ejection."""
        weight = self._weight(endpoint, now)
        ejected = self._outliers is not None and self._outliers.is_ejected(address)
        takes_calls = endpoint.description.health is EndpointHealth.HEALTHY and not ejected
        self._set_weight(self._all, address, endpoint, weight)
        self._set_weight(self._choice, address, endpoint, weight if takes_calls else None)

    def _weight(self, endpoint: Endpoint, now: int) -> int | None:
        """The weight according to the life cycle alone; None: no new calls."""
        if endpoint.stage is Stage.JOINING:
            return slow_start(endpoint.description.weight, now - endpoint.joined_at, self._slow_start_us)
        return endpoint.description.weight if endpoint.stage is Stage.ACTIVE else None

    def _set_weight(
        self,
        choice: Weighted[Address],
        address: Address,
        endpoint: Endpoint,
        weight: int | None,
    ) -> None:
        is_present = address in choice
        if weight is None:
            if is_present:
                choice.remove(address)
        elif not is_present:
            choice.put(address, weight)
            choice.begin(address, endpoint.calls)
        elif choice.weight(address) != weight:
            choice.put(address, weight)

    def refresh(self, now: int) -> None:
        """Update for the current time: raise the weights of joining endpoints, readmit ejected ones."""
        for address in list(self._joining):
            endpoint = self.endpoints[address]
            if now - endpoint.joined_at >= self._slow_start_us:
                endpoint.stage = Stage.ACTIVE
                del self._joining[address]
            self._update_weights(address, endpoint, now)
        readmitted = self._outliers.readmit_due(now) if self._outliers is not None else []
        for address in readmitted:
            if address in self.endpoints:
                self._update_weights(address, self.endpoints[address], now)

    def choose(self, below: Callable[[int], int], panic: bool = False) -> Address | None:
        """Choose the endpoint for the next call; None if no endpoint takes calls.

        Panic mode includes unhealthy and ejected endpoints, but no draining ones, since these must not get
        new calls. `below(n)` returns a random integer from 0 to n - 1.
        """
        return (self._all if panic else self._choice).choose(below)

    def call_started(self, address: Address) -> CallHandle:
        """Count a started call; raises `KeyError` if the address is unknown."""
        endpoint = self.endpoints[address]
        endpoint.calls += 1
        for choice in (self._choice, self._all):
            if address in choice:
                choice.begin(address)
        return CallHandle(address, endpoint.generation)

    def call_ended(self, call: CallHandle, is_success: bool, now: int) -> None:
        """Count the end of a call, and record its result for outlier detection.

        A leaving endpoint is deleted with its last call. The result of a call to an earlier generation is not
        recorded for the current one.
        """
        endpoint = self.endpoints.get(call.address)
        if endpoint is None or not endpoint.calls:
            return
        endpoint.calls -= 1
        self._choice.end(call.address)
        self._all.end(call.address)
        if endpoint.stage is Stage.LEAVING:
            if not endpoint.calls:
                del self.endpoints[call.address]
            return
        if self._outliers is None or call.generation != endpoint.generation:
            return
        if self._outliers.record_result(call.address, is_success, len(self.endpoints), now):
            self._update_weights(call.address, endpoint, now)
