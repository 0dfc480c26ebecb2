"""Mutants of the membership protocol: each takes out one rule, which the model checker has to detect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

from ...membership import swim
from ...membership.gossip import ClaimQueue
from ...membership.member_table import Claim, Status, Table
from ...membership.swim import SwimMember


def _mutants() -> dict[str, Callable[[], Any]]:
    def refute_as_before(self: SwimMember, claim: Claim) -> None:
        if claim.status != Status.ALIVE:
            self._claim_queue.add(self.own)

    def take_any(self: Table, claim: Claim, now: int) -> Any:
        if (known := self.records.get(claim.instance_id)) is not None:
            self._remove_from_indexes(known)
            known.claim = claim
            self._add_to_indexes(known)
            return known
        return None

    def keep_telling(self: ClaimQueue, most: int, members: int, first: int | None = None) -> list[Claim]:
        return [claim for some in self._levels for claim in some.values()][:most]

    def suspect_higher(self: Claim, status: Status, incarnation: int, by: int) -> Claim:
        import msgspec

        return msgspec.structs.replace(self, status=int(status), incarnation=incarnation + 1, by=by)

    def nobody(*args: object) -> None:
        return None

    return {
        "no-refutation": lambda: mock.patch.object(SwimMember, "_refute_claim", nobody),
        "refutes-as-before": lambda: mock.patch.object(SwimMember, "_refute_claim", refute_as_before),
        "no-second-look": lambda: mock.patch.object(SwimMember, "_revisit", nobody),
        "any-claim-counts": lambda: mock.patch.object(Table, "merge", take_any),
        "others-raise-incarnations": lambda: mock.patch.object(Claim, "with_status", suspect_higher),
        "rumours-for-ever": lambda: mock.patch.object(ClaimQueue, "pick", keep_telling),
        "no-last-probes": lambda: mock.patch.object(swim, "required_final_pings", lambda doubt, tries: 0),
    }


# By name, what patches the rule out within a `with` statement.
MUTANTS = _mutants()
