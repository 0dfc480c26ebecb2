"""Restarts of idempotent runs whose reply to a call may have been lost with a link to the worker pool.

Such a run either waits for the reply for good or continues, and no message of the pool tells which. It is
stopped, which is safe in both cases, and begins again once the pool has reported that it was stopped. Used
only by the event loop's thread.
"""

from __future__ import annotations

from collections.abc import Callable

from ..contract.settings import RetrySemantics
from ..net.worker_pool import RUN_CANCELLED
from .executions import Executions
from .in_flight import InFlightRequest, WithheldCall


class RunRestarts:
    """Stops runs and starts them again, without the controller's knowledge: to it they continue to run.

    `request_call` handles the notice of a run that waits for a call.
    """

    def __init__(self, executions: Executions, request_call: Callable[[str, bytes, int], None]) -> None:
        self._executions = executions
        self._request_call = request_call

    def begin(self, in_flight: InFlightRequest) -> None:
        """Stop a run to start it again, if it is idempotent and its request is still open."""
        is_idempotent = in_flight.request_class.retry_semantics is RetrySemantics.IDEMPOTENT
        if not is_idempotent or not in_flight.request.is_open:
            return
        in_flight.is_restarting = self._executions.stop(in_flight, lambda: self._end_unstopped(in_flight))

    def withhold_call(self, in_flight: InFlightRequest, body: bytes, notice: int) -> bool:
        """Withhold the call of a run that is being stopped; False if it is not."""
        if in_flight.is_restarting:
            in_flight.withheld_call = WithheldCall(body, notice)
        return in_flight.is_restarting

    def run_ended(self, in_flight: InFlightRequest, code: str) -> bool:
        """Start a run again if it ended because it was stopped for that; False if it has ended for good."""
        is_stopped = in_flight.is_restarting and code == RUN_CANCELLED
        in_flight.is_restarting = False
        in_flight.withheld_call = None
        if not is_stopped or in_flight.cancel_link is not None or not in_flight.request.is_open:
            return False
        self._executions.start_over(in_flight)
        return True

    def _end_unstopped(self, in_flight: InFlightRequest) -> None:
        """Let a run continue that the pool did not stop, as while the machine's cores stand still."""
        if not in_flight.is_restarting:
            return
        in_flight.is_restarting = False
        call = in_flight.withheld_call
        in_flight.withheld_call = None
        if call is not None:
            self._request_call(in_flight.request.uid, call.body, call.notice)
