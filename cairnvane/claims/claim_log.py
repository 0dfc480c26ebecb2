"""An idempotency store for concurrent incarnations: a log of claims that all of them append to.

Records are written directly in the calling thread, which is the server thread: a write into the page cache
takes microseconds, and waking another thread for it would take a hundred times as long. A claim is valid only
once it was read back at its position in the log. If the folder fails, an incarnation without concurrent ones
keeps its records in memory and writes them later. An incarnation with concurrent ones accepts no new key,
since the others could not see it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from .. import clock
from ..idempotency.store import KeyConflictError, RecoveredState, StartedRun, StoredEntry
from .claim_table import ClaimTable, Entry
from .housekeeping import Housekeeping
from .incarnations import Incarnations, Liveness
from .records import Record
from .result_waiters import ResultRequest, ResultWaiters
from .segment_reader import SegmentReader
from .segment_writer import SegmentWriter
from .states import KeyState, Step
from .storage import Folder

# The limit on the size of all segments; above it no new key is accepted. At the request rate of the site they
# take a tenth of it.
MAX_BYTES = 16 << 20
# The shortest wait reported while no key can be accepted.
MIN_CAPACITY_WAIT_US = 500_000


class ClaimedKey(NamedTuple):
    """A key with a valid claim."""

    key: bytes
    entry: Entry  # a copy
    result: bytes | None  # None unless the run has finished and its result can be read


class ClaimLog:
    """An `IdempotencyStore` that is shared with concurrent incarnations. Safe to call from any thread."""

    synchronous = True

    def __init__(
        self, folder: Folder, incarnations: Incarnations, max_read_delay_us: int, max_bytes: int = MAX_BYTES
    ) -> None:
        """`max_read_delay_us` is the longest time from a request's arrival until it is read."""
        self._folder = folder
        self._incarnations = incarnations
        self._incarnation = incarnations.number
        self._max_bytes = max_bytes
        self._closed = False  # ends the housekeeping thread
        # Guards the claim table, the segments, the pending records and the waiting requests. Reentrant, since
        # methods that take it call each other.
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)  # notified when a request waits or the log is closed
        self._table = ClaimTable(max_read_delay_us)
        self._reader = SegmentReader(folder, self._table, self._incarnation, self._before_recreation)
        self._writer = SegmentWriter(folder, self._table, self._reader, incarnations)
        self._waiters = ResultWaiters(self._changed, self._table, self._reader, incarnations)
        self._housekeeping = Housekeeping(
            self._changed,
            lambda: self._closed,
            self._waiters,
            self._table,
            self._reader,
            self._writer,
            incarnations,
        )

    def open(self) -> None:
        """Read the existing segments.

        Raises `OSError` if the folder is not available, and `records.NewerVersionError` if incarnations of a
        later version of the program write to it.
        """
        with self._lock:
            self._folder.create()
            self._reader.load()

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """Start answering waiting duplicates and deleting old segments. None of the callbacks is called."""
        self._housekeeping.start()

    def close(self) -> None:
        """Write the pending records, and end the housekeeping thread."""
        with self._lock:
            self._closed = True
            self._changed.notify()
            if self._writer.has_pending:
                self._writer.flush(at_once=True)

    def sync(self) -> None:
        """Wait until all records would survive a power cut; raises `OSError`."""
        with self._lock:
            files = self._reader.files()
        for file in files:
            file.sync()

    # --- for the transfer of claims to the durable log

    def entries(self) -> list[ClaimedKey]:
        """Return all keys with a valid claim, in the order of their claims."""
        with self._lock:
            self._reader.try_follow()
            return [
                ClaimedKey(key, replace(entry), self._finished_result(key, entry))
                for key, entry in self._table.entries.items()
                if entry.state is not KeyState.VOID
            ]

    def is_own(self, entry: Entry) -> bool:
        """Whether this incarnation holds the claim."""
        return entry.incarnation == self._incarnation

    def is_alone(self) -> bool:
        """Whether all other incarnations are dead; a stopped one may continue."""
        return self._incarnations.is_alone()

    def is_holder_dead(self, entry: Entry) -> bool:
        """Whether the incarnation that holds the claim is dead."""
        return self._incarnations.liveness(entry.incarnation) is Liveness.DEAD

    # --- the protocol `IdempotencyStore`

    def capacity_wait_us(self) -> int:
        """See `IdempotencyStore`."""
        with self._lock:
            if self._writer.is_failing and not self._writer.flush() and not self._incarnations.is_alone():
                return MIN_CAPACITY_WAIT_US
            if self._reader.total_bytes() <= self._max_bytes:
                return 0
            oldest_segment = self._reader.segment_numbers()[0]
            return max(MIN_CAPACITY_WAIT_US, self._table.segment_expiry(oldest_segment) - clock.now())

    def reserve(self) -> None:
        """See `IdempotencyStore`; a claim needs no reservation."""

    def release(self) -> None:
        """See `IdempotencyStore`; a claim needs no reservation."""

    def record_start(
        self, run: StartedRun, then: Callable[[], None], not_started: Callable[[bool], None], /
    ) -> None:
        """See `IdempotencyStore`; this claims the key."""
        with self._lock:
            claim = Record(
                Step.INTENT, self._incarnation, run.key, clock.now(), run.expires_at, run.fingerprint
            )
            is_recorded = self._record_claim(claim)
            is_holder = self._table.is_holder(run.key, self._incarnation, claim.made_at)
        if is_recorded and is_holder:
            then()
        else:
            not_started(is_recorded)

    def record_never_started(self, key: bytes, expires_at: int, settles: tuple[int, ...]) -> None:
        """See `IdempotencyStore`."""
        self._record_end(Step.NEVER, key, expires_at, b"", None)

    def record_call(self, key: bytes, expires_at: int, notice: int, then: Callable[[], None]) -> None:
        """See `IdempotencyStore`; no run outlives its incarnation, so its call needs no record."""
        then()

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
        self._record_end(step, key, expires_at, fingerprint + (result or b""), result)
        then()

    def notice_read(self, notice: int, pending: bool) -> None:
        """See `IdempotencyStore`; the worker pool's notices do not outlive the incarnation."""

    def pool_linked(self, pool_started_at: int) -> None:
        """See `IdempotencyStore`; no run outlives its incarnation."""

    def pool_replaced(self) -> None:
        """See `IdempotencyStore`; no run outlives its incarnation."""

    def look_up(self, key: bytes, fingerprint: bytes, arrived_at: int) -> StoredEntry | None:
        """See `IdempotencyStore`."""
        with self._lock:
            self._reader.try_follow()
            entry = self._table.find(key, arrived_at)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            raise KeyConflictError(f"key {key.hex()}: claimed for another class or body")
        return StoredEntry(key, entry.state is not KeyState.FAILED)

    def fetch_result(self, key: bytes, fingerprint: bytes, then: Callable[[bytes | None], None]) -> None:
        """See `IdempotencyStore`."""
        self._waiters.answer_or_wait(ResultRequest(key, fingerprint, then))

    # --- internal steps; called with the lock held, unless the method says otherwise

    def _record_claim(self, claim: Record) -> bool:
        """Write a claim, or keep it in memory if this incarnation is alone; False if neither is possible."""
        if self._writer.write(claim):
            return True
        if self._incarnations.is_alone():
            self._writer.keep_in_memory(claim)
            return True
        # The failed write may still have reached the file. Other incarnations would wait for the end of such
        # a claim, so it is given up as soon as the folder works again.
        self._writer.add_pending(claim._replace(kind=Step.NEVER, rest=b""))
        return False

    def _record_end(self, step: Step, key: bytes, expires_at: int, rest: bytes, result: bytes | None) -> None:
        """Write the end of a claim, or keep it in memory until it can be written. Takes the lock."""
        with self._lock:
            record = Record(step, self._incarnation, key, clock.now(), expires_at, rest)
            if not self._writer.write(record):
                self._writer.keep_in_memory(record, result)

    def _finished_result(self, key: bytes, entry: Entry) -> bytes | None:
        return self._reader.result(key, entry) if entry.state is KeyState.FINISHED else None

    def _before_recreation(self) -> None:
        """Handle the removal of the folder: queue the own valid claims again, and write a new heartbeat."""
        self._writer.rewrite_own_claims()
        self._incarnations.heartbeat()
