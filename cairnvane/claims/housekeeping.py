"""The background thread of the claim log: answers to waiting duplicates, heartbeats, expiry and retention."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from .. import clock
from .claim_table import ClaimTable
from .incarnations import HEARTBEAT_INTERVAL_S, Incarnations
from .result_waiters import ResultWaiters
from .segment_reader import SegmentReader
from .segment_writer import SegmentWriter

logger = logging.getLogger(__name__)

# The interval at which the log is polled while a duplicate waits for a run in another incarnation.
RESULT_POLL_S = 0.02
_HEARTBEAT_INTERVAL_US = int(HEARTBEAT_INTERVAL_S * 1e6)


class Housekeeping:
    """Runs the regular tasks of a claim log in a background thread."""

    def __init__(
        self,
        changed: threading.Condition,
        is_closed: Callable[[], bool],
        waiters: ResultWaiters,
        table: ClaimTable,
        reader: SegmentReader,
        writer: SegmentWriter,
        incarnations: Incarnations,
    ) -> None:
        """`changed` has the claim log's lock and wakes the thread early; the thread ends on `is_closed`."""
        self._changed = changed
        self._is_closed = is_closed
        self._waiters = waiters
        self._table = table
        self._reader = reader
        self._writer = writer
        self._incarnations = incarnations

    def start(self) -> None:
        """Start the thread. It ends once the claim log is closed."""
        threading.Thread(target=self._run, name="claim-log-housekeeping", daemon=True).start()

    def run_tasks(self) -> None:
        """Run the tasks that are due at each heartbeat. Called with the lock held."""
        self._incarnations.heartbeat()
        if self._writer.is_failing or self._writer.has_pending:
            self._writer.flush()
        now = clock.now()
        self._table.expire(now)
        try:
            self._reader.follow()
            for segment in self._table.deletable_segments(self._reader.segment_numbers(), now):
                self._reader.delete(segment)
        except OSError as error:
            logger.warning("expired segments not deleted: %s", error)

    def _run(self) -> None:
        next_heartbeat = 0
        while True:
            with self._changed:
                self._changed.wait(RESULT_POLL_S if self._waiters else HEARTBEAT_INTERVAL_S)
                if self._is_closed():
                    return
                requests = self._waiters.pop_all()
            still_waiting = self._waiters.answer_ended(requests)
            with self._changed:
                self._waiters.put_back(still_waiting)
                if clock.now() < next_heartbeat:
                    continue
                next_heartbeat = clock.now() + _HEARTBEAT_INTERVAL_US
                self._run_tasks_safely()

    def _run_tasks_safely(self) -> None:
        """Run the tasks and log any error.

        An error must not end the thread: without heartbeats the incarnation would be taken for stopped.
        """
        try:
            self.run_tasks()
        except Exception as error:
            logger.error("claim log housekeeping failed: %s %s", type(error).__name__, error)
