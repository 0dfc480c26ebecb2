"""A pool of receive buffers of equal size."""

from __future__ import annotations

import threading

# In bytes. Holds the largest legal record (`fastcgi.MAX_CONTENT_BYTES`, header and padding) and several small
# records.
BUFFER_SIZE = 16_384
# Enough for the usual number of connections, and small in relation to the memory limit.
MAX_IDLE_BUFFERS = 64


class BufferPool:
    """Lends buffers of `BUFFER_SIZE` bytes, and reuses the returned ones."""

    def __init__(self) -> None:
        self._idle: list[bytearray] = []
        self._lock = threading.Lock()  # guards the list of idle buffers

    def borrow(self) -> bytearray:
        """Return a buffer, which `give_back` takes back. It is not cleared before reuse."""
        with self._lock:
            return self._idle.pop() if self._idle else bytearray(BUFFER_SIZE)

    def give_back(self, buffer: bytearray) -> None:
        """Take a buffer back for reuse."""
        with self._lock:
            if len(self._idle) < MAX_IDLE_BUFFERS:
                self._idle.append(buffer)
