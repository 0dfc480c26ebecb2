"""The table of idempotency keys in this process: which request owns a key, and until when.

Performs no I/O and reads no clock; times are microseconds of the monotonic clock.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """An entry of the table."""

    owner: int  # the id of the request that brought the key first
    expires_at: int  # an attempt that reached the machine before this time is a duplicate


class KeyTable:
    """Keys in this process, each with the request that owns it: the first one that brought it.

    `read_delay` is the longest time between the arrival of an attempt and the moment it is read.
    """

    def __init__(self, read_delay: int) -> None:
        self._read_delay = read_delay
        self._entries: dict[str, KeyEntry] = {}
        self._expiry_queue: list[tuple[int, str]] = []

    def owner(self, key: str, arrived_at: int) -> int | None:
        """Return the request that owns the key, for an attempt that arrived at `arrived_at`."""
        entry = self._entries.get(key)
        return entry.owner if entry is not None and arrived_at < entry.expires_at else None

    def owns(self, key: str | None, owner: int) -> bool:
        """Whether this request owns the key."""
        if key is None:
            return False
        entry = self._entries.get(key)
        return entry is not None and entry.owner == owner

    def insert(self, key: str, owner: int, expires_at: int) -> int | None:
        """Add a key. Returns the other request that owned it before, if there is one."""
        previous = self._entries.get(key)
        self._entries[key] = KeyEntry(owner, expires_at)
        heapq.heappush(self._expiry_queue, (expires_at + self._read_delay, key))
        return previous.owner if previous is not None and previous.owner != owner else None

    def remove(self, key: str | None, owner: int) -> bool:
        """Remove a key if this request owns it; return whether it did."""
        if key is None or not self.owns(key, owner):
            return False
        del self._entries[key]
        return True

    def expire(self, now: int) -> list[int]:
        """Remove the keys of which no duplicate can be read any more; return the requests that owned them."""
        owners = []
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            _, key = heapq.heappop(self._expiry_queue)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_at + self._read_delay <= now:
                del self._entries[key]
                owners.append(entry.owner)
        return owners
