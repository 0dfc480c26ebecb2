"""Duplicates that wait for the result of a run in another incarnation."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from .claim_table import ClaimTable, Entry
from .incarnations import Incarnations, Liveness
from .segment_reader import SegmentReader
from .states import KeyState


@dataclass(frozen=True, slots=True)
class ResultRequest:
    """A duplicate that asks for the result of the original request."""

    key: bytes
    fingerprint: bytes
    then: Callable[[bytes | None], None]  # called with the result, or None if there will be none


@dataclass(frozen=True, slots=True)
class _RunEnd:
    """How a run has ended; without a result if it failed or its end will never be known."""

    result: bytes | None = None


class ResultWaiters:
    """The requests that wait for results of runs that have not ended. Safe to call from any thread."""

    def __init__(
        self,
        changed: threading.Condition,
        table: ClaimTable,
        reader: SegmentReader,
        incarnations: Incarnations,
    ) -> None:
        """`changed` holds the claim log's lock, and is notified when a request begins to wait."""
        self._changed = changed
        self._table = table
        self._reader = reader
        self._incarnations = incarnations
        self._waiting: list[ResultRequest] = []

    def __bool__(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    def answer_or_wait(self, request: ResultRequest) -> None:
        """Answer a request at once if the run has ended; else queue it until `pop_all` is called."""
        if self._answer(request):
            return
        with self._changed:
            self._waiting.append(request)
            self._changed.notify()

    def pop_all(self) -> list[ResultRequest]:
        """Remove and return all waiting requests. Called with the lock held."""
        waiting = self._waiting
        self._waiting = []
        return waiting

    def answer_ended(self, requests: list[ResultRequest]) -> list[ResultRequest]:
        """Answer the requests whose run has ended, and return the others. Called without the lock."""
        return [request for request in requests if not self._answer(request)]

    def put_back(self, requests: list[ResultRequest]) -> None:
        """Queue requests again that `pop_all` returned. Called with the lock held."""
        self._waiting.extend(requests)

    def _answer(self, request: ResultRequest) -> bool:
        """Answer a request; False if it has to wait. The answer is passed on without the lock."""
        with self._changed:
            run_end = self._run_end(request)
        if run_end is None:
            return False
        request.then(run_end.result)
        return True

    def _run_end(self, request: ResultRequest) -> _RunEnd | None:
        """Return the end of the requested run; None while it may still end."""
        self._reader.try_follow()
        entry = self._table.entries.get(request.key)
        if entry is None or entry.fingerprint != request.fingerprint:
            return _RunEnd()
        if entry.state is KeyState.INTENDED and not self._is_abandoned(entry):
            return None
        if entry.state is KeyState.FINISHED:
            return _RunEnd(self._reader.result(request.key, entry))
        return _RunEnd()

    def _is_abandoned(self, entry: Entry) -> bool:
        """Whether a run without a recorded end will never get one, because its incarnation is dead.

        The log is read once more after the incarnation was found dead, since its last records may not have
        been read before. It is not known whether its worker pool ran the request, so it is never run again.
        """
        if self._incarnations.liveness(entry.incarnation) is not Liveness.DEAD:
            return False
        self._reader.try_follow()
        return entry.state is KeyState.INTENDED
