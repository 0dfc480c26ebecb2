"""The resources of one type and their states, for both variants of the protocol. No I/O, no clock.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

# A requested resource that is not received within this time is considered not to exist ('Knowing When a
# Requested Resource Does Not Exist').
RESOURCE_TIMEOUT_US = 15_000_000
WILDCARD = "*"
# The maximum number of faults that a NACK lists.
MAX_NAMED_FAULTS = 10


class ResourceState(Enum):
    """The state of a resource."""

    REQUESTED = "requested"  # not received yet
    HELD = "held"
    MISSING = "missing"  # requested, but not received in time
    REMOVED = "removed"  # the server removed it


class EventKind(Enum):
    """The kind of a resource's change."""

    UPDATED = "updated"
    REMOVED = "removed"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class ResourceEvent:
    """A change of a resource."""

    kind: EventKind
    name: str
    value: Any = None


@dataclass(slots=True)
class Resource:
    """The last good version of a resource, and the fault of a later one."""

    state: ResourceState = ResourceState.REQUESTED
    version: str = ""
    value: Any = None
    fault: str = ""  # the fault of a version that was received after the held one
    missing_at: int | None = None  # None: the timeout is not running


# Decodes the name and the body of a resource to a value; the type of the body depends on the transport.
# Raises `ValueError` with the reason if the resource is invalid. A resource with an equal value counts as
# unchanged.
Decode = Callable[[str, Any], Any]


class ReceivedResource(NamedTuple):
    """A resource in a response."""

    name: str  # empty if it can't be read
    version: str
    body: Any


class ResourceTable:
    """The subscribed resources of one type."""

    def __init__(self, decode: Decode, names: Iterable[str] | None = None) -> None:
        """`names` None: a wildcard subscription to all resources of the server."""
        self.is_wildcard = names is None
        self.entries: dict[str, Resource] = {name: Resource() for name in names or ()}
        self.is_stream_open = False
        self._decode = decode

    def names(self) -> list[str]:
        """The subscribed names; empty for a wildcard subscription."""
        return [] if self.is_wildcard else sorted(self.entries)

    def held(self) -> dict[str, Any]:
        """The last good value of each resource."""
        return {name: resource.value for name, resource in self._held_entries()}

    def versions(self) -> dict[str, str]:
        """The version of each held resource, for the first request of a new stream."""
        return {name: resource.version for name, resource in self._held_entries()}

    def _held_entries(self) -> list[tuple[str, Resource]]:
        return [
            (name, resource)
            for name, resource in self.entries.items()
            if resource.state is ResourceState.HELD
        ]

    def opened(self, now: int) -> None:
        """Handle a newly opened stream: start the timeout of resources not received yet."""
        self.is_stream_open = True
        for resource in self.entries.values():
            if resource.state is ResourceState.REQUESTED:
                resource.missing_at = now + RESOURCE_TIMEOUT_US

    def closed(self) -> None:
        """Handle the end of the stream: stop all timeouts; held resources remain valid."""
        self.is_stream_open = False
        for resource in self.entries.values():
            resource.missing_at = None

    def subscribe(self, names: Iterable[str], now: int) -> list[str]:
        """Subscribe to more names; returns those that are new."""
        missing_at = now + RESOURCE_TIMEOUT_US if self.is_stream_open else None
        added = [name for name in names if name not in self.entries]
        for name in added:
            self.entries[name] = Resource(missing_at=missing_at)
        return added

    def unsubscribe(self, names: Iterable[str]) -> list[str]:
        """Unsubscribe from names; returns those that were subscribed to. Creates no events."""
        return [name for name in names if self.entries.pop(name, None) is not None]

    def merge(self, received: Iterable[ReceivedResource]) -> tuple[list[ResourceEvent], list[str]]:
        """Merge the resources of one response; returns what has changed, and the faults."""
        events: list[ResourceEvent] = []
        faults: list[str] = []
        seen: set[str] = set()
        for name, version, body in received:
            # Otherwise it would pass as a resource without subscription, and be accepted.
            if not name:
                faults.append("a resource that can't be read, or has no name")
                continue
            if name in seen:
                faults.append(f"{name}: stands twice in one response")
                continue
            seen.add(name)
            try:
                event = self._put(name, version, body)
            except ValueError as error:
                faults.append(f"{name}: {error}")
                continue
            if event is not None:
                events.append(event)
        return events, faults

    def _put(self, name: str, version: str, body: Any) -> ResourceEvent | None:
        """Merge one resource; raises `ValueError` with the reason if it is invalid.

        An invalid version does not replace the last good one, but shows that the resource exists.
        """
        resource = self.entries.get(name)
        if resource is None:
            if not self.is_wildcard:
                return None  # not subscribed to, or not any more
            resource = Resource()
            self.entries[name] = resource
        resource.missing_at = None
        try:
            value = self._decode(name, body)
        except ValueError as error:
            resource.fault = str(error)
            raise
        unchanged = resource.state is ResourceState.HELD and resource.value == value
        resource.state = ResourceState.HELD
        resource.version = version
        resource.value = value
        resource.fault = ""
        return None if unchanged else ResourceEvent(EventKind.UPDATED, name, value)

    def remove(self, name: str) -> ResourceEvent | None:
        """Mark a resource as removed by the server; returns an event if that is a change."""
        resource = self.entries.get(name)
        if resource is None:
            return None
        was_removed = resource.state is ResourceState.REMOVED
        if self.is_wildcard:
            del self.entries[name]
        else:
            self.entries[name] = Resource(ResourceState.REMOVED)
        return None if was_removed else ResourceEvent(EventKind.REMOVED, name)

    def next_timeout_at(self) -> int | None:
        """When the next timeout of a resource ends; None if no timeout is running."""
        times = [resource.missing_at for resource in self.entries.values() if resource.missing_at is not None]
        return min(times, default=None)

    def expire(self, now: int) -> list[ResourceEvent]:
        """Mark the resources whose timeout has ended as missing."""
        expired = [
            name
            for name, resource in self.entries.items()
            if resource.missing_at is not None and resource.missing_at <= now
        ]
        for name in expired:
            resource = self.entries[name]
            resource.state = ResourceState.MISSING
            resource.missing_at = None
        return [ResourceEvent(EventKind.MISSING, name) for name in expired]


def nack_message(faults: list[str]) -> str:
    """The reason of a NACK; empty if there are no faults."""
    unnamed = len(faults) - MAX_NAMED_FAULTS
    suffix = f"; and {unnamed} more" if unnamed > 0 else ""
    return "; ".join(faults[:MAX_NAMED_FAULTS]) + suffix
