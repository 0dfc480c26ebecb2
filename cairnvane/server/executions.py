"""Runs in the worker pool and their vault calls: sends commands, and resends those that may be lost.

Used only by the event loop's thread, except for `start`, which the thread that recorded a start may call.
This module makes no admission decisions. `docs/server.md` has the table of what is sent again.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable

from .. import clock
from ..contract.events import Outcome
from ..contract.settings import RetrySemantics
from ..exchange import ResponseStatus
from ..net.sent_commands import NOT_SENT
from ..net.vault import VaultCall
from ..net.worker_pool import RUN_CANCELLED, RUN_FAILED, RUN_NEVER_STARTED, RUN_SUCCEEDED, WorkerPool
from .cancellations import Cancellations
from .in_flight import InFlightRequest

logger = logging.getLogger(__name__)

# Only commands sent in the last 50 ms before a link broke can be lost, and detecting the break may take up to
# this long. Older commands have arrived.
POSSIBLY_LOST_US = 1_000_000

# The outcome for each of the pool's end codes.
OUTCOMES_BY_END_CODE = {
    RUN_SUCCEEDED: Outcome.OK,
    RUN_FAILED: Outcome.ERROR,
    RUN_CANCELLED: Outcome.CANCELLED,
    RUN_NEVER_STARTED: Outcome.NEVER_STARTED,
}
# The outcomes of a run for which its client gets a response, with the status of that response.
RESPONSE_STATUSES = {Outcome.OK: ResponseStatus.SERVED, Outcome.ERROR: ResponseStatus.FAILED}

# Receives a request whose call ended, the outcome, and the call's duration in microseconds.
CallEnded = Callable[[InFlightRequest, Outcome, int], None]


class Executions:
    """Sends the commands for runs to the worker pool, and makes their calls to the vault.

    `abandoned_call_time` is how long the vault may keep an abandoned call, in microseconds.
    `run_lost` is called with a run of an earlier incarnation that is considered lost, `call_ended` at the end
    of each call, both in the event loop's thread. `post` runs a task in that thread.
    """

    def __init__(
        self,
        pool: WorkerPool,
        vault: tuple[str, int],
        post: Callable[[Callable[[], None]], None],
        can_cancel: bool,
        abandoned_call_time: int,
        *,
        run_lost: Callable[[InFlightRequest], None],
        call_ended: CallEnded,
    ) -> None:
        self.vault = vault  # the address for new calls; calls in progress keep the previous one
        self.calls_in_flight = 0  # calls to the vault that have not ended
        self.commands_repeated = 0  # commands sent again since the process started
        self.cancellations = Cancellations(pool, post, run_lost)
        self._pool = pool
        self._post = post
        self._can_cancel = can_cancel  # the settings allow `suspend`
        self._abandoned_call_time = abandoned_call_time
        self._call_ended = call_ended
        # Guards `command_sent_at` and `last_command` of all requests. Sending a command and storing where
        # it was sent must be atomic for `resend_lost_commands`.
        self._commands_lock = threading.RLock()
        # Whether every finished run of a class made a vault call, by class name.
        self._every_run_made_call: dict[str, bool] = {}

    # --- commands to the pool

    def start(self, in_flight: InFlightRequest) -> None:
        """Have the pool run a request, or continue its run with the reply to its call.

        If the command is a repetition that can't be sent, the one before it still counts: the pool may have
        read that one.
        """
        request = in_flight.request
        with self._commands_lock:
            sent_at = clock.now()
            if in_flight.call_reply is not None:
                command = self._pool.supply(request.uid, in_flight.call_reply)
            else:
                command = self._pool.spawn(request.uid, request.class_name, request.body)
                in_flight.run_link = command.link or in_flight.run_link
            if command != NOT_SENT or in_flight.last_command is None:
                in_flight.last_command = command
                in_flight.command_sent_at = sent_at

    def stop(self, in_flight: InFlightRequest, on_read: Callable[[], None]) -> bool:
        """Stop a run without ending its request; False if that is not possible.

        `on_read` is called in the event loop's thread once the pool has read the command, and after the end
        of the run that it reports if the command had an effect.
        """
        if not self._can_cancel or not self._pool.suspend(in_flight.request.uid).link:
            return False
        self._pool.sync(lambda is_linked: self._post(on_read) if is_linked else None)
        return True

    def start_over(self, in_flight: InFlightRequest) -> None:
        """Start a run that was stopped from its beginning."""
        in_flight.call_reply = None
        in_flight.last_command = None
        in_flight.run_link = NOT_SENT.link
        self.start(in_flight)

    def lost_with_pool(self, last_link: int, requests: Iterable[InFlightRequest]) -> list[InFlightRequest]:
        """Return the runs that were requested on the links up to `last_link`, whose pool was replaced.

        A run that was requested on no link, or on a later one, is none of them: another thread may request it
        at this moment.
        """
        with self._commands_lock:
            return [
                in_flight
                for in_flight in requests
                if in_flight.is_running and NOT_SENT.link != in_flight.run_link <= last_link
            ]

    def finished(self, in_flight: InFlightRequest, succeeded: bool) -> None:
        """Update the state of a run whose end the pool has reported."""
        if in_flight.is_repeat_unread and self._can_cancel:
            self.cancellations.cancel_second_run(in_flight)
        in_flight.is_running = False
        in_flight.last_command = None
        in_flight.cancel_link = None
        self._abandon_call(in_flight)
        was_started_here = in_flight.command_sent_at != 0  # otherwise its calls were not observed
        if succeeded and was_started_here:
            class_name = in_flight.request_class.name
            made_a_call = in_flight.call_reply is not None
            self._every_run_made_call[class_name] = (
                self._every_run_made_call.get(class_name, True) and made_a_call
            )

    def resend_lost_commands(self, link: int, requests: Iterable[InFlightRequest]) -> list[InFlightRequest]:
        """Resend commands that earlier links may have lost; the replay on `link` has shown which arrived.

        Returns the runs for which the reply to their call may be lost; it is not sent again.
        """
        spawned_again: list[InFlightRequest] = []
        repeated = 0
        cancelled = 0
        uncertain: list[InFlightRequest] = []
        with self._commands_lock:
            self.cancellations.link = link
            lost_since = clock.now() - POSSIBLY_LOST_US
            for in_flight in requests:
                if in_flight.cancel_link is not None and in_flight.cancel_link < link:
                    self.cancellations.cancel(in_flight)
                    cancelled += 1
                elif self._is_to_be_resent(in_flight, link, lost_since):
                    repeated += 1
                    if in_flight.command_link and in_flight.call_reply is None:
                        spawned_again.append(in_flight)  # sent on an earlier link, so it may have arrived
                    self.start(in_flight)
                elif self._is_reply_uncertain(in_flight, link):
                    uncertain.append(in_flight)
        self.commands_repeated += repeated
        logger.info(
            "worker pool link %d: %d commands and %d cancellations sent again, %d replies may be lost",
            link,
            repeated,
            cancelled,
            len(uncertain),
        )
        if spawned_again:
            self._track_repeated_spawns(spawned_again)
        return uncertain

    def _track_repeated_spawns(self, spawned: list[InFlightRequest]) -> None:
        """Mark the runs whose `spawn` was sent again, until the pool has read the repeated command.

        If a run ends before that, the repeated `spawn` starts it a second time, which the server
        can't observe.
        """
        for in_flight in spawned:
            in_flight.is_repeat_unread = True

        def on_synced(is_linked: bool) -> None:
            if is_linked:
                self._post(lambda: self._unmark_repeated_spawns(spawned))

        self._pool.sync(on_synced)

    def _unmark_repeated_spawns(self, spawned: list[InFlightRequest]) -> None:
        for in_flight in spawned:
            in_flight.is_repeat_unread = False

    def _is_reply_uncertain(self, in_flight: InFlightRequest, link: int) -> bool:
        """Whether the reply to a run's call was sent on an earlier link, and may not have been read."""
        command = in_flight.last_command
        if command is None or in_flight.call_reply is None or not in_flight.is_running:
            return False
        return command.link < link and not self._pool.has_read(command)

    def _is_to_be_resent(self, in_flight: InFlightRequest, link: int, lost_since: int) -> bool:
        """Whether the last command of a run was lost, or can be sent again although it may have been read.

        A `supply` can't: it does not say which call it belongs to. If the pool has read it, the run continues
        and may wait for its next call by the time the repeated reply arrives, which it would take for the
        reply to that call. See `run_restarts` for what becomes of such a run.
        """
        command = in_flight.last_command
        if command is None or command.link >= link or not in_flight.is_running:
            return False
        if command == NOT_SENT:
            return True
        if in_flight.call_reply is not None or self._pool.has_read(command):
            return False
        request_class = in_flight.request_class
        if request_class.retry_semantics is RetrySemantics.IDEMPOTENT:
            return True
        # The pool ignores a second `spawn` while the run continues, and a run that makes a call can't end
        # unnoticed. Commands that were sent before `lost_since` have arrived.
        makes_call = self._every_run_made_call.get(request_class.name, False)
        return makes_call and in_flight.command_sent_at >= lost_since

    def cancel(self, in_flight: InFlightRequest) -> None:
        """Cancel a run. It occupies its concurrency slot until its end is reported."""
        self.cancellations.cancel(in_flight)

    # --- calls to the vault

    def make_call(self, in_flight: InFlightRequest, timeout: int) -> None:
        """Make the call a run waits for, with a timeout in microseconds, unless the request has ended."""
        if not in_flight.is_running or not in_flight.request.is_open:
            return

        def on_ended(outcome: Outcome, body: bytes, duration: int) -> None:
            self._post(lambda: self._end_call(in_flight, call, outcome, body, duration))

        self.calls_in_flight += 1
        call = VaultCall(
            self.vault,
            in_flight.request.uid,
            in_flight.call_body,
            timeout,
            on_ended,
            self._abandoned_call_time,
        )
        in_flight.vault_call = call

    def _end_call(
        self,
        in_flight: InFlightRequest,
        call: VaultCall,
        outcome: Outcome,
        body: bytes,
        duration: int,
    ) -> None:
        if in_flight.vault_call is not call:
            return  # the call was abandoned in the meantime
        in_flight.vault_call = None
        self.calls_in_flight -= 1
        if outcome is Outcome.OK:
            in_flight.call_reply = body
            self.start(in_flight)
        self._call_ended(in_flight, outcome, duration)

    def client_disconnected(self, in_flight: InFlightRequest) -> None:
        """Abandon the call of a run whose client no longer waits, and cancel the run if it waits for a call.

        Without the cancellation the pool would keep such a run and its memory indefinitely.
        """
        self._abandon_call(in_flight)
        waits_for_call = in_flight.is_running and in_flight.command_link is None
        if waits_for_call and in_flight.cancel_link is None and self._can_cancel:
            self.cancel(in_flight)

    def _abandon_call(self, in_flight: InFlightRequest) -> None:
        if in_flight.vault_call is not None:
            in_flight.vault_call.cancel()
            in_flight.vault_call = None
            self.calls_in_flight -= 1
