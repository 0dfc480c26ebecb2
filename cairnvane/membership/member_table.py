"""The table of all known instances of the cluster. No I/O, no clock."""

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
    """The state known about one instance. Times are in microseconds."""

    claim: Claim
    status_since: int
    info: Info | None = None
    last_heard_at: int = 0  # when any message arrived directly from it; 0: never
    accusers: set[int] = field(default_factory=set)  # instances that suspect it in this incarnation
    decides_suspicion: bool = True  # False: this member leaves the decision to others, with a longer timeout
    final_pings: int = 0  # pings sent to the suspect before it is declared failed
    final_ping_at: int = 0  # when the latest of them was sent

    @property
    def status(self) -> Status:
        """The status in the claim."""
        return Status(self.claim.status)

    @property
    def is_up(self) -> bool:
        """Whether the instance counts as up (alive or suspect) and is pinged."""
        return self.claim.status <= Status.SUSPECT

    @property
    def phase(self) -> Phase:
        """The published phase; an unknown phase of a later version counts as serving."""
        if self.info is None:
            return Phase.JOINING
        published = self.info.metadata.get("phase", Phase.SERVING)
        return Phase(published) if published in tuple(Phase) else Phase.SERVING


class Table:
    """All known instances except the own one.

    The lookups that every message needs (instances up, instances suspected, instances at an address) are
    indexed, so that a message costs the same in a cluster of a thousand.
    """

    def __init__(self) -> None:
        self.records: dict[int, MemberRecord] = {}
        self.version = 0  # incremented with each claim that takes effect and each instance removed
        self._by_status: dict[int, dict[int, MemberRecord]] = {int(status): {} for status in Status}
        self._up_by_address: dict[tuple[str, int], dict[int, MemberRecord]] = {}
        # Alive and suspected instances.
        self.up: ChainMap[int, MemberRecord] = ChainMap(
            self._by_status[Status.ALIVE], self._by_status[Status.SUSPECT]
        )

    def merge(self, claim: Claim, now: int) -> MemberRecord | None:
        """Merge a claim; returns the instance's record if the claim took effect, else None."""
        record = self.records.get(claim.instance_id)
        if record is None:
            record = MemberRecord(claim, now)
            self.records[claim.instance_id] = record
            self._add_to_indexes(record)
            return record
        if claim.rank <= record.claim.rank:
            return None
        self._remove_from_indexes(record)
        if claim.status != record.claim.status:
            record.status_since = now
        if claim.incarnation != record.claim.incarnation or claim.status != Status.SUSPECT:
            record.accusers.clear()
        record.claim = claim
        self._add_to_indexes(record)
        return record

    def _add_to_indexes(self, record: MemberRecord) -> None:
        """Add a record to the indexes."""
        self.version += 1
        claim = record.claim
        self._by_status[claim.status][claim.instance_id] = record
        if record.is_up:
            self._up_by_address.setdefault((claim.host, claim.port), {})[claim.instance_id] = record

    def _remove_from_indexes(self, record: MemberRecord) -> None:
        """Remove a record from the indexes."""
        claim = record.claim
        del self._by_status[claim.status][claim.instance_id]
        if not record.is_up:
            return
        address = (claim.host, claim.port)
        del self._up_by_address[address][claim.instance_id]
        if not self._up_by_address[address]:
            del self._up_by_address[address]

    def drop(self, instance_id: int) -> None:
        """Remove an instance; `KeyError` if the table does not contain it."""
        self._remove_from_indexes(self.records.pop(instance_id))
        self.version += 1

    def update_metadata(self, info: Info) -> bool:
        """Merge the metadata of an instance; returns whether it is newer than the known version."""
        record = self.records.get(info.instance_id)
        if record is None or not metadata_fits(info.metadata):
            return False
        if record.info is not None and info.rank <= record.info.rank:
            return False
        record.info = info
        return True

    def up_records(self) -> list[MemberRecord]:
        """Alive and suspected instances."""
        alive = self._by_status[Status.ALIVE].values()
        suspects = self._by_status[Status.SUSPECT].values()
        return [*alive, *suspects]

    def up_at(self, address: tuple[str, int]) -> list[MemberRecord]:
        """Alive and suspected instances at this address."""
        return list(self._up_by_address.get(address, {}).values())

    def with_status(self, status: Status = Status.FAILED) -> list[MemberRecord]:
        """Instances with this status."""
        return list(self._by_status[status].values())

    def count(self, status: Status) -> int:
        """Number of instances with this status."""
        return len(self._by_status[status])

    def remove_expired(self, now: int, retention: int, max_per_name: int) -> list[int]:
        """Remove tombstones older than `retention`, and the oldest beyond `max_per_name` of one name.

        Returns the removed instances. The caller also stops gossip about them, since a claim that still
        circulates would add the instance again and it would be declared failed once more.
        """
        tombstones = [*self.with_status(Status.FAILED), *self.with_status(Status.LEFT)]
        expired = {record.claim.instance_id for record in tombstones if now - record.status_since > retention}
        by_name: dict[str, list[MemberRecord]] = {}
        for record in tombstones:
            by_name.setdefault(record.claim.name, []).append(record)
        for records in by_name.values():
            oldest_first = sorted(records, key=lambda record: record.status_since)
            expired.update(record.claim.instance_id for record in oldest_first[:-max_per_name])
        for instance_id in expired:
            self.drop(instance_id)
        return sorted(expired)

    def same_name_elsewhere(self, name: str, place: str) -> list[MemberRecord]:
        """Instances under this name that belong to another server, which has another place."""
        return [
            record
            for record in self.up_records()
            if record.claim.name == name and record.claim.place != place
        ]
