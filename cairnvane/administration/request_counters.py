"""Counts of requests by class, for the metrics of the administration endpoint.

Requests are counted where the FastCGI server hands them over and where it sends their responses. The counts
are therefore correct and can be read even while the host thread is busy.
"""

from __future__ import annotations

import threading
from typing import NamedTuple

from ..exchange import ResponseStatus

# The names of the counts, in the order of the output.
COUNTS = ("served", "refused", "failed", "attempts")
_COUNT_INDEX = {ResponseStatus.SERVED: 0, ResponseStatus.REJECTED: 1, ResponseStatus.FAILED: 2}
_ATTEMPTS_INDEX = 3


class CounterSnapshot(NamedTuple):
    """The values of all counters at one moment."""

    requests: dict[str, dict[str, int]]  # by class name and name of the count
    in_flight: int  # accepted requests without a response
    attempts: int  # runs sent to the worker pool, of all classes


class RequestCounters:
    """Counts accepted, answered and abandoned requests, and runs sent to the worker pool, by class."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self._lock = threading.Lock()  # guards all counts
        self._counts: dict[str, list[int]] = {name: [0] * len(COUNTS) for name in classes}
        self._in_flight = 0

    def _count(self, class_name: str, index: int) -> None:
        counts = self._counts.get(class_name)
        if counts is None:  # not a configured class: the host fails the request
            return
        counts[index] += 1

    def request_accepted(self) -> None:
        """Count a request that was completely read and handed over."""
        with self._lock:
            self._in_flight += 1

    def response_sent(self, class_name: str, status: ResponseStatus) -> None:
        """Count the final response to a request of this class."""
        with self._lock:
            self._in_flight -= 1
            self._count(class_name, _COUNT_INDEX[status])

    def request_rejected(self, class_name: str) -> None:
        """Count a request of this class that was rejected and not handed over."""
        with self._lock:
            self._count(class_name, _COUNT_INDEX[ResponseStatus.REJECTED])

    def client_disconnected(self) -> None:
        """Count a request whose client disconnected before the response."""
        with self._lock:
            self._in_flight -= 1

    def run_started(self, class_name: str) -> None:
        """Count a run of this class that was sent to the worker pool."""
        with self._lock:
            self._count(class_name, _ATTEMPTS_INDEX)

    def snapshot(self) -> CounterSnapshot:
        """The values of all counters, read at one moment."""
        with self._lock:
            requests = {name: dict(zip(COUNTS, counts, strict=True)) for name, counts in self._counts.items()}
            attempts = sum(counts[_ATTEMPTS_INDEX] for counts in self._counts.values())
            return CounterSnapshot(requests, max(0, self._in_flight), attempts)
