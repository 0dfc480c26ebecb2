"""Load balancing: clusters, endpoints, and the choice of an endpoint for a call.

The package does no I/O, reads no clock, and has no random source of its own. `locality_weights` computes
the traffic share of each priority and locality, `weighted_choice` draws an endpoint by weight and calls in
flight, `maglev` chooses one by a hash. `circuit_breakers` limits calls and retries, `outlier_detection`
ejects failing endpoints and implements slow start, `endpoints` tracks the life cycle of each endpoint, and
`cluster` holds the descriptions. The rules follow Envoy's documentation, whose tables `tests/load_balancing`
quotes. The server does not use this package yet; `docs/ROADMAP.md` lists the open work.
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
