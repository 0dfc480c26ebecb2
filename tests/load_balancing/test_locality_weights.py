"""Loads of priorities and shares of localities, against Envoy's published tables."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.load_balancing import (
    HealthCount,
    locality_shares,
    priority_loads,
)


def levels(*percents: int) -> list[HealthCount]:
    return [HealthCount(percent, 100) for percent in percents]


@pytest.mark.parametrize(
    ("healthy", "loads"),
    [
        # Envoy, 'Priority levels': two priorities, the second fully healthy.
        ((100, 100), [100, 0]),
        ((72, 100), [100, 0]),
        ((71, 100), [99, 1]),
        ((50, 100), [70, 30]),
        ((25, 100), [35, 65]),
        ((0, 100), [0, 100]),
        # The second priority is not fully healthy: a total health below 100 is normalized.
        ((72, 72), [100, 0]),
        ((71, 71), [99, 1]),
        ((50, 50), [70, 30]),
        ((25, 25), [50, 50]),
        # Three levels.
        ((100, 100, 100), [100, 0, 0]),
        ((72, 72, 100), [100, 0, 0]),
        ((71, 71, 100), [99, 1, 0]),
        ((50, 50, 100), [70, 30, 0]),
        ((25, 100, 100), [35, 65, 0]),
        ((25, 25, 100), [35, 35, 30]),
    ],
)
def test_priority_loads_are_as_published(healthy: tuple[int, ...], loads: list[int]) -> None:
    assert [level.load for level in priority_loads(levels(*healthy))] == loads


@pytest.mark.parametrize(
    ("healthy", "panics"),
    [
        ((72, 72), [False, False]),
        ((25, 100), [False, False]),  # their total health is sufficient
        ((25, 25), [True, True]),
        ((5, 65), [True, False]),
        ((0, 0), [True, True]),
    ],
)
def test_panic_mode_applies_only_if_total_health_is_insufficient(
    healthy: tuple[int, ...], panics: list[bool]
) -> None:
    assert [level.panic for level in priority_loads(levels(*healthy))] == panics


def test_without_healthy_endpoints_loads_go_by_size_and_are_0_without_endpoints() -> None:
    assert [level.load for level in priority_loads([HealthCount(0, 30), HealthCount(0, 10)])] == [75, 25]
    assert [level.load for level in priority_loads([HealthCount(0, 0), HealthCount(0, 0)])] == [0, 0]
    assert [level.load for level in priority_loads([HealthCount(0, 0), HealthCount(3, 3)])] == [0, 100]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 50)), min_size=1, max_size=6))
def test_loads_add_up_and_empty_priorities_get_none(pairs: list[tuple[int, int]]) -> None:
    found = [HealthCount(min(pair), max(pair)) for pair in pairs]
    shares = priority_loads(found)
    assert sum(share.load for share in shares) == (100 if any(level.total for level in found) else 0)
    assert all(level.total or not share.load for level, share in zip(found, shares, strict=True))


@pytest.mark.parametrize(
    ("healthy", "shares"),
    [
        # Envoy, 'Locality weighted load balancing': localities of weight 1 and 2.
        ((100, 100), (33, 67)),
        ((100, 70), (34, 66)),
        ((100, 50), (42, 58)),
        ((100, 25), (59, 41)),
        ((100, 0), (100, 0)),
        ((25, 100), (15, 85)),
        ((0, 100), (0, 100)),
    ],
)
def test_localities_share_by_weight_and_health(healthy: tuple[int, int], shares: tuple[int, int]) -> None:
    actual = locality_shares([HealthCount(healthy[0], 100, weight=1), HealthCount(healthy[1], 100, weight=2)])
    assert tuple(round(100 * share) for share in actual) == shares
