"""The resources of one type and their states, whichever form of the protocol brought them. No I/O, no clock.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

# A requested resource that has not come within this time does not exist ('Knowing When a Requested Resource
# Does Not Exist').
RESOURCE_TIMEOUT_US = 15_000_000
WILDCARD = "*"
# A NACK names so many faults of a response.
MAX_NAMED_FAULTS = 10


class ResourceState(Enum):
    """The state of a resource."""

    REQUESTED = "requested"  # nothing has come yet
    HELD = "held"
    MISSING = "missing"  # requested, and did not come in time
    REMOVED = "removed"  # the server removed it


class EventKind(Enum):
    """What has become of a resource."""

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
    fault: str = ""  # of a version that came after the one that is held
    missing_at: int | None = None  # None: the timeout is not running


# Makes a value of a resource's name and body, whatever a transport has for a body; `ValueError` says what is
# wrong with it. Equal values count as unchanged.
Decode = Callable[[str, Any], Any]


class ReceivedResource(NamedTuple):
    """A resource in a response."""

    name: str  # empty if it can't be read
    version: str
    body: Any


class ResourceTable:
    """The resources of one type that are subscribed to."""

    def __init__(self, decode: Decode, names: Iterable[str] | None = None) -> None:
        """`names` None: all that the server has (a wildcard subscription)."""
        self.is_wildcard = names is None
        self.entries: dict[str, Resource] = {name: Resource() for name in names or ()}
        self.is_stream_open = False
        self._decode = decode

    def names(self) -> list[str]:
        """The names that are subscribed to; none for a wildcard subscription."""
        return [] if self.is_wildcard else sorted(self.entries)

    def held(self) -> dict[str, Any]:
        """The last good value of each resource."""
        return {name: resource.value for name, resource in self._held_entries()}

    def versions(self) -> dict[str, str]:
        """The version of each resource that is held, for a new stream."""
        return {name: resource.version for name, resource in self._held_entries()}

    def _held_entries(self) -> list[tuple[str, Resource]]:
        return [
            (name, resource)
            for name, resource in self.entries.items()
            if resource.state is ResourceState.HELD
        ]

    def opened(self, now: int) -> None:
        """A stream is up: the timeout of what has not come yet starts."""
        self.is_stream_open = True
        for resource in self.entries.values():
            if resource.state is ResourceState.REQUESTED:
                resource.missing_at = now + RESOURCE_TIMEOUT_US

    def closed(self) -> None:
        """The stream has ended: no timeout runs, and all that is held remains valid."""
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
        """Unsubscribe from names; returns those that were subscribed to. No event: the caller knows."""
        return [name for name in names if self.entries.pop(name, None) is not None]

    def take(self, received: Iterable[ReceivedResource]) -> tuple[list[ResourceEvent], list[str]]:
        """Merge the resources of one response; returns what has changed, and the faults."""
        events: list[ResourceEvent] = []
        faults: list[str] = []
        seen: set[str] = set()
        for name, version, body in received:
            # Guards against taking it for one that nobody asked for, and accepting the response.
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
        """Merge one resource; `ValueError` says what is wrong with it.

        A bad one leaves the last good one as it is, and shows that the resource exists.
        """
        resource = self.entries.get(name)
        if resource is None:
            if not self.is_wildcard:
                return None  # not subscribed to, or no longer
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
        """The server states that this resource does not exist; the event, if that is a change."""
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
        """When the next resource is missing; None: no timeout is running."""
        times = [resource.missing_at for resource in self.entries.values() if resource.missing_at is not None]
        return min(times, default=None)

    def expire(self, now: int) -> list[ResourceEvent]:
        """Mark the resources whose timeout is over as missing."""
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
