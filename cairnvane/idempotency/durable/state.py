"""The state that the store shares with its writer thread."""

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

    `lock` guards all fields except `is_failing` and `writing_since`, which only the writer thread sets and
    which are read without the lock.
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
        self.open_keys = 0  # keys that were reserved and have no recorded end
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
            time_to_first_expiry = self.index.time_to_oldest_expiry(now)
            load = retention.Load(
                ready=self.is_ready,
                failing=self.is_failing,
                writing_for=now - since if since else 0,
                entries=len(self.index),
                max_entries=self.index.capacity,
                time_to_first_expiry=None
                if time_to_first_expiry is None
                else time_to_first_expiry + self._max_read_delay_us,
                open_keys=self.open_keys,
                disk=self.disk_bytes,
                max_disk_bytes=self._max_disk_bytes,
                time_to_first_drop=None if self.first_drop_at is None else max(0, self.first_drop_at - now),
                queued=self.queued_bytes,
                max_queued_bytes=self._max_queued_bytes,
            )
        return retention.capacity_wait_us(load)

    def measure_disk(self, now: int) -> None:
        """Update the disk usage and the time at which the oldest segment can be dropped."""
        time_to_first_drop = self.log.time_to_first_drop(now)
        with self.lock:
            self.disk_bytes = self.log.size
            self.first_drop_at = None if time_to_first_drop is None else now + time_to_first_drop

    def read_result(self, key: bytes, fingerprint: bytes) -> bytes | None:
        """Read a stored result; None if it is not available. Blocks on the disk.

        The location of the result is looked up here, since a compaction may have moved the record.
        """
        with self.lock:
            found = self.index.get(key)
        if found is None or key_index.unpack_state(found.word) is not KeyState.FINISHED:
            return None
        try:
            return self.log.fetch(found.word, key, fingerprint)
        except OSError as error:
            logger.warning("reading a stored result failed: key=%s cause=%s", key.hex(), error)
            return None
