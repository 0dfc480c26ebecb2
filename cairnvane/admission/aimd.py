"""AIMD admission by the number of queued requests (Shehata, Mohaghegh, Aboelaze)."""

from __future__ import annotations

import random

from . import parameters
from .estimators import DecayedCounts


class AdmissionProbability:
    """The admission probability of the paper, and the random decision that it drives."""

    def __init__(self, seed: int) -> None:
        self.probability = 1.0
        self._random = random.Random(seed)
        self._recent_weights = DecayedCounts(parameters.WEIGHT_MIX_SAMPLES)

    def update(self, queued: int, high_threshold: float) -> None:
        """Update the probability on an arrival; `queued` is the paper's N, `high_threshold` its N_high."""
        if queued > high_threshold:
            reduced = self.probability * parameters.MULTIPLICATIVE_DECREASE
            self.probability = max(parameters.MINIMUM_PROBABILITY, reduced)
        elif queued < high_threshold / 2:
            self.probability = min(1.0, self.probability + parameters.ADDITIVE_INCREASE)

    def admits(self, weight: float) -> bool:
        """Whether to admit a request; prefers greater weights instead of rejecting regardless of weight."""
        recent = self._recent_weights
        recent.add(weight)
        admitted = self.probability * sum(recent.counts.values()) - recent.sum_above(weight)
        return self._random.random() * recent.counts[weight] < admitted
