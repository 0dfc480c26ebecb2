"""Quota leases keep all quotas within the limit despite lost or late messages, stalls and kills."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.load_shedding import quota_leases
from cairnvane.load_shedding.quota_leases import (
    LEASE_US,
    MIN_LEASE_AMOUNT,
    MIN_RESERVED_SHARE,
    REQUEST_TIMEOUT_US,
    LeaseGrant,
    LeaseMessage,
    LeaseRelease,
    LeaseRequest,
    QuotaLeases,
)
from cairnvane.testbed.experiments.shares import FLOOR, TROUBLES, World

LENDER, BORROWER = 1, 2


def lender_and_borrower() -> tuple[QuotaLeases, QuotaLeases]:
    lender, borrower = QuotaLeases(FLOOR, 0, first=True), QuotaLeases(FLOOR, 0, first=True)
    lender.record_usage(0, 1.0, 0.0)
    borrower.record_usage(0, FLOOR, 4.0)
    return lender, borrower


def messages_to_lender(borrower: QuotaLeases, now: int, spare: float) -> list[LeaseMessage]:
    return [message for process, message in borrower.tick(now, {LENDER: spare}) if process == LENDER]


def granted_lease() -> tuple[QuotaLeases, QuotaLeases, LeaseRequest, LeaseGrant]:
    lender, borrower = lender_and_borrower()
    (lease_request,) = messages_to_lender(borrower, 0, lender.spare(0))
    assert isinstance(lease_request, LeaseRequest)
    grant = lender.handle_message(1_000, BORROWER, lease_request)
    assert grant is not None and grant.amount > MIN_LEASE_AMOUNT
    return lender, borrower, lease_request, grant


def test_the_lender_counts_a_lease_from_before_until_after_the_borrower() -> None:
    lender, borrower, _, grant = granted_lease()
    assert lender.cap(1_000) == FLOOR - grant.amount and borrower.cap(1_000) == FLOOR
    borrower.handle_message(2_000, LENDER, grant)
    assert borrower.cap(2_000) == FLOOR + grant.amount
    assert borrower.cap(LEASE_US - 1) > FLOOR and borrower.cap(LEASE_US) == FLOOR
    assert lender.cap(LEASE_US) < FLOOR and lender.cap(2 * LEASE_US) == FLOOR


def test_a_late_or_duplicate_grant_adds_nothing() -> None:
    lender, borrower, lease_request, grant = granted_lease()
    assert (
        lender.handle_message(2_000, BORROWER, lease_request) == grant and lender.lent(2_000) == grant.amount
    )  # a duplicate
    borrower.tick(REQUEST_TIMEOUT_US, {})
    borrower.handle_message(REQUEST_TIMEOUT_US + 1, LENDER, grant)
    assert borrower.cap(REQUEST_TIMEOUT_US + 1) == FLOOR


def test_an_expired_lease_is_not_used_and_its_line_is_released() -> None:
    lender, borrower, _, grant = granted_lease()
    borrower.handle_message(2_000, LENDER, grant)
    resumed_at = 10 * LEASE_US
    assert borrower.cap(resumed_at) == FLOOR
    (release,) = [
        message
        for message in messages_to_lender(borrower, resumed_at, 0.0)
        if isinstance(message, LeaseRelease)
    ]
    assert lender.handle_message(resumed_at, BORROWER, release) is None and lender.cap(resumed_at) == FLOOR


def test_a_new_process_starts_with_the_share_that_is_never_lent() -> None:
    lender, borrower, _, grant = granted_lease()
    borrower.handle_message(2_000, LENDER, grant)
    restarted = QuotaLeases(FLOOR, 3_000)
    assert restarted.cap(3_000) == MIN_RESERVED_SHARE * FLOOR and restarted.spare(3_000) == 0
    assert restarted.cap(3_000) + borrower.cap(3_000) <= 2 * FLOOR
    assert restarted.cap(3_000 + 2 * LEASE_US) == FLOOR
    assert (
        grant.amount <= (1 - MIN_RESERVED_SHARE) * FLOOR and lender.cap(1_000) >= MIN_RESERVED_SHARE * FLOOR
    )


def test_a_lender_with_waiting_calls_renews_no_lease() -> None:
    lender, borrower, _, grant = granted_lease()
    borrower.handle_message(2_000, LENDER, grant)
    lender.record_usage(3_000, lender.cap(3_000), 5.0)
    renewal_time = int(LEASE_US * 0.8)
    (renewal,) = [
        message
        for message in messages_to_lender(borrower, renewal_time, 0.0)
        if isinstance(message, LeaseRequest)
    ]
    rejected = lender.handle_message(renewal_time, BORROWER, renewal)
    assert rejected is not None and rejected.amount == 0 and lender.spare(renewal_time) == 0


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
    monkeypatch.setattr(quota_leases, "MAX_CLOCK_DRIFT", -0.3)


def _last_grant_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    def amount(self: quota_leases._LentLease, now: int) -> float:
        return next(
            (granted.amount for granted in reversed(list(self.grants.values())) if now < granted.expires_at),
            0.0,
        )

    monkeypatch.setattr(quota_leases._LentLease, "amount", amount)


@pytest.mark.parametrize(
    ("mutant", "trouble"),
    [
        (_always_first_process, "deaths"),
        (_lender_lease_is_shorter, "cut"),
        (_last_grant_counts, "loss"),
    ],
)
def test_a_mutant_without_one_safety_rule_exceeds_the_limit(
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
