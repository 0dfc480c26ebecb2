"""Circuit breakers and the retry budget of one priority of a cluster (Envoy: 'Circuit breaking')."""

from __future__ import annotations

from dataclasses import dataclass

from ..contract.events import Outcome

# Envoy's own figures, where a description leaves them out.
CONNECTIONS = PENDING = REQUESTS = 1_024
RETRIES = 3
BUDGET_PERCENT, LEAST_RETRIES = 20.0, 3


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """So many retries as go with what is in flight."""

    percent: float = BUDGET_PERCENT
    least: int = LEAST_RETRIES

    def allows(self, in_flight: int, retrying: int) -> bool:
        """Whether one more retry may go out beside `retrying` of them."""
        return retrying < max(self.least, int(self.percent * in_flight / 100))


@dataclass(frozen=True, slots=True)
class Breakers:
    """The thresholds; 0 lets nothing through."""

    connections: int = CONNECTIONS
    pending: int = PENDING
    requests: int = REQUESTS
    retries: int = RETRIES
    budget: RetryBudget | None = None  # takes the place of `retries`

    def allows_call(self, in_flight: int, is_retry: bool = False, retrying: int = 0) -> bool:
        """Whether one more call may go out."""
        if in_flight >= self.requests:
            return False
        if not is_retry:
            return True
        return self.budget.allows(in_flight, retrying) if self.budget else retrying < self.retries

    def credit(self, free_value: float | None) -> float:
        """How many calls one caller may have here, by both sides' advice: the lower of the free value and the
        breaker, since each is a bound that its side has a reason for."""
        return float(self.requests) if free_value is None else min(free_value, float(self.requests))


_NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NEVER_STARTED)


def may_go_elsewhere(outcome: Outcome, keyed: bool) -> bool:
    """Whether a call that ended so may be made to another endpoint: one with an effect only if it provably
    never ran at the first."""
    return outcome in _NEVER_RAN or (not keyed and outcome is not Outcome.OK)
