"""Feeds the partition detector with the losses of members and changes of the set that is up."""

from __future__ import annotations

from .context import MemberContext
from .evidence import ExternalSignals, collect_evidence
from .partition_detector import Assessment, Evidence, PartitionDetector

# Minimum interval between assessments while the table is unchanged, since each one counts all members.
ASSESS_INTERVAL_US = 100_000


class PartitionMonitor:
    """Owns the times of losses, and the partition detector that assesses them."""

    def __init__(self, context: MemberContext, now: int) -> None:
        self.detector = PartitionDetector(now)
        self._options = context.options
        self._local = context.local
        self._table = context.table
        self._health = context.health
        self._outbox = context.outbox
        self._lost_at: dict[int, int] = {}  # by instance: when it went silent
        self._up: frozenset[int] = frozenset()  # as of the last assessment
        self._assessed_version = -1  # of the table
        self._next_assess_at = now

    def record_loss(self, instance_id: int, now: int) -> None:
        """Record when an instance was suspected or failed, unless it is recorded already."""
        self._lost_at.setdefault(instance_id, now)

    def clear_loss(self, instance_id: int) -> None:
        """Forget the loss of an instance that is alive, has left, or was removed from the table."""
        self._lost_at.pop(instance_id, None)

    def tick(self, now: int, signals: ExternalSignals) -> None:
        """Reassess if the table has changed or the interval has passed; report a changed verdict."""
        if self._table.version == self._assessed_version and now < self._next_assess_at:
            return
        self._next_assess_at = now + ASSESS_INTERVAL_US
        membership_changed = self._membership_changed()
        survey = collect_evidence(
            self._local.claim,
            self._table,
            self._lost_at,
            now,
            self._heard_lease(),
            self._options.loss_window,
            self._health.score,
            signals,
        )
        self._lost_at = survey.still_lost
        before = self.detector.assessment
        verdict_changed = self.detector.update(
            now, survey.evidence, survey.min_members, survey.max_members, membership_changed
        )
        if verdict_changed:
            self._report(before, survey.evidence)

    def _membership_changed(self) -> bool:
        """Whether the set of instances that are up has changed since the last assessment."""
        if self._table.version == self._assessed_version:
            return False
        self._assessed_version = self._table.version
        up_before = self._up
        self._up = frozenset(self._table.up)
        return self._up != up_before

    def _heard_lease(self) -> int:
        """The lease, extended in large clusters so that every member is heard once within it."""
        return max(self._options.heard_lease, self._options.period * (len(self._table.records) + 1))

    def _report(self, before: Assessment, evidence: Evidence) -> None:
        assessment = self.detector.assessment
        self._outbox.report(
            "member.sight",
            self._local.claim,
            verdict=assessment.verdict.value,
            was=before.verdict.value,
            confidence=round(assessment.confidence, 2),
            were=evidence.previously_up,
            silent=evidence.silent,
        )
