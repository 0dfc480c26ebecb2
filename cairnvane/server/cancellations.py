"""Cancellation of runs, including cancelled runs whose end the worker pool does not report.

There are two possible causes of a missing report. The `spawn` may have been lost with a link: the run never
began, no end is ever reported, and the run would occupy a concurrency slot for good. Or the cancellation has
no effect, for example while the machine's cores are stalled, and the run continues. A missing report does not
tell them apart, so the server sends a question that the pool answers in both cases (`WorkerPool.confirm`).
The run occupies its concurrency slot until its end is reported.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass

from .. import clock
from ..contract.settings import RetrySemantics
from ..net.worker_pool import RUN_CANCELLED, RUN_NEVER_STARTED, WorkerPool
from .in_flight import InFlightRequest

logger = logging.getLogger(__name__)

# A request can no longer be run this long after its client's timeout, even if its response was not read.
# Covers the protocol's slack and the transfer time of a message between two processes on one machine.
CONFIRMATION_MARGIN_US = 250_000


@dataclass(slots=True)
class CancellationCounts:
    """Counts since the process started."""

    sent: int = 0  # cancellations, including those that were sent again
    confirmations: int = 0  # questions whether a cancelled run continues
    lost_runs: int = 0  # runs that were lost with a link, as the pool confirmed
    second_runs: int = 0  # cancelled runs that a repeated `spawn` may have started a second time

    def as_json(self) -> dict[str, int]:
        """The counts for the metrics."""
        return asdict(self)


class Cancellations:
    """Cancels runs and finds out which of them never began; used only by the event loop's thread.

    `run_lost` is called with a run of an earlier incarnation that is considered lost. `post` runs a task in
    the event loop's thread.
    """

    def __init__(
        self,
        pool: WorkerPool,
        post: Callable[[Callable[[], None]], None],
        run_lost: Callable[[InFlightRequest], None],
    ) -> None:
        self.counts = CancellationCounts()
        self.link = 0  # number of the newest pool link whose missed notices have been replayed
        self._pool = pool
        self._post = post
        self._run_lost = run_lost

    def cancel(self, in_flight: InFlightRequest) -> None:
        """Cancel a run. It occupies its concurrency slot until its end is reported."""
        self.counts.sent += 1
        in_flight.cancel_link = self._pool.suspend(in_flight.request.uid).link

        def on_synced(is_linked: bool) -> None:
            if is_linked:
                self._post(lambda: self._end_not_reported(in_flight))

        may_be_lost = in_flight.command_link is not None and in_flight.command_link != in_flight.cancel_link
        if in_flight.cancel_link and may_be_lost:
            self._pool.sync(on_synced)

    def cancel_second_run(self, in_flight: InFlightRequest) -> None:
        """Cancel a second run that a repeated `spawn` may have started.

        That happens if the first run ended before the pool read the repeated command. The request has ended,
        so a second run would not be counted as running.
        """
        self.counts.second_runs += 1
        self._pool.suspend(in_flight.request.uid)

    def end_code(self, in_flight: InFlightRequest, code: str) -> str:
        """Return the end code that applies to this run, given the code that the pool reported.

        `late` as the reply to a confirmation shows that the run does not continue. It does not free the
        idempotency key: it says that this `spawn` started no run, but not that the run never began, which
        is inferred only from the missing report of an end.
        """
        if code != RUN_NEVER_STARTED or not in_flight.is_confirmation_sent:
            return code
        self.counts.lost_runs += 1
        logger.info(
            "run %s was lost with link %s; its concurrency slot is free",
            in_flight.request.uid,
            in_flight.command_link,
        )
        return RUN_CANCELLED

    # --- a cancelled run whose end was still unreported when the pool answered the question after it

    def _is_unconfirmed(self, in_flight: InFlightRequest) -> bool:
        is_unacknowledged = in_flight.is_running and in_flight.command_link is not None
        return is_unacknowledged and in_flight.cancel_link == self.link

    def _end_not_reported(self, in_flight: InFlightRequest) -> None:
        if not self._is_unconfirmed(in_flight):
            return
        if in_flight.is_adopted:
            # The request's body is not known, so the pool can't be asked. There are at most as many of these
            # runs as were running when the earlier incarnation ended.
            self._run_lost(in_flight)
            return
        wait_us = self._time_until_confirmable(in_flight)
        if wait_us <= 0:
            self._confirm(in_flight)
            return
        timer = threading.Timer(
            wait_us / clock.MICROSECONDS_PER_SECOND, self._post, (lambda: self._confirm(in_flight),)
        )
        timer.daemon = True
        timer.start()

    def _time_until_confirmable(self, in_flight: InFlightRequest) -> int:
        """Microseconds until a confirmation can be sent without running the request a second time.

        0 if the request is idempotent, so that a second run is allowed, or if its client has disconnected.
        Otherwise the response may not have reached the client yet, and the pool would still run a request
        whose client waits.
        """
        is_idempotent = in_flight.request_class.retry_semantics is RetrySemantics.IDEMPOTENT
        if is_idempotent or in_flight.has_client_disconnected:
            return 0
        confirmable_at = (
            in_flight.request.arrived_at + in_flight.request_class.client_timeout + CONFIRMATION_MARGIN_US
        )
        return max(0, confirmable_at - clock.now())

    def _confirm(self, in_flight: InFlightRequest) -> None:
        if not self._is_unconfirmed(in_flight):
            return  # the run has ended, or the link has, and the cancellation is sent again on the next one
        self.counts.confirmations += 1
        in_flight.is_confirmation_sent = True
        request = in_flight.request
        logger.info(
            "run %s: no end reported after cancellation on link %s, last command on link %s; asking the pool",
            request.uid,
            in_flight.cancel_link,
            in_flight.command_link,
        )
        self._pool.confirm(request.uid, request.class_name, request.body)
