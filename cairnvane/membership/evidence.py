"""What a member has seen of late, counted over all lives at once, for the verdict on being cut off. No I/O.

A life that has a successor (another life of the same server is there) is over, and not lost: three servers
that were all restarted are as much together as before.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .member_table import Claim, Status, Table
from .partition_detector import Evidence, at_once


@dataclass(frozen=True, slots=True)
class Outside:
    """What is seen of the world beside the channel; None: nothing was looked for."""

    roster: bool | None = None
    balancers: bool | None = None
    pool: bool | None = None
    host: bool | None = None  # whether our own host thread works


@dataclass(frozen=True, slots=True)
class Survey:
    """The evidence, and what may be said of how many are there."""

    evidence: Evidence
    least: int
    most: int
    lost: dict[int, int]  # of the lives that went silent, those that still are, and since when


def look(
    own: Claim,
    table: Table,
    lost: Mapping[int, int],
    now: int,
    lease: int,
    losses: int,
    doubt: int,
    outside: Outside,
) -> Survey:
    """`lease`: who was heard within it is surely there. `losses`: those within it came at once."""
    gone = table.standing(Status.FAILED)
    if gone:
        servers = {(life.claim.name, life.claim.place) for life in table.there()}
        servers.add((own.name, own.place))
        gone = [life for life in gone if (life.claim.name, life.claim.place) not in servers]
    silent = {life.claim.life for life in gone}
    silent.update(life.claim.life for life in table.standing(Status.SUSPECT))
    still = {life: at for life, at in lost.items() if life in silent}
    many = at_once(list(still.values()), losses)
    heard = sum(now - life.heard < lease for life in table.standing(Status.ALIVE))
    alive = table.count(Status.ALIVE)
    evidence = Evidence(
        were=1 + alive + many,
        heard=1 + alive,
        silent=many,
        undecided=table.count(Status.SUSPECT),
        doubt=doubt,
        roster=outside.roster,
        balancers=outside.balancers,
        pool=outside.pool,
    )
    return Survey(evidence, 1 + heard, 1 + len(table.up) + len(gone), still)
