"""The vault as one limit: whatever is lost, late, stopped or killed, all parts together never exceed it."""

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

RICH, POOR = 1, 2


def pair() -> tuple[QuotaLeases, QuotaLeases]:
    rich, poor = QuotaLeases(FLOOR, 0, first=True), QuotaLeases(FLOOR, 0, first=True)
    rich.note(0, 1.0, 0.0)
    poor.note(0, FLOOR, 4.0)
    return rich, poor


def asks(poor: QuotaLeases, now: int, spare: float) -> list[Word]:
    return [word for life, word in poor.tick(now, {RICH: spare}) if life == RICH]


def lent() -> tuple[QuotaLeases, QuotaLeases, Ask, Grant]:
    rich, poor = pair()
    (ask,) = asks(poor, 0, rich.spare(0))
    assert isinstance(ask, Ask)
    grant = rich.hear(1_000, POOR, ask)
    assert grant is not None and grant.amount > LEAST
    return rich, poor, ask, grant


def test_what_one_holds_more_the_other_holds_less_from_before_until_after() -> None:
    rich, poor, _, grant = lent()
    assert rich.cap(1_000) == FLOOR - grant.amount and poor.cap(1_000) == FLOOR
    poor.hear(2_000, RICH, grant)
    assert poor.cap(2_000) == FLOOR + grant.amount
    assert poor.cap(LEASE_US - 1) > FLOOR and poor.cap(LEASE_US) == FLOOR
    assert rich.cap(LEASE_US) < FLOOR and rich.cap(2 * LEASE_US) == FLOOR


def test_a_grant_that_comes_late_or_twice_counts_for_nothing_more() -> None:
    rich, poor, ask, grant = lent()
    assert rich.hear(2_000, POOR, ask) == grant and rich.lent(2_000) == grant.amount  # told again
    poor.tick(ANSWER_US, {})
    poor.hear(ANSWER_US + 1, RICH, grant)
    assert poor.cap(ANSWER_US + 1) == FLOOR


def test_who_wakes_with_an_old_lease_does_not_use_it_and_gives_the_line_back() -> None:
    rich, poor, _, grant = lent()
    poor.hear(2_000, RICH, grant)
    woken = 10 * LEASE_US
    assert poor.cap(woken) == FLOOR
    (back,) = [word for word in asks(poor, woken, 0.0) if isinstance(word, Back)]
    assert rich.hear(woken, POOR, back) is None and rich.cap(woken) == FLOOR


def test_a_new_life_begins_with_what_is_never_lent() -> None:
    rich, poor, _, grant = lent()
    poor.hear(2_000, RICH, grant)
    again = QuotaLeases(FLOOR, 3_000)
    assert again.cap(3_000) == KEPT * FLOOR and again.spare(3_000) == 0
    assert again.cap(3_000) + poor.cap(3_000) <= 2 * FLOOR
    assert again.cap(3_000 + 2 * LEASE_US) == FLOOR
    assert grant.amount <= (1 - KEPT) * FLOOR and rich.cap(1_000) >= KEPT * FLOOR


def test_a_lender_whose_callers_are_back_lends_no_further() -> None:
    rich, poor, _, grant = lent()
    poor.hear(2_000, RICH, grant)
    rich.note(3_000, rich.cap(3_000), 5.0)
    late = int(LEASE_US * 0.8)
    (again,) = [word for word in asks(poor, late, 0.0) if isinstance(word, Ask)]
    refused = rich.hear(late, POOR, again)
    assert refused is not None and refused.amount == 0 and rich.spare(late) == 0


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", range(3))
def test_all_parts_together_never_exceed_the_limit(trouble: str, seed: int) -> None:
    world = World("lent", trouble, 5, seed).run()
    assert world.worst <= 1e-9, f"seed {seed}"
    assert world.made / world.could > 0.75, f"seed {seed}"


def _first_always(monkeypatch: pytest.MonkeyPatch) -> None:
    made = QuotaLeases.__init__
    monkeypatch.setattr(
        QuotaLeases, "__init__", lambda self, floor, now, first=False: made(self, floor, now, True)
    )


def _shorter_for_the_lender(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_leases, "DRIFT", -0.3)


def _last_grant_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    def amount(self: quota_leases._Lent, now: int) -> float:
        return next((one for one, until in reversed(list(self.grants.values())) if now < until), 0.0)

    monkeypatch.setattr(quota_leases._Lent, "amount", amount)


@pytest.mark.parametrize(
    ("mutant", "trouble"),
    [
        (_first_always, "deaths"),
        (_shorter_for_the_lender, "cut"),
        (_last_grant_counts, "loss"),
    ],
)
def test_without_one_of_its_rules_the_limit_is_exceeded(
    mutant: Callable[[pytest.MonkeyPatch], None],
    trouble: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mutant(monkeypatch)
    assert max(World("lent", trouble, 6, seed).run().worst for seed in range(6)) > 0.001


def test_more_is_made_than_by_fixed_parts_and_parts_by_view_exceed_the_limit(tmp_path: Path) -> None:
    path = tmp_path / "report.json"
    done = CliRunner().invoke(main, ["lab", "shares", "--servers", "6", "--seeds", "2", "--json", str(path)])
    rows = {(row["trouble"], row["arm"]): row for row in json.loads(path.read_text())["rows"]}
    assert done.exit_code == 0, done.output
    assert rows["calm", "lent"]["made"] > rows["calm", "floor"]["made"] + 0.03
    assert rows["cut", "view"]["over"] > 0.2 and rows["cut", "lent"]["over"] <= 1e-9
