"""What the store's caller and its writer thread share."""

from __future__ import annotations

import logging
import threading

from ... import clock
from ...claims.states import KeyState
from . import index as key_index
from . import retention
from .index import Index
from .segment_log import SegmentLog

logger = logging.getLogger(__name__)


class StoreState:
    """The contents of the store and how full it is.

    `lock` guards all fields but `is_failing` and `writing_since`: these two are set by the writer thread
    alone and read without the lock.
    """

    def __init__(
        self,
        index: Index,
        log: SegmentLog,
        *,
        max_disk_bytes: int,
        max_queued_bytes: int,
        max_read_delay_us: int,
    ) -> None:
        """`max_disk_bytes` and `max_queued_bytes` are in bytes; `max_read_delay_us`: see `DurableStore`."""
        self.lock = threading.Lock()
        self.index = index
        self.log = log
        self.progress = retention.NoticeProgress()
        self.open_keys = 0  # keys that were reserved and of which no end is recorded
        self.queued_bytes = 0
        self.disk_bytes = 0
        self.first_drop_at: int | None = None  # when the oldest segment can be dropped
        self.is_ready = False  # recovery is complete
        self.is_failing = False  # the last write failed
        self.writing_since = 0  # 0: nothing is being written
        self._max_disk_bytes = max_disk_bytes
        self._max_queued_bytes = max_queued_bytes
        self._max_read_delay_us = max_read_delay_us

    def capacity_wait_us(self) -> int:
        """Microseconds until one more key can be stored; 0: now."""
        now = clock.now()
        since = self.writing_since
        with self.lock:
            first_end = self.index.time_to_oldest_expiry(now)
            load = retention.Load(
                ready=self.is_ready,
                failing=self.is_failing,
                writing_for=now - since if since else 0,
                entries=len(self.index),
                max_entries=self.index.capacity,
                first_end=None if first_end is None else first_end + self._max_read_delay_us,
                open_keys=self.open_keys,
                disk=self.disk_bytes,
                max_disk_bytes=self._max_disk_bytes,
                first_drop=None if self.first_drop_at is None else max(0, self.first_drop_at - now),
                queued=self.queued_bytes,
                max_queued_bytes=self._max_queued_bytes,
            )
        return retention.wait_us(load)

    def measure_disk(self, now: int) -> None:
        """Take over from the log what it occupies, and when its oldest segment can be dropped."""
        first_drop = self.log.first_drop(now)
        with self.lock:
            self.disk_bytes = self.log.size
            self.first_drop_at = None if first_drop is None else now + first_drop

    def read_result(self, key: bytes, fingerprint: bytes) -> bytes | None:
        """Read a stored result; None if it is not available. Waits for the disk.

        The place of the result is looked up here, since a compaction may have moved it.
        """
        with self.lock:
            found = self.index.get(key)
        if found is None or key_index.unpack_state(found.word) is not KeyState.FINISHED:
            return None
        try:
            return self.log.fetch(found.word, key, fingerprint)
        except OSError as error:
            logger.warning("a stored result is not readable: key=%s cause=%s", key.hex(), error)
            return None
