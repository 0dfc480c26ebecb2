"""Observes the server for its member: request arrivals, the event loop, and the metadata to publish.

`ServerObserver` is a `RequestSink` in front of the server's own sink; used only if membership is enabled.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from .. import clock
from ..exchange import HealthCheck, Request, RequestSink
from .evidence import ExternalSignals
from .own_health import EventLoopMonitor, RequestArrivals


class ObservedServer(RequestSink, Protocol):
    """The interface of the server's event loop that the observer uses."""

    reported_load: float | None  # the load signal that is reported to clients

    def post(self, task: Callable[[], None]) -> None:
        """Run a task in the event loop's thread."""


def _two_digits(value: float) -> float:
    """Round to two significant digits, so that a small change of the value causes no new version."""
    return round(value, 1 - math.floor(math.log10(value))) if value > 0 else 0.0


class ServerObserver:
    """Forwards requests to the server and records them; safe to use from any thread."""

    def __init__(
        self,
        server: ObservedServer,
        version: str,
        registry_answers: Callable[[], bool],
        worker_pool_bound: Callable[[], bool],
        calls_in_flight: Callable[[], int],
    ) -> None:
        """Observe a server and forward its requests to it.

        `registry_answers` returns whether the service registry answers, `worker_pool_bound` whether the
        worker pool is bound, `calls_in_flight` the number of calls to the downstream dependency in flight.
        """
        self._server = server
        self._version = version
        self._registry_answers = registry_answers
        self._worker_pool_bound = worker_pool_bound
        self._calls_in_flight = calls_in_flight
        self._arrivals = RequestArrivals()
        self._event_loop = EventLoopMonitor()

    def request_arrived(self, request: Request) -> None:
        """Record a complete request and forward it."""
        self._arrivals.record(clock.now())
        self._server.request_arrived(request)

    def client_disconnected(self, request: Request) -> None:
        """Forward that a client disconnected before its response."""
        self._server.client_disconnected(request)

    def health_check_arrived(self, check: HealthCheck) -> None:
        """Forward a health check."""
        self._server.health_check_arrived(check)

    def wait_until_handled(self, timeout_s: float) -> None:
        """Wait for the server."""
        self._server.wait_until_handled(timeout_s)

    def external_signals(self) -> ExternalSignals:
        """The signals observed outside the members' channel; called in the thread of that channel."""
        now = clock.now()
        if self._event_loop.should_ask(now):
            self._server.post(self._event_loop.answered)
        return ExternalSignals(
            registry_answers=self._registry_answers(),
            requests_arrive=self._arrivals.are_arriving(now),
            worker_pool_bound=self._worker_pool_bound(),
            event_loop_responsive=self._event_loop.is_responsive(now),
        )

    def metadata(self) -> dict[str, Any]:
        """The metadata that this server publishes.

        Keys: requests per second (`asked`), the load signal (`free`), calls to the dependency in flight
        (`calls`), whether the event loop is unresponsive (`held`), and the program's version.
        """
        now = clock.now()
        metadata: dict[str, Any] = {
            "asked": _two_digits(self._arrivals.per_second(now)),
            "calls": self._calls_in_flight(),
            "held": not self._event_loop.is_responsive(now),
            "version": self._version,
        }
        load = self._server.reported_load
        if load is not None:
            metadata["free"] = _two_digits(load)
        return metadata
