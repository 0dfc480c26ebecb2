"""The client of the worker pool: commands out, notices in.

The client only notifies its listener that a link is back (`PoolListener.linked`); the listener, which knows
the state of each request, sends again what is needed.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from . import worker_pool_messages as messages
from .worker_pool_link import SamePool, WorkerPoolLink
from .worker_pool_messages import RUN_CANCELLED, RUN_FAILED, RUN_NEVER_STARTED, RUN_SUCCEEDED, Notice
from .worker_pool_questions import PendingQuestions, ReplyHandler

__all__ = [
    "RUN_CANCELLED",
    "RUN_FAILED",
    "RUN_NEVER_STARTED",
    "RUN_SUCCEEDED",
    "Notice",
    "PoolListener",
    "WorkerPool",
]

logger = logging.getLogger(__name__)

# The gauges are polled on the same machine. Without an answer in time the tick goes on without them, since a
# late tick costs answers.
POLL_TIMEOUT_S = 0.04
# A deep health check does real work beside many runs; a pool that does not do it in so long is stuck.
VERIFY_TIMEOUT_S = 2.0
# A replay of all 4,000 notices takes far less; a link that does not get so far is as good as lost.
SYNC_TIMEOUT_S = 10.0


class PoolListener(Protocol):
    """Who is notified of the pool's events, from the link's own thread."""

    def finished(self, uid: str, code: str, took_us: int, result: bytes, pos: int) -> None:
        """A run is over, says notice `pos`; `code` is one of `RUN_*`."""

    def blocked(self, uid: str, body: bytes, pos: int) -> None:
        """A run waits for a call, says notice `pos`."""

    def unknown(self, uid: str) -> None:
        """The pool has no such request, and runs nothing for it."""

    def linked(self, link: int) -> None:
        """Link number `link` is up, and all notices that an earlier one missed have been passed on."""

    def replaced(self) -> None:
        """Another pool has come in the place of the one that had the runs so far."""


class WorkerPool:
    """Sends commands on the link, and passes its notices on."""

    def __init__(self, address: tuple[str, int], notices: PoolListener) -> None:
        self.bound = threading.Event()  # a link was bound once: the pool is up
        self.on_spawn: Callable[[str], None] | None = None  # notified of the class of each run that is sent
        self._listener = notices
        self._questions = PendingQuestions()
        self._link = WorkerPoolLink(address, self)

    @property
    def pool_started_at(self) -> int | None:
        """When the pool started, in microseconds of the monotonic clock; None before it was bound."""
        return self._link.pool_started_at

    def resume(self, pos: int, started: int | None, same: SamePool) -> None:
        """Before `start`: go on after notice `pos`, where an earlier incarnation left the pool.

        Holds if it is still the pool that started then (`same` tells). Without this, a pool is assumed to
        live and end with this process.
        """
        self._link.resume(pos, started, same)

    def start(self) -> None:
        """Connect, and stay connected."""
        self._link.start()

    def move(self, address: tuple[str, int]) -> None:
        """Go over to the pool's new address. The old link serves until the new one is up."""
        self._link.move(address)

    # --- commands; each returns the number of the link on which it went out, 0 if on none

    def spawn(self, uid: str, lane: str, body: bytes) -> int:
        """Run a request of the class named `lane`."""
        if self.on_spawn is not None:
            self.on_spawn(lane)
        return self._link.send(messages.spawn(uid, lane, body))

    def confirm(self, uid: str, lane: str, body: bytes) -> int:
        """Ask whether the run of a request that is over goes on, by a `spawn` that can't start it.

        If it goes on nothing happens, and its end is still to come. Else its end `late` is reported.
        """
        return self._link.send(messages.spawn(uid, lane, body))

    def suspend(self, uid: str) -> int:
        """Cancel a run."""
        return self._link.send(messages.suspend(uid))

    def supply(self, uid: str, body: bytes) -> int:
        """Pass on the reply to a run's call."""
        return self._link.send(messages.supply(uid, body))

    # --- questions; each is answered once, in another thread

    def poll(self, then: Callable[[tuple[float, ...]], None]) -> None:
        """Ask for the gauges; none are passed on if they don't come in time."""
        self._ask(messages.POLL, POLL_TIMEOUT_S, lambda reply: then(reply.meters if reply else ()))

    def sync(self, then: Callable[[bool], None]) -> None:
        """Wait until all commands so far were acted on and notified; False if that can't be known."""
        self._ask(messages.POLL, SYNC_TIMEOUT_S, lambda reply: then(reply is not None))

    def verify(self, then: Callable[[bool], None]) -> None:
        """Ask for a deep health check's work; whether it succeeded."""
        self._ask(
            messages.VERIFY,
            VERIFY_TIMEOUT_S,
            lambda reply: then(reply is not None and reply.code == RUN_SUCCEEDED),
        )

    def _ask(self, action: str, timeout_s: float, on_reply: ReplyHandler) -> None:
        echo = self._questions.add(action, timeout_s, on_reply)
        if not self._link.send(messages.question(action, echo)):
            self._questions.resolve(echo, None)

    # --- notified by the link

    def link_bound(self, link: int) -> None:
        """A link is up: notify the listener once the replay of missed notices is over."""
        self.bound.set()

        def replay_over(is_known: bool) -> None:
            if is_known:
                self._listener.linked(link)

        # The replay comes before the answer to this question, which therefore marks its end.
        self.sync(replay_over)

    def notice_received(self, notice: Notice, content: bytes) -> None:
        """Pass a notice on to whom it concerns; other actions are ignored."""
        if notice.action == messages.FINISHED:
            self._listener.finished(notice.uid, notice.code, notice.duration_us, content, notice.pos)
        elif notice.action == messages.BLOCKED:
            self._listener.blocked(notice.uid, content, notice.pos)
        elif notice.action in (messages.POLLED, messages.VERIFIED):
            self._questions.resolve(notice.echo, notice)
        elif notice.action == messages.UNKNOWN:
            self._command_failed(notice)

    def pool_replaced(self) -> None:
        """Another pool has come in the place of the one before."""
        self._listener.replaced()

    def _command_failed(self, notice: Notice) -> None:
        logger.warning("worker pool command not carried out: %s %s", notice.code, notice.uid)
        if notice.code == messages.SPAWN:
            self._listener.unknown(notice.uid)
        elif notice.code == messages.VERIFY:  # no deep checks here: the link itself is the answer
            reply = Notice(messages.VERIFIED, code=RUN_SUCCEEDED)
            self._questions.resolve_all(messages.VERIFY, reply)
