"""A request sink before the host's: counts requests, and fails health checks while the process is drained.

Only in place where there is an administration endpoint.
"""

from __future__ import annotations

from ..exchange import HealthCheck, Request, RequestSink, Response, ResponseStatus
from .readiness import Readiness
from .request_counters import RequestCounters


class DrainGate:
    """A `RequestSink` before the host's."""

    def __init__(self, host: RequestSink, duty: Readiness, tally: RequestCounters) -> None:
        self._next_sink = host
        self._readiness = duty
        self._counters = tally

    def request_arrived(self, request: Request) -> None:
        """Count a request that was read, and pass it on."""
        self._counters.request_accepted()
        self._next_sink.request_arrived(request)

    def client_disconnected(self, request: Request) -> None:
        """Count a request whose client disconnected before its answer, and pass that on."""
        self._counters.client_disconnected()
        self._next_sink.client_disconnected(request)

    def health_check_arrived(self, check: HealthCheck) -> None:
        """Reject a health check at once while drained, else pass it on."""
        if self._readiness.drained:
            check.respond(Response(ResponseStatus.REJECTED))
        else:
            self._next_sink.health_check_arrived(check)
