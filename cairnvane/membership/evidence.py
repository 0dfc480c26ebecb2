"""What a member has seen of late, counted over all lives at once, for the verdict on being cut off. No I/O.

A life that has a successor (another life of the same server is there) is over, and not lost: three servers
that were all restarted are as much together as before.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .member_table import Claim, Status, Table
from .partition_detector import Evidence, max_concurrent


@dataclass(frozen=True, slots=True)
class ExternalSignals:
    """What is seen of the world beside the channel; None: nothing was looked for."""

    registry_answers: bool | None = None
    requests_arrive: bool | None = None
    worker_pool_bound: bool | None = None
    event_loop_responsive: bool | None = None  # whether our own host thread works


@dataclass(frozen=True, slots=True)
class Survey:
    """The evidence, and what may be said of how many are there."""

    evidence: Evidence
    min_members: int
    max_members: int
    still_lost: dict[int, int]  # of the lives that went silent, those that still are, and since when


def collect_evidence(
    own: Claim,
    table: Table,
    lost: Mapping[int, int],
    now: int,
    lease: int,
    losses: int,
    doubt: int,
    outside: ExternalSignals,
) -> Survey:
    """`lease`: who was heard within it is surely there. `losses`: those within it came at once."""
    gone = table.standing(Status.FAILED)
    if gone:
        servers = {(life.claim.name, life.claim.place) for life in table.up_records()}
        servers.add((own.name, own.place))
        gone = [life for life in gone if (life.claim.name, life.claim.place) not in servers]
    silent = {life.claim.life for life in gone}
    silent.update(life.claim.life for life in table.standing(Status.SUSPECT))
    still = {life: at for life, at in lost.items() if life in silent}
    many = max_concurrent(list(still.values()), losses)
    heard = sum(now - life.last_heard_at < lease for life in table.standing(Status.ALIVE))
    alive = table.count(Status.ALIVE)
    evidence = Evidence(
        previously_up=1 + alive + many,
        heard=1 + alive,
        silent=many,
        suspected=table.count(Status.SUSPECT),
        health_score=doubt,
        registry_answers=outside.registry_answers,
        requests_arrive=outside.requests_arrive,
        worker_pool_bound=outside.worker_pool_bound,
    )
    return Survey(evidence, 1 + heard, 1 + len(table.up) + len(gone), still)
