"""The figures of requests by class, as the door shows them.

Counted where the front hands a request over and where its answer goes out, so they are true whatever the
host thread is busy with; the door reads them without waiting for it.
"""

from __future__ import annotations

import threading

from ..exchange import ResponseStatus

# The names of the counts, in the order in which they are shown.
COUNTS = ("served", "refused", "failed", "attempts")
_INDEX = {ResponseStatus.SERVED: 0, ResponseStatus.REJECTED: 1, ResponseStatus.FAILED: 2}
ATTEMPTS = 3


class RequestCounters:
    """Requests taken, ended by verdict, left, and runs handed to the pool; by the name of the class."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, list[int]] = {name: [0, 0, 0, 0] for name in classes}
        self._in_flight = 0

    def _count(self, lane: str, index: int) -> None:
        counts = self._counts.get(lane)
        if counts is None:  # no class of the settings: the host fails it, and it is no class's figure
            return
        counts[index] += 1

    def request_accepted(self) -> None:
        """A request was read whole and handed over."""
        with self._lock:
            self._in_flight += 1

    def response_sent(self, lane: str, verdict: ResponseStatus) -> None:
        """Its final answer went out."""
        with self._lock:
            self._in_flight -= 1
            self._count(lane, _INDEX[verdict])

    def client_disconnected(self) -> None:
        """Its caller left before it was answered."""
        with self._lock:
            self._in_flight -= 1

    def run_started(self, lane: str) -> None:
        """A run was handed to the worker pool."""
        with self._lock:
            self._count(lane, ATTEMPTS)

    def figures(self) -> tuple[dict[str, dict[str, int]], int, int]:
        """The counts by class and name, the requests taken but not yet ended, and all runs handed over."""
        with self._lock:
            counts = {name: dict(zip(COUNTS, values, strict=True)) for name, values in self._counts.items()}
            attempts = sum(values[ATTEMPTS] for values in self._counts.values())
            return counts, max(0, self._in_flight), attempts
