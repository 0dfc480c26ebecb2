"""An immutable view of the cluster as one member sees it, for consumers in other threads."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from .. import clock
from .claims import Claim, Phase
from .partition_detector import Assessment
from .swim import SwimMember

STATUSES = ("alive", "suspect", "failed", "left")
US_PER_MS = 1_000


@dataclass(frozen=True, slots=True)
class MemberView:
    """One instance, as this member sees it; the field names are the keys of the JSON form."""

    name: str
    life: str
    place: str
    address: str
    status: str
    phase: str
    incarnation: int
    heard_ms: int | None  # time since it was last heard; None: never
    told: dict[str, Any]  # its published metadata


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """The state of one member for its consumers; never modified after creation."""

    own: MemberView
    members: tuple[MemberView, ...]
    assessment: Assessment
    taken_at: int  # microseconds of the monotonic clock
    health_score: int
    ping_loss: float  # share of lost pings to members that are up
    counts: dict[str, int]


def take_snapshot(member: SwimMember, transport_counts: Mapping[str, int], now: int) -> MembershipSnapshot:
    """Copy the state of a member; must be called in the thread that drives it."""
    own_metadata = member.metadata.metadata
    own_phase = Phase(own_metadata.get("phase", 0))
    records = sorted(
        member.table.records.values(), key=lambda record: (record.claim.name, record.claim.instance_id)
    )
    members = tuple(
        _member_view(
            record.claim,
            record.phase,
            (now - record.last_heard_at) // US_PER_MS if record.last_heard_at else None,
            record.info.metadata if record.info is not None else {},
        )
        for record in records
    )
    member_counts = {name: getattr(member.counts, name) for name in member.counts.__slots__}
    return MembershipSnapshot(
        _member_view(member.own, own_phase, None, own_metadata),
        members,
        member.assessment,
        now,
        member.health.score,
        member.ping_loss.loss_ratio,
        member_counts | dict(transport_counts),
    )


def _member_view(claim: Claim, phase: Phase, heard_ms: int | None, metadata: dict[str, Any]) -> MemberView:
    return MemberView(
        name=claim.name,
        life=f"{claim.instance_id:016x}",
        place=claim.place,
        address=f"{claim.host}:{claim.port}",
        status=STATUSES[claim.status],
        phase=phase.name.lower(),
        incarnation=claim.incarnation,
        heard_ms=heard_ms,
        told=dict(metadata),
    )


def snapshot_as_json(snapshot: MembershipSnapshot) -> dict[str, Any]:
    """The JSON form, for the administration endpoint and the command line."""
    assessment = snapshot.assessment
    return {
        "own": _as_json(snapshot.own),
        "members": [_as_json(view) for view in snapshot.members],
        "sight": {
            "verdict": assessment.verdict.value,
            "confidence": round(assessment.confidence, 2),
            "epoch": assessment.epoch,
            "least": assessment.min_members,
            "most": assessment.max_members,
            "age_ms": (clock.now() - snapshot.taken_at) // US_PER_MS,
        },
        "doubt": snapshot.health_score,
        "loss": round(snapshot.ping_loss, 3),
        "counts": snapshot.counts,
    }


def _as_json(view: MemberView) -> dict[str, Any]:
    return {name: getattr(view, name) for name in MemberView.__slots__}
