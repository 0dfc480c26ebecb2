"""Circuit breakers and the retry budget of one priority of a cluster (Envoy: 'Circuit breaking')."""

from __future__ import annotations

from dataclasses import dataclass

from ..contract.events import Outcome

# Envoy's defaults for values that a description omits.
MAX_CONNECTIONS = 1_024
MAX_PENDING_REQUESTS = 1_024
MAX_REQUESTS = 1_024
MAX_RETRIES = 3
BUDGET_PERCENT = 20.0
MIN_RETRIES = 3


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Allows retries in proportion to the requests in flight."""

    percent: float = BUDGET_PERCENT
    min_retries: int = MIN_RETRIES  # allowed regardless of the number of requests in flight

    def allows(self, in_flight: int, retrying: int) -> bool:
        """Whether one more retry may be sent while `retrying` are in flight."""
        return retrying < max(self.min_retries, int(self.percent * in_flight / 100))


@dataclass(frozen=True, slots=True)
class CircuitBreakers:
    """The thresholds; 0 rejects everything."""

    connections: int = MAX_CONNECTIONS
    pending: int = MAX_PENDING_REQUESTS
    requests: int = MAX_REQUESTS
    retries: int = MAX_RETRIES
    budget: RetryBudget | None = None  # replaces `retries`

    def allows_call(self, in_flight: int, is_retry: bool = False, retrying: int = 0) -> bool:
        """Whether one more call may be sent."""
        if in_flight >= self.requests:
            return False
        if not is_retry:
            return True
        if self.budget is not None:
            return self.budget.allows(in_flight, retrying)
        return retrying < self.retries

    def call_allowance(self, load_signal: float | None) -> float:
        """The number of calls that one client may have in flight.

        This is the lower of the server's load signal and the breaker's limit; each side sets its own bound.
        """
        max_requests = float(self.requests)
        return max_requests if load_signal is None else min(load_signal, max_requests)


_NEVER_EXECUTED = (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NEVER_STARTED)


def may_retry_elsewhere(outcome: Outcome, has_effect: bool) -> bool:
    """Whether a call with this outcome may be retried at another endpoint.

    A call that `has_effect` may be retried only if it provably never executed at the first endpoint.
    """
    if outcome in _NEVER_EXECUTED:
        return True
    return not has_effect and outcome is not Outcome.OK
