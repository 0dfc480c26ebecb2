"""Clusters and endpoints, and where a call goes. No I/O, no clock, no random source of its own.

`locality_weights` says how much of a cluster's traffic each priority and locality gets, `weighted_choice`
draws an endpoint by weight and calls in flight, `maglev` by a hash. `circuit_breakers` bounds calls and
retries, `outlier_detection` ejects failing endpoints and has joining ones start slowly, `endpoints` keeps the
life cycle of each, `cluster` is the description. The rules are those that Envoy's documentation publishes;
`tests/load_balancing` quotes their tables. Not wired to the server yet: `docs/ROADMAP.md` says what is still
to come.
"""

from .circuit_breakers import CircuitBreakers, RetryBudget
from .locality_weights import HealthCount, locality_shares, priority_loads
from .outlier_detection import OutlierDetector, slow_start
from .weighted_choice import Weighted

__all__ = [
    "CircuitBreakers",
    "HealthCount",
    "OutlierDetector",
    "RetryBudget",
    "Weighted",
    "locality_shares",
    "priority_loads",
    "slow_start",
]
