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
class _Outcome:
    """How a run has ended; no result if it failed or its end will never be known."""

    result: bytes | None = None


class ResultWaiters:
    """The requests for results of runs that have not ended. Safe to call from any thread."""

    def __init__(
        self,
        changed: threading.Condition,
        table: ClaimTable,
        reader: SegmentReader,
        incarnations: Incarnations,
    ) -> None:
        """`changed` has the claim log's lock, and is notified when a request begins to wait."""
        self._changed = changed
        self._table = table
        self._reader = reader
        self._incarnations = incarnations
        self._waiting: list[ResultRequest] = []

    def __bool__(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    def answer_or_wait(self, request: ResultRequest) -> None:
        """Answer a request at once if the run has ended; else it waits for `take_all`."""
        if self._answer(request):
            return
        with self._changed:
            self._waiting.append(request)
            self._changed.notify()

    def take_all(self) -> list[ResultRequest]:
        """Remove and return all that wait; with the lock held."""
        waiting = self._waiting
        self._waiting = []
        return waiting

    def answer_ended(self, requests: list[ResultRequest]) -> list[ResultRequest]:
        """Answer those whose run has ended, and return the others; without the lock."""
        return [request for request in requests if not self._answer(request)]

    def put_back(self, requests: list[ResultRequest]) -> None:
        """Let requests that were taken wait on; with the lock held."""
        self._waiting.extend(requests)

    def _answer(self, request: ResultRequest) -> bool:
        """Answer a request, outside the lock; False if it has to wait."""
        with self._changed:
            outcome = self._outcome(request)
        if outcome is None:
            return False
        request.then(outcome.result)
        return True

    def _outcome(self, request: ResultRequest) -> _Outcome | None:
        """What to answer; None while the run may still end."""
        self._reader.try_follow()
        entry = self._table.entries.get(request.key)
        if entry is None or entry.fingerprint != request.fingerprint:
            return _Outcome()
        if entry.state is KeyState.INTENDED and not self._is_abandoned(entry):
            return None
        if entry.state is KeyState.FINISHED:
            return _Outcome(self._reader.result(request.key, entry))
        return _Outcome()

    def _is_abandoned(self, entry: Entry) -> bool:
        """Whether a run without an end will never have one: its incarnation is dead and has written its last.

        Nobody can tell whether its worker pool ran it, so it never runs again.
        """
        if self._incarnations.liveness(entry.incarnation) is not Liveness.DEAD:
            return False
        self._reader.try_follow()
        return entry.state is KeyState.INTENDED
