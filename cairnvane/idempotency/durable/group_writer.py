"""Writes groups of records, and repeats a write that fails. Used by the writer thread only."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Sequence

from ... import clock
from ...claims.states import KeyState, Step
from . import index as key_index
from .disk_retry import DiskRetry
from .messages import WriteRecord
from .segment_log import Entry
from .state import StoreState
from .step_reporter import StepReporter

# The bytes of memory that a queued record takes in addition to its own part.
QUEUED_RECORD_OVERHEAD = 512
_END_STEPS = (Step.RESULT, Step.FAULT)
_CLOSING_STEPS = (*_END_STEPS, Step.NEVER)


def queued_size(entry: Entry) -> int:
    """The bytes of memory that a queued record takes."""
    return len(entry.own_part) + QUEUED_RECORD_OVERHEAD


class GroupWriter:
    """Writes groups of records, and syncs them if they have to survive a power cut.

    If the disk fails, all records that were not synced are written again to a new segment.
    """

    def __init__(self, state: StoreState, retry: DiskRetry, steps: StepReporter, *, power: bool) -> None:
        """`power`: whether records have to survive a power cut."""
        self._state = state
        self._retry = retry
        self._steps = steps
        self._power = power
        self._unsynced: list[WriteRecord] = []  # written, but not yet safe from a power cut

    def write(self, group: list[WriteRecord]) -> bool:
        """Write a group, with retries, then call its callbacks; False if the store is being closed."""
        state = self._state
        state.writing_since = clock.now()
        while True:
            try:
                self._write_once(group)
                break
            except OSError as error:
                state.log.abandon()
                group = [*self._unsynced, *group]
                self._unsynced = []
                if self._retry.pause(error):
                    return False
                self._drop_old_segments()
                state.writing_since = clock.now()
        self._retry.succeeded()
        state.writing_since = 0
        return True

    def _write_once(self, group: list[WriteRecord]) -> None:
        log = self._state.log
        self._steps.report_group("append", group)
        locations = log.append(self._settle_notices(group), time.time_ns() // 1_000_000)
        self._steps.report_group("written", group)
        if any(write.needs_sync for write in group):
            log.sync()
            self._unsynced = []
        elif self._power:
            self._unsynced += group
        self._steps.report_group("synced", group)
        self._apply(group, locations)
        self._notify(group)

    def _settle_notices(self, group: list[WriteRecord]) -> list[Entry]:
        """The entries of the group, each with its `settled_notice` set.

        Once a record is written, the notices that it and all records before it settle need not be sent again.
        """
        state = self._state
        entries = []
        with state.lock:
            for write in group:
                # The progress of the record may be that of an earlier worker pool.
                write.progress.record_written(write.settles)
                write.entry.settled_notice = state.progress.settled_notice
                entries.append(write.entry)
        return entries

    def _apply(self, group: list[WriteRecord], locations: Sequence[tuple[int, int]]) -> None:
        """The group is written: add its ends to the index, and update the queue size and the open keys."""
        state = self._state
        with state.lock:
            for write, (segment, offset) in zip(group, locations, strict=True):
                entry = write.entry
                step = entry.step
                if not write.is_applied:
                    state.queued_bytes -= queued_size(entry)
                    state.open_keys -= step in _CLOSING_STEPS
                if step in _END_STEPS:
                    end_state = KeyState.FINISHED if step is Step.RESULT else KeyState.FAILED
                    word = key_index.pack_word(
                        segment, offset, key_index.fingerprint_tag(write.fingerprint), end_state
                    )
                    state.index.put(entry.key, word, entry.expires_at)
                write.is_applied = True
            state.disk_bytes = state.log.size

    def _notify(self, group: list[WriteRecord]) -> None:
        for write in group:
            then = write.then
            write.then = None  # if the record is written again, the callback must not be called twice
            if then is not None:
                then()

    def _drop_old_segments(self) -> None:
        """Free space for the retry: a full disk may hold expired segments of this store."""
        with contextlib.suppress(OSError):
            self._state.log.drop(clock.now())
