"""Consistent hashing by Maglev's table."""

from __future__ import annotations

import pytest

from cairnvane.load_balancing.maglev import TABLE_SIZE, Maglev


def test_the_table_shares_by_weight_and_moves_few_keys() -> None:
    """'For a change in N members about 1/N of keys move'; Maglev moves slightly more."""
    weights = {f"e{n}": 1 + n % 3 for n in range(20)}
    table = Maglev(weights)
    for key, share in table.shares().items():
        assert abs(share / (weights[key] / sum(weights.values())) - 1) < 0.05
    reordered = Maglev(dict(reversed(weights.items())))
    fewer = Maglev({key: weight for key, weight in weights.items() if key != "e4"})
    assert all(table.choose(n) == reordered.choose(n) for n in range(TABLE_SIZE))
    moved = sum(table.choose(n) not in ("e4", fewer.choose(n)) for n in range(TABLE_SIZE))
    assert moved / TABLE_SIZE < 0.1 and all(fewer.choose(n) != "e4" for n in range(TABLE_SIZE))


def test_an_empty_table_chooses_none_and_a_size_that_is_not_prime_is_rejected() -> None:
    assert Maglev[str]({}).choose(7) is None and Maglev({"a": 0}).choose(7) is None
    assert {Maglev({"a": 1, "b": 0}, 7).choose(n) for n in range(20)} == {"a"}
    with pytest.raises(ValueError, match="8 is not a prime"):
        Maglev({"a": 1}, 8)
