"""Bounds the memory of requests over all connections: those being received, and those awaiting a response."""

from __future__ import annotations

import threading

# Shares of the process's memory. Threads, buffers, keys and results need the rest, and during an upgrade a
# second process has to fit beside this one.
PARTIAL_REQUESTS_DIVISOR = 16
OPEN_REQUESTS_DIVISOR = 8
# Memory of a request that has been received: its objects, the queues that it is in, and a body of 2 KiB.
OPEN_REQUEST_BYTES = 6_144
# Connections for each MiB of memory. A connection needs a thread, and a buffer while it receives.
CONNECTIONS_PER_MEBIBYTE = 4
# What a balancer holds that is interrupted within its largest request, and has others begun.
LARGEST_REQUEST_BYTES = 16_384
MEBIBYTE = 1 << 20


def connection_limit(memory_bytes: int) -> int:
    """The number of connections that a process with this much memory can serve."""
    return CONNECTIONS_PER_MEBIBYTE * memory_bytes // MEBIBYTE


class RequestMemory:
    """Counts what all connections hold, and tells when that is too much. Safe to call from any thread."""

    def __init__(self, memory_bytes: int) -> None:
        """`memory_bytes` is the memory limit of the process."""
        self.max_partial_bytes = memory_bytes // PARTIAL_REQUESTS_DIVISOR
        equal_share = self.max_partial_bytes // max(1, connection_limit(memory_bytes))
        self.max_partial_bytes_of_connection = max(equal_share, LARGEST_REQUEST_BYTES)
        self.max_open_requests = memory_bytes // OPEN_REQUESTS_DIVISOR // OPEN_REQUEST_BYTES
        self._lock = threading.Lock()  # guards the two counts
        self._partial_bytes = 0
        self._open_requests = 0

    @property
    def has_excessive_partial_requests(self) -> bool:
        """Whether the requests that are being received need too much memory."""
        return self._partial_bytes > self.max_partial_bytes

    @property
    def has_excessive_open_requests(self) -> bool:
        """Whether too many requests have been received and not been answered."""
        return self._open_requests > self.max_open_requests

    def change_partial_bytes(self, change: int) -> None:
        """Account for a change of the bytes held for requests that are being received."""
        with self._lock:
            self._partial_bytes += change

    def change_open_requests(self, change: int) -> None:
        """Account for a change of the number of requests that await their response."""
        with self._lock:
            self._open_requests += change
