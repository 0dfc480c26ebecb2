"""What clients learn: the load signal with every response, and the health that checks report."""

from __future__ import annotations

from ..contract.actions import ReportLoad, SetHealth
from ..contract.settings import LoadSignal, Settings
from . import parameters
from .estimators import FailureRate


class LoadReports:
    """Clients that heed the load signal send less before their requests must be read."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.invited_fraction = 1.0  # of the usual load that clients are invited to send
        self.overloaded = False  # since the last timer
        self.reading_delayed = False  # since the last timer
        self.reported: float | None = None

    def needs_timer(self) -> bool:
        """Whether the value may change with time."""
        return self.overloaded or self.reading_delayed or self.invited_fraction < 1 or self.reported is None

    def on_timer(self, cores_full: bool, draining: bool) -> ReportLoad | None:
        """Move the invited fraction by AIMD; a changed value is to be reported."""
        # Reading on cores that are not full is only slow: clients that held back would leave them idle.
        if self.overloaded or (self.reading_delayed and cores_full):
            reduced = self.invited_fraction * parameters.LOAD_SIGNAL_DECREASE
            self.invited_fraction = max(parameters.LOAD_SIGNAL_MINIMUM, reduced)
        else:
            self.invited_fraction = min(1.0, self.invited_fraction + parameters.LOAD_SIGNAL_INCREASE)
        self.overloaded = False
        self.reading_delayed = False
        return self.report(draining)

    def report(self, draining: bool) -> ReportLoad | None:
        """The value to send from now on, if it has changed."""
        value = self._value(draining)
        changed = value != self.reported
        self.reported = value
        return ReportLoad(value) if changed and self._settings.load_signal is not LoadSignal.NONE else None

    def _value(self, draining: bool) -> float:
        settings = self._settings
        invited = 0.0 if draining else self.invited_fraction
        if settings.load_signal is LoadSignal.NONE:
            return 0.0
        if settings.load_signal is LoadSignal.WEIGHT:
            return invited
        if settings.load_signal is LoadSignal.LEVEL:
            # Ranks fall into equal bands by class. But for a drain, the greatest weight is always invited.
            return 1.0 if draining else (1 - invited) * (1 - 1 / len(settings.classes))
        # While all are invited the credit binds nobody: one client may carry much of the traffic.
        clients = settings.clients if invited < 1 else 1
        return invited * parameters.CREDITS_PER_CORE * settings.cores / max(1, clients)


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
