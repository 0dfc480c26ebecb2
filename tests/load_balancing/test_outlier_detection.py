"""Ejection of failing endpoints, and slow start of joining ones."""

from __future__ import annotations

import pytest

from cairnvane.load_balancing import (
    OutlierDetector,
    slow_start,
)


def test_ejections_grow_longer_and_are_bounded_in_number() -> None:
    detector: OutlierDetector[str] = OutlierDetector(
        consecutive_failures=2, base_ejection_us=10, max_ejection_us=25, max_ejected_percent=20
    )
    results = (False, True, False, False)
    assert [detector.record_result("a", good, 10, 0) for good in results] == [False, False, False, True]
    assert detector.is_ejected("a") and detector.readmit_due(9) == [] and detector.readmit_due(10) == ["a"]
    assert [detector.record_result("a", False, 10, 10) for _ in range(2)] == [False, True]
    assert detector.readmit_due(29) == [] and detector.readmit_due(30) == ["a"]  # twice as long
    for key in "bcd":
        detector.record_result(key, False, 10, 30)
        detector.record_result(key, False, 10, 30)
    assert [detector.is_ejected(key) for key in "bcd"] == [
        True,
        True,
        False,
    ]  # at most 20 percent of ten endpoints
    detector.forget("b")
    assert not detector.is_ejected("b")


@pytest.mark.parametrize(
    ("joined", "aggression", "weight"),
    [
        (0, 1.0, 10),
        (25, 1.0, 25),
        (25, 2.0, 50),
        (99, 1.0, 99),
        (100, 1.0, 100),
        (5, 0.5, 10),
    ],
)
def test_slow_start_raises_the_weight_of_a_joining_endpoint(
    joined: int, aggression: float, weight: int
) -> None:
    assert slow_start(100, joined, 100, aggression) == weight
    assert slow_start(0, joined, 100, aggression) == 0 and slow_start(1, joined, 100, aggression) == 1
