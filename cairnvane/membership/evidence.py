"""Collects the evidence about all instances for the partition verdict. No I/O.

A failed instance that has a successor (another instance of the same server is up) does not count as lost, so
that a restart of every server does not look like a partition.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .claims import Claim, Status
from .member_table import MemberRecord, Table
from .partition_detector import Evidence, max_concurrent


@dataclass(frozen=True, slots=True)
class ExternalSignals:
    """Signals observed outside the members' channel; None if not observed."""

    registry_answers: bool | None = None
    requests_arrive: bool | None = None
    worker_pool_bound: bool | None = None
    event_loop_responsive: bool | None = None  # of this server


@dataclass(frozen=True, slots=True)
class Survey:
    """The evidence, and bounds on the number of instances that are up."""

    evidence: Evidence
    min_members: int
    max_members: int
    still_lost: dict[int, int]  # when each instance that is still silent went silent, in microseconds


def collect_evidence(
    own: Claim,
    table: Table,
    lost_at: Mapping[int, int],
    now: int,
    heard_lease: int,
    loss_window: int,
    health_score: int,
    signals: ExternalSignals,
) -> Survey:
    """Count the instances in the table.

    An instance that was heard within `heard_lease` is certainly up. Losses within `loss_window` count as
    simultaneous. Both are in microseconds.
    """
    failed = _failed_without_successor(own, table)
    silent = {record.claim.instance_id for record in failed}
    silent.update(record.claim.instance_id for record in table.with_status(Status.SUSPECT))
    still_lost = {instance_id: at for instance_id, at in lost_at.items() if instance_id in silent}
    lost_at_once = max_concurrent(list(still_lost.values()), loss_window)
    alive = table.with_status(Status.ALIVE)
    recently_heard = sum(now - record.last_heard_at < heard_lease for record in alive)
    evidence = Evidence(
        previously_up=1 + len(alive) + lost_at_once,
        heard=1 + len(alive),
        silent=lost_at_once,
        suspected=table.count(Status.SUSPECT),
        health_score=health_score,
        registry_answers=signals.registry_answers,
        requests_arrive=signals.requests_arrive,
        worker_pool_bound=signals.worker_pool_bound,
    )
    return Survey(evidence, 1 + recently_heard, 1 + len(table.up) + len(failed), still_lost)


def _failed_without_successor(own: Claim, table: Table) -> list[MemberRecord]:
    failed = table.with_status(Status.FAILED)
    if not failed:
        return []
    servers_up = {(record.claim.name, record.claim.place) for record in table.up_records()}
    servers_up.add((own.name, own.place))
    return [record for record in failed if (record.claim.name, record.claim.place) not in servers_up]
