"""Keyed requests that arrive before the store has recovered: queued, for a bounded time. Reads no clock."""

from __future__ import annotations

from typing import NamedTuple

from ..exchange import Request


class _QueuedRequest(NamedTuple):
    deadline: int  # microseconds of the monotonic clock
    request: Request


class RecoveryGate:
    """Queues requests until recovery is complete: before that nobody knows what they duplicate."""

    def __init__(self) -> None:
        self._queue: list[_QueuedRequest] = []
        self.is_open = False

    def __bool__(self) -> bool:
        """Whether requests are queued."""
        return bool(self._queue)

    def enqueue(self, request: Request, deadline: int) -> None:
        """Queue a request until recovery is complete, at most until `deadline`."""
        self._queue.append(_QueuedRequest(deadline, request))

    def open(self) -> list[Request]:
        """Recovery is complete: returns the queued requests in the order of their arrival."""
        queued = self._queue
        self._queue = []
        self.is_open = True
        return [entry.request for entry in queued]

    def take_overdue(self, now: int) -> list[Request]:
        """Remove and return the requests that have waited long enough."""
        overdue = [entry.request for entry in self._queue if entry.deadline <= now]
        self._queue = [entry for entry in self._queue if entry.deadline > now]
        return overdue
