"""The table of idempotency keys in this process: which request a key stands for, and until when.

Performs no I/O and reads no clock; times are microseconds of the monotonic clock.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """An entry of the table."""

    owner: int  # the number of the request
    expires_at: int  # an attempt that reached the machine before is a duplicate


class KeyTable:
    """Keys in this process, each with the request that brought it first.

    `read_delay` is how much later than it arrived an attempt may be read.
    """

    def __init__(self, read_delay: int) -> None:
        self._read_delay = read_delay
        self._entries: dict[str, KeyEntry] = {}
        self._expiries: list[tuple[int, str]] = []

    def owner(self, key: str, arrived_at: int) -> int | None:
        """The request that brought this key first, for an attempt that arrived at `arrived_at`."""
        entry = self._entries.get(key)
        return entry.owner if entry is not None and arrived_at < entry.expires_at else None

    def owns(self, key: str | None, owner: int) -> bool:
        """Whether the key stands for this request."""
        if key is None:
            return False
        entry = self._entries.get(key)
        return entry is not None and entry.owner == owner

    def insert(self, key: str, owner: int, expires_at: int) -> int | None:
        """Remember a key. Returns the other request that it stood for before, if there is one."""
        previous = self._entries.get(key)
        self._entries[key] = KeyEntry(owner, expires_at)
        heapq.heappush(self._expiries, (expires_at + self._read_delay, key))
        return previous.owner if previous is not None and previous.owner != owner else None

    def remove(self, key: str | None, owner: int) -> bool:
        """Remove a key if it stands for this request; whether it did."""
        if key is None or not self.owns(key, owner):
            return False
        del self._entries[key]
        return True

    def expire(self, now: int) -> list[int]:
        """Remove the keys that no attempt can bring any more; returns the requests that they stood for."""
        owners = []
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_at + self._read_delay <= now:
                del self._entries[key]
                owners.append(entry.owner)
        return owners
