"""The durable store of idempotency keys and results, as the server uses it.

The server thread sends messages to the writer thread (`writer`) and never waits for a disk. The writer takes
all messages in its queue, writes their records in one write, syncs them if they have to survive a power cut,
and only then calls the callbacks. If the disk fails, all records that were not synced are kept, and are
written again to a new segment once the disk works. Until then no new key can be stored (`capacity_wait_us`),
and requests in flight wait for their records or for their deadlines.
"""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable

from ... import clock
from ...claims import states
from ...claims.states import RetryDecision, Step
from ..store import KeyConflictError, RecoveredState, StartedRun, StepObserver, StoredEntry
from . import index as key_index
from . import records, retention
from .disk_retry import DiskRetry
from .errors import FolderInUseError
from .folder_recovery import LOCK_RETRY_S, FolderRecovery, StoreCallbacks
from .group_writer import GroupWriter, queued_size
from .index import Index
from .messages import FetchResult, WriteRecord
from .segment_log import Entry, Owner, SegmentLog, check_folder
from .state import StoreState
from .step_reporter import StepReporter
from .storage import Files, Folder
from .writer import StoreWriter

logger = logging.getLogger(__name__)

# How long to wait for the lock, which the previous process may hold for a moment after it has ended.
LOCK_TIMEOUT_S = 2.0


