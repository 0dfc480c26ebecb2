"""Locks the store's folder and recovers the state of earlier incarnations. Used by the writer thread only."""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from ... import clock
from ...log_events import RESULTS_RECOVERED
from ..store import RecoveredState
from . import retention
from .disk_retry import DiskRetry
from .errors import FolderError, FolderInUseError, IndexFullError
from .index import Index
from .recovery import Recovery
from .segment_log import SegmentLog
from .state import StoreState
from .step_reporter import StepReporter
from .storage import Files, Folder, ReadOnlyFiles

logger = logging.getLogger(__name__)

# The interval at which the lock is tried while another process owns the folder.
LOCK_RETRY_S = 0.02


@dataclass(frozen=True, slots=True)
class StoreCallbacks:
    """The functions that the writer thread calls; see `IdempotencyStore.start`."""

    recovered: Callable[[RecoveredState], None]
    delayed: Callable[[], None]
    lost: Callable[[str], None]
    # Called if another process owns the folder, once its records have been read; returns whether to wait
    # until the folder is free.
    wait_for_owner: Callable[[], bool]


class FolderRecovery:
    """Recovers a folder into the store's state."""

    def __init__(
        self,
        files: Folder,
        state: StoreState,
        retry: DiskRetry,
        steps: StepReporter,
        stop: threading.Event,
        new_index: Callable[[], Index],
        new_log: Callable[[Files], SegmentLog],
    ) -> None:
        self._files = files
        self._state = state
        self._retry = retry
        self._steps = steps
        self._stop = stop
        self._new_index = new_index
        self._new_log = new_log

    def run(self, callbacks: StoreCallbacks) -> bool:
        """Lock and read the folder; failed disk operations are retried.

        Returns False if recovery is impossible (reported as `lost`) or if the store is being closed.
        """
        has_waited = False
        while True:
            try:
                self._files.make()
                self._files.lock()
                self._steps.report("recovery")
                self._recover(has_waited, callbacks)
                return True
            except FolderInUseError as error:
                if not has_waited:
                    self._read_unowned()
                    if not callbacks.wait_for_owner():
                        callbacks.lost(str(error))
                        return False
                    has_waited = True
                if self._stop.wait(LOCK_RETRY_S):
                    return False
            except (FolderError, IndexFullError) as error:
                callbacks.lost(str(error))
                return False
            except OSError as error:
                if self._retry.failures == 0:
                    callbacks.delayed()
                if self._retry.pause(error):
                    return False

    def _read_unowned(self) -> None:
        """Read the records that the process that owns the folder has written so far."""
        while True:
            index = self._new_index()
            log = self._new_log(ReadOnlyFiles(self._files))
            with contextlib.suppress(FileNotFoundError):  # the owner has dropped a segment; read again
                log.recover(index, clock.now())
                break
        with self._state.lock:
            self._state.index = index
            self._state.log = log

    def _recover(self, has_waited: bool, callbacks: StoreCallbacks) -> None:
        state = self._state
        start = clock.now()
        index = state.index
        log = state.log
        if has_waited:  # the index of `_read_unowned` is used for lookups until all segments are read again
            index = self._new_index()
            log = self._new_log(self._files)
        recovery = log.recover(index, start)
        recovered = recovery.conclude()
        with state.lock:
            state.index = index
            state.log = log
            if not has_waited:  # otherwise the notices read so far are those of the pool of this incarnation
                state.progress = retention.NoticeProgress(recovered.last_notice)
            state.open_keys += len(recovered.started_runs)
            state.is_ready = True
        state.measure_disk(clock.now())
        self._log_recovery(recovery, clock.now() - start)
        self._retry.succeeded()
        callbacks.recovered(recovered)

    def _log_recovery(self, recovery: Recovery, duration_us: int) -> None:
        report = self._state.log.report
        for line in [*report.damaged, *report.torn, *report.foreign, *recovery.counts.illegal]:
            logger.warning("%s", line)
        entries = len(self._state.index)
        logger.info(RESULTS_RECOVERED, entries, len(recovery.runs), report.segments, duration_us / 1e3)
