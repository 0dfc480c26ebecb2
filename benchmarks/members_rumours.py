"""Selecting the gossip of the next datagram by levels, compared with a search of all waiting claims.

A level holds the claims that were sent equally often. The table shows microseconds per selection of six
claims, by the number of waiting claims.
"""

from __future__ import annotations

import heapq
import time

import table

from cairnvane.membership.gossip import ClaimQueue, tells
from cairnvane.membership.member_table import Claim

MEMBERS = 1_000
CLAIMS_PER_DATAGRAM = 6
SELECTIONS = 2_000


class Plain:
    """The baseline: one table that is searched for the least often sent claims for each datagram."""

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[int, int, Claim]] = {}
        self._count = 0

    def add(self, claim: Claim) -> None:
        self._count += 1
        self._waiting[claim.instance_id] = (0, self._count, claim)

    def pick(self, most: int, members: int) -> list[Claim]:
        entries = heapq.nsmallest(most, self._waiting.values(), key=lambda entry: (entry[0], -entry[1]))
        picked = [claim for _, _, claim in entries]
        for claim in picked:
            times_sent, age, _ = self._waiting[claim.instance_id]
            if times_sent + 1 >= tells(members):
                del self._waiting[claim.instance_id]
            else:
                self._waiting[claim.instance_id] = (times_sent + 1, age, claim)
        return picked


def cost_us(kind: type[Plain] | type[ClaimQueue], waiting: int) -> float:
    """Microseconds per selection."""
    rumours = kind()
    claims = [Claim(life, "n", "p", "10.0.0.1", 1, 0, 0) for life in range(1, waiting + 1)]
    for claim in claims:
        rumours.add(claim)
    start = time.perf_counter()
    for number in range(SELECTIONS):
        rumours.pick(CLAIMS_PER_DATAGRAM, MEMBERS)
        rumours.add(claims[number % waiting])  # the number of waiting claims stays the same
    return (time.perf_counter() - start) / SELECTIONS * 1e6


def main() -> None:
    """Measure both at all sizes, in one run."""
    rows = [
        [float(waiting), cost_us(Plain, waiting), cost_us(ClaimQueue, waiting)] for waiting in (1, 8, 64, 512)
    ]
    table.show("One selection and one insertion", ["waiting", "plain, us", "levels, us"], rows)


if __name__ == "__main__":
    main()
