"""Did they die, or are we cut off? One verdict from all evidence, with a confidence, and slow to change back.

Whoever stops hearing many at once can't tell from the channel alone. So the verdict also looks at what does
not go through it: whether the roster answers, whether balancers still bring requests, whether the pool is
there, and whether this process was held up itself. No I/O, no clock.

What a consumer may rely on is in `Sight`: `least` lives are certainly there, heard by ourselves of late;
`most` may be, counting all that may have been cut off from us or we from them. No two members need have the
same one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """Where this member stands."""

    TOGETHER = "together"
    DOUBTFUL = "doubtful"  # too many are silent at once for a verdict on them
    APART_FEW = "apart (few)"  # with less than half of those that were there
    APART_MANY = "apart (many)"  # with half or more


@dataclass(frozen=True, slots=True)
class Evidence:
    """What this member has seen of late. Each None: nothing was looked for."""

    previously_up: int  # lives that were there before the last losses, this one counted
    heard: int  # of them, those that were heard by ourselves within the lease, this one counted
    silent: int  # of them, those that are suspected or were found failed of late
    health_score: int  # of one's own health
    suspected: int = 0  # suspects, of whom there is no verdict yet
    registry_answers: bool | None = None  # it answers
    requests_arrive: bool | None = None  # requests still come
    worker_pool_bound: bool | None = None


@dataclass(frozen=True, slots=True)
class Assessment:
    """The contract with whoever uses the view."""

    epoch: int  # rises with each change of the verdict or of who is there
    verdict: Verdict
    confidence: float  # 0 to 1
    since: int  # when the verdict came, microseconds
    min_members: int  # lives that are surely there, this one counted
    max_members: int  # lives that may be there


# So many lives silent at once, and this share of those that were there, are more than chance.
MIN_SILENT, MIN_SILENT_SHARE = 2, 0.3
# A doubt of one's own health beyond this is a reason to judge nobody.
MAX_TRUSTED_HEALTH_SCORE = 4
# A better verdict has to hold for so long before it counts.
RECOVERY_HOLD_US = 2_000_000


def assess(seen: Evidence) -> tuple[Verdict, float]:
    """The verdict on this evidence alone, and how sure it is."""
    many = seen.silent >= MIN_SILENT and seen.silent >= MIN_SILENT_SHARE * seen.previously_up
    if not many:
        # One that is silent has failed, as far as anyone can tell.
        if seen.health_score > MAX_TRUSTED_HEALTH_SCORE:
            return Verdict.DOUBTFUL, 0.5
        return Verdict.TOGETHER, 1.0 - seen.silent / max(2, seen.previously_up)
    if 2 * seen.suspected > seen.silent:  # no verdict on them, and so none on us
        return Verdict.DOUBTFUL, 0.5
    few = 2 * seen.heard < seen.previously_up
    # Outside of the channel: with all of it silent too, it is us; with all of it there, they may as well have
    # died.
    outside = [
        told
        for told in (seen.registry_answers, seen.requests_arrive, seen.worker_pool_bound)
        if told is not None
    ]
    lost = sum(not told for told in outside) / len(outside) if outside else 0.5
    share = 1 - seen.heard / max(1, seen.previously_up)
    if few:
        return Verdict.APART_FEW, min(1.0, 0.3 + 0.4 * share + 0.3 * lost)
    return Verdict.APART_MANY, min(1.0, 0.4 + 0.4 * (1 - share) + 0.2 * (1 - lost))


def max_concurrent(times: list[int], within: int) -> int:
    """How many of these fell together: the most within such a stretch."""
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > within:
            first += 1
        most = max(most, last - first + 1)
    return most


class PartitionDetector:
    """The verdict over time: worse at once, better only once that has held."""

    def __init__(self, now: int) -> None:
        self.assessment = Assessment(1, Verdict.TOGETHER, 1.0, now, 1, 1)
        self._better_since: int | None = None

    def update(self, now: int, seen: Evidence, least: int, most: int, changed: bool) -> bool:
        """Weigh anew; whether the verdict is another. `changed`: who is there has changed."""
        verdict, confidence = assess(seen)
        before = self.assessment
        if verdict is Verdict.TOGETHER and before.verdict is not Verdict.TOGETHER:
            self._better_since = self._better_since if self._better_since is not None else now
            if now - self._better_since < RECOVERY_HOLD_US:
                verdict, confidence = before.verdict, before.confidence
        else:
            self._better_since = None
        other = verdict is not before.verdict
        epoch = before.epoch + (other or changed or (least, most) != (before.min_members, before.max_members))
        self.assessment = Assessment(epoch, verdict, confidence, now if other else before.since, least, most)
        return other
