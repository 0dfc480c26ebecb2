"""A queue, bounded in time, of the keyed requests that arrive before the store's recovery is complete.

Reads no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from ..exchange import Request


class _QueuedRequest(NamedTuple):
    deadline: int  # microseconds of the monotonic clock
    request: Request


class RecoveryGate:
    """Queues requests until recovery is complete; before that it is not known which are duplicates."""

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
        """Open the gate when recovery is complete; return the queued requests in order of arrival."""
        queued = self._queue
        self._queue = []
        self.is_open = True
        return [entry.request for entry in queued]

    def pop_overdue(self, now: int) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        overdue = [entry.request for entry in self._queue if entry.deadline <= now]
        self._queue = [entry for entry in self._queue if entry.deadline > now]
        return overdue
