"""Selects the next member to ping: every member once per round, in random order. No I/O, no clock.

A member that does not answer is pinged again; the number of attempts depends on the observed loss. Lost
datagrams alone should rarely raise a suspicion, since each one costs the cluster two claims: the suspicion
and its refutation.

Every member therefore pings every other one within two rounds. A member that another one suspects is pinged
sooner: each member moves it to the front with a probability such that about `EXPECTED_PRIORITIZERS` members
ping it at once, at any cluster size.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection

EXPECTED_PRIORITIZERS = 4
# Highest accepted share of pings to members that are up that get no answer because of lost datagrams alone.
FALSE_MISS_PROBABILITY = 1e-4
MIN_ATTEMPTS = 2
MAX_ATTEMPTS = 16
# Limit of pings that are outstanding at a time.
MAX_OUTSTANDING_PINGS = 24
# Weight of one attempt in the moving average of the loss.
LOSS_SMOOTHING = 1 / 16
# Keeps the number of attempts finite.
MAX_LOSS_RATIO = 0.99


class PingLossEstimator:
    """Estimates the share of pings that get no answer although the target is up."""

    def __init__(self, helpers: int, max_attempts: int = MAX_ATTEMPTS) -> None:
        """`helpers`: number of members that are asked for an indirect ping as well."""
        self.loss_ratio = 0.0
        self._helpers = helpers
        self._max_attempts = max_attempts

    def record_answer(self, attempts: int) -> None:
        """Record an answer at this attempt; the earlier attempts or their answers were lost."""
        for _ in range(attempts - 1):
            self._record_attempt(1.0)
        self._record_attempt(0.0)

    def _record_attempt(self, lost: float) -> None:
        self.loss_ratio += LOSS_SMOOTHING * (lost - self.loss_ratio)

    def attempts_needed(self) -> int:
        """Number of attempts after which loss no longer explains a missing answer."""
        if self.loss_ratio <= FALSE_MISS_PROBABILITY:
            return MIN_ATTEMPTS
        direct_loss = min(self.loss_ratio, MAX_LOSS_RATIO)
        indirect_loss = min(1.0, 2 * direct_loss)  # an indirect ping passes twice as many links
        log_needed = math.log(FALSE_MISS_PROBABILITY) - self._helpers * math.log(indirect_loss)
        needed = log_needed / math.log(direct_loss)
        return min(self._max_attempts, max(MIN_ATTEMPTS, math.ceil(needed)))


class PingSchedule:
    """The order in which one member pings the others."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._round: list[int] = []  # remaining targets; the next one is the last element

    def next_target(self, up: Collection[int]) -> int | None:
        """The next instance to ping among those that are up; None if no instance is up."""
        for _ in range(2):  # the rest of this round, then a new one
            while self._round:
                instance_id = self._round.pop()
                if instance_id in up:
                    return instance_id
            self._round = sorted(up)
            self._random.shuffle(self._round)
        return None

    def prioritize(self, instance_id: int, members: int) -> None:
        """Ping an instance that another member suspects next, with a probability that falls with size."""
        if self._random.random() < EXPECTED_PRIORITIZERS / max(1, members):
            self._round.append(instance_id)

    def pick_helpers(self, up: Collection[int], target: int, count: int) -> list[int]:
        """Random instances to ask for an indirect ping of the target."""
        candidates = list(up)
        drawn = self._random.sample(candidates, min(count + 1, len(candidates)))
        return [instance_id for instance_id in drawn if instance_id != target][:count]
