"""Requests, health checks and responses: the interface between a protocol front end and the server.

A front end (`net.server`, which implements FastCGI) passes each `Request` or `HealthCheck` that it reads to a
`RequestSink`. The server ends it with `respond`; the front end's `deliver` callback writes the response.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class ResponseStatus(Enum):
    """How an attempt ended."""

    SERVED = "served"
    REJECTED = "refused"  # guarantees that this attempt never ran
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Response:
    """A final response, independent of the protocol."""

    status: ResponseStatus
    body: bytes = b""
    retry_after_ms: int = 0  # if rejected: how long the client should avoid this server
    no_retry: bool = False  # if rejected: whether the client is asked not to retry elsewhere
    load: float | None = None  # the server's load signal at the time of this response
    invalid_request: bool = False  # the request is malformed: no balancer sends such a request


class Exchange:
    """A request or health check that gets at most one response, even if several threads try to respond.

    `deliver` is called with the first response, in the thread that gives it.
    """

    __slots__ = ("_deliver", "_is_open", "_lock")

    def __init__(self, deliver: Callable[[Response], None]) -> None:
        self._deliver = deliver
        self._lock = threading.Lock()  # guards `_is_open`
        self._is_open = True

    def _close(self) -> bool:
        """Close the exchange; return whether it was open."""
        with self._lock:
            was_open = self._is_open
            self._is_open = False
        return was_open

    @property
    def is_open(self) -> bool:
        """Whether the exchange has no response yet and its client has not disconnected."""
        return self._is_open

    def respond(self, response: Response) -> None:
        """Deliver the final response, unless one was given before or the exchange was abandoned."""
        if self._close():
            self._deliver(response)

    def abandon(self) -> bool:
        """Close the exchange because its client disconnected; False if it was closed before."""
        return self._close()


class Request(Exchange):
    """One attempt of a request, as read from a balancer."""

    __slots__ = (
        "arrived_at",
        "body",
        "class_name",
        "client",
        "clock_skew",
        "idempotency_key",
        "memory",
        "uid",
    )

    def __init__(
        self,
        deliver: Callable[[Response], None],
        uid: str,
        class_name: str,
        body: bytes,
        *,
        arrived_at: int,
        client: int,
        memory: float,
        idempotency_key: str | None,
        clock_skew: int = 0,
    ) -> None:
        super().__init__(deliver)
        self.uid = uid
        self.class_name = class_name
        self.body = body
        self.arrived_at = arrived_at  # when it reached the machine, in microseconds of the monotonic clock
        # Microseconds by which its time stamp lay in the future; periods that count from the stamp end later.
        self.clock_skew = clock_skew
        self.client = client
        self.memory = memory  # kilobytes reserved while it is queued
        self.idempotency_key = idempotency_key  # the same for all attempts of one keyed request


class HealthCheck(Exchange):
    """A health check from a client."""

    __slots__ = ("deep",)

    def __init__(self, deliver: Callable[[Response], None], deep: bool) -> None:
        super().__init__(deliver)
        self.deep = deep  # the check should verify that real work gets done


class RequestSink(Protocol):
    """Receives requests and health checks from front ends. Its methods are thread-safe."""

    def request_arrived(self, request: Request) -> None:
        """A complete request was read."""

    def client_disconnected(self, request: Request) -> None:
        """The client of a request has disconnected or is unreachable."""

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""

    def wait_until_handled(self, timeout_s: float) -> None:
        """Wait, for at most `timeout_s` seconds, until all that was passed before has been handled."""


class ResponseCounter(Protocol):
    """Counts final responses as they are written, for the administration endpoint."""

    def response_sent(self, class_name: str, status: ResponseStatus) -> None:
        """The final response to a request of this class was written."""

    def request_rejected(self, class_name: str) -> None:
        """A request of this class was rejected before it was passed to the sink."""
