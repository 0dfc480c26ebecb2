"""Helpers that run clusters of members in virtual time, for the membership tests."""

from __future__ import annotations

from collections.abc import Callable

from cairnvane.membership.claims import Claim
from cairnvane.membership.swim import SwimMember
from cairnvane.testbed.simulation.virtual_cluster import SECOND, Swim, World

JOIN_S = 20
# Time within which all members that are up and connected agree after a change.
AGREE_S = 12


def make_claim(life: int = 1, status: int = 0, incarnation: int = 0, by: int = 0, **fields: str) -> Claim:
    """A claim about an instance whose number and port are both `life`."""
    return Claim(
        life, fields.get("name", "n1"), fields.get("place", "p1"), "h", life, status, incarnation, by
    )


def start_cluster(members: int, seed: int = 1, loss: float = 0.0) -> World:
    """Start a cluster; links lose datagrams with ratio `loss` only after all members know each other."""
    world = World(seed)
    for number in range(members):
        world.start(number)
    assert world.run(JOIN_S * SECOND, world.agree), f"seed {seed}"
    world.loss = loss
    return world


def member_of(world: World, number: int) -> SwimMember:
    """The member with this number."""
    player = world.players[number]
    assert isinstance(player, Swim)
    return player.member


def count_failure_verdicts(world: World) -> int:
    """Number of times that a member declared another one failed."""
    return sum(event.event == "member.failed" and "accusers" in event.details for _, _, event in world.told)


def agrees(world: World, among: list[int] | None = None, within_s: float = AGREE_S) -> bool:
    """Run until these members, or all running ones, see exactly each other; returns whether they do."""
    return world.run(world.now + int(within_s * SECOND), lambda: world.agree(among))


def partition(*sides: set[int]) -> Callable[[int, int], bool]:
    """A predicate for the links that are cut when members reach only members of their own side."""
    return lambda source, target: not any({source, target} <= side for side in sides)
