"""Weighted choice, compared with a plain list and with its expected distribution."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.load_balancing import (
    Weighted,
)

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
def test_the_tree_draws_the_same_endpoints_as_a_list(steps: list[tuple[str, int, int]]) -> None:
    tree: Weighted[int] = Weighted()
    plain: dict[int, list[int]] = {}
    for operation, key, weight in steps:
        if operation == "put":
            tree.put(key, weight)
            plain.setdefault(key, [0, 0])[0] = weight
        elif key in plain:
            if operation == "remove":
                assert tree.remove(key) == plain.pop(key)[1]
            elif operation == "begin":
                tree.begin(key)
                plain[key][1] += 1
            else:
                tree.end(key)
                plain[key][1] = max(0, plain[key][1] - 1)
    assert tree.total == sum(weight for weight, _ in plain.values()) and len(tree) == len(plain)
    order = [key for key in tree._keys if key is not None]
    first = 0
    for key in order:
        weight, active = plain[key]
        assert (tree.weight(key), tree.active(key)) == (weight, active)
        if weight:
            for number in (first, first + weight - 1):  # the first and the last number of its range
                assert tree._keys[tree._find(number)] == key
        first += weight
    if not tree.total:
        assert tree.draw(lambda bound: 0) is None and tree.choose(lambda bound: 0) is None


def test_draws_are_proportional_to_weight_and_a_busy_endpoint_gets_fewer_calls() -> None:
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
def test_a_weight_out_of_range_is_named(weight: int) -> None:
    with pytest.raises(ValueError, match=f"weight of 'a': {weight}"):
        Weighted[str]().put("a", weight)