class DurableStore:
    """An `IdempotencyStore` on a folder of its own."""

    synchronous = False

    def __init__(
        self,
        files: Folder,
        name: str,
        boot: bytes,
        *,
        power: bool,
        disk_bytes: int,
        memory_bytes: int,
        max_read_delay_us: int,
        step_observer: StepObserver | None = None,
    ) -> None:
        """A store for the instance `name`; `boot` is the id of the machine's current boot.

        `power`: whether results have to survive a power cut. `max_read_delay_us`: the longest time between
        the arrival of a duplicate and its being read. `step_observer` is called with the name of each step,
        see `StepReporter`.
        """
        max_queued_bytes = int(retention.QUEUE_SHARE * memory_bytes)
        index_bytes = memory_bytes - max_queued_bytes
        owner = Owner(name, boot)
        steps = StepReporter(step_observer)
        stop = threading.Event()

        def new_index() -> Index:
            return Index(index_bytes)

        def new_log(log_files: Files) -> SegmentLog:
            return SegmentLog(
                log_files,
                owner,
                max_disk_bytes=disk_bytes,
                power=power,
                max_read_delay_us=max_read_delay_us,
                report_step=steps.report,
            )

        self._files = files
        self._instance_name = name
        self._state = StoreState(
            new_index(),
            new_log(files),
            max_disk_bytes=disk_bytes,
            max_queued_bytes=max_queued_bytes,
            max_read_delay_us=max_read_delay_us,
        )
        retry = DiskRetry(self._state, stop)
        recovery = FolderRecovery(files, self._state, retry, steps, stop, new_index, new_log)
        groups = GroupWriter(self._state, retry, steps, power=power)
        self._writer = StoreWriter(
            files, self._state, recovery, groups, stop, max_read_delay_us=max_read_delay_us
        )

    def check(self, allow_concurrent: bool = False) -> None:
        """Lock the folder; raise `FolderError` if another instance, process or a newer version uses it.

        With `allow_concurrent`, another process may own the folder: it serves concurrently with this one. A
        disk that fails is no error, since it may work again later.
        """
        try:
            self._files.make()
            if allow_concurrent:
                with contextlib.suppress(FolderInUseError):
                    self._files.lock()
            else:
                self._lock_folder()
            check_folder(self._files, self._instance_name)
        except OSError as error:
            logger.warning("the folder is not usable yet: %s", error)

    def _lock_folder(self) -> None:
        deadline = time.monotonic() + LOCK_TIMEOUT_S
        while True:
            try:
                self._files.lock()
                return
            except FolderInUseError:
                if time.monotonic() > deadline:
                    raise
            time.sleep(LOCK_RETRY_S)

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
        wait_for_owner: Callable[[], bool] = lambda: False,
    ) -> None:
        """See `IdempotencyStore`.

        `wait_for_owner` is called once if another process owns the folder, after the records that it has
        written so far were read. It returns whether to wait for the folder.
        """
        self._writer.start(StoreCallbacks(recovered, delayed, lost, wait_for_owner))

    def capacity_wait_us(self) -> int:
        """See `IdempotencyStore`."""
        return self._state.capacity_wait_us()

    def reserve(self) -> None:
        """See `IdempotencyStore`."""
        with self._state.lock:
            self._state.open_keys += 1

    def release(self) -> None:
        """See `IdempotencyStore`."""
        with self._state.lock:
            self._state.open_keys -= 1

    def record_start(
        self, run: StartedRun, then: Callable[[], None], not_started: Callable[[bool], None]
    ) -> None:
        """See `IdempotencyStore`."""
        own_part = records.encode_start(run.uid, run.fingerprint, run.deadline, run.memory, run.class_name)
        self._write(Entry(Step.INTENT, run.key, clock.now(), run.expires_at, own_part), then)

    def record_never_started(self, key: bytes, expires_at: int, settles: tuple[int, ...]) -> None:
        """See `IdempotencyStore`."""
        entry = Entry(Step.NEVER, key, clock.now(), expires_at, b"")
        self._write(entry, None, settles=settles, needs_sync=False)

    def record_call(self, key: bytes, expires_at: int, notice: int, then: Callable[[], None]) -> None:
        """See `IdempotencyStore`.

        A power cut ends the worker pool and with it the run, so this record need not survive it.
        """
        entry = Entry(Step.CALL, key, clock.now(), expires_at, records.encode_call(notice))
        self._write(entry, then, settles=(notice,), needs_sync=False)

    def record_end(
        self,
        key: bytes,
        expires_at: int,
        fingerprint: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
    ) -> None:
        """See `IdempotencyStore`."""
        step = Step.FAULT if result is None else Step.RESULT
        own_part = records.encode_end(fingerprint, result or b"")
        entry = Entry(step, key, clock.now(), expires_at, own_part)
        self._write(entry, then, fingerprint=fingerprint, settles=settles, needs_sync=result is not None)

    def notice_read(self, notice: int, pending: bool) -> None:
        """See `IdempotencyStore`."""
        with self._state.lock:
            self._state.progress.notice_read(notice, pending)

    def pool_linked(self, pool_started_at: int) -> None:
        """See `IdempotencyStore`."""
        now = clock.now()
        entry = Entry(Step.LINK, records.NO_KEY, now, now, records.encode_link(pool_started_at))
        self._write(entry, None, needs_sync=False)

    def pool_replaced(self) -> None:
        """See `IdempotencyStore`."""
        with self._state.lock:
            self._state.progress = retention.NoticeProgress()

    def look_up(self, key: bytes, fingerprint: bytes, arrived_at: int) -> StoredEntry | None:
        """See `IdempotencyStore`."""
        state = self._state
        with state.lock:
            found = state.index.get(key)
            if found is None or not state.index.is_before_expiry(found.expiry_tick, arrived_at):
                return None
        word = found.word
        if not key_index.may_match(word, fingerprint):
            raise KeyConflictError(f"key {key.hex()} is stored for another class or body")
        decision = states.decide_duplicate(key_index.unpack_state(word), True)
        if decision is RetryDecision.RUN:
            return None
        return StoredEntry(key, decision is RetryDecision.RESULT)

    def has_end(self, key: bytes) -> bool:
        """Whether an end of this key is recorded."""
        with self._state.lock:
            return self._state.index.get(key) is not None

    def settle_notices(self, settles: tuple[int, ...]) -> None:
        """Mark notices as settled: their effects are recorded elsewhere."""
        with self._state.lock:
            self._state.progress.record_written(settles)

    def read_unowned_result(self, key: bytes, fingerprint: bytes) -> bytes | None:
        """Read a result from a folder that another process owns; None if it is not available.

        Blocks on the disk.
        """
        return self._state.read_result(key, fingerprint)

    def fetch_result(self, key: bytes, fingerprint: bytes, then: Callable[[bytes | None], None]) -> None:
        """See `IdempotencyStore`."""
        self._writer.send(FetchResult(key, fingerprint, then))

    def call_after_writes(self, then: Callable[[], None]) -> None:
        """Call `then` once all records that were sent before are written."""
        # The writer thread answers fetches in order, after the writes. This fetch finds nothing: no record of
        # an end has the key `NO_KEY`.
        self.fetch_result(records.NO_KEY, records.NO_KEY, lambda result: then())

    def close(self) -> None:
        """See `IdempotencyStore`."""
        self._writer.close()

    def _write(
        self,
        entry: Entry,
        then: Callable[[], None] | None,
        *,
        fingerprint: bytes = b"",
        settles: tuple[int, ...] = (),
        needs_sync: bool = True,
    ) -> None:
        with self._state.lock:
            self._state.queued_bytes += queued_size(entry)
            progress = self._state.progress
        self._writer.send(WriteRecord(entry, then, progress, fingerprint, settles, needs_sync))
