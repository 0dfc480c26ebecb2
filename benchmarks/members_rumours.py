"""Picking the rumours of the next datagram: levels by how often each was told, beside the plain way, which
looks through all that wait. Microseconds a pick of six, at so many waiting rumours."""

from __future__ import annotations

import heapq
import time

import table

from cairnvane.membership.gossip import Rumours, tells
from cairnvane.membership.member_table import Claim

MEMBERS, MOST, PICKS = 1_000, 6, 2_000


class Plain:
    """As it was: one table, and the smallest of it."""

    def __init__(self) -> None:
        self._told: dict[int, tuple[int, int, Claim]] = {}
        self._count = 0

    def add(self, claim: Claim) -> None:
        self._count += 1
        self._told[claim.life] = (0, self._count, claim)

    def pick(self, most: int, members: int) -> list[Claim]:
        some = heapq.nsmallest(most, self._told.values(), key=lambda one: (one[0], -one[1]))
        picked = [claim for _, _, claim in some]
        for claim in picked:
            told, age, _ = self._told[claim.life]
            if told + 1 >= tells(members):
                del self._told[claim.life]
            else:
                self._told[claim.life] = (told + 1, age, claim)
        return picked


def cost_us(kind: type[Plain] | type[Rumours], waiting: int) -> float:
    rumours = kind()
    claims = [Claim(life, "n", "p", "10.0.0.1", 1, 0, 0) for life in range(1, waiting + 1)]
    for claim in claims:
        rumours.add(claim)
    start = time.perf_counter()
    for number in range(PICKS):
        rumours.pick(MOST, MEMBERS)
        rumours.add(claims[number % waiting])  # as many wait all the while
    return (time.perf_counter() - start) / PICKS * 1e6


def main() -> None:
    rows = [
        [float(waiting), cost_us(Plain, waiting), cost_us(Rumours, waiting)] for waiting in (1, 8, 64, 512)
    ]
    table.show("a pick and an add", ["waiting", "plain, us", "levels, us"], rows)


if __name__ == "__main__":
    main()
