"""Did they fail, or are we cut off? One verdict from all evidence, with a confidence, and slow to recover.

A member that stops hearing many at once can't tell from the channel alone. So the verdict also looks at what
does not go through it: whether the service registry answers, whether balancers still send requests, whether
the worker pool is bound, and whether this process was held up itself. No I/O, no clock.

`Assessment` is what a consumer may rely on: `min_members` instances are certainly up, heard directly of late;
`max_members` may be, counting all that may have been cut off from us or we from them. No two members need
have the same one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Verdict(Enum):
    """On which side of a partition this member is, if there is one."""

    TOGETHER = "together"
    DOUBTFUL = "doubtful"  # too many are silent at once for a verdict on them
    APART_FEW = "apart (few)"  # with less than half of those that were up
    APART_MANY = "apart (many)"  # with half or more


@dataclass(frozen=True, slots=True)
class Evidence:
    """What this member has observed of late; None of the optional ones: not observed."""

    previously_up: int  # instances that were up before the last losses, this one counted
    heard: int  # of them, those still taken for alive, this one counted
    silent: int  # of them, those that are suspected or were declared failed of late
    health_score: int  # of local health
    suspected: int = 0  # of the silent ones, those that are not decided on
    registry_answers: bool | None = None
    requests_arrive: bool | None = None
    worker_pool_bound: bool | None = None


@dataclass(frozen=True, slots=True)
class Assessment:
    """The contract with whoever uses the member list."""

    epoch: int  # rises with each change of the verdict or of who is up
    verdict: Verdict
    confidence: float  # 0 to 1
    since: int  # when the verdict was reached, microseconds
    min_members: int  # instances that are certainly up, this one counted
    max_members: int  # instances that may be up


# So many instances silent at once, and this share of those that were up, are more than chance.
MIN_SILENT = 2
MIN_SILENT_SHARE = 0.3
# Beyond this score of local health a member decides on nobody.
MAX_TRUSTED_HEALTH_SCORE = 4
# A better verdict has to hold for so long before it counts.
RECOVERY_HOLD_US = 2_000_000
UNDECIDED_CONFIDENCE = 0.5


class Conclusion(NamedTuple):
    """A verdict on some evidence."""

    verdict: Verdict
    confidence: float  # 0 to 1


def assess(evidence: Evidence) -> Conclusion:
    """The verdict on this evidence alone, and its confidence."""
    if not _many_silent(evidence):
        # A single silent instance has failed, as far as anyone can tell.
        if evidence.health_score > MAX_TRUSTED_HEALTH_SCORE:
            return Conclusion(Verdict.DOUBTFUL, UNDECIDED_CONFIDENCE)
        return Conclusion(Verdict.TOGETHER, 1.0 - evidence.silent / max(2, evidence.previously_up))
    if 2 * evidence.suspected > evidence.silent:  # no verdict on them, and so none on us
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
    """Which share of the signals outside of the channel is lost.

    With all of them lost too, it is us; with all of them there, the others may as well have failed.
    """
    signals = (evidence.registry_answers, evidence.requests_arrive, evidence.worker_pool_bound)
    observed = [signal for signal in signals if signal is not None]
    if not observed:
        return 0.5
    return sum(not signal for signal in observed) / len(observed)


def max_concurrent(times: list[int], window: int) -> int:
    """The most of these times that fall within any window of this length."""
    ordered = sorted(times)
    most = 0
    first = 0
    for last, time in enumerate(ordered):
        while time - ordered[first] > window:
            first += 1
        most = max(most, last - first + 1)
    return most


class PartitionDetector:
    """The verdict over time: worse at once, better only once that has held."""

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
        """Assess anew; returns whether the verdict is another."""
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
