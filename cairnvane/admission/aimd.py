"""AIMD admission by the number of queued requests (Shehata, Mohaghegh, Aboelaze)."""

from __future__ import annotations

import random

from . import parameters
from .estimators import DecayedCounts


class AdmissionProbability:
    """The paper's rule: the probability moves with the queue, and a request is admitted with it."""

    def __init__(self, seed: int) -> None:
        self.probability = 1.0
        self._random = random.Random(seed)
        self._recent_weights = DecayedCounts(parameters.WEIGHT_MIX_ARRIVALS)

    def update(self, queued: int, high_threshold: float) -> None:
        """Move the probability at an arrival that finds so many others queued (the paper's N and N_high)."""
        if queued > high_threshold:
            reduced = self.probability * parameters.MULTIPLICATIVE_DECREASE
            self.probability = max(parameters.MINIMUM_PROBABILITY, reduced)
        elif queued < high_threshold / 2:
            self.probability = min(1.0, self.probability + parameters.ADDITIVE_INCREASE)

    def admits(self, weight: float) -> bool:
        """Guards against shedding at random: greater weights have the first claim to what is admitted."""
        recent = self._recent_weights
        recent.add(weight)
        admitted = self.probability * sum(recent.counts.values()) - recent.above(weight)
        return self._random.random() * recent.counts[weight] < admitted
