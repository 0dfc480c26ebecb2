"""Merges claims about other members into the table and triggers their consequences. No I/O, no clock."""

from __future__ import annotations

from .claims import Claim, Status
from .context import MemberContext
from .dissemination import Dissemination
from .member_table import MemberRecord
from .partition_monitor import PartitionMonitor
from .ping_schedule import PingSchedule
from .suspicion import Suspicions

EVENT_OF_STATUS = {
    Status.ALIVE: "member.alive",
    Status.SUSPECT: "member.suspected",
    Status.FAILED: "member.failed",
    Status.LEFT: "member.left",
}
RECOVERED_EVENT = "member.back"


class ClaimMerger:
    """Applies claims that supersede the known ones, and owns the set of name conflicts already reported."""

    def __init__(
        self,
        context: MemberContext,
        dissemination: Dissemination,
        suspicions: Suspicions,
        partition: PartitionMonitor,
        schedule: PingSchedule,
    ) -> None:
        self._local = context.local
        self._table = context.table
        self._dissemination = dissemination
        self._suspicions = suspicions
        self._partition = partition
        self._schedule = schedule
        self._outbox = context.outbox
        self._conflicts_reported: set[int] = set()

    def merge(self, claim: Claim, now: int) -> None:
        """Apply a valid claim about another member if it supersedes the known one or confirms a suspicion."""
        record = self._table.records.get(claim.instance_id)
        if record is None and claim.status >= Status.FAILED:
            # An unknown instance is kept as a tombstone, so that no older claim adds it as alive.
            self._table.merge(claim, now)
            return
        if claim.status == Status.SUSPECT and record is not None and claim.rank == record.claim.rank:
            self._suspicions.confirm(record, claim.by)
            return
        status_before = record.status if record is not None else None
        changed = self._table.merge(claim, now)
        if changed is None:
            return
        self._dissemination.claims.add(claim)
        self._follow_up(changed, claim, now)
        if status_before is not changed.status:
            self._report_status(status_before, changed, claim)
        if changed.status is Status.ALIVE:
            self._report_name_conflicts(changed)

    def _follow_up(self, record: MemberRecord, claim: Claim, now: int) -> None:
        if claim.status == Status.SUSPECT:
            self._suspicions.begin(record, claim.by, now)
            self._schedule.prioritize(claim.instance_id, len(self._table.records) + 1)
        elif claim.status == Status.FAILED:
            self._partition.record_loss(claim.instance_id, now)
        else:
            self._partition.clear_loss(claim.instance_id)

    def _report_status(self, before: Status | None, record: MemberRecord, claim: Claim) -> None:
        recovered = before is Status.FAILED and record.status is Status.ALIVE
        event = RECOVERED_EVENT if recovered else EVENT_OF_STATUS[record.status]
        self._outbox.report(event, claim, by=claim.by)

    def _report_name_conflicts(self, record: MemberRecord) -> None:
        """Report two servers under one name, a configuration error; versions of one server share a place."""
        claim = record.claim
        local = self._local.claim
        if claim.name == local.name and claim.place != local.place:
            other_places = [local.place]
        else:
            conflicting = self._table.same_name_elsewhere(claim.name, claim.place)
            other_places = [other.claim.place for other in conflicting]
        if not other_places or claim.instance_id in self._conflicts_reported:
            return
        self._conflicts_reported.add(claim.instance_id)
        self._outbox.report("member.same_name", claim, place=claim.place, other_place=other_places[0])

    def replace_predecessors(self, record: MemberRecord, source: tuple[str, int], now: int) -> None:
        """Declare earlier instances failed without suspicion when a newer one sends from their address."""
        if source != (record.claim.host, record.claim.port):
            return
        for other in self._table.up_at(source):
            if other is not record:
                self._suspicions.declare_failed(other, now)

    def has_left(self, instance_id: int) -> bool:
        """Whether this instance has left; datagrams that it sent before may still arrive."""
        record = self._table.records.get(instance_id)
        return record is not None and record.status is Status.LEFT

    def forget(self, instance_id: int) -> None:
        """Drop the state about an instance that was removed from the table."""
        self._conflicts_reported.discard(instance_id)
