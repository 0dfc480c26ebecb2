"""Invariants of the membership protocol, which the model checker checks on the real members."""

from __future__ import annotations

from collections.abc import Sequence

from ...membership.local_health import MIN_FINAL_PINGS
from ...membership.member_table import Status
from ...membership.swim import Action, Address, ReportEvent, SwimMember


class InvariantError(Exception):
    """An invariant is violated."""


def why_unstable(members: dict[int, SwimMember]) -> str:
    """The reason why these members are not stable; empty if they are."""
    lives = {member.own.instance_id for member in members.values()}
    for number, member in members.items():
        seen = set(member.table.up)
        if seen != lives - {member.own.instance_id}:
            missing = sorted(lives - seen - {member.own.instance_id})
            ended = sorted(seen - lives)
            return f"n{number} does not see running members {missing}, and sees ended ones {ended}"
        if member.table.count(Status.SUSPECT) or len(member._claim_queue):
            suspects = member.table.count(Status.SUSPECT)
            rumours = len(member._claim_queue)
            return f"n{number} still suspects {suspects} members, and has {rumours} claims to gossip"
    return ""


def suspects_of(member: SwimMember) -> dict[int, Address]:
    """The addresses of all processes that this member suspects, by process id."""
    return {
        life.claim.instance_id: (life.claim.host, life.claim.port)
        for life in member.table.with_status(Status.SUSPECT)
    }


def check_verdicts(
    number: int, suspects: dict[int, Address], member: SwimMember, out: Sequence[Action]
) -> None:
    """Check that no suspect is declared failed without final probes.

    Exempt are suspects at whose address another process answers.
    """
    for action in out:
        if isinstance(action, ReportEvent) and action.event == "member.failed" and "probed" in action.details:
            life = int(action.details["life"], 16)
            if (
                life in suspects
                and action.details["probed"] < MIN_FINAL_PINGS
                and not member.table.up_at(suspects[life])
            ):
                raise InvariantError(f"n{number} declares {life} failed without final probes")


def check_step(
    number: int,
    before: SwimMember,
    member: SwimMember,
    out: Sequence[Action],
    owned: dict[int, tuple[int, bool]],
) -> None:
    """Check the invariants of a member after a step.

    `owned` holds for each process the highest incarnation that it gave itself, and whether it has left.
    """
    for life, known in before.table.records.items():
        after = member.table.records.get(life)
        if after is not None and after.claim.rank < known.claim.rank:
            raise InvariantError(f"n{number} replaces a claim about {life} by an older one")
    for life, known in member.table.records.items():
        highest, left = owned.get(life, (0, False))
        if known.claim.incarnation > highest:
            raise InvariantError(
                f"n{number} knows an incarnation of {life} that the process itself never used"
            )
        if known.status is Status.LEFT and not left:
            raise InvariantError(
                f"n{number} considers {life} to have left, but that process has not announced it"
            )
    check_verdicts(number, suspects_of(before), member, out)
    if len(member._claim_queue) > len(member.table.records) + 1:
        raise InvariantError(f"n{number} has more claims to gossip than there are processes")
