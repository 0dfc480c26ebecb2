"""The protocol of a store that keeps idempotency keys and results for other incarnations of the server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


class KeyConflictError(ValueError):
    """An idempotency key was brought with another class or body than it stands for."""


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """A stored key whose request is no longer in memory."""

    key: bytes
    # There is a result, or another incarnation that runs it may produce one; else the run failed or its end
    # is unknown.
    has_result: bool


@dataclass(frozen=True, slots=True)
class StartedRun:
    """A run that was started and of which no end is recorded. Times are those of the monotonic clock."""

    key: bytes
    uid: str
    class_name: str
    fingerprint: bytes
    expires_at: int  # microseconds, as the next one
    deadline: int
    memory: float
    call_notice: int  # the pool's notice whose call was about to be made; 0: none was


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """What an earlier incarnation has left."""

    started_runs: tuple[StartedRun, ...] = ()
    key_lifetimes: tuple[tuple[int, int], ...] = ()  # number of keys, microseconds that they count
    last_notice: int = 0  # all notices up to this one have had their effect recorded
    pool_started_at: int | None = None  # on the monotonic clock; None: no pool was met


# Called with the name of each step of a record's way; only the testbed observes them.
StepObserver = Callable[[str], None]


class IdempotencyStore(Protocol):
    """Keeps keys and results for other incarnations, concurrent or later ones.

    No call waits for a disk. Every `then` is called once, from the store's own thread or, if the store is
    `synchronous`, before the call returns. Keys are 16 bytes, times microseconds of the monotonic clock. A
    record `settles` notices of the worker pool: once it is written, they need not be sent again.
    """

    synchronous: bool  # each record is written before the call returns, and no run outlasts its incarnation

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """Recover what an earlier incarnation has left, and report it unless the store is synchronous.

        `delayed` is called at most once, before `recovered`: the disk is not available for now. `lost` gets
        the reason why recovery is impossible; then no keyed run is ever started.
        """

    def capacity_wait_us(self) -> int:
        """Microseconds until one more key can be stored; 0: now."""

    def reserve(self) -> None:
        """One more key is about to be stored."""

    def release(self) -> None:
        """A reserved key was given up before `record_start`."""

    def record_start(
        self, run: StartedRun, then: Callable[[], None], not_started: Callable[[bool], None]
    ) -> None:
        """Call `then` once it is recorded that this run is about to start.

        Or call `not_started`: with True if another incarnation has claimed the key first (`fetch_result`
        tells how that run ends), with False if the start can't be recorded now.
        """

    def record_never_started(self, key: bytes, expires_at: int, settles: tuple[int, ...]) -> None:
        """The run that was about to start provably never did."""

    def record_call(self, key: bytes, expires_at: int, notice: int, then: Callable[[], None]) -> None:
        """Call `then` once it is recorded that the call which this notice asks for is about to be made."""

    def record_end(
        self,
        key: bytes,
        expires_at: int,
        fingerprint: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
    ) -> None:
        """Call `then` once it is recorded that the run has ended, with a result or (None) without one."""

    def notice_read(self, notice: int, pending: bool) -> None:
        """A notice was read; `pending`: a record that settles it is still to come."""

    def pool_linked(self, pool_started_at: int) -> None:
        """The link to the worker pool is up."""

    def pool_replaced(self) -> None:
        """The worker pool is a new one: its notices are numbered from 1 again."""

    def look_up(self, key: bytes, fingerprint: bytes, arrived_at: int) -> StoredEntry | None:
        """What this key stood for; `KeyConflictError` if it stood for another class or body."""

    def fetch_result(self, key: bytes, fingerprint: bytes, then: Callable[[bytes | None], None]) -> None:
        """Call `then` with the result that `look_up` reported; None if it is not available.

        If another incarnation runs the request, `then` is called when that run has ended.
        """

    def close(self) -> None:
        """Write what is pending, and release the folder."""
