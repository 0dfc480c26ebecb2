"""Suspicion timeouts and local health, after Lifeguard. No I/O, no clock.

A suspicion with a single accuser has a long timeout, since the accuser itself may be slow; each further
accuser with its own evidence shortens it. A member that misses answers, or is suspected itself, degrades its
local health score and lengthens all its waits.
"""

from __future__ import annotations

import math

# The worst score. Every wait is multiplied by the score plus one.
MAX_SCORE = 8
# With this many accusers beyond the first, the timeout reaches its minimum.
CONFIRMATIONS_FOR_MIN_TIMEOUT = 3
# Ratio of the longest timeout to the minimum.
MAX_TIMEOUT_RATIO = 6.0
# Expected number of members that are randomly chosen to decide on a suspect. The timeout of the others is
# longer by the factor below, in case none of the chosen ones decides.
EXPECTED_DECIDERS = 12
NON_DECIDER_FACTOR = 2
# Before a member declares a suspect failed, it pings it at least this many times, plus once for each point of
# its own score, up to the maximum below. The final pings reach a suspect whose refutation was lost.
MIN_FINAL_PINGS = 3
MAX_FINAL_PINGS = 8
# With several concurrent suspects, all timeouts are multiplied by a factor that rises by one for each further
# tenth of the cluster (or two members, if that is more), up to the maximum. The path to all of them may be
# bad, and their refutations take the same path.
CONCURRENT_CLUSTER_SHARE = 0.1
CONCURRENT_MIN_MEMBERS = 2
CONCURRENT_MAX_FACTOR = 3.0
# Upper limit of a timeout in multiples of the configured minimum, whatever the score, so that a member that
# is cut off decides too.
MAX_TIMEOUT_FACTOR = 24


def suspicion_timeout_us(min_us: int, accusers: int, members: int, suspects: int = 1) -> int:
    """Time from the suspicion until the suspect is declared failed, in microseconds."""
    confirmations = min(CONFIRMATIONS_FOR_MIN_TIMEOUT, members - 2)
    min_timeout = min_us * max(1.0, math.log10(max(members, 1)))
    if confirmations < 1:  # the cluster has no third member that could confirm it
        return int(min_timeout * MAX_TIMEOUT_RATIO / 2)
    min_timeout *= concurrent_suspects_factor(suspects, members)
    confirmed = math.log(accusers) / math.log(confirmations + 1) if accusers > 0 else 0.0
    timeout = min_timeout * (MAX_TIMEOUT_RATIO - (MAX_TIMEOUT_RATIO - 1) * confirmed)
    return int(max(min_timeout, timeout))


def concurrent_suspects_factor(suspects: int, members: int) -> float:
    """Factor by which this number of concurrent suspects lengthens timeouts."""
    members_per_step = max(CONCURRENT_MIN_MEMBERS, CONCURRENT_CLUSTER_SHARE * members)
    further_suspects = max(0, suspects - 1)
    return min(CONCURRENT_MAX_FACTOR, 1 + further_suspects / members_per_step)


def required_final_pings(score: int, attempts: int) -> int:
    """Number of pings to a suspect before it is declared failed, at this score of local health.

    `attempts` is the number of attempts before a member is suspected; there are no fewer final pings.
    """
    return max(attempts, min(MAX_FINAL_PINGS, MIN_FINAL_PINGS + score))


class LocalHealth:
    """Score of this member's own health; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self, points: int = 1) -> None:
        """Raise the score after a missing answer, an accusation, or a stall of this process."""
        self.score = min(MAX_SCORE, self.score + points)

    def improve(self) -> None:
        """Lower the score after an answer in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> int:
        """Factor by which all waits of this member are longer."""
        return self.score + 1
