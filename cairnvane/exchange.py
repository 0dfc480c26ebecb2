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


class Verdict(Enum):
    """What an answer says of the try."""

    SERVED = "served"
    REFUSED = "refused"  # a promise that this try never ran
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer, in no protocol's words."""

    verdict: Verdict
    body: bytes = b""
    stay_away_ms: int = 0  # refused: how long the caller should stay away
    last: bool = False  # refused: the wish that no other server is tried
    load: float | None = None  # the free value that counts from this answer on
    suspect: bool = False  # no balancer sends such a request


class Exchange:
    """Something that is owed one answer, whoever tries to give it and however often."""

    __slots__ = ("_deliver", "_lock", "_open")

    def __init__(self, deliver: Callable[[Answer], None]) -> None:
        self._deliver = deliver
        self._lock = threading.Lock()
        self._open = True

    def _close(self) -> bool:
        with self._lock:
            was_open, self._open = self._open, False
        return was_open

    @property
    def open(self) -> bool:
        """No answer was given and the caller has not left."""
        return self._open

    def finish(self, answer: Answer) -> None:
        """Give the final answer. Guards the rule on duplicates: only the first one is delivered."""
        if self._close():
            self._deliver(answer)

    def withdraw(self) -> bool:
        """The caller has left: no answer is owed, none goes out. False if it was answered before."""
        return self._close()


class Request(Exchange):
    """A try of a request, as it was read."""

    __slots__ = ("ahead", "arrived", "body", "caller", "lane", "memory", "token", "uid")

    def __init__(
        self,
        deliver: Callable[[Answer], None],
        uid: str,
        lane: str,
        body: bytes,
        *,
        arrived: int,
        caller: int,
        memory: float,
        token: str | None,
        ahead: int = 0,
    ) -> None:
        super().__init__(deliver)
        self.uid = uid
        self.lane = lane  # the name of its class
        self.body = body
        self.arrived = arrived  # when it reached the machine, in microseconds of the monotonic clock
        self.ahead = ahead  # how far its stamp lay in the future: what counts from the stamp ends later
        self.caller = caller
        self.memory = memory  # kilobytes that are booked while it is held
        self.token = token  # the same for all tries of one keyed request


class Check(Exchange):
    """A health check."""

    __slots__ = ("deep",)

    def __init__(self, deliver: Callable[[Answer], None], deep: bool) -> None:
        super().__init__(deliver)
        self.deep = deep  # the caller wants to know whether work gets done


class Intake(Protocol):
    """Where fronts hand over what they read. Safe to call from any thread."""

    def arrived(self, request: Request) -> None:
        """A whole request was read."""

    def gone(self, request: Request) -> None:
        """Its caller has left, or can't be reached any more."""

    def checked(self, check: Check) -> None:
        """A health check was read."""


class Meter(Protocol):
    """Who counts final answers as they go out, where the operators' door shows figures."""

    def ended(self, lane: str, verdict: Verdict) -> None:
        """A request of this class got its final answer."""
