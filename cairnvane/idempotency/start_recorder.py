"""Starts runs once their start is recorded, and rejects those whose record is late."""

from __future__ import annotations

import logging

from .. import clock
from ..exchange import ResponseStatus
from ..server.in_flight import InFlightRequest
from .overdue_watch import OverdueWatch
from .pending_records import OpenKey, PendingStarts
from .request_owner import RequestOwner
from .store import IdempotencyStore, StartedRun

logger = logging.getLogger(__name__)

# A run whose start record takes longer than this is rejected. An ordinary write takes a hundredth of it.
START_RECORD_TIMEOUT_US = 250_000


def retry_after_ms(wait_us: int) -> int:
    """Convert microseconds to milliseconds, rounded up."""
    return -(-wait_us // 1_000)


class StartRecorder:
    """Has the starts of runs recorded by the store. Server thread only, unless a method says otherwise."""

    owner: RequestOwner  # set before the first request

    def __init__(self, store: IdempotencyStore, open_keys: dict[int, OpenKey], watch: OverdueWatch) -> None:
        """`open_keys` maps request ids to the keys whose requests have no recorded end."""
        self._store = store
        self._open_keys = open_keys
        self._watch = watch
        self.pending = PendingStarts()

    def request_start(self, in_flight: InFlightRequest) -> None:
        """Have the start recorded; the run starts once the record is written."""
        request = in_flight.request
        open_key = self._open_keys[in_flight.request_id]
        open_key.start_requested = True
        self.pending.add(in_flight, clock.now() + START_RECORD_TIMEOUT_US)
        run = StartedRun(
            open_key.key,
            request.uid,
            request.class_name,
            in_flight.fingerprint,
            open_key.expires_at,
            request.arrived_at + in_flight.request_class.client_timeout,
            request.memory,
            0,
        )
        self._store.record_start(
            run,
            lambda: self._start_recorded(in_flight),
            lambda is_claimed_elsewhere: self._start_prevented(in_flight, is_claimed_elsewhere),
        )
        if not self._store.synchronous:
            self._watch.arm()

    def _start_recorded(self, in_flight: InFlightRequest) -> None:
        """Start the run, unless the server thread has rejected it meanwhile. Called in the writer thread."""
        if self.pending.withdraw(in_flight):
            self.owner.start_run(in_flight)

    def _start_prevented(self, in_flight: InFlightRequest, is_claimed_elsewhere: bool) -> None:
        """Handle a run that must not start here. Called in the server thread.

        If another incarnation has claimed the key, the request ends when that run ends. Until then it counts
        as a run of this incarnation and occupies its capacity, which is soon free again.
        """
        if not self.pending.withdraw(in_flight):
            return
        open_key = self._open_keys.pop(in_flight.request_id)
        if not is_claimed_elsewhere:
            self._reject(in_flight, "the start can't be recorded")
            return
        self.pending.add_claimed_elsewhere(in_flight)
        self._store.fetch_result(
            open_key.key,
            in_flight.fingerprint,
            lambda result: self.owner.post(lambda: self._ended_elsewhere(in_flight, result)),
        )

    def _ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        if self.pending.is_claimed_elsewhere(in_flight):
            self.owner.run_ended_elsewhere(in_flight, result)

    def reject_overdue(self, now: int) -> None:
        """Reject the runs whose start record is overdue."""
        for in_flight in self.pending.overdue(now):
            if self.pending.withdraw(in_flight):  # else the writer thread has started it meanwhile
                self._reject(in_flight, "the start was not recorded in time")

    def _reject(self, in_flight: InFlightRequest, cause: str) -> None:
        """Reject a run that has not started and will not be started."""
        logger.warning("run %s rejected: %s", in_flight.request.uid, cause)
        wait_us = max(self._store.capacity_wait_us(), START_RECORD_TIMEOUT_US)
        self.owner.respond(in_flight.request, ResponseStatus.REJECTED, away_ms=retry_after_ms(wait_us))
        self.owner.run_never_started(in_flight)
