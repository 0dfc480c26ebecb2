"""How long a suspicion lasts before it is a verdict, and how far one's own health is to be doubted first.

From Lifeguard: a lone accuser waits long, since it may be he who is slow; each further one, on evidence of
his own, shortens the wait. And whoever misses answers, or is accused himself, takes more time for everything.
No I/O, no clock.
"""

from __future__ import annotations

import math

# Two doubts of one's own health add up to this at the most; every wait is so many times as long, and one.
MAX_SCORE = 8
# Accusers beyond the first that bring the wait down to its least.
CONFIRMATIONS = 3
# The longest wait, over the least one.
MAX_TIMEOUT_RATIO = 6.0
# So many members judge a suspect, drawn by chance; the others wait this much longer, in case none of them
# did.
EXPECTED_DECIDERS, NON_DECIDER_FACTOR = 12, 2
# Before a verdict the judge probes by itself, so often and once more for each doubt of itself: a suspect
# whose word was lost on its way is heard then.
CHECKS, MAX_FINAL_PINGS = 3, 8
# Of several suspects at once each waits longer: one more time for each further tenth of the fleet, or each
# further two, and three times at the most. It may be the way to all of them that is bad, and refutations take
# theirs.
CONCURRENT_FLEET_SHARE, CONCURRENT_MIN_MEMBERS, CONCURRENT_MAX_FACTOR = 0.1, 2, 3.0
# No doubt makes a wait longer than so many times the least: who is cut off must come to a verdict too.
MAX_TIMEOUT_FACTOR = 24


def suspicion_timeout_us(least_us: int, accusers: int, members: int, suspects: int = 1) -> int:
    """How long a suspicion stands before its life counts as failed."""
    needed = min(CONFIRMATIONS, members - 2)
    least = least_us * max(1.0, math.log10(max(members, 1)))
    if needed < 1:
        return int(least * MAX_TIMEOUT_RATIO / 2)  # nobody could confirm it
    least *= concurrent_suspects_factor(suspects, members)
    part = math.log(accusers) / math.log(needed + 1) if accusers > 0 else 0.0
    return int(max(least, least * (MAX_TIMEOUT_RATIO - (MAX_TIMEOUT_RATIO - 1) * part)))


def concurrent_suspects_factor(suspects: int, members: int) -> float:
    """By which all verdicts wait longer while there are so many suspects."""
    return min(
        CONCURRENT_MAX_FACTOR,
        1 + max(0, suspects - 1) / max(CONCURRENT_MIN_MEMBERS, CONCURRENT_FLEET_SHARE * members),
    )


def checks(doubt: int, tries: int) -> int:
    """How often a suspect is probed before the verdict; `tries`: how often anybody is, before a suspicion."""
    return max(tries, min(MAX_FINAL_PINGS, CHECKS + doubt))


class LocalHealth:
    """How far this member doubts itself."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """An answer was missing, it was accused, or it was held up."""
        self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """An answer came in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """By which all its waits are longer."""
        return self.score + 1
