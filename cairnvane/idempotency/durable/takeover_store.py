"""The log and the ledger together: kept results, and a later version that serves beside the one that keeps
them.

The log has one writer at a time. A life that finds its folder owned serves on the ledger alone, which lies in
that folder too, and knows what was kept before from reading the log. Once the folder is its own, what the
ledger knows beyond the log is entered there (`_enter`), and from then on both are written: the ledger for the
lives that are there, the log for those that come after all of them.
"""

from __future__ import annotations

import contextlib
import logging
import shutil
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from queue import SimpleQueue

from ... import clock
from ...claims import ClaimLog, records
from ...claims.claim_table import ClaimTable, Place
from ...claims.states import KeyState, Step
from ...claims.storage import OsFolder
from ..store import RecoveredState, StartedRun, StoredEntry
from .store import DurableStore

logger = logging.getLogger(__name__)

# The ledger of one boot of the machine, in the folder of the log: times in it are of that boot's clock.
LEDGER = "ledger."


def _nothing() -> None:
    pass


def _no_other(there: bool) -> None:
    pass


class TakeoverStore:
    """See `keys.Keeper`."""

    synchronous = False

    def __init__(
        self, store: DurableStore, ledger: ClaimLog, folder: Path, own: Path, *, power: bool
    ) -> None:
        """`folder` is the log's, and `own` that of this boot's ledger in it."""
        self._store, self._ledger, self._power = store, ledger, power
        self._folder, self._own_ledger = folder, own
        self._lock = threading.RLock()  # host and writer: who of them has seen the folder change hands
        self._owned = self._held = False
        # While the folder is another's: what the log will have to know.
        self._open = 0
        self._begun: dict[bytes, StartedRun] = {}
        self._called: dict[bytes, int] = {}
        self._settled: list[int] = []
        self._pool_started: int | None = None
        self._tasks: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self._helper = threading.Thread(target=self._help, name="beside", daemon=True)

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """See `Keeper`."""
        self._recovered = recovered
        self._ledger.start(recovered, delayed, lost)
        self._helper.start()
        self._store.start(self._taken_up, delayed, lost, self._waits)

    def _waits(self) -> bool:
        """Another process owns the folder: serve beside it, if it is one that writes to the ledger."""
        if self._ledger.alone():
            return False
        self._held = True
        logger.info("another life owns the folder: this one serves beside it")
        self._recovered(RecoveredState())
        return True

    def _taken_up(self, left: RecoveredState) -> None:
        """The folder is ours, and all is read."""
        with self._lock:
            for _ in range(self._open):
                self._store.reserve()
            begun = self._enter(left)
            self._store.settle(tuple(self._settled))
            self._settled.clear()
            if self._pool_started is not None:
                self._store.pool_linked(self._pool_started)
            self._owned = True
        if not self._held:
            # Once what was entered is written: then it can be recalled.
            return self._written(lambda: self._recovered(replace(left, started_runs=begun)))
        logger.info("the folder is this life's own now")
        for one in begun:  # of the life that had it; its pool was another
            self._store.record_end(one.key, one.expires_at, one.fingerprint, None, (), _nothing)

    def _enter(self, left: RecoveredState) -> tuple[StartedRun, ...]:
        """Have the log know what only the ledger does. The runs whose end neither of them knows."""
        begun = {one.key: one for one in left.started_runs}
        for token, entry, result in self._ledger.entries():
            if self._store.knows(token):
                continue
            if entry.state is KeyState.INTENDED and self._ledger.mine(entry):
                if (mine := self._begun.get(token)) is not None:
                    self._store.record_start(mine, _nothing, _no_other)
                if (pos := self._called.get(token)) is not None:
                    self._store.record_call(token, entry.until, pos, _nothing)
                continue
            if entry.state is KeyState.INTENDED and (token in begun or not self._ledger.dead(entry)):
                continue  # its end is still to come
            if begun.pop(token, None) is None:
                self._store.reserve()  # else it is on the log's account already
            self._store.record_end(token, entry.until, entry.same, result, (), _nothing)
        for path in self._folder.glob(f"{LEDGER}*"):
            if path != self._own_ledger:
                self._enter_earlier(path, begun)
        return tuple(begun.values())

    def _enter_earlier(self, path: Path, begun: dict[bytes, StartedRun]) -> None:
        """What a ledger of another boot knows. Of the time since nobody can vouch for, none counts as passed;
        its pools are gone, so a run without an end has none."""
        machine = ClaimTable(0)
        results: dict[bytes, bytes] = {}
        try:
            folder = OsFolder(path)
            for number in folder.numbers():
                segment = folder.open(number, create=False)
                try:
                    for offset, length, told in records.scan(segment.read(0, segment.look()[0])).records:
                        machine.take(told, Place(number, offset, length))
                        if told.kind == Step.RESULT:
                            results.setdefault(told.token, told.rest[records.DIGEST_BYTES :])
                finally:
                    segment.close()
        except OSError as error:
            return logger.warning("%s: %s; read again at the next start", path.name, error)
        now = clock.now()
        for token, entry in machine.entries.items():
            if entry.state is KeyState.VOID or self._store.knows(token):
                continue
            if begun.pop(token, None) is None:
                self._store.reserve()
            result = results.get(token) if entry.state is KeyState.FINISHED else None
            self._store.record_end(token, now + entry.until - entry.at, entry.same, result, (), _nothing)
        self._written(lambda: shutil.rmtree(path, ignore_errors=True))

    def _written(self, then: Callable[[], None]) -> None:
        """`then`, once all is written that the log was told so far: it does one thing after the other."""
        self._store.fetch_result(records.NO_TOKEN, records.NO_TOKEN, lambda result: then())

    # --- what the host asks

    def capacity_wait_us(self) -> int:
        """See `Keeper`."""
        wait = self._ledger.capacity_wait_us()
        return wait if self._held and not self._owned else max(wait, self._store.capacity_wait_us())

    def reserve(self) -> None:
        """See `Keeper`."""
        with self._lock:
            if self._owned:
                self._store.reserve()
            else:
                self._open += 1

    def release(self) -> None:
        """See `Keeper`."""
        with self._lock:
            if self._owned:
                self._store.release()
            else:
                self._open -= 1

    def record_start(
        self, begun: StartedRun, then: Callable[[], None], other: Callable[[bool], None]
    ) -> None:
        """See `Keeper`."""
        self._ledger.record_start(
            begun, lambda: self._intend(begun, then), lambda there: self._not(other, there)
        )

    def _intend(self, begun: StartedRun, then: Callable[[], None]) -> None:
        with self._lock:
            if self._owned:
                return self._store.record_start(begun, then, _no_other)
            self._begun[begun.key] = begun
        self._safe(then)

    def _not(self, other: Callable[[bool], None], there: bool) -> None:
        self.release()
        other(there)

    def record_never_started(self, token: bytes, until: int, settles: tuple[int, ...]) -> None:
        """See `Keeper`."""
        self._ledger.record_never_started(token, until, settles)
        with self._lock:
            if self._owned:
                return self._store.record_never_started(token, until, settles)
            self._over(token, settles)

    def record_call(self, token: bytes, until: int, pos: int, then: Callable[[], None]) -> None:
        """See `Keeper`."""
        with self._lock:
            if self._owned:
                return self._store.record_call(token, until, pos, then)
            self._called[token] = pos
            self._settled.append(pos)
        then()

    def record_end(
        self,
        token: bytes,
        until: int,
        same: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
    ) -> None:
        """See `Keeper`."""
        self._ledger.record_end(token, until, same, result, settles, _nothing)
        with self._lock:
            if self._owned:
                return self._store.record_end(token, until, same, result, settles, then)
            self._over(token, settles)
        self._safe(then)

    def _over(self, token: bytes, settles: tuple[int, ...]) -> None:
        self._open -= 1
        self._begun.pop(token, None)
        self._called.pop(token, None)
        self._settled += settles

    def notice_read(self, pos: int, owed: bool) -> None:
        """See `Keeper`."""
        self._store.notice_read(pos, owed)

    def pool_linked(self, pool_started: int) -> None:
        """See `Keeper`."""
        with self._lock:
            self._pool_started = pool_started
            if self._owned:
                self._store.pool_linked(pool_started)

    def pool_replaced(self) -> None:
        """See `Keeper`."""
        self._store.pool_replaced()

    def look_up(self, token: bytes, same: bytes, arrived: int) -> StoredEntry | None:
        """See `Keeper`. The log first: it may know the end of a run whose life is dead."""
        return self._store.look_up(token, same, arrived) or self._ledger.look_up(token, same, arrived)

    def fetch_result(self, token: bytes, same: bytes, then: Callable[[bytes | None], None]) -> None:
        """See `Keeper`."""
        with self._lock:
            kept, owned = self._store.knows(token), self._owned or not self._held
        if not kept:
            self._ledger.fetch_result(token, same, then)
        elif owned:
            self._store.fetch_result(token, same, then)
        else:
            self._tasks.put(lambda: then(self._store.peeked(token, same)))

    def close(self) -> None:
        """See `Keeper`."""
        self._ledger.close()
        self._store.close()
        self._tasks.put(None)

    # --- the helper, while the folder is another's

    def _safe(self, then: Callable[[], None]) -> None:
        """`then`, once what was said survives what has to be survived."""
        if self._power:
            self._tasks.put(lambda: self._synced(then))
        else:
            then()

    def _synced(self, then: Callable[[], None]) -> None:
        while True:
            with contextlib.suppress(OSError):
                self._ledger.sync()
                return then()
            threading.Event().wait(0.05)  # whoever waits gives up by its own time

    def _help(self) -> None:
        while (task := self._tasks.get()) is not None:
            task()
