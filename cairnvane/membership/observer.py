"""Observes the server for its members' channel: arrivals, the event loop, and what is published to others.

A `RequestSink` in front of the server's own; only in place where membership is on.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from .. import clock
from ..exchange import HealthCheck, Request, RequestSink
from .evidence import ExternalSignals
from .own_health import EventLoopMonitor, RequestArrivals


class Served(RequestSink, Protocol):
    """What is needed of the server's event loop here."""

    reported_load: float | None  # the load signal that is reported to clients

    def post(self, task: Callable[[], None]) -> None:
        """Run this in the event loop's thread."""


def _two_digits(value: float) -> float:
    """Two significant digits: a value that hardly changes is not published anew."""
    return round(value, 1 - math.floor(math.log10(value))) if value > 0 else 0.0


class ServerObserver:
    """Passes requests on and observes them; safe to use from any thread."""

    def __init__(
        self,
        host: Served,
        version: str,
        roster: Callable[[], bool],
        pool: Callable[[], bool],
        calls: Callable[[], int],
    ) -> None:
        """Observe a server in front of which this is put.

        `roster`: whether the service registry answers. `pool`: whether the worker pool is bound. `calls`: how
        many calls to the downstream dependency are in flight.
        """
        self._server = host
        self._version = version
        self._registry_answers = roster
        self._worker_pool_bound = pool
        self._calls_in_flight = calls
        self._arrivals = RequestArrivals()
        self._event_loop = EventLoopMonitor()

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._arrivals.record(clock.now())
        self._server.request_arrived(request)

    def client_disconnected(self, request: Request) -> None:
        """A client has disconnected before its answer."""
        self._server.client_disconnected(request)

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""
        self._server.health_check_arrived(check)

    def external_signals(self) -> ExternalSignals:
        """What is observed outside of the members' channel; called in its thread."""
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

        Keys: requests a second (`asked`), the load signal (`free`), calls to the dependency in flight
        (`calls`), whether the event loop stands still (`held`), and the program's version.
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
