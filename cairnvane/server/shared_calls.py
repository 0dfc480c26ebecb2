"""The calls of concurrent incarnations: publishes those of this one, and reads those of the others.

During an upgrade two processes serve, and the dependency must see the calls of one server. Used only by the
event loop's thread.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from ..admission.controller import Controller
from ..claims import Incarnations
from ..claims.incarnations import PublishedPart
from ..contract.events import ConcurrentCalls

# How often the incarnations are listed. Their calls are read each time.
LIST_INTERVAL_US = 200_000
NO_CALLS = ConcurrentCalls(0, 0, 0)
_USAGE = struct.Struct("<IIIQd")  # the fields of `CallUsage`


class CallUsage(NamedTuple):
    """The calls of one incarnation."""

    calls: int  # active ones
    waiting: int  # that its runs wait for
    abandoned: int
    abandoned_until: int  # no abandoned call occupies the dependency after this time; 0: there is none
    excess: float  # call-microseconds beyond the limit

    def in_flight(self, now: int) -> int:
        """The number of calls that occupy the dependency."""
        return self.calls + (self.abandoned if now < self.abandoned_until else 0)


def usage_of(controller: Controller) -> CallUsage:
    """Return the calls that a controller has decided on."""
    in_flight = controller.dependency.in_flight
    return CallUsage(
        len(controller.calling),
        len(controller.requests.awaiting_call),
        in_flight.abandoned,
        in_flight.last_abandoned_until,
        in_flight.excess,
    )


class SharedCalls:
    """Exchanges the numbers of calls with the concurrent incarnations."""

    def __init__(self, incarnations: Incarnations, quota: float, abandoned_call_time: int) -> None:
        """`quota` is the number of calls that all incarnations may have in flight together.

        `abandoned_call_time` is how long the dependency may keep an abandoned call, in microseconds.
        """
        self._incarnations = incarnations
        self._abandoned_call_time = abandoned_call_time
        # An earlier version publishes nothing. It is taken for one that uses an equal part.
        equal_part = round(quota / 2)
        self._unknown_usage = CallUsage(equal_part, 0, 0, 0, 0.0)
        self._others: dict[int, CallUsage] = {}
        self._ended: list[CallUsage] = []  # their calls are abandoned ones
        self._listed_at: int | None = None
        self._reported = NO_CALLS
        self._published: CallUsage | None = None

    def publish(self, usage: CallUsage) -> None:
        """Publish the calls of this incarnation, if they have changed."""
        if usage != self._published:
            self._published = usage
            self._incarnations.publish(PublishedPart.CALLS, _USAGE.pack(*usage))

    def read(self, now: int) -> ConcurrentCalls | None:
        """Read the calls of the others; returns the event for the controller, or None if nothing changed."""
        if self._listed_at is None or now - self._listed_at >= LIST_INTERVAL_US:
            self._listed_at = now
            self._list_others(now)
        if not self._others and not self._ended and self._reported is NO_CALLS:
            return None
        for other in self._others:
            content = self._incarnations.published(other, PublishedPart.CALLS)
            if content is not None and len(content) == _USAGE.size:
                self._others[other] = CallUsage(*_USAGE.unpack(content))
        event = self._total(now)
        if event == self._reported:
            return None
        self._reported = NO_CALLS if event == NO_CALLS else event
        return event

    def _list_others(self, now: int) -> None:
        alive = self._incarnations.living_others()
        for ended in self._others.keys() - set(alive):
            usage = self._others[ended]
            until = now + self._abandoned_call_time
            self._ended.append(CallUsage(0, 0, usage.in_flight(now), until, 0.0))
        self._others = {other: self._others.get(other, self._unknown_usage) for other in alive}

    def _total(self, now: int) -> ConcurrentCalls:
        self._ended = [usage for usage in self._ended if now < usage.abandoned_until]
        usages = [*self._others.values(), *self._ended]
        calls = sum(usage.in_flight(now) for usage in usages)
        waiting = sum(usage.waiting for usage in usages)
        excess = max((usage.excess for usage in usages), default=0.0)
        return ConcurrentCalls(len(self._others), calls, calls + waiting, excess)
