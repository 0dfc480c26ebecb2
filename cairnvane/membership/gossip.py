"""Selects the claims and metadata to piggyback on the next datagram, the least sent first. No I/O, no clock.

Each member sends a claim about `RETRANSMIT_FACTOR` times the logarithm of the cluster's size, after which all
members have received it with high probability; members that missed it get it by the exchange of whole states.
The number of transmissions is therefore limited, and the queue holds at most `MAX_QUEUED_CLAIMS` claims, also
while a member restarts in a loop.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .claims import Claim, Info

RETRANSMIT_FACTOR = 4
# When the queue exceeds this number, it drops the claim that was sent most often.
MAX_QUEUED_CLAIMS = 512


def transmit_limit(members: int) -> int:
    """How many times each member sends a claim."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))


class ClaimQueue:
    """Queued claims grouped by transmission count, so that the next ones are found without a search."""

    def __init__(self) -> None:
        self._levels: list[dict[int, Claim]] = [{}]  # by transmission count, then by instance; newest last
        self._level_of: dict[int, int] = {}  # by instance

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, claim: Claim) -> None:
        """Queue a claim, replacing any earlier one about the same instance."""
        self.drop(claim.instance_id)
        self._put(0, claim)
        if len(self._level_of) > MAX_QUEUED_CLAIMS:
            self._drop_most_sent()

    def _drop_most_sent(self) -> None:
        highest = max(level for level, claims in enumerate(self._levels) if claims)
        self.drop(next(iter(self._levels[highest])))

    def _put(self, level: int, claim: Claim) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][claim.instance_id] = claim
        self._level_of[claim.instance_id] = level

    def drop(self, instance_id: int) -> None:
        """Remove the queued claim about this instance."""
        level = self._level_of.pop(instance_id, None)
        if level is not None:
            del self._levels[level][instance_id]

    def pick(self, max_count: int, members: int, first: int | None = None) -> list[Claim]:
        """At most `max_count` claims for one datagram.

        The claim about the instance `first` precedes all others. The caller passes the recipient, since the
        instance that a claim is about should receive it first.
        """
        picked = self._least_sent(max_count, first)
        limit = transmit_limit(members)
        for claim in picked:
            next_level = self._level_of[claim.instance_id] + 1
            self.drop(claim.instance_id)
            if next_level < limit:
                self._put(next_level, claim)
        return picked

    def _least_sent(self, max_count: int, first: int | None) -> list[Claim]:
        picked = list[Claim]()
        if first is not None and first in self._level_of:
            picked.append(self._levels[self._level_of[first]][first])
        for claims in self._levels:
            for claim in reversed(claims.values()):
                if len(picked) >= max_count:
                    break
                if claim.instance_id != first:
                    picked.append(claim)
        return picked


@dataclass(slots=True)
class _QueuedMetadata:
    info: Info
    times_sent: int


class MetadataQueue:
    """Queued metadata, sent in turn; each datagram carries a fixed number of entries at any cluster size."""

    def __init__(self) -> None:
        self._waiting: dict[int, _QueuedMetadata] = {}  # by instance, longest waiting first

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, info: Info) -> None:
        """Queue an instance's metadata, replacing its earlier version."""
        self._waiting.pop(info.instance_id, None)
        self._waiting[info.instance_id] = _QueuedMetadata(info, 0)

    def drop(self, instance_id: int) -> None:
        """Remove the queued metadata of this instance."""
        self._waiting.pop(instance_id, None)

    def pick(self, max_count: int, members: int) -> list[Info]:
        """At most `max_count` entries, the longest waiting first; each moves to the end once it is sent."""
        limit = transmit_limit(members)
        picked = list[Info]()
        for instance_id in list(self._waiting)[:max_count]:
            queued = self._waiting.pop(instance_id)
            picked.append(queued.info)
            queued.times_sent += 1
            if queued.times_sent < limit:
                self._waiting[instance_id] = queued
        return picked
