"""Requests, health checks and responses: the interface between a front protocol and the server behind it.

A front (`net.server`, which speaks FastCGI) turns what it reads into a `Request` or a `HealthCheck` and hands
it to a `RequestSink`. Whoever holds it ends it with `respond`; the front's `deliver` writes the response.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class ResponseStatus(Enum):
    """What became of the attempt."""

    SERVED = "served"
    REJECTED = "refused"  # with the promise that this attempt never ran
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Response:
    """A final response, independent of the protocol."""

    status: ResponseStatus
    body: bytes = b""
    retry_after_ms: int = 0  # if rejected: how long the client should avoid this server
    no_retry: bool = False  # if rejected: whether the client is asked not to retry elsewhere
    load: float | None = None  # the server's load signal as of this response
    invalid_request: bool = False  # the request is one that no balancer sends


class Exchange:
    """Something that is owed one response, whoever tries to give it and however often.

    `deliver` is called with the response, at most once, in the thread that gives it.
    """

    __slots__ = ("_deliver", "_is_open", "_lock")

    def __init__(self, deliver: Callable[[Response], None]) -> None:
        self._deliver = deliver
        self._lock = threading.Lock()  # guards `_is_open`
        self._is_open = True

    def _close(self) -> bool:
        """Close the exchange; whether it was open until now."""
        with self._lock:
            was_open = self._is_open
            self._is_open = False
        return was_open

    @property
    def is_open(self) -> bool:
        """Whether no response was given and the client has not disconnected."""
        return self._is_open

    def respond(self, response: Response) -> None:
        """Give the final response; only the first one is delivered, and none after `abandon`."""
        if self._close():
            self._deliver(response)

    def abandon(self) -> bool:
        """Note that the client has disconnected, so no response is owed; False if one was given before."""
        return self._close()


class Request(Exchange):
    """One attempt of a request, as it was read."""

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
        # How many microseconds its time stamp lay in the future: what counts from the stamp ends later.
        self.clock_skew = clock_skew
        self.client = client
        self.memory = memory  # kilobytes that are reserved while it is queued
        self.idempotency_key = idempotency_key  # the same for all attempts of one keyed request


class HealthCheck(Exchange):
    """A health check by a client."""

    __slots__ = ("deep",)

    def __init__(self, deliver: Callable[[Response], None], deep: bool) -> None:
        super().__init__(deliver)
        self.deep = deep  # the client wants to know whether real work gets done


class RequestSink(Protocol):
    """Takes what fronts read. Safe to call from any thread."""

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""

    def client_disconnected(self, request: Request) -> None:
        """The client of a request has disconnected, or can't be reached any more."""

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""


class ResponseCounter(Protocol):
    """Counts final responses as they are written, for the administration endpoint."""

    def response_sent(self, class_name: str, status: ResponseStatus) -> None:
        """A request of this class got its final response."""
