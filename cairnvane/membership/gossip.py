"""Which claims ride on the next datagram: the least told first, each so often and no longer. No I/O, no
clock.

Every claim is told by each member about `TELLS` times the logarithm of the fleet's size, after which all have
heard it with high probability; what one missed, the exchange of whole views brings. So no rumour lives for
ever, and a member that restarts in a loop has at most `MOST` of them about.
"""

from __future__ import annotations

import math

from .member_table import Claim, Info

RETRANSMIT_FACTOR = 4
# So many claims at most wait to be told; beyond, the most told one goes.
MAX_QUEUED_CLAIMS = 512


def transmit_limit(members: int) -> int:
    """How often each member tells a rumour."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(members + 2))


class Rumours:
    """Claims that are to be told on, on a level for each time that they were told: whatever their number, the
    next few are found at once."""

    def __init__(self) -> None:
        self._levels: list[dict[int, Claim]] = [{}]  # each by life, the newest last
        self._level: dict[int, int] = {}  # of each life's claim

    def __len__(self) -> int:
        return len(self._level)

    def add(self, claim: Claim) -> None:
        """News: it takes the place of what was told of that life before."""
        self.drop(claim.life)
        self._put(0, claim)
        if len(self._level) > MAX_QUEUED_CLAIMS:
            worst = max(level for level, some in enumerate(self._levels) if some)
            self.drop(next(iter(self._levels[worst])))

    def _put(self, level: int, claim: Claim) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][claim.life] = claim
        self._level[claim.life] = level

    def drop(self, life: int) -> None:
        """Nothing more is told of this life."""
        if (level := self._level.pop(life, None)) is not None:
            del self._levels[level][life]

    def pick(self, most: int, members: int, first: int | None = None) -> list[Claim]:
        """Up to so many claims for one datagram; that about the life `first` before all others, since who is
        spoken of should be the first to hear it."""
        limit, picked = transmit_limit(members), list[Claim]()
        if first is not None and first in self._level:
            picked.append(self._levels[self._level[first]][first])
        for some in self._levels:
            for claim in reversed(some.values()):
                if len(picked) >= most:
                    break
                if claim.life != first:
                    picked.append(claim)
        for claim in picked:
            level = self._level[claim.life] + 1
            self.drop(claim.life)
            if level < limit:
                self._put(level, claim)
        return picked


class MetadataQueue:
    """What members carry, told on in turn: a fixed part of each datagram, however large the fleet is."""

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[int, Info]] = {}  # by life: how often it was told

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, info: Info) -> None:
        """News of a life, in the place of what it told before."""
        self._waiting.pop(info.life, None)
        self._waiting[info.life] = (0, info)

    def drop(self, life: int) -> None:
        """Nothing more is told of this life."""
        self._waiting.pop(life, None)

    def pick(self, most: int, members: int) -> list[Info]:
        """Up to so many, whoever has waited longest first; each goes behind the others once it was told."""
        limit, picked = transmit_limit(members), list[Info]()
        for life in list(self._waiting)[:most]:
            told, info = self._waiting.pop(life)
            picked.append(info)
            if told + 1 < limit:
                self._waiting[life] = (told + 1, info)
        return picked
