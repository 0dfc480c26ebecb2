"""Sends messages with claims and metadata piggybacked on them (gossip). No I/O, no clock."""

from __future__ import annotations

from .actions import Address
from .claims import Claim, Info, Status
from .context import MemberContext
from .gossip import ClaimQueue, MetadataQueue
from .messages import MAX_CLAIMS, MAX_METADATA_ENTRIES, Ack, Ask, Ping


class Dissemination:
    """Owns the queues of claims and metadata, and builds and numbers the messages that carry them."""

    def __init__(self, context: MemberContext) -> None:
        self.claims = ClaimQueue()
        self.metadata = MetadataQueue()
        self._local = context.local
        self._table = context.table
        self._outbox = context.outbox
        self._last_number = 0

    def next_number(self) -> int:
        """Return a number that no earlier ping of this member had."""
        self._last_number += 1
        return self._last_number

    def address_of(self, instance_id: int) -> Address:
        """The address of an instance in the table; `KeyError` if the table does not contain it."""
        claim = self._table.records[instance_id].claim
        return claim.host, claim.port

    def forget(self, instance_id: int) -> None:
        """Drop the queued claims and metadata of this instance."""
        self.claims.drop(instance_id)
        self.metadata.drop(instance_id)

    def _piggyback(self, recipient: int) -> tuple[list[Claim], list[Info]]:
        """Claims and metadata to piggyback; a claim about the recipient comes first, for it to refute."""
        member_count = len(self._table.records) + 1
        claims = self.claims.pick(MAX_CLAIMS, member_count, recipient)
        record = self._table.records.get(recipient)
        if record is not None and record.status is not Status.ALIVE and record.claim not in claims:
            claims = [record.claim, *claims[: MAX_CLAIMS - 1]]
        if record is None or not record.last_heard_at:
            claims = [self._local.claim, *claims[: MAX_CLAIMS - 1]]
        return claims, self.metadata.pick(MAX_METADATA_ENTRIES, member_count)

    def send_ping(self, target: int, number: int) -> None:
        """Ping an instance."""
        claims, metadata = self._piggyback(target)
        self._outbox.send(self.address_of(target), Ping(number, target, claims, metadata))

    def send_ping_request(self, helper: int, target: int, number: int) -> None:
        """Ask a helper for an indirect ping of the target."""
        claims, metadata = self._piggyback(helper)
        self._outbox.send(self.address_of(helper), Ask(number, target, claims, metadata))

    def send_ack(self, recipient: int, address: Address, ping: Ping) -> None:
        """Answer a ping; our own claim comes first if the ping contained a claim about us."""
        claims, metadata = self._piggyback(recipient)
        own_id = self._local.instance_id
        if any(claim.instance_id == own_id for claim in ping.claims):
            others = (claim for claim in claims if claim.instance_id != own_id)
            claims = [self._local.claim, *others][:MAX_CLAIMS]
        self._outbox.send(address, Ack(ping.number, own_id, claims, metadata))

    def send_identity(self, address: Address, ping: Ping) -> None:
        """Answer a ping meant for an earlier instance with our own claim, to show that that one has ended."""
        message = Ack(ping.number, self._local.instance_id, [self._local.claim], [self._local.metadata])
        self._outbox.send(address, message)

    def leave_message(self, recipient: int) -> Ping:
        """A ping that carries only our own claim and metadata."""
        return Ping(self.next_number(), recipient, [self._local.claim], [self._local.metadata])
