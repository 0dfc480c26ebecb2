"""What the server does on behalf of the durable keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..contract.events import Event, Outcome
from ..exchange import Request, ResponseStatus
from ..server.in_flight import InFlightRequest
from .store import StartedRun


class RequestOwner(Protocol):
    """The server. Its methods are called in the server thread, unless they say otherwise."""

    def post(self, task: Callable[[], None]) -> None:
        """Run a task in the server thread. From any thread."""

    def notify(self, event: Event) -> None:
        """Hand an event to the controller."""

    def start_run(self, in_flight: InFlightRequest) -> None:
        """Have the worker pool run the request. From any thread."""

    def respond(self, request: Request, status: ResponseStatus, body: bytes = b"", away_ms: int = 0) -> None:
        """Give the final answer, unless one was given. `away_ms` is the retry-after. From any thread."""

    def run_never_started(self, in_flight: InFlightRequest) -> None:
        """A run that was about to start provably has not."""

    def run_ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        """A run that was to start here has ended in another incarnation (None: without a result)."""

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome) -> None:
        """The run is over: notify all who wait for it."""

    def release(self, in_flight: InFlightRequest) -> None:
        """The request may leave memory: the store has it."""

    def adopt_run(self, run: StartedRun, class_number: int, time_left: int) -> InFlightRequest:
        """Treat a run of an earlier incarnation as one's own; it is cancelled after `time_left`."""

    def retry_arrival(self, request: Request) -> None:
        """Process an arrival once more."""
