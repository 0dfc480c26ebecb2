"""The client of the worker pool: sends commands and receives notices.

After a reconnect, the client only notifies its listener (`PoolListener.linked`); the listener knows the state
of each request and sends the necessary commands again.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from . import worker_pool_messages as messages
from .sent_commands import SentCommand
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

# The pool is on the same machine. If its reply to a poll is late, the tick continues without the gauges,
# since responses are lost when a tick is late.
POLL_TIMEOUT_S = 0.04
# A deep health check does real work beside other runs; a pool that takes longer than this is stuck.
VERIFY_TIMEOUT_S = 2.0
# A replay of all 4,000 notices takes far less time. A link that takes longer is treated as lost.
SYNC_TIMEOUT_S = 10.0


class PoolListener(Protocol):
    """Receives the pool's events, in the link's thread."""

    def finished(self, uid: str, code: str, took_us: int, result: bytes, pos: int) -> None:
        """Handle the end of a run, reported by notice number `pos`; `code` is one of `RUN_*`."""

    def blocked(self, uid: str, body: bytes, pos: int) -> None:
        """Handle a run that waits for a call, reported by notice number `pos`."""

    def unknown(self, uid: str) -> None:
        """Handle the pool's report that it has no request with this uid, and so no run for it."""

    def linked(self, link: int) -> None:
        """Handle the new link number `link`; all notices missed on earlier links have been passed on."""

    def replaced(self, last_link: int) -> None:
        """Handle the replacement of the pool by another process, which has none of the earlier runs.

        `last_link` is the number of the last link to the old pool, 0 if there was none.
        """


class WorkerPool:
    """Sends commands on the link, and passes notices to the listener."""

    def __init__(self, address: tuple[str, int], listener: PoolListener) -> None:
        self.bound = threading.Event()  # set once the first link has been bound
        self.on_spawn: Callable[[str], None] | None = None  # called with the class name of each `spawn`
        self._listener = listener
        self._questions = PendingQuestions()
        self._link = WorkerPoolLink(address, self)

    @property
    def pool_started_at(self) -> int | None:
        """When the pool started, in microseconds of the monotonic clock; None before the first binding."""
        return self._link.pool_started_at

    def resume(self, position: int, pool_started_at: int | None, is_same_pool: SamePool) -> None:
        """Continue after notice number `position`, the last one of an earlier incarnation.

        To be called before `start`. It applies only if the pool is still the same process, which
        `is_same_pool` decides from the recorded start time. Without this call, the pool is assumed to start
        and end with this process.
        """
        self._link.resume(position, pool_started_at, is_same_pool)

    def start(self) -> None:
        """Connect, and stay connected."""
        self._link.start()

    def move(self, address: tuple[str, int]) -> None:
        """Change to the pool's new address. The old link is used until the new one is up."""
        self._link.move(address)

    # --- commands; each returns where it was sent, or `NOT_SENT`

    def spawn(self, uid: str, class_name: str, body: bytes) -> SentCommand:
        """Start a run for a request of the class `class_name`."""
        if self.on_spawn is not None:
            self.on_spawn(class_name)
        return self._link.send(messages.spawn(uid, class_name, body))

    def confirm(self, uid: str, class_name: str, body: bytes) -> SentCommand:
        """Ask whether the run of a request that has ended still exists, by a `spawn` that can't start it.

        If the run exists, the command has no effect and its end is still to be reported. Otherwise the pool
        reports the end `late`.
        """
        return self._link.send(messages.spawn(uid, class_name, body))

    def suspend(self, uid: str) -> SentCommand:
        """Cancel a run."""
        return self._link.send(messages.suspend(uid))

    def has_read(self, command: SentCommand) -> bool:
        """Whether the pool has certainly read this command."""
        return self._link.read_commands.includes(command)

    def supply(self, uid: str, body: bytes) -> SentCommand:
        """Pass on the reply to a run's call."""
        return self._link.send(messages.supply(uid, body))

    # --- questions; each callback is called once, in another thread

    def poll(self, on_result: Callable[[tuple[float, ...]], None]) -> None:
        """Request the gauges; `on_result` gets an empty tuple if there is no reply in time."""
        self._ask(messages.POLL, POLL_TIMEOUT_S, lambda reply: on_result(reply.meters if reply else ()))

    def sync(self, on_result: Callable[[bool], None]) -> None:
        """Report when all earlier commands have been handled and their notices received.

        `on_result` gets False if that could not be determined.
        """
        self._ask(messages.POLL, SYNC_TIMEOUT_S, lambda reply: on_result(reply is not None))

    def verify(self, on_result: Callable[[bool], None]) -> None:
        """Request the work of a deep health check; `on_result` gets whether it succeeded."""
        self._ask(
            messages.VERIFY,
            VERIFY_TIMEOUT_S,
            lambda reply: on_result(reply is not None and reply.code == RUN_SUCCEEDED),
        )

    def _ask(self, action: str, timeout_s: float, on_reply: ReplyHandler) -> None:
        echo = self._questions.add(action, timeout_s, on_reply)
        if not self._link.send(messages.question(action, echo), echo).link:
            self._questions.resolve(echo, None)

    # --- called by the link

    def link_bound(self, link: int) -> None:
        """Notify the listener of a new link once the replay of missed notices has ended."""
        self.bound.set()

        def replay_ended(is_synced: bool) -> None:
            if is_synced:
                self._listener.linked(link)

        # The pool replies to this question after the replay, so the reply marks the end of the replay.
        self.sync(replay_ended)

    def notice_received(self, notice: Notice, content: bytes) -> None:
        """Pass a notice to the listener or to a pending question; unknown actions are ignored."""
        if notice.action == messages.FINISHED:
            self._listener.finished(notice.uid, notice.code, notice.duration_us, content, notice.pos)
        elif notice.action == messages.BLOCKED:
            self._listener.blocked(notice.uid, content, notice.pos)
        elif notice.action in (messages.POLLED, messages.VERIFIED):
            self._questions.resolve(notice.echo, notice)
        elif notice.action == messages.UNKNOWN:
            self._command_failed(notice)

    def pool_replaced(self, last_link: int) -> None:
        """Notify the listener that another pool has replaced the earlier one."""
        self._listener.replaced(last_link)

    def _command_failed(self, notice: Notice) -> None:
        logger.warning("worker pool command not carried out: %s %s", notice.code, notice.uid)
        if notice.code == messages.SPAWN:
            self._listener.unknown(notice.uid)
        elif notice.code == messages.VERIFY:  # the pool has no deep checks: that the link works is enough
            reply = Notice(messages.VERIFIED, code=RUN_SUCCEEDED)
            self._questions.resolve_all(messages.VERIFY, reply)
