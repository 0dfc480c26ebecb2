"""What the pool and the vault are told of each run, and told again where a link was lost.

The host thread alone calls this, but for `begin`, which may come from whoever recorded the run. Nothing is
decided here; `docs/server.md` has the table of what is said again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from .. import clock
from ..contract.events import Outcome
from ..contract.settings import RetrySemantics
from ..exchange import ResponseStatus
from ..net.vault import VaultCall
from ..net.worker_pool import RUN_CANCELLED, RUN_FAILED, RUN_NEVER_STARTED, RUN_SUCCEEDED, WorkerPool
from .in_flight import InFlightRequest

# Of what was said on a link that broke, only the last 50 ms can be lost. It may take us so much longer to see
# the break; what is older has arrived.
DOUBTFUL_US = 1_000_000

# What the pool's words for an end mean, and which of these ends are answers.
ENDS = {
    RUN_SUCCEEDED: Outcome.OK,
    RUN_FAILED: Outcome.ERROR,
    RUN_CANCELLED: Outcome.CANCELLED,
    RUN_NEVER_STARTED: Outcome.NEVER_STARTED,
}
VERDICTS = {Outcome.OK: ResponseStatus.SERVED, Outcome.ERROR: ResponseStatus.FAILED}

# How a call ended, its reply, and how long it took in microseconds.
CallEnded = Callable[[InFlightRequest, Outcome, int], None]


class Executions:
    """Commands and calls of the runs in hand."""

    def __init__(
        self,
        pool: WorkerPool,
        vault: tuple[str, int],
        post: Callable[[Callable[[], None]], None],
        halts: bool,
        *,
        never_began: Callable[[InFlightRequest], None],
        call_ended: CallEnded,
    ) -> None:
        self.vault = vault  # for all calls from now on; those on their way end where they are
        self.calls_in_flight = 0  # in the vault's hands
        self._pool, self._post = pool, post
        self._never_began, self._call_ended = never_began, call_ended
        self._halts = halts  # the settings allow `suspend`
        self._link = 0
        # A command and the link that it went out on are one to whoever looks for what a link has lost.
        self._saying = threading.RLock()
        self._calls_first: dict[str, bool] = {}  # of classes with a finished run: none of these had no call

    def start(self, known: InFlightRequest) -> None:
        """Have it run, or run on with the reply to its call."""
        exchange = known.request
        with self._saying:
            known.command_sent_at = clock.now()
            if known.call_reply is not None:
                known.command_link = self._pool.supply(exchange.uid, known.call_reply)
            else:
                known.command_link = self._pool.spawn(exchange.uid, exchange.class_name, exchange.body)

    def finished(self, known: InFlightRequest, good: bool) -> None:
        """Its end was told."""
        known.is_running, known.command_link, known.cancel_link = False, None, None
        self._drop_call(known)
        if (
            good and known.command_sent_at
        ):  # else it was never told to run here: nothing was seen of its calls
            name = known.request_class.name
            self._calls_first[name] = self._calls_first.get(name, True) and known.call_reply is not None

    def resend_lost_commands(self, link: int, requests: Iterable[InFlightRequest]) -> None:
        """What an earlier link may have lost, now that its replay has shown what arrived."""
        with self._saying:
            self._resend_lost_commands(link, requests)

    def _resend_lost_commands(self, link: int, requests: Iterable[InFlightRequest]) -> None:
        self._link = link
        recent = clock.now() - DOUBTFUL_US
        for known in requests:
            cls = known.request_class
            if known.cancel_link is not None and known.cancel_link < link:
                self.cancel(known)
            elif known.command_link is None or known.command_link >= link or not known.is_running:
                continue
            elif known.command_link == 0 or (
                known.call_reply is None and cls.retry_semantics is RetrySemantics.IDEMPOTENT
            ):
                self.start(known)
            elif known.command_sent_at >= recent and (
                known.call_reply is not None or self._calls_first.get(cls.name)
            ):
                # A run takes no second `spawn` while it goes on, and one that has to call can't end unseen.
                self.start(known)

    def cancel(self, known: InFlightRequest) -> None:
        """Stop a run. One that was lost with a link would never be told to have ended, and its place be taken
        for good: there, the answer to a later question shows whether an end is still to come."""
        known.cancel_link = self._pool.suspend(known.request.uid)

        def passed(there: bool) -> None:
            if there:
                self._post(lambda: self._passed(known))

        if known.cancel_link and known.command_link is not None and known.command_link != known.cancel_link:
            self._pool.sync(passed)

    def _passed(self, known: InFlightRequest) -> None:
        if known.is_running and known.command_link is not None and known.cancel_link == self._link:
            self._never_began(known)

    def make_call(self, known: InFlightRequest, timeout: int) -> None:
        """Make the call that it waits for, unless it waits no more."""
        if not known.is_running or not known.request.is_open:
            return

        def ended(outcome: Outcome, body: bytes, took: int) -> None:
            self._post(lambda: self._end_call(known, call, outcome, body, took))

        self.calls_in_flight += 1
        call = known.vault_call = VaultCall(self.vault, known.request.uid, known.call_body, timeout, ended)

    def _end_call(
        self, known: InFlightRequest, call: VaultCall, outcome: Outcome, body: bytes, took: int
    ) -> None:
        if known.vault_call is not call:
            return  # given up meanwhile
        known.vault_call = None
        self.calls_in_flight -= 1
        if outcome is Outcome.OK:
            known.call_reply = body
            self.start(known)
        self._call_ended(known, outcome, took)

    def client_disconnected(self, known: InFlightRequest) -> None:
        """Nobody waits for it any more: give up its call, if one is on its way. A run that stands at a call
        is over by that. A pool that does not know so by itself would keep it and its memory for good."""
        self._drop_call(known)
        if known.is_running and known.command_link is None and known.cancel_link is None and self._halts:
            self.cancel(known)

    def _drop_call(self, known: InFlightRequest) -> None:
        if known.vault_call is not None:
            known.vault_call.give_up()
            known.vault_call = None
            self.calls_in_flight -= 1
