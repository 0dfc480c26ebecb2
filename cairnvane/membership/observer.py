"""The host as its members' channel sees it: an `Intake` before the host's that notes arrivals, a pulse, and
what this server carries for the others. Only in place where members are on."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from .. import clock
from ..exchange import HealthCheck, Request, RequestSink
from .evidence import ExternalSignals
from .own_health import EventLoopMonitor, RequestArrivals


class Served(RequestSink, Protocol):
    """Of the host, what is looked at here."""

    reported_load: float | None  # the free value that is told to callers

    def post(self, task: Callable[[], None]) -> None:
        """Have this done in the host thread."""


def _short(value: float) -> float:
    """Two digits: what hardly changes is not told anew."""
    return round(value, 1 - math.floor(math.log10(value))) if value > 0 else 0.0


class ServerObserver:
    """See the module; safe to use from any thread."""

    def __init__(
        self,
        host: Served,
        version: str,
        roster: Callable[[], bool],
        pool: Callable[[], bool],
        calls: Callable[[], int],
    ) -> None:
        """`roster`, `pool`: whether they answer. `calls`: how many the vault has in hand for us."""
        self._host, self._version = host, version
        self._roster, self._pool, self._calls = roster, pool, calls
        self._arrivals, self._pulse = RequestArrivals(), EventLoopMonitor()

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._arrivals.record(clock.now())
        self._host.request_arrived(request)

    def client_disconnected(self, request: Request) -> None:
        """Its caller has left before its answer."""
        self._host.client_disconnected(request)

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""
        self._host.health_check_arrived(check)

    def outside(self) -> ExternalSignals:
        """What is seen beside the channel; in the members' thread."""
        now = clock.now()
        if self._pulse.should_ask(now):
            self._host.post(self._pulse.answered)
        return ExternalSignals(
            self._roster(), self._arrivals.are_arriving(now), self._pool(), self._pulse.is_responsive(now)
        )

    def carried(self) -> dict[str, Any]:
        """What the others are to know of this server: how many requests come a second (`asked`), the free
        value (`free`), calls in the vault's hands (`calls`), whether its host stands still (`held`), and the
        program's version."""
        now = clock.now()
        told: dict[str, Any] = {
            "asked": _short(self._arrivals.per_second(now)),
            "calls": self._calls(),
            "held": not self._pulse.is_responsive(now),
            "version": self._version,
        }
        if (free := self._host.reported_load) is not None:
            told["free"] = _short(free)
        return told
