"""A cache of the last recorded results, for duplicates that arrive soon. No I/O; reads no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ..server.in_flight import InFlightRequest


def _memory_bytes(in_flight: InFlightRequest) -> int:
    return len(in_flight.request.body) + len(in_flight.result)


class RecentResults:
    """Recorded requests that are still in memory, oldest first."""

    def __init__(self) -> None:
        self._requests: deque[InFlightRequest] = deque()
        self._bytes = 0

    def add(self, in_flight: InFlightRequest) -> None:
        """Add a request whose result is recorded."""
        self._requests.append(in_flight)
        self._bytes += _memory_bytes(in_flight)

    def evict(self, max_results: int, max_bytes: int) -> Iterator[InFlightRequest]:
        """Remove and yield the oldest requests until both limits are kept."""
        while len(self._requests) > max_results or self._bytes > max_bytes:
            oldest = self._requests.popleft()
            self._bytes -= _memory_bytes(oldest)
            yield oldest
