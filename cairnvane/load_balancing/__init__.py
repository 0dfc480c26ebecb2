"""What is known of clusters and endpoints, and where a call goes. No I/O, no clock, no random source of
its own.

`shares` says how much of a cluster's traffic each priority and locality gets, `weighted` draws an endpoint
by weight and in-flight calls, `bounds` are circuit breakers and the retry budget, `outliers` ejects and
slow start joins. The rules are those that Envoy's documentation publishes; `tests/test_fleet.py` quotes
their tables. Not wired to the server yet: `docs/ROADMAP.md` says what is still to come.
"""

from .circuit_breakers import Breakers, RetryBudget
from .locality_weights import Health, localities, priorities
from .outlier_detection import Outliers, slow_start
from .weighted_choice import Weighted

__all__ = [
    "Breakers",
    "Health",
    "Outliers",
    "RetryBudget",
    "Weighted",
    "localities",
    "priorities",
    "slow_start",
]
