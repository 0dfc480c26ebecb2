"""The table of all known instances in the cluster. No I/O, no clock."""

from __future__ import annotations

from collections import ChainMap
from dataclasses import dataclass, field

from .claims import (
    IPV4,
    MAX_NAME_LENGTH,
    Claim,
    Info,
    Phase,
    Status,
    is_valid_claim,
    metadata_fits,
)

__all__ = [
    "IPV4",
    "MAX_NAME_LENGTH",
    "Claim",
    "Info",
    "MemberRecord",
    "Phase",
    "Status",
    "Table",
    "is_valid_claim",
    "metadata_fits",
]


@dataclass(slots=True)
class MemberRecord:
    """All that is known of one instance. Times in microseconds."""

    claim: Claim
    status_since: int
    info: Info | None = None
    last_heard_at: int = 0  # directly, by whatever message; 0: never
    accusers: set[int] = field(default_factory=set)  # instances that suspect it, in this incarnation
    decides_suspicion: bool = True  # whether this member decides on its suspicion, or waits for those who do
    final_pings: int = 0  # pings of a suspect before it is declared failed
    final_ping_at: int = 0  # when the last of them was sent

    @property
    def status(self) -> Status:
        """The status that the claim gives it."""
        return Status(self.claim.status)

    @property
    def is_up(self) -> bool:
        """Whether it is taken for alive: it counts, and is pinged."""
        return self.claim.status <= Status.SUSPECT

    @property
    def phase(self) -> Phase:
        """The phase that it publishes; an unknown one of a later version counts as serving."""
        if self.info is None:
            return Phase.JOINING
        published = self.info.metadata.get("phase", Phase.SERVING)
        return Phase(published) if published in tuple(Phase) else Phase.SERVING


class Table:
    """All known instances but the own one.

    What is needed for every message (who is up, who is suspected, who has this address) is indexed, so that a
    message costs the same in a cluster of a thousand.
    """

    def __init__(self) -> None:
        self.records: dict[int, MemberRecord] = {}
        self.version = 0  # rises with each claim that counts, and each instance that is removed
        self._by_status: dict[int, dict[int, MemberRecord]] = {int(status): {} for status in Status}
        self._up_by_address: dict[tuple[str, int], dict[int, MemberRecord]] = {}
        # Those taken for alive, by instance.
        self.up: ChainMap[int, MemberRecord] = ChainMap(
            self._by_status[Status.ALIVE], self._by_status[Status.SUSPECT]
        )

    def merge(self, claim: Claim, now: int) -> MemberRecord | None:
        """Merge a claim; returns the instance's record if that changed anything."""
        record = self.records.get(claim.life)
        if record is None:
            record = MemberRecord(claim, now)
            self.records[claim.life] = record
            self._enter(record)
            return record
        if claim.rank <= record.claim.rank:
            return None
        self._withdraw(record)
        if claim.status != record.claim.status:
            record.status_since = now
        if claim.incarnation != record.claim.incarnation or claim.status != Status.SUSPECT:
            record.accusers.clear()
        record.claim = claim
        self._enter(record)
        return record

    def _enter(self, record: MemberRecord) -> None:
        """Put a record into the indexes."""
        self.version += 1
        claim = record.claim
        self._by_status[claim.status][claim.life] = record
        if record.is_up:
            self._up_by_address.setdefault((claim.host, claim.port), {})[claim.life] = record

    def _withdraw(self, record: MemberRecord) -> None:
        """Take a record out of the indexes."""
        claim = record.claim
        del self._by_status[claim.status][claim.life]
        if not record.is_up:
            return
        address = (claim.host, claim.port)
        del self._up_by_address[address][claim.life]
        if not self._up_by_address[address]:
            del self._up_by_address[address]

    def drop(self, number: int) -> None:
        """Remove an instance; `KeyError` if it is not there."""
        self._withdraw(self.records.pop(number))
        self.version += 1

    def update_metadata(self, info: Info) -> bool:
        """Merge the metadata of an instance; whether it is newer than what was known."""
        record = self.records.get(info.life)
        if record is None or not metadata_fits(info.metadata):
            return False
        if record.info is not None and info.rank <= record.info.rank:
            return False
        record.info = info
        return True

    def up_records(self) -> list[MemberRecord]:
        """Instances that are taken for alive."""
        alive = self._by_status[Status.ALIVE].values()
        suspects = self._by_status[Status.SUSPECT].values()
        return [*alive, *suspects]

    def up_at(self, address: tuple[str, int]) -> list[MemberRecord]:
        """Instances at this address that are taken for alive."""
        return list(self._up_by_address.get(address, {}).values())

    def with_status(self, status: Status = Status.FAILED) -> list[MemberRecord]:
        """Instances of this status."""
        return list(self._by_status[status].values())

    def count(self, status: Status) -> int:
        """How many instances have this status."""
        return len(self._by_status[status])

    def remove_expired(self, now: int, retention: int, max_per_name: int) -> list[int]:
        """Remove tombstones older than `retention`, and the oldest beyond `max_per_name` of one name.

        Returns the instances. Gossip about one of them that still goes round would make it known again, and
        it would be declared failed once more.
        """
        tombstones = [*self.with_status(Status.FAILED), *self.with_status(Status.LEFT)]
        expired = {record.claim.life for record in tombstones if now - record.status_since > retention}
        by_name: dict[str, list[MemberRecord]] = {}
        for record in tombstones:
            by_name.setdefault(record.claim.name, []).append(record)
        for records in by_name.values():
            oldest_first = sorted(records, key=lambda record: record.status_since)
            expired.update(record.claim.life for record in oldest_first[:-max_per_name])
        for instance_id in expired:
            self.drop(instance_id)
        return sorted(expired)

    def same_name_elsewhere(self, name: str, place: str) -> list[MemberRecord]:
        """Instances under this name that belong to another server: balancers reach them elsewhere."""
        return [
            record
            for record in self.up_records()
            if record.claim.name == name and record.claim.place != place
        ]
