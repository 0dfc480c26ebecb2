"""A request sink in front of the host's: counts requests, and fails health checks during a drain.

It is used only if the administration endpoint is configured.
"""

from __future__ import annotations

from ..exchange import HealthCheck, Request, RequestSink, Response, ResponseStatus
from .readiness import Readiness
from .request_counters import RequestCounters


class DrainGate:
    """A `RequestSink` that wraps the host's."""

    def __init__(self, next_sink: RequestSink, readiness: Readiness, counters: RequestCounters) -> None:
        self._next_sink = next_sink
        self._readiness = readiness
        self._counters = counters

    def request_arrived(self, request: Request) -> None:
        """Count a request that was read, and forward it."""
        self._counters.request_accepted()
        self._next_sink.request_arrived(request)

    def client_disconnected(self, request: Request) -> None:
        """Count a request whose client disconnected before the response, and forward the event."""
        self._counters.client_disconnected()
        self._next_sink.client_disconnected(request)

    def health_check_arrived(self, check: HealthCheck) -> None:
        """Reject a health check at once while drained; otherwise forward it."""
        if self._readiness.drained:
            check.respond(Response(ResponseStatus.REJECTED))
        else:
            self._next_sink.health_check_arrived(check)

    def wait_until_handled(self, timeout_s: float) -> None:
        """Wait for the next sink."""
        self._next_sink.wait_until_handled(timeout_s)
