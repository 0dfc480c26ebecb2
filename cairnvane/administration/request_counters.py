"""Counts of requests by class, for the metrics of the administration endpoint.

Counted where the FastCGI server hands a request over and where its answer goes out, so they are true whatever
the host thread is busy with; they are read without waiting for it.
"""

from __future__ import annotations

import threading
from typing import NamedTuple

from ..exchange import ResponseStatus

# The names of the counts, in the order in which they are shown.
COUNTS = ("served", "refused", "failed", "attempts")
_COUNT_INDEX = {ResponseStatus.SERVED: 0, ResponseStatus.REJECTED: 1, ResponseStatus.FAILED: 2}
_ATTEMPTS_INDEX = 3


class Figures(NamedTuple):
    """The counts at one moment."""

    requests: dict[str, dict[str, int]]  # by the class's name and the count's
    in_flight: int  # requests that were accepted and are not answered
    attempts: int  # runs sent to the worker pool, of all classes


class RequestCounters:
    """Requests accepted, answered by status, abandoned, and runs sent to the pool; by the class's name."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self._lock = threading.Lock()  # guards all counts
        self._counts: dict[str, list[int]] = {name: [0] * len(COUNTS) for name in classes}
        self._in_flight = 0

    def _count(self, class_name: str, index: int) -> None:
        counts = self._counts.get(class_name)
        if counts is None:  # no class of the settings: the host fails the request, and no class counts it
            return
        counts[index] += 1

    def request_accepted(self) -> None:
        """A request was read whole and handed over."""
        with self._lock:
            self._in_flight += 1

    def response_sent(self, lane: str, verdict: ResponseStatus) -> None:
        """A request of the class named `lane` got its final answer."""
        with self._lock:
            self._in_flight -= 1
            self._count(lane, _COUNT_INDEX[verdict])

    def client_disconnected(self) -> None:
        """A request's client disconnected before it was answered."""
        with self._lock:
            self._in_flight -= 1

    def run_started(self, lane: str) -> None:
        """A run of the class named `lane` was sent to the worker pool."""
        with self._lock:
            self._count(lane, _ATTEMPTS_INDEX)

    def figures(self) -> Figures:
        """All counts, taken at one moment."""
        with self._lock:
            requests = {name: dict(zip(COUNTS, counts, strict=True)) for name, counts in self._counts.items()}
            attempts = sum(counts[_ATTEMPTS_INDEX] for counts in self._counts.values())
            return Figures(requests, max(0, self._in_flight), attempts)
