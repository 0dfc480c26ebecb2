"""The store's writer thread: takes messages from a queue, and writes records in groups."""

from __future__ import annotations

import logging
import threading
from queue import Empty, SimpleQueue
from typing import NamedTuple

from ... import clock
from ...log_events import STORE_WRITER_ENDED
from .folder_recovery import FolderRecovery, StoreCallbacks
from .group_writer import GroupWriter
from .messages import CloseWriter, FetchResult, Message, WriteRecord
from .space_maintenance import SpaceMaintenance
from .state import StoreState
from .storage import Folder

logger = logging.getLogger(__name__)

# The maximum number of records in one write; far fewer were seen at any load.
MAX_GROUP = 256
# The interval at which a writer without messages reclaims space.
IDLE_CHECK_S = 1.0
# The time for writing pending records when the store is closed.
CLOSE_TIMEOUT_S = 1.0


class _Batch(NamedTuple):
    """The messages that were in the queue, by kind."""

    writes: list[WriteRecord]
    fetches: list[FetchResult]
    is_last: bool  # the store is being closed


class StoreWriter:
    """The writer thread, the only one that writes to the folder."""

    def __init__(
        self,
        files: Folder,
        state: StoreState,
        recovery: FolderRecovery,
        groups: GroupWriter,
        stop: threading.Event,
        *,
        max_read_delay_us: int,
    ) -> None:
        self._files = files
        self._state = state
        self._recovery = recovery
        self._groups = groups
        self._stop = stop
        self._queue: SimpleQueue[Message] = SimpleQueue()
        self._maintenance = SpaceMaintenance(state, self._queue.empty, max_read_delay_us=max_read_delay_us)
        self._thread = threading.Thread(target=self._run, name="store-writer", daemon=True)

    def start(self, callbacks: StoreCallbacks) -> None:
        """Start the thread, which recovers the folder first."""
        self._callbacks = callbacks
        self._thread.start()

    def send(self, message: Message) -> None:
        """Send a message to the writer thread. May be called from any thread."""
        self._queue.put(message)

    def close(self) -> None:
        """Write pending records, for at most `CLOSE_TIMEOUT_S`."""
        self._stop.set()
        self._queue.put(CloseWriter())
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        try:
            if self._recovery.run(self._callbacks):
                while self._serve():
                    pass
        except (
            Exception
        ) as error:  # any error must be reported: without this thread no keyed request is answered
            logger.error(STORE_WRITER_ENDED, type(error).__name__, error)
            self._state.is_failing = True
            self._callbacks.lost(f"{type(error).__name__} {error}")
        finally:
            self._files.unlock()

    def _serve(self) -> bool:
        """Process one batch of messages; False if the store is being closed."""
        try:
            first = self._queue.get(timeout=IDLE_CHECK_S)
        except Empty:
            self._maintenance.run(clock.now())
            return True
        batch = self._gather(first)
        is_written = not batch.writes or self._groups.write(batch.writes)
        for fetch in batch.fetches:
            fetch.then(self._state.read_result(fetch.key, fetch.fingerprint))
        if batch.is_last or not is_written:
            self._close_log()
            return False
        self._maintenance.run(clock.now())
        return True

    def _gather(self, first: Message) -> _Batch:
        """The first message and those that are in the queue by now."""
        writes: list[WriteRecord] = []
        fetches: list[FetchResult] = []
        message = first
        while True:
            if isinstance(message, CloseWriter):
                return _Batch(writes, fetches, is_last=True)
            if isinstance(message, FetchResult):
                fetches.append(message)
            else:
                writes.append(message)
            if len(writes) >= MAX_GROUP:
                return _Batch(writes, fetches, is_last=False)
            try:
                message = self._queue.get_nowait()
            except Empty:
                return _Batch(writes, fetches, is_last=False)

    def _close_log(self) -> None:
        try:
            self._state.log.close()
        except OSError as error:
            logger.error("closing the log failed; the last records may be lost: %s", error)
