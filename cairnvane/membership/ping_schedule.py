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

EXPECTED_PRIORITIZERS = 4
# Of probes of the living, so many at the most may miss for lost datagrams alone; and so often at the least
# and at the most one is asked.
FALSE_MISS_PROBABILITY, MIN_ATTEMPTS, MAX_ATTEMPTS = 1e-4, 2, 16
# How many probes may be without an answer at a time.
MAX_OUTSTANDING_PINGS = 24
# Of the loss, a probe that was answered counts for so much.
LOSS_SMOOTHING = 1 / 16


class PingLossEstimator:
    """How many of our probes get no answer, though whoever is asked lives."""

    def __init__(self, helpers: int, most: int = MAX_ATTEMPTS) -> None:
        """`helpers`: others that are asked to probe as well."""
        self.loss_ratio, self._helpers, self._most = 0.0, helpers, most

    def record_answer(self, tries: int) -> None:
        """A probe was answered at this try: all before it were lost, on their way or on the way back."""
        for lost in [1.0] * (tries - 1) + [0.0]:
            self.loss_ratio += LOSS_SMOOTHING * (lost - self.loss_ratio)

    def attempts_needed(self) -> int:
        """After how many tries without an answer it is no longer chance."""
        if self.loss_ratio <= FALSE_MISS_PROBABILITY:
            return MIN_ATTEMPTS
        lost = min(self.loss_ratio, 0.99)
        by_helper = min(1.0, 2 * lost)  # whose way is twice as long
        needed = (math.log(FALSE_MISS_PROBABILITY) - self._helpers * math.log(by_helper)) / math.log(lost)
        return min(self._most, max(MIN_ATTEMPTS, math.ceil(needed)))


class PingSchedule:
    """The order of one member's probes."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._round: list[int] = []

    def next_target(self, there: Collection[int]) -> int | None:
        """The next one to probe, of those that are there."""
        for _ in range(2):
            while self._round:
                life = self._round.pop()
                if life in there:
                    return life
            self._round = sorted(there)
            self._random.shuffle(self._round)
        return None

    def prioritize(self, life: int, members: int) -> None:
        """Somebody suspects it: see for oneself, next."""
        if self._random.random() < EXPECTED_PRIORITIZERS / max(1, members):
            self._round.append(life)

    def pick_helpers(self, there: Collection[int], but: int, most: int) -> list[int]:
        """Members to ask for a probe of their own."""
        some = list(there)
        chosen = self._random.sample(some, min(most + 1, len(some)))
        return [life for life in chosen if life != but][:most]
