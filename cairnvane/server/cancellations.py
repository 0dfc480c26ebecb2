"""Cancellations of runs, and of what is known of a cancelled run whose end the worker pool does not report.

A run may have been lost with a link: then it never began, no end is ever reported, and its place would stay
taken. But a cancellation may also have no effect, as while the machine's cores stand still, and then the run
goes on. A pool that reports no end proves neither, so the pool is asked in a way that has an answer either
way (`WorkerPool.confirm`), and the run keeps its place until its end is reported.
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

# So long after its client's timeout a request is over for everybody, also where an answer was not read: the
# protocol's slack, and what a message between two processes of one machine may take.
OVER_MARGIN_US = 250_000
MICROSECONDS_PER_SECOND = 1e6


@dataclass(slots=True)
class CancellationCounts:
    """Counts since the start of the process."""

    sent: int = 0  # cancellations, each time that one was sent
    confirmations: int = 0  # questions whether a cancelled run goes on
    lost_runs: int = 0  # runs that were lost with a link, by the pool's own word
    second_runs: int = 0  # runs that may have begun a second time, and were cancelled

    def as_json(self) -> dict[str, int]:
        """The counts for the metrics."""
        return asdict(self)


class Cancellations:
    """Cancels runs, and finds out which of them never began; used by the event loop's thread alone.

    `run_lost` takes a run of an earlier incarnation that is given up. Tasks handed to `post` are done in the
    event loop's thread.
    """

    def __init__(
        self,
        pool: WorkerPool,
        post: Callable[[Callable[[], None]], None],
        run_lost: Callable[[InFlightRequest], None],
    ) -> None:
        self.counts = CancellationCounts()
        self.link = 0  # the pool's newest link whose notices have been replayed
        self._pool = pool
        self._post = post
        self._run_lost = run_lost

    def cancel(self, in_flight: InFlightRequest) -> None:
        """Cancel a run; it keeps its place until its end is reported."""
        self.counts.sent += 1
        in_flight.cancel_link = self._pool.suspend(in_flight.request.uid)

        def synced(is_linked: bool) -> None:
            if is_linked:
                self._post(lambda: self._end_not_reported(in_flight))

        may_be_lost = in_flight.command_link is not None and in_flight.command_link != in_flight.cancel_link
        if in_flight.cancel_link and may_be_lost:
            self._pool.sync(synced)

    def cancel_second_run(self, in_flight: InFlightRequest) -> None:
        """Cancel what a repeated `spawn` may have begun, since the run had ended before the pool read it.

        The request is over, and nobody counts such a run.
        """
        self.counts.second_runs += 1
        self._pool.suspend(in_flight.request.uid)

    def end_code(self, in_flight: InFlightRequest, code: str) -> str:
        """What an end code of the pool means for this run.

        `late` in answer to a confirmation shows that no run goes on. It does not make the key free: that a
        run never began, and not only this `spawn`, is known from its silence alone.
        """
        if code != RUN_NEVER_STARTED or not in_flight.is_confirmation_sent:
            return code
        self.counts.lost_runs += 1
        logger.info(
            "run %s was lost with link %s: its place is free", in_flight.request.uid, in_flight.command_link
        )
        return RUN_CANCELLED

    # --- a cancelled run whose end was not reported before the answer to the question behind it

    def _is_unconfirmed(self, in_flight: InFlightRequest) -> bool:
        is_unacknowledged = in_flight.is_running and in_flight.command_link is not None
        return is_unacknowledged and in_flight.cancel_link == self.link

    def _end_not_reported(self, in_flight: InFlightRequest) -> None:
        if not self._is_unconfirmed(in_flight):
            return
        if in_flight.is_adopted:
            # Its body is not known, so the pool can't be asked. There are no more of these than were running
            # when the earlier incarnation ended.
            self._run_lost(in_flight)
            return
        wait_us = self._time_until_over(in_flight)
        if wait_us <= 0:
            self._confirm(in_flight)
            return
        later = threading.Timer(
            wait_us / MICROSECONDS_PER_SECOND, self._post, (lambda: self._confirm(in_flight),)
        )
        later.daemon = True
        later.start()

    def _time_until_over(self, in_flight: InFlightRequest) -> int:
        """Microseconds until a `spawn` of this request can't run it a second time, 0 if it may.

        The request has been answered, or its client has left. But an answer may be on its way, and the pool
        would still run a request whose client waits.
        """
        is_idempotent = in_flight.request_class.retry_semantics is RetrySemantics.IDEMPOTENT
        if is_idempotent or in_flight.client_left:
            return 0
        over_at = in_flight.request.arrived_at + in_flight.request_class.client_timeout + OVER_MARGIN_US
        return max(0, over_at - clock.now())

    def _confirm(self, in_flight: InFlightRequest) -> None:
        if not self._is_unconfirmed(in_flight):
            return  # it has ended, or the link has, and the next one brings a new cancellation
        self.counts.confirmations += 1
        in_flight.is_confirmation_sent = True
        request = in_flight.request
        logger.info(
            "run %s: no end after its cancellation on link %s, command on link %s: the pool is asked for it",
            request.uid,
            in_flight.cancel_link,
            in_flight.command_link,
        )
        self._pool.confirm(request.uid, request.class_name, request.body)
