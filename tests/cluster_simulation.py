"""Clusters of members in virtual time, for the tests of membership."""

from __future__ import annotations

from collections.abc import Callable

from cairnvane.membership.claims import Claim
from cairnvane.membership.swim import SwimMember
from cairnvane.testbed.simulation.virtual_cluster import SECOND, Swim, World

JOIN_S = 20
# After a change all that are up and connected agree within this.
AGREE_S = 12


def make_claim(life: int = 1, status: int = 0, incarnation: int = 0, by: int = 0, **more: str) -> Claim:
    """A claim about a member that is reached at port `life`."""
    return Claim(life, more.get("name", "n1"), more.get("place", "p1"), "h", life, status, incarnation, by)


def start_cluster(members: int, seed: int = 1, loss: float = 0.0) -> World:
    """A cluster whose members all know each other; from then on, links lose this share of datagrams."""
    world = World(seed)
    for number in range(members):
        world.start(number)
    assert world.run(JOIN_S * SECOND, world.agree), f"seed {seed}"
    world.loss = loss
    return world


def member_of(world: World, number: int) -> SwimMember:
    """The member under this number."""
    player = world.players[number]
    assert isinstance(player, Swim)
    return player.member


def count_failure_verdicts(world: World) -> int:
    """How often some member declared another one failed."""
    return sum(event.event == "member.failed" and "accusers" in event.details for _, _, event in world.told)


def agrees(world: World, among: list[int] | None = None, within_s: float = AGREE_S) -> bool:
    """Let time pass; whether these members, or all that run, come to see just each other."""
    return world.run(world.now + int(within_s * SECOND), lambda: world.agree(among))


def partition(*sides: set[int]) -> Callable[[int, int], bool]:
    """Which links are cut if only members of one side reach each other."""
    return lambda source, target: not any({source, target} <= side for side in sides)
