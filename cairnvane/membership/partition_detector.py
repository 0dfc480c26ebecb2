"""Decides whether other members failed or this one is partitioned off, with a confidence. No I/O, no clock.

A member that stops hearing many others at once can't tell the two cases apart by the members' channel alone.
The verdict therefore also uses signals that do not pass through that channel: whether the service registry
answers, whether balancers still send requests, whether the worker pool is bound, and whether this process was
stalled. A worse verdict takes effect at once, a recovery only after it has held for a while.

Consumers may rely on `Assessment`: `min_members` instances are certainly up, since they were heard directly
within the lease; up to `max_members` may be up, including all that may be on the other side of a partition.
Different members may have different assessments.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Verdict(Enum):
    """Whether there is a partition, and on which side of it this member is."""

    TOGETHER = "together"
    DOUBTFUL = "doubtful"  # many silent members are still undecided, or this member's own health is poor
    APART_FEW = "apart (few)"  # on a side with less than half of the instances that were up
    APART_MANY = "apart (many)"  # on a side with half or more of them


@dataclass(frozen=True, slots=True)
class Evidence:
    """Recent observations of this member; an optional signal is None if it is not observed."""

    previously_up: int  # instances up before the recent losses, including this one
    heard: int  # of those, the ones still alive, including this one
    silent: int  # of those, the ones suspected or recently declared failed
    health_score: int  # of local health; 0 is healthy
    suspected: int = 0  # of the silent ones, those still undecided
    registry_answers: bool | None = None
    requests_arrive: bool | None = None
    worker_pool_bound: bool | None = None


@dataclass(frozen=True, slots=True)
class Assessment:
    """The view of the cluster that consumers of the member list may rely on."""

    epoch: int  # rises with each change of the verdict, the bounds, or the set of instances that are up
    verdict: Verdict
    confidence: float  # 0 to 1
    since: int  # when the verdict was reached, in microseconds
    min_members: int  # instances that are certainly up, including this one
    max_members: int  # instances that may be up


# At least this many instances, and this share of those that were up, must be silent at once to suggest a
# partition rather than independent failures.
MIN_SILENT = 2
MIN_SILENT_SHARE = 0.3
# With a worse score of local health, the verdict on a few silent instances is doubtful.
MAX_TRUSTED_HEALTH_SCORE = 4
# A recovery takes effect after it has held for this time.
RECOVERY_HOLD_US = 2_000_000
UNDECIDED_CONFIDENCE = 0.5


class Conclusion(NamedTuple):
    """A verdict and its confidence."""

    verdict: Verdict
    confidence: float  # 0 to 1


def assess(evidence: Evidence) -> Conclusion:
    """The verdict and confidence for this evidence alone, without regard to earlier verdicts."""
    if not _many_silent(evidence):
        # A few silent instances are taken to have failed.
        if evidence.health_score > MAX_TRUSTED_HEALTH_SCORE:
            return Conclusion(Verdict.DOUBTFUL, UNDECIDED_CONFIDENCE)
        return Conclusion(Verdict.TOGETHER, 1.0 - evidence.silent / max(2, evidence.previously_up))
    if 2 * evidence.suspected > evidence.silent:  # most silent members are undecided
        return Conclusion(Verdict.DOUBTFUL, UNDECIDED_CONFIDENCE)
    lost_signals = _lost_signal_share(evidence)
    lost_members = 1 - evidence.heard / max(1, evidence.previously_up)
    if 2 * evidence.heard < evidence.previously_up:
        confidence = min(1.0, 0.3 + 0.4 * lost_members + 0.3 * lost_signals)
        return Conclusion(Verdict.APART_FEW, confidence)
    confidence = min(1.0, 0.4 + 0.4 * (1 - lost_members) + 0.2 * (1 - lost_signals))
    return Conclusion(Verdict.APART_MANY, confidence)


def _many_silent(evidence: Evidence) -> bool:
    least_share = MIN_SILENT_SHARE * evidence.previously_up
    return evidence.silent >= MIN_SILENT and evidence.silent >= least_share


def _lost_signal_share(evidence: Evidence) -> float:
    """The share of the observed external signals that are lost; one half if none is observed.

    If all are lost, this member is likely cut off; if none is, the other members may have failed instead.
    """
    signals = (evidence.registry_answers, evidence.requests_arrive, evidence.worker_pool_bound)
    observed = [signal for signal in signals if signal is not None]
    if not observed:
        return 0.5
    return sum(not signal for signal in observed) / len(observed)


def max_concurrent(times: list[int], window: int) -> int:
    """The largest number of these times that fall within any window of this length."""
    ordered = sorted(times)
    max_count = 0
    first = 0
    for last, time in enumerate(ordered):
        while time - ordered[first] > window:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


class PartitionDetector:
    """Tracks the verdict over time: it worsens at once and recovers after a hold time."""

    def __init__(self, now: int) -> None:
        self.assessment = Assessment(1, Verdict.TOGETHER, 1.0, now, 1, 1)
        self._recovering_since: int | None = None

    def update(
        self,
        now: int,
        evidence: Evidence,
        min_members: int,
        max_members: int,
        membership_changed: bool,
    ) -> bool:
        """Update the assessment; returns whether the verdict changed."""
        before = self.assessment
        verdict, confidence = assess(evidence)
        if self._must_still_hold(verdict, now):
            verdict = before.verdict
            confidence = before.confidence
        verdict_changed = verdict is not before.verdict
        bounds_changed = (min_members, max_members) != (before.min_members, before.max_members)
        epoch = before.epoch + (verdict_changed or membership_changed or bounds_changed)
        since = now if verdict_changed else before.since
        self.assessment = Assessment(epoch, verdict, confidence, since, min_members, max_members)
        return verdict_changed

    def _must_still_hold(self, verdict: Verdict, now: int) -> bool:
        """Whether this verdict is a recovery that has not held for long enough."""
        if verdict is not Verdict.TOGETHER or self.assessment.verdict is Verdict.TOGETHER:
            self._recovering_since = None
            return False
        if self._recovering_since is None:
            self._recovering_since = now
        return now - self._recovering_since < RECOVERY_HOLD_US
