"""Appends records to the claim log, and keeps those that can't be written while the folder fails."""

from __future__ import annotations

import logging

from .. import clock
from . import records
from .claim_table import ClaimTable, Entry, RecordLocation
from .errors import SegmentSealedError
from .incarnations import Incarnations
from .records import SEAL, Record
from .segment_reader import SegmentReader
from .states import KeyState, Step
from .storage import Folder

logger = logging.getLogger(__name__)

# A segment is sealed when it is larger than this. The value is small, since a segment can only be deleted as
# a whole and counts as memory.
SEGMENT_BYTES = 512 << 10
# A record that lands behind a seal is appended again to the next segment. This limit is never reached in
# practice.
MAX_APPEND_ATTEMPTS = 16
# The time after a failed write before the folder is tried again.
RETRY_DELAY_US = 100_000
# The location of a record that is in no file.
_IN_MEMORY = RecordLocation(-1, 0, 0)


class SegmentWriter:
    """Appends this incarnation's records, and keeps those that are still to be written.

    All methods are called with the claim log's lock held.
    """

    def __init__(
        self, folder: Folder, table: ClaimTable, reader: SegmentReader, incarnations: Incarnations
    ) -> None:
        self.is_failing = False  # the last write failed
        self._folder = folder
        self._table = table
        self._reader = reader
        self._incarnations = incarnations
        self._incarnation = incarnations.number
        self._pending: list[Record] = []  # records that could not be written, oldest first
        self._retry_at = 0

    @property
    def has_pending(self) -> bool:
        """Whether any record is still to be written."""
        return bool(self._pending)

    def write(self, record: Record) -> bool:
        """Append a record, after all pending ones; False if the folder fails."""
        if (self.is_failing or self._pending) and not self.flush():
            return False
        try:
            self._append(record)
            return True
        except OSError as error:
            if not self.is_failing:
                logger.warning("claim log folder failed; keys are kept in memory: %s", error)
            self.is_failing = True
            self._retry_at = clock.now() + RETRY_DELAY_US
            return False

    def flush(self, *, at_once: bool = False) -> bool:
        """Try to write the pending records; False if that fails or if the retry delay has not passed.

        With `at_once`, the retry delay is ignored.
        """
        if not at_once and clock.now() < self._retry_at:
            return False
        try:
            self._write_pending()
        except OSError:
            self._retry_at = clock.now() + RETRY_DELAY_US
            return False
        if self.is_failing:
            logger.info("claim log folder works again")
        self.is_failing = False
        return True

    def add_pending(self, record: Record) -> None:
        """Queue a record to be written once the folder works; it is not applied to the table before."""
        self._pending.append(record)

    def keep_in_memory(self, record: Record, result: bytes | None = None) -> None:
        """Apply a record that could not be written to the claim table, and queue it to be written later."""
        self._table.apply(record, _IN_MEMORY)
        entry = self._table.entries.get(record.key)
        if entry is not None and record.kind == Step.RESULT:
            entry.result_location = None
            entry.unwritten_result = result
        self._pending.append(record)

    def rewrite_own_claims(self) -> None:
        """Queue all valid records of this incarnation again, before the pending ones."""
        now = clock.now()
        rewritten: list[Record] = []
        for key, entry in self._table.entries.items():
            if (
                entry.incarnation == self._incarnation
                and entry.expires_at > now
                and entry.state is not KeyState.VOID
            ):
                rewritten += self._records_for_entry(key, entry, now)
        self._pending = [*rewritten, *self._pending]

    def _records_for_entry(self, key: bytes, entry: Entry, now: int) -> list[Record]:
        """Return the records of this incarnation that produce an entry; its result is moved into memory."""
        incarnation = self._incarnation
        own_records = [
            Record(Step.INTENT, incarnation, key, entry.claimed_at, entry.expires_at, entry.fingerprint)
        ]
        if entry.state is KeyState.FINISHED:
            entry.unwritten_result = self._reader.result(key, entry)
            entry.result_location = None
            rest = entry.fingerprint + (entry.unwritten_result or b"")
            own_records.append(Record(Step.RESULT, incarnation, key, now, entry.expires_at, rest))
        elif entry.state is KeyState.FAILED:
            own_records.append(Record(Step.FAULT, incarnation, key, now, entry.expires_at, entry.fingerprint))
        return own_records

    def _write_pending(self) -> None:
        if not self._incarnations.is_entered:
            self._incarnations.enter()
        self._folder.create()
        while self._pending:
            record = self._pending[0]
            self._append(record)
            self._remove_pending(record)
        self._reader.follow()

    def _remove_pending(self, record: Record) -> None:
        """Remove a record that was written from the pending ones.

        It may no longer be the first one: if the folder was found removed during the write, other records
        were queued before it.
        """
        index = next(index for index, pending in enumerate(self._pending) if pending is record)
        del self._pending[index]

    def _append(self, record: Record) -> None:
        """Append a record before the seal of a segment; raises `OSError`."""
        data = records.encode(*record)
        for _ in range(MAX_APPEND_ATTEMPTS):
            if self._append_to_current(record, data):
                return
        raise SegmentSealedError(
            f"segment {self._reader.current.number}: sealed before each of {MAX_APPEND_ATTEMPTS} writes"
        )

    def _append_to_current(self, record: Record, data: bytes) -> bool:
        """Append a record to the current segment; False if the segment was sealed before it."""
        reader = self._reader
        segment = reader.current
        own_records_before = reader.own_records
        segment.file.append(data)
        if not reader.apply_appended(record, len(data)):
            reader.follow()
        if reader.own_records == own_records_before:
            return False
        if segment is reader.current and segment.offset > SEGMENT_BYTES:
            self._seal_current()
        return True

    def _seal_current(self) -> None:
        now = clock.now()
        seal = records.encode(SEAL, self._incarnation, records.NO_KEY, now, now)
        self._reader.current.file.append(seal)
        self._reader.follow()
