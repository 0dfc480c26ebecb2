"""How long a suspicion lasts until its suspect is declared failed, and how far a member trusts itself.

From Lifeguard: a lone accuser waits long, since it may be the accuser that is slow; each further one, on
evidence of its own, shortens the wait. And whoever misses answers, or is accused itself, takes more time for
everything. No I/O, no clock.
"""

from __future__ import annotations

import math

# The score of the least healthy member; every wait is longer by the factor of the score plus one.
MAX_SCORE = 8
# Accusers beyond the first that bring the timeout down to its least.
CONFIRMATIONS = 3
# The longest timeout, over the least one.
MAX_TIMEOUT_RATIO = 6.0
# So many members, drawn by chance, decide on a suspect. The others wait longer by this factor, in case none
# of those did.
EXPECTED_DECIDERS = 12
NON_DECIDER_FACTOR = 2
# Before it declares a suspect failed, a member pings it itself: so often, once more for each point of its own
# score, and this often at most. A suspect whose refutation was lost is heard then.
MIN_FINAL_PINGS = 3
MAX_FINAL_PINGS = 8
# Of several concurrent suspects each waits longer: once more for each further tenth of the cluster, or each
# further two members, and three times at most. The path to all of them may be bad, and refutations take
# theirs.
CONCURRENT_FLEET_SHARE = 0.1
CONCURRENT_MIN_MEMBERS = 2
CONCURRENT_MAX_FACTOR = 3.0
# No score makes a wait longer than so many times the least: a member that is cut off must decide too.
MAX_TIMEOUT_FACTOR = 24


def suspicion_timeout_us(least_us: int, accusers: int, members: int, suspects: int = 1) -> int:
    """How long a suspicion stands until the suspect is declared failed, in microseconds."""
    confirmations = min(CONFIRMATIONS, members - 2)
    least = least_us * max(1.0, math.log10(max(members, 1)))
    if confirmations < 1:  # nobody could confirm it
        return int(least * MAX_TIMEOUT_RATIO / 2)
    least *= concurrent_suspects_factor(suspects, members)
    confirmed = math.log(accusers) / math.log(confirmations + 1) if accusers > 0 else 0.0
    timeout = least * (MAX_TIMEOUT_RATIO - (MAX_TIMEOUT_RATIO - 1) * confirmed)
    return int(max(least, timeout))


def concurrent_suspects_factor(suspects: int, members: int) -> float:
    """By which factor timeouts are longer while there are so many suspects."""
    members_per_step = max(CONCURRENT_MIN_MEMBERS, CONCURRENT_FLEET_SHARE * members)
    further_suspects = max(0, suspects - 1)
    return min(CONCURRENT_MAX_FACTOR, 1 + further_suspects / members_per_step)


def required_final_pings(score: int, attempts: int) -> int:
    """How many pings a suspect gets before it is declared failed, at this score of local health.

    `attempts`: how often any member is pinged before it is suspected; the pings are no fewer.
    """
    return max(attempts, min(MAX_FINAL_PINGS, MIN_FINAL_PINGS + score))


class LocalHealth:
    """How healthy this member takes itself for: 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """An answer was missing, this member was accused, or it was held up."""
        self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """An answer came in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """By which factor all waits of this member are longer."""
        return self.score + 1
