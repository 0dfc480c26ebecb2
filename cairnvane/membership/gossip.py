"""Which claims and metadata are piggybacked on the next datagram: the least sent first. No I/O, no clock.

Every claim is sent by each member about `RETRANSMIT_FACTOR` times the logarithm of the cluster's size, after
which all have received it with high probability; what one missed, the exchange of whole states brings. So no
claim is gossiped for ever, and a member that restarts in a loop has at most `MAX_QUEUED_CLAIMS` of them
about.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .claims import Claim, Info

RETRANSMIT_FACTOR = 4
# Beyond this number, the claim that was sent most often is dropped.
MAX_QUEUED_CLAIMS = 512


def transmit_limit(members: int) -> int:
    """How often each member sends a claim."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))


class ClaimQueue:
    """Queued claims, on a level for each time that they were sent: the next few are found at once."""

    def __init__(self) -> None:
        self._levels: list[dict[int, Claim]] = [{}]  # each by instance, the newest last
        self._level_of: dict[int, int] = {}  # by instance

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, claim: Claim) -> None:
        """Queue a claim in the place of the earlier one about that instance."""
        self.drop(claim.life)
        self._put(0, claim)
        if len(self._level_of) > MAX_QUEUED_CLAIMS:
            self._drop_most_sent()

    def _drop_most_sent(self) -> None:
        highest = max(level for level, claims in enumerate(self._levels) if claims)
        self.drop(next(iter(self._levels[highest])))

    def _put(self, level: int, claim: Claim) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][claim.life] = claim
        self._level_of[claim.life] = level

    def drop(self, life: int) -> None:
        """Send nothing more about this instance."""
        level = self._level_of.pop(life, None)
        if level is not None:
            del self._levels[level][life]

    def pick(self, most: int, members: int, first: int | None = None) -> list[Claim]:
        """At most `most` claims for one datagram.

        The claim about the instance `first` goes before all others: whom a claim is about should be the first
        to receive it.
        """
        picked = self._least_sent(most, first)
        limit = transmit_limit(members)
        for claim in picked:
            next_level = self._level_of[claim.life] + 1
            self.drop(claim.life)
            if next_level < limit:
                self._put(next_level, claim)
        return picked

    def _least_sent(self, most: int, first: int | None) -> list[Claim]:
        picked = list[Claim]()
        if first is not None and first in self._level_of:
            picked.append(self._levels[self._level_of[first]][first])
        for claims in self._levels:
            for claim in reversed(claims.values()):
                if len(picked) >= most:
                    break
                if claim.life != first:
                    picked.append(claim)
        return picked


@dataclass(slots=True)
class _QueuedMetadata:
    info: Info
    times_sent: int


class MetadataQueue:
    """Metadata that is sent in turn: a fixed part of each datagram, however large the cluster is."""

    def __init__(self) -> None:
        self._waiting: dict[int, _QueuedMetadata] = {}  # by instance, whoever waits longest first

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, info: Info) -> None:
        """Queue an instance's metadata in the place of its earlier version."""
        self._waiting.pop(info.life, None)
        self._waiting[info.life] = _QueuedMetadata(info, 0)

    def drop(self, life: int) -> None:
        """Send nothing more of this instance."""
        self._waiting.pop(life, None)

    def pick(self, most: int, members: int) -> list[Info]:
        """At most `most` entries, the longest waiting first; each goes behind the others once it is sent."""
        limit = transmit_limit(members)
        picked = list[Info]()
        for instance_id in list(self._waiting)[:most]:
            queued = self._waiting.pop(instance_id)
            picked.append(queued.info)
            queued.times_sent += 1
            if queued.times_sent < limit:
                self._waiting[instance_id] = queued
        return picked
