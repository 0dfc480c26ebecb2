"""Mutants of the membership protocol: each disables one rule, which the model checker has to detect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

from ...membership import swim
from ...membership.gossip import ClaimQueue
from ...membership.member_table import Claim, Status, Table
from ...membership.swim import SwimMember


def _mutants() -> dict[str, Callable[[], Any]]:
    def refute_without_new_incarnation(self: SwimMember, claim: Claim) -> None:
        if claim.status != Status.ALIVE:
            self._claim_queue.add(self.own)

    def accept_any_claim(self: Table, claim: Claim, now: int) -> Any:
        if (known := self.records.get(claim.instance_id)) is not None:
            self._remove_from_indexes(known)
            known.claim = claim
            self._add_to_indexes(known)
            return known
        return None

    def pick_without_limit(
        self: ClaimQueue, most: int, members: int, first: int | None = None
    ) -> list[Claim]:
        return [claim for level in self._levels for claim in level.values()][:most]

    def suspect_with_higher_incarnation(self: Claim, status: Status, incarnation: int, by: int) -> Claim:
        import msgspec

        return msgspec.structs.replace(self, status=int(status), incarnation=incarnation + 1, by=by)

    def do_nothing(*args: object) -> None:
        return None

    return {
        "no-refutation": lambda: mock.patch.object(SwimMember, "_refute_claim", do_nothing),
        "refutes-as-before": lambda: mock.patch.object(
            SwimMember, "_refute_claim", refute_without_new_incarnation
        ),
        "no-second-look": lambda: mock.patch.object(SwimMember, "_revisit", do_nothing),
        "any-claim-counts": lambda: mock.patch.object(Table, "merge", accept_any_claim),
        "others-raise-incarnations": lambda: mock.patch.object(
            Claim, "with_status", suspect_with_higher_incarnation
        ),
        "rumours-for-ever": lambda: mock.patch.object(ClaimQueue, "pick", pick_without_limit),
        "no-last-probes": lambda: mock.patch.object(swim, "required_final_pings", lambda doubt, tries: 0),
    }


# By name, a function that returns a context manager, in which the rule is disabled.
MUTANTS = _mutants()
