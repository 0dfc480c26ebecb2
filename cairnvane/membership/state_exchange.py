"""Joins the cluster, periodically exchanges whole states, and pings members that were declared failed.

The pings of failed members reconnect the two sides of a partition after it heals. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from .actions import Address
from .claims import Status
from .context import MemberContext
from .dissemination import Dissemination
from .messages import MEMBERS_PER_VIEW, View

# Beyond this number of members, whole states are exchanged less often, to keep the bytes per second constant.
FULL_RATE_MEMBERS = 24
# Number of contacts that a member without known members asks at a time.
MAX_JOIN_CONTACTS = 8
# The time between two exchanges is drawn between these multiples of the configured interval.
MIN_JITTER, MAX_JITTER = 0.5, 1.5


class StateExchange:
    """Owns the contacts and the schedule of joins, exchanges and pings of failed members."""

    def __init__(
        self,
        context: MemberContext,
        dissemination: Dissemination,
        now: int,
        contacts: Iterable[Address],
        spare_ports: int,
    ) -> None:
        own_address = (context.local.claim.host, context.local.claim.port)
        self._options = context.options
        self._local = context.local
        self._table = context.table
        self._dissemination = dissemination
        self._outbox = context.outbox
        self._random = context.random
        self._contacts = [contact for contact in contacts if contact != own_address]
        self._spare_ports = spare_ports
        self._join_attempts = 0
        self._join_at = now
        self._exchange_at = now + context.options.exchange_interval
        self._revisit_at = now + context.options.revisit_interval

    def due_times(self) -> list[int]:
        """The times at which there is work to do."""
        times = [self._exchange_at, self._revisit_at]
        if not self._table.up:
            times.append(self._join_at)
        return times

    def exchange_by(self, latest_at: int) -> None:
        """Exchange states by this time at the latest."""
        self._exchange_at = min(self._exchange_at, latest_at)

    def join_if_due(self, now: int) -> None:
        """While no member is up, ask some contacts, with the next of their possible ports at each attempt."""
        if self._table.up or now < self._join_at:
            return
        self._join_at = now + self._options.revisit_interval
        contacts = self._random.sample(self._contacts, min(MAX_JOIN_CONTACTS, len(self._contacts)))
        port_offset = self._join_attempts % (self._spare_ports + 1)
        self._join_attempts += 1
        for host, port in contacts:
            self._outbox.exchange((host, port + port_offset))

    def exchange_if_due(self, now: int) -> None:
        """Exchange whole states with a random member once the interval has passed."""
        if now < self._exchange_at:
            return
        size_factor = max(1.0, len(self._table.records) / FULL_RATE_MEMBERS)
        interval = self._options.exchange_interval * (
            size_factor * self._random.uniform(MIN_JITTER, MAX_JITTER)
        )
        self._exchange_at = now + int(interval)
        if self._table.up:
            peer = self._random.choice(list(self._table.up))
            self._outbox.exchange(self._dissemination.address_of(peer))

    def revisit_is_due(self, now: int) -> bool:
        """Whether it is time to contact a failed member; if so, schedule the next time."""
        if now < self._revisit_at:
            return False
        self._revisit_at = now + self._options.revisit_interval
        return True

    def revisit(self) -> None:
        """Ping a random failed member, and occasionally contact an address where no member is up."""
        self._ping_failed_member()
        self._contact_missing_address()

    def _ping_failed_member(self) -> None:
        failed = [
            record
            for record in self._table.with_status(Status.FAILED)
            if not self._table.up_at((record.claim.host, record.claim.port))
        ]
        if failed:
            target = self._random.choice(failed).claim.instance_id
            self._dissemination.send_ping(target, self._dissemination.next_number())

    def _contact_missing_address(self) -> None:
        missing = [contact for contact in self._contacts if not self._is_known(contact)]
        # The probability limits the cluster to about one such attempt per interval.
        if missing and self._random.random() < 1 / max(1, len(self._table.up)):
            host, port = self._random.choice(missing)
            self._outbox.exchange((host, port + self._random.randint(0, self._spare_ports)))

    def _is_known(self, contact: Address) -> bool:
        """Whether a member is up at one of the possible ports of this contact."""
        host, port = contact
        return any(self._table.up_at((host, port + offset)) for offset in range(self._spare_ports + 1))

    def views(self, answer: bool) -> list[View]:
        """The whole state, split into messages; `answer` asks the peer to send its own."""
        claims = [self._local.claim, *(record.claim for record in self._table.records.values())]
        metadata_of = {record.claim.instance_id: record.info for record in self._table.records.values()}
        metadata_of[self._local.instance_id] = self._local.metadata
        views = []
        for start in range(0, len(claims), MEMBERS_PER_VIEW):
            part = claims[start : start + MEMBERS_PER_VIEW]
            metadata = [info for claim in part if (info := metadata_of[claim.instance_id]) is not None]
            views.append(View(answer and start == 0, part, metadata))
        return views
