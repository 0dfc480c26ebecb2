"""Answers requests once the end of their run is recorded, and fails those whose record is late."""

from __future__ import annotations

import logging
from collections import deque

from .. import clock
from ..contract.events import Outcome
from ..exchange import ResponseStatus
from ..server.in_flight import InFlightRequest
from .overdue_watch import OverdueWatch
from .pending_records import OpenKey, PendingEnds
from .recent_results import RecentResults
from .request_owner import RequestOwner
from .store import IdempotencyStore

logger = logging.getLogger(__name__)

# A request whose record is late is failed this long before its deadline, or at the watchdog's next check
# after that.
ANSWER_MARGIN_US = 60_000
# A deadline that is never reached: later than any time of the monotonic clock.
NO_DEADLINE_US = 1 << 62


class EndRecorder:
    """Has the ends of runs recorded by the store. Server thread only, unless a method says otherwise."""

    owner: RequestOwner  # set before the first request

    def __init__(self, store: IdempotencyStore, watch: OverdueWatch) -> None:
        self._store = store
        self._watch = watch
        self.pending = PendingEnds()
        # Recorded ends that the server thread has not processed yet. The writer thread appends to it.
        self._recorded: deque[tuple[InFlightRequest, bool]] = deque()
        self._recent = RecentResults()
        self._drain_deadline = NO_DEADLINE_US

    def drain(self, time_left: int) -> None:
        """Begin the drain: every request must be answered within `time_left` microseconds."""
        self._drain_deadline = clock.now() + time_left

    def record_end(
        self, in_flight: InFlightRequest, open_key: OpenKey, has_result: bool, settles: tuple[int, ...]
    ) -> None:
        """Have an end recorded; the record settles these notices of the worker pool."""
        if has_result and not self._store.synchronous:
            client_deadline = in_flight.request.arrived_at + in_flight.request_class.client_timeout
            deadline = min(client_deadline, self._drain_deadline)
            self.pending.add(in_flight, deadline - ANSWER_MARGIN_US)
            self._watch.arm()
        self._store.record_end(
            open_key.key,
            open_key.expires_at,
            in_flight.fingerprint,
            in_flight.result if has_result else None,
            settles,
            lambda: self.end_recorded(in_flight, has_result),
        )

    def end_recorded(self, in_flight: InFlightRequest, has_result: bool) -> None:
        """Answer the request. Called in the writer thread.

        The server thread does the rest on its next pass, and is woken only if duplicates wait. A duplicate
        that starts to wait after this check is not missed: it does so in the server thread, which processes
        the recorded ends at the end of the same pass.
        """
        if has_result:
            self.owner.respond(in_flight.request, ResponseStatus.SERVED, in_flight.result)
        self._recorded.append((in_flight, has_result))
        if in_flight.waiting_duplicates:
            self.owner.post(lambda: None)

    def process_recorded(self, max_recent: int, max_recent_bytes: int) -> None:
        """Process the ends that were recorded since the last call, and keep the last results in memory."""
        while self._recorded:
            in_flight, has_result = self._recorded.popleft()
            self.pending.remove(in_flight)
            if not has_result:
                self.owner.release(in_flight)
                continue
            self.owner.run_ended(in_flight, Outcome.OK)
            self._recent.add(in_flight)
        for in_flight in self._recent.evict(max_recent, max_recent_bytes):
            self.owner.release(in_flight)

    def fail_overdue(self, now: int) -> None:
        """Fail the requests whose end was not recorded in time."""
        for request in self.pending.pop_overdue(now, self._drain_deadline):
            logger.warning("request %s failed: its result was not recorded in time", request.uid)
            self.owner.respond(request, ResponseStatus.FAILED)
