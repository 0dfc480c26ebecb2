"""Suspects members, confirms suspicions, and declares silent suspects failed. No I/O, no clock."""

from __future__ import annotations

from .claims import Status
from .context import MemberContext
from .dissemination import Dissemination
from .local_health import (
    EXPECTED_DECIDERS,
    MAX_TIMEOUT_FACTOR,
    NON_DECIDER_FACTOR,
    suspicion_timeout_us,
)
from .member_table import MemberRecord
from .partition_monitor import PartitionMonitor


class Suspicions:
    """Decides on suspects; the state of each suspicion is in the suspect's record."""

    def __init__(
        self,
        context: MemberContext,
        dissemination: Dissemination,
        partition: PartitionMonitor,
        now: int,
    ) -> None:
        self._options = context.options
        self._local = context.local
        self._table = context.table
        self._health = context.health
        self._counts = context.counts
        self._dissemination = dissemination
        self._partition = partition
        self._outbox = context.outbox
        self._random = context.random
        self._held_up_until = now

    def suspect(self, record: MemberRecord, accuser: int, now: int, reason: str) -> None:
        """Raise a suspicion, or confirm the existing one."""
        if record.status is Status.SUSPECT:
            self.confirm(record, accuser)
            return
        claim = record.claim.with_status(Status.SUSPECT, record.claim.incarnation, accuser)
        self._table.merge(claim, now)
        self.begin(record, accuser, now)
        self._counts.suspected += 1
        self._dissemination.claims.add(claim)
        self._outbox.report("member.suspected", claim, by=accuser, why=reason)

    def confirm(self, record: MemberRecord, accuser: int) -> None:
        """Add an accuser, which shortens the timeout, and gossip its claim."""
        if not accuser or accuser in record.accusers:
            return
        record.accusers.add(accuser)
        claim = record.claim.with_status(Status.SUSPECT, record.claim.incarnation, accuser)
        self._dissemination.claims.add(claim)

    def begin(self, record: MemberRecord, accuser: int, now: int) -> None:
        """Start the timeout of a suspicion that this or another member raised."""
        record.accusers = {accuser}
        record.final_pings = 0
        deciders_share = EXPECTED_DECIDERS / (len(self._table.records) + 1)
        record.decides_suspicion = self._random.random() < deciders_share
        self._partition.record_loss(record.claim.instance_id, now)

    def declare_failed(self, record: MemberRecord, now: int) -> None:
        """Declare a member failed and report it with the evidence."""
        claim = record.claim.with_status(Status.FAILED, record.claim.incarnation, self._local.instance_id)
        evidence = {
            "accusers": len(record.accusers),
            "suspected_us": now - record.status_since,
            "probed": record.final_pings,
        }
        self._table.merge(claim, now)
        self._counts.failed += 1
        self._dissemination.claims.add(claim)
        self._outbox.report("member.failed", claim, by=self._local.instance_id, **evidence)

    def delay_verdicts(self, now: int) -> None:
        """Restart all timeouts at this time after this process was stalled."""
        self._held_up_until = now

    def due_times(self, final_pings_needed: int) -> list[int]:
        """The time at which each suspect needs the next step."""
        suspects = self._table.with_status(Status.SUSPECT)
        members = len(self._table.up) + 1
        return [self._due_at(record, members, len(suspects), final_pings_needed) for record in suspects]

    def tick(self, now: int, final_pings_needed: int) -> None:
        """Clear, ping once more, or declare failed each suspect that is due."""
        suspects = self._table.with_status(Status.SUSPECT)
        for record in suspects:
            members = len(self._table.up) + 1
            self._review(record, now, members, len(suspects), final_pings_needed)

    def _review(
        self,
        record: MemberRecord,
        now: int,
        members: int,
        suspects: int,
        final_pings_needed: int,
    ) -> None:
        if record.last_heard_at > record.status_since:
            self._extend(record, now)
        elif now < self._due_at(record, members, suspects, final_pings_needed):
            return
        elif record.final_pings >= final_pings_needed:
            self.declare_failed(record, now)
        else:
            record.final_pings += 1
            record.final_ping_at = now
            self._dissemination.send_ping(record.claim.instance_id, self._dissemination.next_number())

    def _extend(self, record: MemberRecord, now: int) -> None:
        """Restart the timeout of a suspect that was heard, so is up; the suspect refutes the claim itself."""
        record.status_since = now
        record.final_pings = 0
        record.accusers.clear()

    def _due_at(
        self,
        record: MemberRecord,
        members: int,
        suspects: int,
        final_pings_needed: int,
    ) -> int:
        """When a suspect gets its next final ping or is declared failed."""
        ack_timeout = self._options.ack_timeout
        pings_left = max(0, final_pings_needed - record.final_pings)
        due_at = self._fails_at(record, members, suspects) - pings_left * ack_timeout
        if record.final_pings:
            return max(due_at, record.final_ping_at + ack_timeout)
        return due_at

    def _fails_at(self, record: MemberRecord, members: int, suspects: int) -> int:
        """When the timeout of a suspicion ends; it starts no earlier than the end of the latest stall."""
        timeout = suspicion_timeout_us(self._options.suspicion, len(record.accusers), members, suspects)
        timeout *= self._health.multiplier * (1 if record.decides_suspicion else NON_DECIDER_FACTOR)
        timeout = min(timeout, MAX_TIMEOUT_FACTOR * self._options.suspicion)
        return max(record.status_since, self._held_up_until) + timeout
