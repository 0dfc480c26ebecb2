"""Runs: applies the pool's notices and the disconnects of clients to the requests in flight."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..contract.events import CallRequested, ClientDisconnected, Event, Outcome, RunFinished
from ..exchange import Request
from ..net.worker_pool import RUN_FAILED, RUN_NEVER_STARTED
from .duplicates import Duplicates
from .executions import OUTCOMES_BY_END_CODE, RESPONSE_STATUSES, Executions
from .in_flight import InFlightRequest, InFlightTable
from .responder import Responder
from .run_restarts import RunRestarts

if TYPE_CHECKING:  # imported only if the operator enables durable keys
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)


class Runs:
    """Tracks the runs of the requests in flight; used only by the event loop's thread.

    The parameter `notice` of its methods is the position of a notice in the pool's stream of notices, 0 if
    there is none. `notify` queues an event for the controller.
    """

    def __init__(
        self,
        requests: InFlightTable,
        executions: Executions,
        duplicates: Duplicates,
        responder: Responder,
        durable_keys: DurableKeys | None,
        *,
        notify: Callable[[Event], None],
    ) -> None:
        self._requests = requests
        self._executions = executions
        self._duplicates = duplicates
        self._responder = responder
        self._durable_keys = durable_keys
        self._notify = notify
        self._restarts = RunRestarts(executions, self.request_call)

    def handle_disconnect(self, request: Request) -> None:
        """Abandon the call of a request whose client has disconnected, and report the disconnect."""
        in_flight = self._requests.find_uid(request.uid)
        if in_flight is None or in_flight.request is not request:
            return
        in_flight.has_client_disconnected = True
        self._executions.client_disconnected(in_flight)
        self._notify(ClientDisconnected(in_flight.request_id))
        self._duplicates.remove_if_complete(in_flight)

    def _skip_notice(self, position: int) -> None:
        """Record that a notice was read that does not affect any key."""
        if self._durable_keys is not None:
            self._durable_keys.notice_read(position)

    def end(
        self,
        uid: str,
        code: str,
        duration: int = 0,
        result: bytes = b"",
        notice: int = 0,
    ) -> None:
        """End the run of this request with the pool's end code, after `duration` microseconds."""
        in_flight = self._requests.find_uid(uid)
        if in_flight is None or not in_flight.is_running:
            self._skip_notice(notice)
            return
        if self._restarts.run_ended(in_flight, code):
            self._skip_notice(notice)
            return
        code = self._executions.cancellations.end_code(in_flight, code)
        outcome = OUTCOMES_BY_END_CODE.get(code, Outcome.ERROR)
        self._executions.finished(in_flight, outcome is Outcome.OK)
        if outcome is Outcome.OK and in_flight.is_keyed:
            in_flight.result = result
        if self._durable_keys is not None and in_flight.is_keyed:
            self._durable_keys.run_ended(in_flight, outcome, notice)
            is_recorded_first = outcome is Outcome.OK  # the response is sent once the result is recorded
        else:
            self._skip_notice(notice)
            is_recorded_first = False
        if not is_recorded_first:
            self._complete(in_flight, outcome, result)
        self._notify(RunFinished(in_flight.request_id, outcome, duration))
        self._duplicates.remove_if_complete(in_flight)

    def _complete(self, in_flight: InFlightRequest, outcome: Outcome, result: bytes) -> None:
        """Answer the client of a run, if the outcome has a response status, and the waiting duplicates."""
        status = RESPONSE_STATUSES.get(outcome)
        if status is not None:
            body = result if outcome is Outcome.OK else b""
            self._responder.respond(in_flight.request, status, body)
        self._duplicates.complete_waiting(in_flight, outcome)

    def end_unknown(self, uid: str) -> None:
        """End the run of a request that the pool does not know."""
        in_flight = self._requests.find_uid(uid)
        if in_flight is not None and in_flight.is_running:
            self._responder.respond_invalid(in_flight.request)
            self.end(uid, RUN_NEVER_STARTED)

    def request_call(self, uid: str, body: bytes, notice: int) -> None:
        """Report to the controller that a run waits for a call with this body."""
        in_flight = self._requests.find_uid(uid)
        if in_flight is None or not in_flight.is_running:
            self._skip_notice(notice)
            return
        if self._restarts.withhold_call(in_flight, body, notice):
            self._skip_notice(notice)
            return
        in_flight.last_command = None
        in_flight.call_body = body
        in_flight.call_notice = notice
        if self._durable_keys is None or not in_flight.is_keyed:
            self._skip_notice(notice)
        elif not self._durable_keys.call_requested(in_flight):
            # The call may already have been made, and must not be made twice.
            self._executions.cancel(in_flight)
            return
        self._notify(CallRequested(in_flight.request_id))
        if not in_flight.request.is_open:
            self._executions.client_disconnected(in_flight)

    def fail_lost_runs(self, last_link: int) -> None:
        """Fail the runs of a replaced pool, since no notice of their end will come.

        They may have had an effect, so they are not run again. `last_link` is the last link to that pool.
        """
        lost = self._executions.lost_with_pool(last_link, self._requests.all())
        logger.warning("worker pool replaced: %d runs of the previous pool are lost", len(lost))
        for in_flight in lost:
            self.end(in_flight.request.uid, RUN_FAILED)
        if self._durable_keys is not None:
            self._durable_keys.pool_replaced()  # after the ends, which settle notices of the previous pool

    def resend_lost_commands(self, link: int) -> None:
        """Resend the commands that links before this one may have lost."""
        if self._durable_keys is not None:
            self._durable_keys.pool_linked()
        for in_flight in self._executions.resend_lost_commands(link, self._requests.all()):
            self._restarts.begin(in_flight)
