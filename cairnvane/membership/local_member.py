"""What a member claims and publishes about itself."""

from __future__ import annotations

from typing import Any

from .claims import Claim, Info, Phase, Status, metadata_fits


class LocalMember:
    """This instance's own claim and metadata; only it raises its incarnation."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.metadata = Info(claim.life, 0, 1, {"phase": int(Phase.JOINING)})

    @property
    def instance_id(self) -> int:
        """The number that this process drew at its start."""
        return self.claim.life

    @property
    def has_left(self) -> bool:
        """Whether this member has announced that it leaves."""
        return self.claim.status == Status.LEFT

    @property
    def is_joining(self) -> bool:
        """Whether this member has not seen any other one yet."""
        return self.metadata.metadata.get("phase") == Phase.JOINING

    def merged_metadata(self, values: dict[str, Any]) -> dict[str, Any]:
        """The published metadata with these values put in; `ValueError` if that is too large."""
        merged = dict(self.metadata.metadata) | values
        if not metadata_fits(merged):
            raise ValueError(f"metadata of {len(merged)} keys exceeds the limits of a member")
        return merged

    def publish(self, values: dict[str, Any]) -> None:
        """Replace the metadata by a new version."""
        version = self.metadata.version + 1
        self.metadata = Info(self.claim.life, self.claim.incarnation, version, values)

    def mark_left(self) -> None:
        """Claim to have left; that is final."""
        self.claim = self.claim.with_status(Status.LEFT, self.claim.incarnation, 0)

    def needs_refutation(self, claim: Claim) -> bool:
        """Whether a claim of somebody else about this member is wrong and would override its own."""
        return not (
            claim.status == Status.ALIVE or claim.incarnation < self.claim.incarnation or self.has_left
        )

    def refute(self, claim: Claim) -> None:
        """Claim to be alive in an incarnation above that of the other claim."""
        self.claim = self.claim.with_status(Status.ALIVE, claim.incarnation + 1, 0)
