"""Whom to ping next: everybody once a round, in an order that is drawn anew each time. No I/O, no clock.

Whoever does not answer is pinged again, as often as the observed loss calls for: a suspicion that comes of
lost datagrams alone is to be rare, since each costs the cluster two claims, its own and its refutation.

So each member is pinged within two rounds at the latest, by everybody; and one that somebody else suspects
comes sooner, drawn so that about `EXPECTED_PRIORITIZERS` members ping it at once however many there are.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection

EXPECTED_PRIORITIZERS = 4
# Of pings of members that are up, this share at most may go unanswered for lost datagrams alone.
FALSE_MISS_PROBABILITY = 1e-4
MIN_ATTEMPTS = 2
MAX_ATTEMPTS = 16
# How many pings may be without an answer at a time.
MAX_OUTSTANDING_PINGS = 24
# The weight of one attempt in the estimated loss.
LOSS_SMOOTHING = 1 / 16
# Keeps the number of attempts finite.
MAX_LOSS_RATIO = 0.99


class PingLossEstimator:
    """Estimates which share of pings gets no answer although the target is up."""

    def __init__(self, helpers: int, max_attempts: int = MAX_ATTEMPTS) -> None:
        """`helpers`: members that are asked for an indirect ping as well."""
        self.loss_ratio = 0.0
        self._helpers = helpers
        self._max_attempts = max_attempts

    def record_answer(self, attempts: int) -> None:
        """A ping was answered at this attempt: those before it were lost, or their answers were."""
        for _ in range(attempts - 1):
            self._record_attempt(1.0)
        self._record_attempt(0.0)

    def _record_attempt(self, lost: float) -> None:
        self.loss_ratio += LOSS_SMOOTHING * (lost - self.loss_ratio)

    def attempts_needed(self) -> int:
        """After how many attempts a missing answer is no longer explained by loss."""
        if self.loss_ratio <= FALSE_MISS_PROBABILITY:
            return MIN_ATTEMPTS
        direct_loss = min(self.loss_ratio, MAX_LOSS_RATIO)
        indirect_loss = min(1.0, 2 * direct_loss)  # twice as many links
        log_needed = math.log(FALSE_MISS_PROBABILITY) - self._helpers * math.log(indirect_loss)
        needed = log_needed / math.log(direct_loss)
        return min(self._max_attempts, max(MIN_ATTEMPTS, math.ceil(needed)))


class PingSchedule:
    """The order in which one member pings the others."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._round: list[int] = []  # the next target last

    def next_target(self, up: Collection[int]) -> int | None:
        """The next instance to ping, of those that are up; None if there is none."""
        for _ in range(2):  # the rest of this round, then a new one
            while self._round:
                instance_id = self._round.pop()
                if instance_id in up:
                    return instance_id
            self._round = sorted(up)
            self._random.shuffle(self._round)
        return None

    def prioritize(self, instance_id: int, members: int) -> None:
        """Somebody suspects this instance: ping it next, if drawn to do so."""
        if self._random.random() < EXPECTED_PRIORITIZERS / max(1, members):
            self._round.append(instance_id)

    def pick_helpers(self, up: Collection[int], target: int, count: int) -> list[int]:
        """Random instances to ask for an indirect ping of the target."""
        candidates = list(up)
        drawn = self._random.sample(candidates, min(count + 1, len(candidates)))
        return [instance_id for instance_id in drawn if instance_id != target][:count]
