"""Between the front and the host: counts what is handed over, and answers health checks as bad while the
operators have the process drained. Only in place where the door is."""

from __future__ import annotations

from ..exchange import HealthCheck, Request, RequestSink, Response, ResponseStatus
from .readiness import Readiness
from .request_counters import RequestCounters


class DrainGate:
    """An `Intake` before the host's."""

    def __init__(self, host: RequestSink, duty: Readiness, tally: RequestCounters) -> None:
        self._host, self._duty, self._tally = host, duty, tally

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._tally.request_accepted()
        self._host.request_arrived(request)

    def client_disconnected(self, request: Request) -> None:
        """Its caller has left before its answer."""
        self._tally.client_disconnected()
        self._host.client_disconnected(request)

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read: bad at once while drained, else the host's."""
        if self._duty.drained:
            check.respond(Response(ResponseStatus.REJECTED))
        else:
            self._host.health_check_arrived(check)
