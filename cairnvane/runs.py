"""What the pool and the vault are told of each run, and told again where a link was lost.

The host thread alone calls this, but for `begin`, which may come from whoever recorded the run. Nothing is
decided here; `docs/server.md` has the table of what is said again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from . import clock
from .exchange import Verdict
from .interface import Outcome, Repeat
from .net.pool import BROKEN_OFF, FAULT, FINE, LATE, Pool
from .net.vault import Call
from .tracked import Tracked

# Of what was said on a link that broke, only the last 50 ms can be lost. It may take us so much longer to see
# the break; what is older has arrived.
DOUBTFUL_US = 1_000_000

# What the pool's words for an end mean, and which of these ends are answers.
ENDS = {FINE: Outcome.OK, FAULT: Outcome.ERROR, BROKEN_OFF: Outcome.CANCELLED, LATE: Outcome.MOOT}
VERDICTS = {Outcome.OK: Verdict.SERVED, Outcome.ERROR: Verdict.FAILED}

# How a call ended, its reply, and how long it took in microseconds.
CallEnded = Callable[[Tracked, Outcome, int], None]


class Runs:
    """Commands and calls of the runs in hand."""

    def __init__(
        self,
        pool: Pool,
        vault: tuple[str, int],
        post: Callable[[Callable[[], None]], None],
        halts: bool,
        *,
        never_began: Callable[[Tracked], None],
        call_ended: CallEnded,
    ) -> None:
        self.vault = vault  # for all calls from now on; those on their way end where they are
        self.calls = 0  # in the vault's hands
        self._pool, self._post = pool, post
        self._never_began, self._call_ended = never_began, call_ended
        self._halts = halts  # the settings allow `suspend`
        self._link = 0
        # A command and the link that it went out on are one to whoever looks for what a link has lost.
        self._saying = threading.RLock()
        self._calls_first: dict[str, bool] = {}  # of classes with a finished run: none of these had no call

    def begin(self, known: Tracked) -> None:
        """Have it run, or run on with the reply to its call."""
        exchange = known.exchange
        with self._saying:
            known.told_at = clock.now()
            if known.reply is not None:
                known.told = self._pool.supply(exchange.uid, known.reply)
            else:
                known.told = self._pool.spawn(exchange.uid, exchange.lane, exchange.body)

    def over(self, known: Tracked, good: bool) -> None:
        """Its end was told."""
        known.running, known.told, known.halted = False, None, None
        self._drop_call(known)
        if good and known.told_at:  # else it was never told to run here: nothing was seen of its calls
            name = known.cls.name
            self._calls_first[name] = self._calls_first.get(name, True) and known.reply is not None

    def say_again(self, link: int, requests: Iterable[Tracked]) -> None:
        """What an earlier link may have lost, now that its replay has shown what arrived."""
        with self._saying:
            self._say_again(link, requests)

    def _say_again(self, link: int, requests: Iterable[Tracked]) -> None:
        self._link = link
        recent = clock.now() - DOUBTFUL_US
        for known in requests:
            cls = known.cls
            if known.halted is not None and known.halted < link:
                self.suspend(known)
            elif known.told is None or known.told >= link or not known.running:
                continue
            elif known.told == 0 or (known.reply is None and cls.repeat is Repeat.SAFE):
                self.begin(known)
            elif known.told_at >= recent and (known.reply is not None or self._calls_first.get(cls.name)):
                # A run takes no second `spawn` while it goes on, and one that has to call can't end unseen.
                self.begin(known)

    def suspend(self, known: Tracked) -> None:
        """Stop a run. One that was lost with a link would never be told to have ended, and its place be taken
        for good: there, the answer to a later question shows whether an end is still to come."""
        known.halted = self._pool.suspend(known.exchange.uid)

        def passed(there: bool) -> None:
            if there:
                self._post(lambda: self._passed(known))

        if known.halted and known.told is not None and known.told != known.halted:
            self._pool.sync(passed)

    def _passed(self, known: Tracked) -> None:
        if known.running and known.told is not None and known.halted == self._link:
            self._never_began(known)

    def call(self, known: Tracked, timeout: int) -> None:
        """Make the call that it waits for, unless it waits no more."""
        if not known.running or not known.exchange.open:
            return

        def ended(outcome: Outcome, body: bytes, took: int) -> None:
            self._post(lambda: self._end_call(known, call, outcome, body, took))

        self.calls += 1
        call = known.call = Call(self.vault, known.exchange.uid, known.call_body, timeout, ended)

    def _end_call(self, known: Tracked, call: Call, outcome: Outcome, body: bytes, took: int) -> None:
        if known.call is not call:
            return  # given up meanwhile
        known.call = None
        self.calls -= 1
        if outcome is Outcome.OK:
            known.reply = body
            self.begin(known)
        self._call_ended(known, outcome, took)

    def leave(self, known: Tracked) -> None:
        """Nobody waits for it any more: give up its call, if one is on its way. A run that stands at a call
        is over by that. A pool that does not know so by itself would keep it and its memory for good."""
        self._drop_call(known)
        if known.running and known.told is None and known.halted is None and self._halts:
            self.suspend(known)

    def _drop_call(self, known: Tracked) -> None:
        if known.call is not None:
            known.call.give_up()
            known.call = None
            self.calls -= 1
