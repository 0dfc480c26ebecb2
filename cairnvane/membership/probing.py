"""Whom to probe next: everybody once a round, in an order that is drawn anew each time. No I/O, no clock.

So each life is probed within two rounds at the latest, by everybody; and a life of which somebody else says
something bad comes sooner, drawn so that about `CALLED` members look at it at once however many there are.
"""

from __future__ import annotations

import random
from collections.abc import Collection

CALLED = 4


class Ring:
    """The order of one member's probes."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._round: list[int] = []

    def next(self, there: Collection[int]) -> int | None:
        """The next one to probe, of those that are there."""
        for _ in range(2):
            while self._round:
                life = self._round.pop()
                if life in there:
                    return life
            self._round = sorted(there)
            self._random.shuffle(self._round)
        return None

    def called(self, life: int, members: int) -> None:
        """Somebody suspects it: see for oneself, next."""
        if self._random.random() < CALLED / max(1, members):
            self._round.append(life)

    def others(self, there: Collection[int], but: int, most: int) -> list[int]:
        """Members to ask for a probe of their own."""
        some = list(there)
        chosen = self._random.sample(some, min(most + 1, len(some)))
        return [life for life in chosen if life != but][:most]
