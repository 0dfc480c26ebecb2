"""Copies claims and results that are only in claim logs to the durable log."""

from __future__ import annotations

import logging
import shutil
from contextlib import closing
from pathlib import Path
from typing import NamedTuple

from ... import clock
from ...claims import ClaimLog, records
from ...claims.claim_table import ClaimTable, Entry, RecordLocation
from ...claims.states import KeyState, Step
from ...claims.storage import OsFolder
from ..store import RecoveredState, StartedRun
from .deferred_records import DeferredRecords
from .store import DurableStore

logger = logging.getLogger(__name__)

# The prefix of the name of a claim log in the folder of the durable log. There is one claim log for each boot
# of the machine, since its times are those of that boot's monotonic clock.
CLAIM_LOG_PREFIX = "ledger."


def ignore_written() -> None:
    """Do nothing: no caller waits for the record."""


def ignore_not_started(is_elsewhere: bool) -> None:
    """Do nothing: no caller waits for the start, since the run is already in progress."""


class _EarlierClaims(NamedTuple):
    """The content of the claim log of another boot."""

    entries: dict[bytes, Entry]
    results: dict[bytes, bytes]  # by key


def _read_earlier_claims(path: Path) -> _EarlierClaims:
    """Read all segments of a claim log; `OSError` if the folder is not readable."""
    table = ClaimTable(0)
    results: dict[bytes, bytes] = {}
    folder = OsFolder(path)
    for number in folder.segment_numbers():
        with closing(folder.open(number, create=False)) as segment:
            size = segment.status()[0]
            for offset, length, record in records.scan(segment.read(0, size)).records:
                table.apply(record, RecordLocation(number, offset, length))
                if record.kind == Step.RESULT:
                    results.setdefault(record.key, record.rest[records.FINGERPRINT_BYTES :])
    return _EarlierClaims(table.entries, results)


class ClaimTransfer:
    """Transfers claims and results from claim logs to the durable store."""

    def __init__(
        self,
        store: DurableStore,
        claim_log: ClaimLog,
        folder: Path,
        own_path: Path,
        deferred: DeferredRecords,
    ) -> None:
        """`own_path` is this boot's claim log, in `folder`; `deferred` holds the runs of this process."""
        self._store = store
        self._claim_log = claim_log
        self._folder = folder
        self._own_path = own_path
        self._deferred = deferred

    def run(self, recovered: RecoveredState) -> tuple[StartedRun, ...]:
        """Transfer everything; returns the started runs without an end in any log."""
        started = {run.key: run for run in recovered.started_runs}
        for key, entry, result in self._claim_log.entries():
            if not self._store.has_end(key):
                self._transfer_claim(key, entry, result, started)
        for path in self._folder.glob(f"{CLAIM_LOG_PREFIX}*"):
            if path != self._own_path:
                self._transfer_earlier_boot(path, started)
        return tuple(started.values())

    def _transfer_claim(
        self, key: bytes, entry: Entry, result: bytes | None, started: dict[bytes, StartedRun]
    ) -> None:
        if entry.state is KeyState.INTENDED:
            if self._claim_log.is_own(entry):
                self._transfer_own_run(key, entry.expires_at)
                return
            if key in started or not self._claim_log.is_holder_dead(entry):
                return  # its end has yet to be recorded
        self._record_end(key, entry.expires_at, entry.fingerprint, result, started)

    def _transfer_own_run(self, key: bytes, expires_at: int) -> None:
        run = self._deferred.started_runs.get(key)
        if run is not None:
            self._store.record_start(run, ignore_written, ignore_not_started)
        call_notice = self._deferred.call_notices.get(key)
        if call_notice is not None:
            self._store.record_call(key, expires_at, call_notice, ignore_written)

    def _transfer_earlier_boot(self, path: Path, started: dict[bytes, StartedRun]) -> None:
        """Transfer the claim log of another boot, and remove it once its content is recorded.

        The time that has passed since that boot is unknown and counts as zero. The worker pools of that boot
        no longer run, so a run without a recorded end is recorded as ended without a result.
        """
        try:
            claims = _read_earlier_claims(path)
        except OSError as error:
            logger.warning("claim log %s is not readable, retried at the next start: %s", path.name, error)
            return
        now = clock.now()
        for key, entry in claims.entries.items():
            if entry.state is KeyState.VOID or self._store.has_end(key):
                continue
            result = claims.results.get(key) if entry.state is KeyState.FINISHED else None
            self._record_end(
                key, now + entry.expires_at - entry.claimed_at, entry.fingerprint, result, started
            )
        self._store.call_after_writes(lambda: shutil.rmtree(path, ignore_errors=True))

    def _record_end(
        self,
        key: bytes,
        expires_at: int,
        fingerprint: bytes,
        result: bytes | None,
        started: dict[bytes, StartedRun],
    ) -> None:
        if started.pop(key, None) is None:  # otherwise the durable store has reserved capacity for it
            self._store.reserve()
        self._store.record_end(key, expires_at, fingerprint, result, (), ignore_written)
