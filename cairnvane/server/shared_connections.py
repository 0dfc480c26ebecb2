"""The limit on connections that the concurrent incarnations of one bid server share.

During an upgrade two processes serve, and together they may hold no more sockets than one. May be used from
any thread.
"""

from __future__ import annotations

import struct
import threading

from ..claims import Incarnations
from ..claims.incarnations import PublishedPart

# How often the incarnations are listed. Their connections are read each time.
LIST_INTERVAL_US = 200_000
# The part of the limit that a new incarnation may use before the earlier one has made room.
INITIAL_DIVISOR = 8
_COUNT = struct.Struct("<I")


class SharedConnections:
    """Publishes how many connections this incarnation has, and tells how many it may have."""

    def __init__(self, incarnations: Incarnations, limit: int) -> None:
        """`limit` is the number of connections that all incarnations may have together."""
        self._incarnations = incarnations
        self._limit = limit
        self._lock = threading.Lock()  # guards all attributes below
        self._others: list[int] = []
        self._listed_at: int | None = None
        self._published: int | None = None

    def publish(self, count: int) -> None:
        """Publish the number of connections of this incarnation."""
        with self._lock:
            if count != self._published:
                self._published = count
                self._incarnations.publish(PublishedPart.CONNECTIONS, _COUNT.pack(count))

    def limit(self, now: int) -> int:
        """Return how many connections this incarnation may have.

        An earlier incarnation makes room for half of the limit. A later one takes what is left.
        """
        with self._lock:
            if self._listed_at is None or now - self._listed_at >= LIST_INTERVAL_US:
                self._listed_at = now
                self._others = self._incarnations.living_others()
            others = self._others
        earlier = [other for other in others if other < self._incarnations.number]
        own_limit = self._limit if len(earlier) == len(others) else self._limit // 2
        left = self._limit - sum(self._count_of(other) for other in earlier)
        return min(own_limit, max(left, self._limit // INITIAL_DIVISOR))

    def _count_of(self, incarnation: int) -> int:
        """The connections of another incarnation; half of the limit if it publishes none in this form."""
        content = self._incarnations.published(incarnation, PublishedPart.CONNECTIONS)
        if content is None or len(content) != _COUNT.size:
            return self._limit // 2
        return int(_COUNT.unpack(content)[0])
