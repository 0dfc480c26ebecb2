"""Whom to probe next: everybody once a round, in an order that is drawn anew each time. No I/O, no clock.

Who gives no answer is asked again, as often as the loss that is seen calls for: a suspicion that comes of
lost datagrams alone is to be rare, since each costs the fleet two rumours, its own and what refutes it.

So each life is probed within two rounds at the latest, by everybody; and a life of which somebody else says
something bad comes sooner, drawn so that about `CALLED` members look at it at once however many there are.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection

CALLED = 4
# Of probes of the living, so many at the most may miss for lost datagrams alone; and so often at the least
# and at the most one is asked.
CHANCE_MISS, LEAST_TRIES, MOST_TRIES = 1e-4, 2, 16
# How many probes may be without an answer at a time.
MOST_PROBES = 24
# Of the loss, a probe that was answered counts for so much.
LOSS_WEIGHT = 1 / 16


class Loss:
    """How many of our probes get no answer, though whoever is asked lives."""

    def __init__(self, helpers: int, most: int = MOST_TRIES) -> None:
        """`helpers`: others that are asked to probe as well."""
        self.share, self._helpers, self._most = 0.0, helpers, most

    def answered(self, tries: int) -> None:
        """A probe was answered at this try: all before it were lost, on their way or on the way back."""
        for lost in [1.0] * (tries - 1) + [0.0]:
            self.share += LOSS_WEIGHT * (lost - self.share)

    def tries(self) -> int:
        """After how many tries without an answer it is no longer chance."""
        if self.share <= CHANCE_MISS:
            return LEAST_TRIES
        lost = min(self.share, 0.99)
        by_helper = min(1.0, 2 * lost)  # whose way is twice as long
        needed = (math.log(CHANCE_MISS) - self._helpers * math.log(by_helper)) / math.log(lost)
        return min(self._most, max(LEAST_TRIES, math.ceil(needed)))


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
