"""Invariants of the membership protocol, checked by the model checker on the real members."""

from __future__ import annotations

from collections.abc import Sequence

from ...membership.local_health import MIN_FINAL_PINGS
from ...membership.member_table import Status
from ...membership.swim import Action, Address, ReportEvent, SwimMember


class InvariantError(Exception):
    """An invariant does not hold."""


def why_unstable(members: dict[int, SwimMember]) -> str:
    """Why these members have not come to rest; empty if they have."""
    lives = {member.own.instance_id for member in members.values()}
    for number, member in members.items():
        seen = set(member.table.up)
        if seen != lives - {member.own.instance_id}:
            missing = sorted(lives - seen - {member.own.instance_id})
            ghosts = sorted(seen - lives)
            return f"at rest n{number} misses {missing}, and sees {ghosts} for nothing"
        if member.table.count(Status.SUSPECT) or len(member._claim_queue):
            suspects = member.table.count(Status.SUSPECT)
            rumours = len(member._claim_queue)
            return f"at rest n{number} still suspects {suspects}, and tells {rumours} rumours"
    return ""


def suspects_of(member: SwimMember) -> dict[int, Address]:
    """The addresses of all members that this one suspects, by process id."""
    return {
        life.claim.instance_id: (life.claim.host, life.claim.port)
        for life in member.table.with_status(Status.SUSPECT)
    }


def check_verdicts(
    number: int, suspects: dict[int, Address], member: SwimMember, out: Sequence[Action]
) -> None:
    """No failure verdict on a suspect without last probes, unless another process answers at its address."""
    for action in out:
        if isinstance(action, ReportEvent) and action.event == "member.failed" and "probed" in action.details:
            life = int(action.details["life"], 16)
            if (
                life in suspects
                and action.details["probed"] < MIN_FINAL_PINGS
                and not member.table.up_at(suspects[life])
            ):
                raise InvariantError(f"n{number} fails {life} without last probes")


def check_step(
    number: int,
    before: SwimMember,
    member: SwimMember,
    out: Sequence[Action],
    owned: dict[int, tuple[int, bool]],
) -> None:
    """Check the invariants of one member after one step."""
    for life, known in before.table.records.items():
        after = member.table.records.get(life)
        if after is not None and after.claim.rank < known.claim.rank:
            raise InvariantError(f"n{number} takes a claim on {life} back")
    for life, known in member.table.records.items():
        highest, left = owned.get(life, (0, False))
        if known.claim.incarnation > highest:
            raise InvariantError(f"n{number} knows an incarnation of {life} that this never gave itself")
        if known.status is Status.LEFT and not left:
            raise InvariantError(f"n{number} takes {life} for one that has left, and it has not said so")
    check_verdicts(number, suspects_of(before), member, out)
    if len(member._claim_queue) > len(member.table.records) + 1:
        raise InvariantError(f"n{number} tells more rumours than there are lives")
