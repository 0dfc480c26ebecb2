"""The protocol of the server, as the code for durable keys calls it."""

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
        """Run a task in the server thread. May be called from any thread."""

    def notify(self, event: Event) -> None:
        """Pass an event to the admission controller."""

    def start_run(self, in_flight: InFlightRequest) -> None:
        """Have the worker pool run the request. May be called from any thread."""

    def respond(self, request: Request, status: ResponseStatus, body: bytes = b"", away_ms: int = 0) -> None:
        """Send the final answer, unless one was sent before; `away_ms` is the retry-after time.

        May be called from any thread.
        """

    def run_never_started(self, in_flight: InFlightRequest) -> None:
        """Handle a run that was about to start and provably never did."""

    def run_ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        """Handle the end, in another incarnation, of a run that was to start here (None: no result)."""

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome) -> None:
        """Handle the end of a run: answer the duplicates that wait for it."""

    def release(self, in_flight: InFlightRequest) -> None:
        """Remove a request from memory; its end is in the store."""

    def adopt_run(self, run: StartedRun, class_number: int, time_left: int) -> InFlightRequest:
        """Continue a run of an earlier incarnation as an own run; it is cancelled after `time_left`."""

    def retry_arrival(self, request: Request) -> None:
        """Process the arrival of a request again, after it was queued."""
