"""A pool of receive buffers of one size."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

# Holds the largest legal record (`fastcgi.MAX_CONTENT`, header and padding) and a fair run of small ones.
BUFFER_SIZE = 16_384
# Idle buffers that are kept: enough for a usual set of connections, small beside the memory limit.
MAX_IDLE_BUFFERS = 64


class BufferPool:
    """Lends buffers of `BUFFER_SIZE` bytes; a returned one serves the next borrower."""

    def __init__(self) -> None:
        self._idle: list[bytearray] = []
        self._lock = threading.Lock()  # guards the list of idle buffers

    @contextmanager
    def lend(self) -> Iterator[memoryview]:
        """A buffer for as long as the context lasts. Its old content is still in it."""
        with self._lock:
            buffer = self._idle.pop() if self._idle else bytearray(BUFFER_SIZE)
        try:
            yield memoryview(buffer)
        finally:
            with self._lock:
                if len(self._idle) < MAX_IDLE_BUFFERS:
                    self._idle.append(buffer)
