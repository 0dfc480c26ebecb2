"""What is known of the resources of one type, whichever form of the protocol brought it. No I/O, no clock.

Times are microseconds of whatever clock the caller keeps to.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

# A resource that was asked for and has not come within this long does not exist ('Knowing When a Requested
# Resource Does Not Exist').
MISSING_AFTER_US = 15_000_000
WILDCARD = "*"
# Of a response's faults so many are named to the server.
MOST_NAMED = 10


class Known(Enum):
    """How a resource stands."""

    REQUESTED = "requested"  # nothing has come yet
    HELD = "held"
    MISSING = "missing"  # asked for, and did not come in time
    REMOVED = "removed"  # there once; the server took it away


class What(Enum):
    """What has become of a resource."""

    UPDATED = "updated"
    REMOVED = "removed"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class Event:
    """For whoever goes by the resources."""

    what: What
    name: str
    value: Any = None


@dataclass(slots=True)
class Resource:
    """The last good version of a resource, and the last fault of a later one."""

    state: Known = Known.REQUESTED
    version: str = ""
    value: Any = None
    fault: str = ""  # of a version that came after the one that is held
    missing_at: int | None = None  # None: its time does not run


# Makes a value of a resource's name and body, whatever a transport has for a body; `ValueError` says in a few
# words what is wrong with it. Values that are equal say the same.
Decode = Callable[[str, Any], Any]


class Resources:
    """Those of one type. `names` None: all that there are (a wildcard subscription)."""

    def __init__(self, decode: Decode, names: Iterable[str] | None = None) -> None:
        self.all = names is None
        self.known: dict[str, Resource] = {name: Resource() for name in names or ()}
        self._decode = decode
        self.open = False  # there is a stream

    def names(self) -> list[str]:
        """What is asked for by name; none where all are."""
        return [] if self.all else sorted(self.known)

    def held(self) -> dict[str, Any]:
        """What counts: the last good version of each."""
        return {name: one.value for name, one in self.known.items() if one.state is Known.HELD}

    def versions(self) -> dict[str, str]:
        """The version of each that is held, for a stream that begins anew."""
        return {name: one.version for name, one in self.known.items() if one.state is Known.HELD}

    def opened(self, now: int) -> None:
        """A stream is up: what has not come yet has its time from now on."""
        self.open = True
        for one in self.known.values():
            if one.state is Known.REQUESTED:
                one.missing_at = now + MISSING_AFTER_US

    def closed(self) -> None:
        """No stream: nothing is missing for want of one, and all that is held counts on."""
        self.open = False
        for one in self.known.values():
            one.missing_at = None

    def subscribe(self, names: Iterable[str], now: int) -> list[str]:
        """Ask for more by name; those that are new."""
        new = [name for name in names if name not in self.known]
        for name in new:
            self.known[name] = Resource(missing_at=now + MISSING_AFTER_US if self.open else None)
        return new

    def unsubscribe(self, names: Iterable[str]) -> list[str]:
        """Ask for these no more; those that were known. Nobody is told: whoever unsubscribes knows."""
        return [name for name in names if self.known.pop(name, None) is not None]

    def take(self, found: Iterable[tuple[str, str, Any]]) -> tuple[list[Event], list[str]]:
        """Resources of one response, by name, version and body: what has become of them, and their faults."""
        events, bad, seen = [], [], set()
        for name, version, body in found:
            if not name:  # else it would be one that nobody asked for, and be taken without a word
                bad.append("a resource that can't be read, or has no name")
            elif name in seen:
                bad.append(f"{name}: stands twice in one response")
            else:
                seen.add(name)
                event, fault = self._put(name, version, body)
                bad += [fault] if fault else []
                events += [event] if event is not None else []
        return events, bad

    def _put(self, name: str, version: str, body: Any) -> tuple[Event | None, str]:
        """A resource has come: what has become of it, or what is wrong with it. A bad one leaves the last
        good one as it is, and shows that the resource exists."""
        one = self.known.get(name)
        if one is None:
            if not self.all:
                return None, ""  # not asked for, or no more
            one = self.known[name] = Resource()
        one.missing_at = None
        try:
            value = self._decode(name, body)
        except ValueError as error:
            one.fault = str(error)
            return None, f"{name}: {error}"
        same = one.state is Known.HELD and one.value == value
        one.state, one.version, one.value, one.fault = Known.HELD, version, value, ""
        return (None if same else Event(What.UPDATED, name, value)), ""

    def remove(self, name: str) -> Event | None:
        """The server says that there is none of this name."""
        one = self.known.get(name)
        if one is None:
            return None
        was, one.missing_at = one.state, None
        one.state, one.version, one.value, one.fault = Known.REMOVED, "", None, ""
        if self.all:
            del self.known[name]
        return Event(What.REMOVED, name) if was is not Known.REMOVED else None

    def due(self) -> int | None:
        """When the next one is missing."""
        times = (one.missing_at for one in self.known.values())
        return min((at for at in times if at is not None), default=None)

    def look(self, now: int) -> list[Event]:
        """Who has become missing."""
        late = [
            name for name, one in self.known.items() if one.missing_at is not None and one.missing_at <= now
        ]
        for name in late:
            self.known[name].state, self.known[name].missing_at = Known.MISSING, None
        return [Event(What.MISSING, name) for name in late]


def faults(found: list[str]) -> str:
    """The reason of a NACK; empty if there is none."""
    more = f"; and {len(found) - MOST_NAMED} more" if len(found) > MOST_NAMED else ""
    return "; ".join(found[:MOST_NAMED]) + more
