"""The load signal that is sent with every response, and the health status for health checks."""

from __future__ import annotations

from ..contract.actions import ReportLoad, SetHealth
from ..contract.settings import LoadSignal, Settings
from . import parameters
from .estimators import FailureRate


class LoadReports:
    """Computes the load signal, which makes clients send less before requests cost reading time."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.target_load = 1.0  # fraction of the usual load that clients should send
        self.overloaded = False  # since the last timer
        self.reading_delayed = False  # since the last timer
        self.reported_value: float | None = None

    def needs_timer(self) -> bool:
        """Whether a timer is needed because the load signal may change with time."""
        return self.overloaded or self.reading_delayed or self.target_load < 1 or self.reported_value is None

    def on_timer(self, cores_full: bool, draining: bool) -> ReportLoad | None:
        """Adjust the target load by AIMD; the report to send if the load signal changed."""
        # A read delay on cores that are not full means slow reading: less load would only leave cores idle.
        if self.overloaded or (self.reading_delayed and cores_full):
            reduced = self.target_load * parameters.LOAD_SIGNAL_DECREASE
            self.target_load = max(parameters.LOAD_SIGNAL_MINIMUM, reduced)
        else:
            self.target_load = min(1.0, self.target_load + parameters.LOAD_SIGNAL_INCREASE)
        self.overloaded = False
        self.reading_delayed = False
        return self.report(draining)

    def report(self, draining: bool) -> ReportLoad | None:
        """The report of the load signal if it changed since the last one."""
        value = self._signal_value(draining)
        changed = value != self.reported_value
        self.reported_value = value
        return ReportLoad(value) if changed and self._settings.load_signal is not LoadSignal.NONE else None

    def _signal_value(self, draining: bool) -> float:
        settings = self._settings
        target_load = 0.0 if draining else self.target_load
        if settings.load_signal is LoadSignal.NONE:
            return 0.0
        if settings.load_signal is LoadSignal.WEIGHT:
            return target_load
        if settings.load_signal is LoadSignal.LEVEL:
            # Each class has an equal band of ranks. The class of greatest weight is excluded only in a drain.
            return 1.0 if draining else (1 - target_load) * (1 - 1 / len(settings.classes))
        # At full target load a client gets the credit of all: one client may send much of the traffic.
        clients = settings.clients if target_load < 1 else 1
        return target_load * parameters.CREDITS_PER_CORE * settings.cores / max(1, clients)


class Health:
    """Reports bad health while runs fail, since an instance with quick failures would attract more requests.

    Clients that use health checks go to other instances, and return as the failure rate decays. This does
    harm if all instances fail at once for a shared cause.
    """

    def __init__(self) -> None:
        self.failure_rate = FailureRate()
        self._healthy = True

    def needs_timer(self) -> bool:
        """Whether a timer is needed because the health may change with time."""
        return not self._healthy or self.failure_rate.value >= parameters.UNHEALTHY_FAILURE_RATE

    def start_drain(self) -> SetHealth:
        """Report bad health from now on."""
        self._healthy = False
        return SetHealth(False, True)

    def on_timer(self, draining: bool) -> SetHealth | None:
        """Decay the failure rate; the action that reports the health if it changed."""
        self.failure_rate.decay()
        limit = parameters.UNHEALTHY_FAILURE_RATE
        healthy = self.failure_rate.value < (limit if self._healthy else limit / 2) and not draining
        if healthy is self._healthy:
            return None
        self._healthy = healthy
        return SetHealth(healthy, True)
