"""Circuit breakers, the retry budget, and which calls may be retried elsewhere."""

from __future__ import annotations

import pytest

from cairnvane.contract.events import Outcome
from cairnvane.load_balancing import (
    CircuitBreakers,
    RetryBudget,
)
from cairnvane.load_balancing.circuit_breakers import may_retry_elsewhere


def test_circuit_breakers_and_retry_budget() -> None:
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
    ("outcome", "has_effect", "expected"),
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
def test_a_call_with_effect_is_retried_elsewhere_only_if_it_never_executed(
    outcome: Outcome, has_effect: bool, expected: bool
) -> None:
    assert may_retry_elsewhere(outcome, has_effect) is expected
