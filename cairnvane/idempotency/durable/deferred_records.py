"""Collects what is to be written to the durable log once this process owns its folder. No I/O, no clock."""

from __future__ import annotations

from ..store import StartedRun
from .store import DurableStore


class DeferredRecords:
    """Collects records while another process owns the folder. Not thread-safe: the caller holds a lock."""

    def __init__(self) -> None:
        self.open_keys = 0  # keys that were reserved and have no recorded end
        self.started_runs: dict[bytes, StartedRun] = {}
        self.call_notices: dict[bytes, int] = {}  # by key, of the call that a started run was about to make
        self.pool_started_at: int | None = None  # None: there was no link to a worker pool yet
        self._settled_notices: list[int] = []

    def call_recorded(self, key: bytes, notice: int) -> None:
        """A run is about to make the call that this notice asks for."""
        self.call_notices[key] = notice
        self._settled_notices.append(notice)

    def run_ended(self, key: bytes, settles: tuple[int, ...]) -> None:
        """A run has ended, or provably never started."""
        self.open_keys -= 1
        self.started_runs.pop(key, None)
        self.call_notices.pop(key, None)
        self._settled_notices += settles

    def reserve_in(self, store: DurableStore) -> None:
        """Reserve capacity for the open keys. The first step of the transfer to `store`."""
        for _ in range(self.open_keys):
            store.reserve()

    def settle_in(self, store: DurableStore) -> None:
        """Settle the notices and record the link to the worker pool. The last step, after the runs."""
        store.settle_notices(tuple(self._settled_notices))
        self._settled_notices.clear()
        if self.pool_started_at is not None:
            store.pool_linked(self.pool_started_at)
