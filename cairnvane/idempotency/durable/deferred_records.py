"""What the durable log has to be told once this process owns its folder. No I/O, no clock."""

from __future__ import annotations

from ..store import StartedRun
from .store import DurableStore


class DeferredRecords:
    """Collects records while another process owns the folder. Guarded by the lock of whoever uses it."""

    def __init__(self) -> None:
        self.open_keys = 0  # keys that were reserved and have no end yet
        self.started_runs: dict[bytes, StartedRun] = {}
        self.call_notices: dict[bytes, int] = {}  # of the call that a started run was about to make
        self.pool_started_at: int | None = None  # None: no worker pool was linked yet
        self._settled_notices: list[int] = []

    def call_made(self, key: bytes, notice: int) -> None:
        """A run is about to make the call that this notice asks for."""
        self.call_notices[key] = notice
        self._settled_notices.append(notice)

    def run_over(self, key: bytes, settles: tuple[int, ...]) -> None:
        """A run has ended, or provably never started."""
        self.open_keys -= 1
        self.started_runs.pop(key, None)
        self.call_notices.pop(key, None)
        self._settled_notices += settles

    def reserve_in(self, store: DurableStore) -> None:
        """Reserve capacity for the open keys. The first step of handing over."""
        for _ in range(self.open_keys):
            store.reserve()

    def settle_in(self, store: DurableStore) -> None:
        """Settle the notices, and report the worker pool. The last step, after the runs were entered."""
        store.settle_notices(tuple(self._settled_notices))
        self._settled_notices.clear()
        if self.pool_started_at is not None:
            store.pool_linked(self.pool_started_at)
