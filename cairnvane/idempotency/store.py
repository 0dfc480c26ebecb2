"""The protocol of a store that shares idempotency keys and results with other incarnations of the server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


class KeyConflictError(ValueError):
    """An idempotency key was reused with another class or body than those of the original request."""


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """A stored key whose request is no longer in memory."""

    key: bytes
    # True if there is a result, or if another incarnation still runs the request and may produce one.
    # False if the run failed or its end is unknown.
    has_result: bool


@dataclass(frozen=True, slots=True)
class StartedRun:
    """A started run whose end is not recorded. Times are microseconds of the monotonic clock."""

    key: bytes
    uid: str
    class_name: str
    fingerprint: bytes
    expires_at: int
    deadline: int
    memory: float
    call_notice: int  # the pool's notice that asked for the call that was about to be made; 0: none


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """The state that earlier incarnations left in the store."""

    started_runs: tuple[StartedRun, ...] = ()
    key_lifetimes: tuple[tuple[int, int], ...] = ()  # number of keys, microseconds until they expire
    last_notice: int = 0  # the effects of all notices up to this one are recorded
    pool_started_at: int | None = None  # on the monotonic clock; None: no link to a pool was recorded


# Called with the name of each step of writing a record. Only the testbed sets an observer.
StepObserver = Callable[[str], None]


class IdempotencyStore(Protocol):
    """Keeps keys and results for concurrent and later incarnations.

    No call waits for a disk. Every `then` is called once: from the store's own thread or, if the store is
    `synchronous`, before the call returns. Keys are 16 bytes; times are microseconds of the monotonic clock.
    A record `settles` notices of the worker pool: once it is written, the pool need not send them again.
    """

    synchronous: bool  # each record is written before the call returns, and no run outlives its incarnation

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """Recover the state of earlier incarnations; `recovered` gets it unless the store is synchronous.

        `delayed` is called at most once, before `recovered`, if the disk is not available for now. `lost` is
        called with the reason if recovery is impossible; then no keyed run is ever started.
        """

    def capacity_wait_us(self) -> int:
        """Return the microseconds until one more key can be stored; 0: now."""

    def reserve(self) -> None:
        """Reserve space for one more key that is about to be stored."""

    def release(self) -> None:
        """Release the reservation of a key that was given up before `record_start`."""

    def record_start(
        self, run: StartedRun, then: Callable[[], None], not_started: Callable[[bool], None]
    ) -> None:
        """Record that this run is about to start, and call `then` once the record is written.

        If the run must not start, `not_started` is called instead: with True if another incarnation has
        claimed the key first (`fetch_result` reports how that run ends), with False if the start can't be
        recorded now.
        """

    def record_never_started(self, key: bytes, expires_at: int, settles: tuple[int, ...]) -> None:
        """Record that the run that was about to start provably never did."""

    def record_call(self, key: bytes, expires_at: int, notice: int, then: Callable[[], None]) -> None:
        """Record that the call which this notice asks for is about to be made, and then call `then`."""

    def record_end(
        self,
        key: bytes,
        expires_at: int,
        fingerprint: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
    ) -> None:
        """Record that the run has ended, with a result or (None) without one, and then call `then`."""

    def notice_read(self, notice: int, pending: bool) -> None:
        """Note that a notice was read; `pending` if a record that settles it is still to be written."""

    def pool_linked(self, pool_started_at: int) -> None:
        """Note that the link to the worker pool is up."""

    def pool_replaced(self) -> None:
        """Note that the worker pool is a new one, whose notices are numbered from 1 again."""

    def look_up(self, key: bytes, fingerprint: bytes, arrived_at: int) -> StoredEntry | None:
        """Return the entry of a key; `KeyConflictError` if it was stored for another class or body."""

    def fetch_result(self, key: bytes, fingerprint: bytes, then: Callable[[bytes | None], None]) -> None:
        """Call `then` with the result that `look_up` reported, or with None if it is not available.

        If another incarnation runs the request, `then` is called when that run has ended.
        """

    def close(self) -> None:
        """Write all pending records, and release the folder."""
