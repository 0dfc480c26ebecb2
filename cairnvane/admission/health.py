"""The health that the instance reports, by the rate of failed runs."""

from __future__ import annotations

from ..contract.actions import SetHealth
from . import parameters
from .estimators import FailureRate


class Health:
    """Guards against quick failures, which free this instance for more requests.

    Clients that heed health checks are sent elsewhere, and return as the failure rate decays. It does harm if
    all instances fail at once for a shared cause.
    """

    def __init__(self) -> None:
        self.failure_rate = FailureRate()
        self._healthy = True

    def needs_timer(self) -> bool:
        """Whether the reported health may change with time."""
        return not self._healthy or self.failure_rate.value >= parameters.UNHEALTHY_FAILURE_RATE

    def start_drain(self) -> SetHealth:
        """Report bad health from now on."""
        self._healthy = False
        return SetHealth(False, True)

    def on_timer(self, draining: bool) -> SetHealth | None:
        """Let the failure rate decay; a changed health is to be reported."""
        self.failure_rate.decay()
        limit = parameters.UNHEALTHY_FAILURE_RATE
        healthy = self.failure_rate.value < (limit if self._healthy else limit / 2) and not draining
        if healthy is self._healthy:
            return None
        self._healthy = healthy
        return SetHealth(healthy, True)
