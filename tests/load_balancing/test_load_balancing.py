"""Where a call goes: the published tables, and structures against plain ones."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.contract.events import Outcome
from cairnvane.load_balancing import (
    CircuitBreakers,
    HealthCount,
    OutlierDetector,
    RetryBudget,
    Weighted,
    locality_shares,
    priority_loads,
    slow_start,
)
from cairnvane.load_balancing.circuit_breakers import may_retry_elsewhere
from cairnvane.load_balancing.maglev import TABLE_SIZE, Maglev


def levels(*percents: int) -> list[HealthCount]:
    return [HealthCount(percent, 100) for percent in percents]


@pytest.mark.parametrize(
    ("healthy", "loads"),
    [
        # Envoy, 'Priority levels': two priorities, the second wholly healthy.
        ((100, 100), [100, 0]),
        ((72, 100), [100, 0]),
        ((71, 100), [99, 1]),
        ((50, 100), [70, 30]),
        ((25, 100), [35, 65]),
        ((0, 100), [0, 100]),
        # And with a second one that is not: below 100 in all, health is normalized.
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
def test_priorities_share_as_published(healthy: tuple[int, ...], loads: list[int]) -> None:
    assert [level.load for level in priority_loads(levels(*healthy))] == loads


@pytest.mark.parametrize(
    ("healthy", "panics"),
    [
        ((72, 72), [False, False]),
        ((25, 100), [False, False]),  # together they have health enough
        ((25, 25), [True, True]),
        ((5, 65), [True, False]),
        ((0, 0), [True, True]),
    ],
)
def test_panic_only_where_all_together_lack_health(healthy: tuple[int, ...], panics: list[bool]) -> None:
    assert [level.panic for level in priority_loads(levels(*healthy))] == panics


def test_with_nobody_healthy_the_load_goes_by_size_and_with_nobody_at_all_nowhere() -> None:
    assert [level.load for level in priority_loads([HealthCount(0, 30), HealthCount(0, 10)])] == [75, 25]
    assert [level.load for level in priority_loads([HealthCount(0, 0), HealthCount(0, 0)])] == [0, 0]
    assert [level.load for level in priority_loads([HealthCount(0, 0), HealthCount(3, 3)])] == [0, 100]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 50)), min_size=1, max_size=6))
def test_loads_add_up_and_nobody_empty_gets_any(pairs: list[tuple[int, int]]) -> None:
    found = [HealthCount(min(pair), max(pair)) for pair in pairs]
    shares = priority_loads(found)
    assert sum(level.load for level in shares) == (100 if any(one.total for one in found) else 0)
    assert all(one.total or not level.load for one, level in zip(found, shares, strict=True))


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
    got = locality_shares([HealthCount(healthy[0], 100, weight=1), HealthCount(healthy[1], 100, weight=2)])
    assert tuple(round(100 * share) for share in got) == shares


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "remove", "begin", "end"]),
        st.integers(0, 9),
        st.sampled_from([0, 1, 3, 1_000, (1 << 32) - 1]),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(STEPS)
def test_the_tree_draws_what_a_list_draws(steps: list[tuple[str, int, int]]) -> None:
    tree: Weighted[int] = Weighted()
    plain: dict[int, list[int]] = {}
    for what, key, weight in steps:
        if what == "put":
            tree.put(key, weight)
            plain.setdefault(key, [0, 0])[0] = weight
        elif key in plain:
            if what == "remove":
                assert tree.remove(key) == plain.pop(key)[1]
            elif what == "begin":
                tree.begin(key)
                plain[key][1] += 1
            else:
                tree.end(key)
                plain[key][1] = max(0, plain[key][1] - 1)
    assert tree.total == sum(weight for weight, _ in plain.values()) and len(tree) == len(plain)
    order = [key for key in tree._keys if key is not None]
    at = 0
    for key in order:
        weight, active = plain[key]
        assert (tree.weight(key), tree.active(key)) == (weight, active)
        if weight:
            for number in (at, at + weight - 1):  # its first and its last
                assert tree._keys[tree._find(number)] == key
        at += weight
    if not tree.total:
        assert tree.draw(lambda most: 0) is None and tree.choose(lambda most: 0) is None


def test_shares_go_by_weight_and_a_busy_one_gets_less() -> None:
    tree: Weighted[str] = Weighted()
    for key, weight in (("a", 1), ("b", 2), ("c", 5), ("none", 0)):
        tree.put(key, weight)
    below = random.Random(7).randrange
    drawn = Counter(tree.draw(below) for _ in range(8_000))
    assert all(abs(drawn[key] / 1_000 - weight) < 0.2 for key, weight in (("a", 1), ("b", 2), ("c", 5)))
    assert drawn["none"] == 0
    for _ in range(50):
        tree.begin("c")
    busy = Counter(tree.choose(below) for _ in range(8_000))
    assert busy["c"] < drawn["c"]


@pytest.mark.parametrize("weight", [-1, 1 << 32])
def test_a_weight_that_can_t_be_is_named(weight: int) -> None:
    with pytest.raises(ValueError, match=f"weight of 'a': {weight}"):
        Weighted[str]().put("a", weight)


def test_breakers_and_the_retry_budget() -> None:
    plain = CircuitBreakers(requests=10, retries=1)
    assert plain.allows_call(9) and not plain.allows_call(10)
    assert plain.allows_call(5, True, 0) and not plain.allows_call(5, True, 1)
    budget = RetryBudget(percent=20, min_retries=3)
    assert budget.allows(5, 2) and not budget.allows(5, 3) and budget.allows(100, 19)
    assert not CircuitBreakers(requests=0).allows_call(0)
    assert (
        CircuitBreakers(requests=8).call_allowance(2.5) == 2.5
        and CircuitBreakers(requests=8).call_allowance(None) == 8.0
    )


@pytest.mark.parametrize(
    ("outcome", "keyed", "may"),
    [
        (Outcome.REJECTED, True, True),
        (Outcome.UNREACHED, True, True),
        (Outcome.TIMEOUT, True, False),
        (Outcome.BROKEN, True, False),
        (Outcome.ERROR, True, False),
        (Outcome.TIMEOUT, False, True),
        (Outcome.OK, False, False),
    ],
)
def test_a_keyed_call_goes_elsewhere_only_if_it_never_ran(outcome: Outcome, keyed: bool, may: bool) -> None:
    assert may_retry_elsewhere(outcome, keyed) is may


def test_who_fails_is_ejected_for_longer_each_time_and_never_too_many_at_once() -> None:
    out: OutlierDetector[str] = OutlierDetector(
        consecutive_failures=2, base_ejection_us=10, max_ejection_us=25, max_ejected_percent=20
    )
    results = (False, True, False, False)
    assert [out.record_result("a", good, 10, 0) for good in results] == [False, False, False, True]
    assert out.is_ejected("a") and out.readmit_due(9) == [] and out.readmit_due(10) == ["a"]
    assert [out.record_result("a", False, 10, 10) for _ in range(2)] == [False, True]
    assert out.readmit_due(29) == [] and out.readmit_due(30) == ["a"]  # twice as long
    for key in "bcd":
        out.record_result(key, False, 10, 30)
        out.record_result(key, False, 10, 30)
    assert [out.is_ejected(key) for key in "bcd"] == [True, True, False]  # a fifth of ten at the most
    out.forget("b")
    assert not out.is_ejected("b")


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
def test_slow_start_takes_a_joining_endpoint_up(joined: int, aggression: float, weight: int) -> None:
    assert slow_start(100, joined, 100, aggression) == weight
    assert slow_start(0, joined, 100, aggression) == 0 and slow_start(1, joined, 100, aggression) == 1


def test_a_table_shares_by_weight_and_moves_few_keys() -> None:
    """'For a change in N members about 1/N of keys move'; Maglev allows for a little more."""
    weights = {f"e{n}": 1 + n % 3 for n in range(20)}
    table = Maglev(weights)
    for key, share in table.shares().items():
        assert abs(share / (weights[key] / sum(weights.values())) - 1) < 0.05
    again = Maglev(dict(reversed(weights.items())))
    fewer = Maglev({key: weight for key, weight in weights.items() if key != "e4"})
    assert all(table.choose(n) == again.choose(n) for n in range(TABLE_SIZE))
    moved = sum(table.choose(n) not in ("e4", fewer.choose(n)) for n in range(TABLE_SIZE))
    assert moved / TABLE_SIZE < 0.1 and all(fewer.choose(n) != "e4" for n in range(TABLE_SIZE))


def test_a_table_of_nobody_and_of_no_prime() -> None:
    assert Maglev[str]({}).choose(7) is None and Maglev({"a": 0}).choose(7) is None
    assert {Maglev({"a": 1, "b": 0}, 7).choose(n) for n in range(20)} == {"a"}
    with pytest.raises(ValueError, match="8 is no prime"):
        Maglev({"a": 1}, 8)
