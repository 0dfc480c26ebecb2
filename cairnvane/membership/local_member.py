"""The claim and metadata that a member publishes about itself."""

from __future__ import annotations

from typing import Any

from .claims import Claim, Info, Phase, Status, metadata_fits


class LocalMember:
    """This instance's own claim and metadata; no other instance may raise its incarnation."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.metadata = Info(claim.instance_id, 0, 1, {"phase": int(Phase.JOINING)})

    @property
    def instance_id(self) -> int:
        """The random number that this process drew at its start."""
        return self.claim.instance_id

    @property
    def has_left(self) -> bool:
        """Whether this member has announced that it leaves."""
        return self.claim.status == Status.LEFT

    @property
    def is_joining(self) -> bool:
        """Whether this member has not found another member yet."""
        return self.metadata.metadata.get("phase") == Phase.JOINING

    def merged_metadata(self, values: dict[str, Any]) -> dict[str, Any]:
        """The published metadata updated with these values; raises `ValueError` if it exceeds the limits."""
        merged = dict(self.metadata.metadata) | values
        if not metadata_fits(merged):
            raise ValueError(f"metadata of {len(merged)} keys exceeds the limits of a member")
        return merged

    def publish(self, values: dict[str, Any]) -> None:
        """Replace the metadata with a new version."""
        version = self.metadata.version + 1
        self.metadata = Info(self.claim.instance_id, self.claim.incarnation, version, values)

    def mark_left(self) -> None:
        """Set the own status to left, which is final."""
        self.claim = self.claim.with_status(Status.LEFT, self.claim.incarnation, 0)

    def needs_refutation(self, claim: Claim) -> bool:
        """Whether another member's claim about this one is wrong and would override its own claim."""
        return not (
            claim.status == Status.ALIVE or claim.incarnation < self.claim.incarnation or self.has_left
        )

    def refute(self, claim: Claim) -> None:
        """Set the own status to alive with an incarnation above that of the refuted claim."""
        self.claim = self.claim.with_status(Status.ALIVE, claim.incarnation + 1, 0)
