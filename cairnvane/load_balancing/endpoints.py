"""The life cycle of an endpoint: joining, active, draining, removed while calls to it go on, back again.

No I/O, no clock; times are microseconds. A description says which endpoints a cluster has; this decides which
of them get calls, and keeps an endpoint until its last call has ended. An address stands for one endpoint
within a cluster; a description that names it twice is rejected where it is read.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from .outlier_detection import OutlierDetector, slow_start
from .weighted_choice import Weighted

Address = tuple[str, int]


class EndpointHealth(Enum):
    """What a description says of an endpoint."""

    HEALTHY = "healthy"  # or unknown, which counts as healthy
    DEGRADED = "degraded"
    UNHEALTHY = "unhealthy"  # or timed out
    DRAINING = "draining"


class Stage(Enum):
    """Where an endpoint is in its life cycle."""

    JOINING = "joining"  # gets a growing share of calls
    ACTIVE = "active"
    DRAINING = "draining"  # described, and gets no new calls
    LEAVING = "leaving"  # no longer described; calls to it go on


@dataclass(frozen=True, slots=True)
class EndpointDescription:
    """An endpoint, as a description has it."""

    weight: int = 1
    health: EndpointHealth = EndpointHealth.HEALTHY


@dataclass(slots=True)
class Endpoint:
    """The state of one endpoint."""

    description: EndpointDescription
    joined_at: int
    stage: Stage
    calls: int = 0  # in flight, of all generations under this address
    generation: int = 0  # the result of a call to an earlier one says nothing of this one


@dataclass(frozen=True, slots=True)
class CallHandle:
    """A call in flight."""

    address: Address
    generation: int


class EndpointSet:
    """The endpoints of one priority of a cluster."""

    def __init__(self, *, slow_start_us: int = 0, outliers: OutlierDetector[Address] | None = None) -> None:
        self.endpoints: dict[Address, Endpoint] = {}
        self._choice: Weighted[Address] = Weighted()  # those that take calls
        self._all: Weighted[Address] = Weighted()  # also unhealthy and ejected ones, for panic mode
        self._slow_start_us = slow_start_us
        self._outliers = outliers
        self._last_generation = 0
        self._joining: dict[Address, None] = {}  # an ordered set

    def update(self, now: int, found: Mapping[Address, EndpointDescription], first: bool = False) -> None:
        """Apply a changed description.

        `first`: nothing was known before, so that no endpoint joins a cluster that takes calls already.
        """
        removed = [address for address in self.endpoints if address not in found]
        for address in removed:
            self._remove(address)
        for address, description in found.items():
            endpoint = self.endpoints.get(address)
            if endpoint is None or endpoint.stage is Stage.LEAVING:
                self._add(address, description, now, first)
            elif endpoint.description != description:
                self._change(address, endpoint, description, now)

    def _add(self, address: Address, description: EndpointDescription, now: int, first: bool) -> None:
        """Add an endpoint; calls of an earlier one under its address may still be in flight."""
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
        before = endpoint.description
        endpoint.description = description
        recovered = before.health is EndpointHealth.UNHEALTHY and description.health is EndpointHealth.HEALTHY
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
        """Treat an endpoint that is back in service like one that joins."""
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
        """Set an endpoint's weight for normal and for panic mode, by all that is known of it."""
        weight = self._weight(endpoint, now)
        ejected = self._outliers is not None and self._outliers.is_ejected(address)
        takes_calls = endpoint.description.health is EndpointHealth.HEALTHY and not ejected
        self._set_weight(self._all, address, endpoint, weight)
        self._set_weight(self._choice, address, endpoint, weight if takes_calls else None)

    def _weight(self, endpoint: Endpoint, now: int) -> int | None:
        """The weight by life cycle alone; None: no new calls."""
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
        """Time has passed: joining endpoints get a larger share, ejected ones may be readmitted."""
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
        """Where the next call goes; None if no endpoint takes any.

        In panic mode all described endpoints may get it but draining ones: those were told to take no new
        calls. `below(n)` gives a random whole number from 0 to under n.
        """
        return (self._all if panic else self._choice).choose(below)

    def call_started(self, address: Address) -> CallHandle:
        """Count a call that goes out; `KeyError` if the address is not known."""
        endpoint = self.endpoints[address]
        endpoint.calls += 1
        for choice in (self._choice, self._all):
            if address in choice:
                choice.begin(address)
        return CallHandle(address, endpoint.generation)

    def call_ended(self, call: CallHandle, good: bool, now: int) -> None:
        """Count the end of a call, and its result for outlier detection.

        A removed endpoint is forgotten with its last call; the result of a call to an earlier generation is
        not held against the present one.
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
        if self._outliers.record_result(call.address, good, len(self.endpoints), now):
            self._update_weights(call.address, endpoint, now)
