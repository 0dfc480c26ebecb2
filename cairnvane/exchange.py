"""What a front protocol and the host pass each other: the only thing that both know.

A front (today `net.server`, FastCGI) turns its wire into a `Request` or a `Check` and hands it to the
`Intake`. Whoever holds it ends it with `finish`; the front's `deliver` puts the answer on the wire.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class ResponseStatus(Enum):
    """What an answer says of the try."""

    SERVED = "served"
    REJECTED = "refused"  # a promise that this try never ran
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Response:
    """A final answer, in no protocol's words."""

    status: ResponseStatus
    body: bytes = b""
    retry_after_ms: int = 0  # refused: how long the caller should stay away
    no_retry: bool = False  # refused: the wish that no other server is tried
    load: float | None = None  # the free value that counts from this answer on
    invalid_request: bool = False  # no balancer sends such a request


class Exchange:
    """Something that is owed one answer, whoever tries to give it and however often."""

    __slots__ = ("_deliver", "_is_open", "_lock")

    def __init__(self, deliver: Callable[[Response], None]) -> None:
        self._deliver = deliver
        self._lock = threading.Lock()
        self._is_open = True

    def _close(self) -> bool:
        with self._lock:
            was_open, self._is_open = self._is_open, False
        return was_open

    @property
    def is_open(self) -> bool:
        """No answer was given and the caller has not left."""
        return self._is_open

    def respond(self, answer: Response) -> None:
        """Give the final answer. Guards the rule on duplicates: only the first one is delivered."""
        if self._close():
            self._deliver(answer)

    def abandon(self) -> bool:
        """The caller has left: no answer is owed, none goes out. False if it was answered before."""
        return self._close()


class Request(Exchange):
    """A try of a request, as it was read."""

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
        self.class_name = class_name  # the name of its class
        self.body = body
        self.arrived_at = arrived_at  # when it reached the machine, in microseconds of the monotonic clock
        self.clock_skew = (
            clock_skew  # how far its stamp lay in the future: what counts from the stamp ends later
        )
        self.client = client
        self.memory = memory  # kilobytes that are booked while it is held
        self.idempotency_key = idempotency_key  # the same for all tries of one keyed request


class HealthCheck(Exchange):
    """A health check."""

    __slots__ = ("deep",)

    def __init__(self, deliver: Callable[[Response], None], deep: bool) -> None:
        super().__init__(deliver)
        self.deep = deep  # the caller wants to know whether work gets done


class RequestSink(Protocol):
    """Where fronts hand over what they read. Safe to call from any thread."""

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""

    def client_disconnected(self, request: Request) -> None:
        """Its caller has left, or can't be reached any more."""

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""


class ResponseCounter(Protocol):
    """Who counts final answers as they go out, where the operators' door shows figures."""

    def response_sent(self, lane: str, verdict: ResponseStatus) -> None:
        """A request of this class got its final answer."""
