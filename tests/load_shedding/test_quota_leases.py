"""The dependency as one limit: whatever is lost, late, frozen or killed, all quotas stay within it."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.load_shedding import quota_leases
from cairnvane.load_shedding.quota_leases import (
    ANSWER_US,
    KEPT,
    LEASE_US,
    LEAST,
    Ask,
    Back,
    Grant,
    QuotaLeases,
    Word,
)
from cairnvane.testbed.experiments.shares import FLOOR, TROUBLES, World

LENDER, BORROWER = 1, 2


def lender_and_borrower() -> tuple[QuotaLeases, QuotaLeases]:
    lender, borrower = QuotaLeases(FLOOR, 0, first=True), QuotaLeases(FLOOR, 0, first=True)
    lender.note(0, 1.0, 0.0)
    borrower.note(0, FLOOR, 4.0)
    return lender, borrower


def messages_to_lender(borrower: QuotaLeases, now: int, spare: float) -> list[Word]:
    return [message for process, message in borrower.tick(now, {LENDER: spare}) if process == LENDER]


def granted_lease() -> tuple[QuotaLeases, QuotaLeases, Ask, Grant]:
    lender, borrower = lender_and_borrower()
    (ask,) = messages_to_lender(borrower, 0, lender.spare(0))
    assert isinstance(ask, Ask)
    grant = lender.hear(1_000, BORROWER, ask)
    assert grant is not None and grant.amount > LEAST
    return lender, borrower, ask, grant


def test_the_lender_counts_a_lease_from_before_until_after_the_borrower() -> None:
    lender, borrower, _, grant = granted_lease()
    assert lender.cap(1_000) == FLOOR - grant.amount and borrower.cap(1_000) == FLOOR
    borrower.hear(2_000, LENDER, grant)
    assert borrower.cap(2_000) == FLOOR + grant.amount
    assert borrower.cap(LEASE_US - 1) > FLOOR and borrower.cap(LEASE_US) == FLOOR
    assert lender.cap(LEASE_US) < FLOOR and lender.cap(2 * LEASE_US) == FLOOR


def test_a_late_or_duplicate_grant_adds_nothing() -> None:
    lender, borrower, ask, grant = granted_lease()
    assert lender.hear(2_000, BORROWER, ask) == grant and lender.lent(2_000) == grant.amount  # a duplicate
    borrower.tick(ANSWER_US, {})
    borrower.hear(ANSWER_US + 1, LENDER, grant)
    assert borrower.cap(ANSWER_US + 1) == FLOOR


def test_an_expired_lease_is_not_used_and_its_line_is_released() -> None:
    lender, borrower, _, grant = granted_lease()
    borrower.hear(2_000, LENDER, grant)
    woken = 10 * LEASE_US
    assert borrower.cap(woken) == FLOOR
    (release,) = [word for word in messages_to_lender(borrower, woken, 0.0) if isinstance(word, Back)]
    assert lender.hear(woken, BORROWER, release) is None and lender.cap(woken) == FLOOR


def test_a_new_process_begins_with_the_share_that_is_never_lent() -> None:
    lender, borrower, _, grant = granted_lease()
    borrower.hear(2_000, LENDER, grant)
    restarted = QuotaLeases(FLOOR, 3_000)
    assert restarted.cap(3_000) == KEPT * FLOOR and restarted.spare(3_000) == 0
    assert restarted.cap(3_000) + borrower.cap(3_000) <= 2 * FLOOR
    assert restarted.cap(3_000 + 2 * LEASE_US) == FLOOR
    assert grant.amount <= (1 - KEPT) * FLOOR and lender.cap(1_000) >= KEPT * FLOOR


def test_a_lender_whose_clients_are_back_renews_no_lease() -> None:
    lender, borrower, _, grant = granted_lease()
    borrower.hear(2_000, LENDER, grant)
    lender.note(3_000, lender.cap(3_000), 5.0)
    late = int(LEASE_US * 0.8)
    (renewal,) = [word for word in messages_to_lender(borrower, late, 0.0) if isinstance(word, Ask)]
    rejected = lender.hear(late, BORROWER, renewal)
    assert rejected is not None and rejected.amount == 0 and lender.spare(late) == 0


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", range(3))
def test_all_quotas_together_never_exceed_the_limit(trouble: str, seed: int) -> None:
    world = World("lent", trouble, 5, seed).run()
    assert world.max_excess <= 1e-9, f"seed {seed}"
    assert world.allowed_calls / world.attainable_calls > 0.75, f"seed {seed}"


def _always_first_process(monkeypatch: pytest.MonkeyPatch) -> None:
    initialize = QuotaLeases.__init__
    monkeypatch.setattr(
        QuotaLeases, "__init__", lambda self, floor, now, first=False: initialize(self, floor, now, True)
    )


def _lender_lease_is_shorter(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_leases, "DRIFT", -0.3)


def _last_grant_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    def amount(self: quota_leases._Lent, now: int) -> float:
        return next(
            (granted.amount for granted in reversed(list(self.grants.values())) if now < granted.expires_at),
            0.0,
        )

    monkeypatch.setattr(quota_leases._Lent, "amount", amount)


@pytest.mark.parametrize(
    ("mutant", "trouble"),
    [
        (_always_first_process, "deaths"),
        (_lender_lease_is_shorter, "cut"),
        (_last_grant_counts, "loss"),
    ],
)
def test_without_one_of_its_rules_the_limit_is_exceeded(
    mutant: Callable[[pytest.MonkeyPatch], None],
    trouble: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mutant(monkeypatch)
    assert max(World("lent", trouble, 6, seed).run().max_excess for seed in range(6)) > 0.001


def test_leases_serve_more_than_fixed_quotas_and_quotas_by_membership_exceed_the_limit(
    tmp_path: Path,
) -> None:
    path = tmp_path / "report.json"
    done = CliRunner().invoke(main, ["lab", "shares", "--servers", "6", "--seeds", "2", "--json", str(path)])
    rows = {(row["trouble"], row["arm"]): row for row in json.loads(path.read_text())["rows"]}
    assert done.exit_code == 0, done.output
    assert rows["calm", "lent"]["made"] > rows["calm", "floor"]["made"] + 0.03
    assert rows["cut", "view"]["over"] > 0.2 and rows["cut", "lent"]["over"] <= 1e-9
