"""The connection to the worker pool: binding, reading, and reconnecting after a loss or a new address."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Callable
from typing import Protocol

from .. import clock
from . import worker_pool_messages as messages
from .message_writer import MessageWriter
from .sent_commands import NOT_SENT, ReadCommands, SentCommand
from .worker_pool_messages import Notice, ReceivedNotice

logger = logging.getLogger(__name__)

# Delay between attempts to connect; far below any latency objective.
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 2.0
# Time limit for the drain of a link to an address that is no longer valid; the pool closes it after 1.5 s.
DRAIN_TIMEOUT_S = 1.0
DRAIN_ECHO = "drain"

# Compares a recorded start time of the pool (None if unknown) with that of the present pool; True if both are
# the same process. Times are in microseconds of the monotonic clock.
SamePool = Callable[[int | None, int], bool]


class LinkListener(Protocol):
    """Receives the link's events, in the link's thread."""

    def link_bound(self, link: int) -> None:
        """Handle the binding of link number `link`; notices missed on earlier links follow."""

    def notice_received(self, notice: Notice, content: bytes) -> None:
        """Handle a notice that was not received before."""

    def pool_replaced(self, last_link: int) -> None:
        """Handle the replacement of the pool by another process, which has none of the earlier runs.

        `last_link` is the number of the last link to the old pool, 0 if there was none.
        """


class WorkerPoolLink:
    """The connection to the pool and the thread that reads it."""

    def __init__(self, address: tuple[str, int], listener: LinkListener) -> None:
        self.pool_started_at: int | None = None  # in microseconds of the monotonic clock
        self.read_commands = ReadCommands()
        self._listener = listener
        self._is_started = False
        # Guards the address, the counters and the writers, and the order in which commands are numbered.
        self._lock = threading.Lock()
        self._address = address
        self._address_changes = 0
        self._bound_links = 0
        self._sent_commands = 0
        self._drain_echo = ""  # of the question that ended the last link that was drained
        self._bound_writer: MessageWriter | None = None  # of the link on which commands are sent
        self._newest_writer: MessageWriter | None = None  # of the link that is being read, bound or not
        # Guards the position and the order of notices: after a change of address, two links may briefly
        # deliver notices.
        self._receive_lock = threading.Lock()
        self._position = 0  # the number of the last notice that was received
        self._unreadable_position = -1  # the position at which a line could not be read
        self._is_same_pool: SamePool | None = None

    def resume(self, position: int, pool_started_at: int | None, is_same_pool: SamePool) -> None:
        """Continue after notice number `position` if the pool is the same; to be called before `start`."""
        self._position = position
        self.pool_started_at = pool_started_at
        self._is_same_pool = is_same_pool

    def start(self) -> None:
        """Start the thread that connects and reconnects."""
        self._is_started = True
        threading.Thread(
            target=self._stay_connected,
            args=(self._address, self._address_changes),
            name="worker pool link",
            daemon=True,
        ).start()

    def move(self, address: tuple[str, int]) -> None:
        """Change to the pool's new address. The old link is used until the new one is up."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
            self._address_changes += 1
        if self._is_started:
            self.start()

    def send(self, line: bytes, echo: str = "") -> SentCommand:
        """Send a command; `NOT_SENT` if no link is bound. The reply to a question will carry its `echo`."""
        with self._lock:
            writer = self._bound_writer
            if writer is None or not writer.send(line):
                return NOT_SENT
            self._sent_commands += 1
            command = SentCommand(self._bound_links, self._sent_commands)
            if echo:
                self.read_commands.question_sent(echo, command)
        return command

    # --- run in the thread for the links to one address

    def _stay_connected(self, address: tuple[str, int], address_changes: int) -> None:
        """Connect and read until the pool's address changes; reconnect whenever the link is lost.

        Compares the number of changes, not the address: if the pool returned to an earlier address, two
        threads would serve it and close each other's links forever.
        """
        while address_changes == self._address_changes:
            try:
                with socket.create_connection(address, CONNECT_TIMEOUT_S) as sock:
                    self._read_link(sock, address_changes)
                logger.info("worker pool link ended")
            except Exception as error:  # any error: if this thread ended, no run could be started any more
                logger.warning("worker pool link lost: %s %s", type(error).__name__, error)
            time.sleep(RECONNECT_DELAY_S)

    def _read_link(self, sock: socket.socket, address_changes: int) -> None:
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer = MessageWriter(sock)
        if not self._replace_newest(writer, address_changes):
            return
        try:
            with self._receive_lock:
                writer.send(messages.bind(self._position))
            with sock.makefile("rb") as lines:
                while line := lines.readline(messages.MAX_LINE_BYTES):
                    self._receive(line, writer)
        finally:
            with self._lock:
                if self._newest_writer is writer:
                    self._newest_writer = None
                    self._bound_writer = None
                    self.read_commands.forget_questions(before_link=self._bound_links + 1)

    def _replace_newest(self, writer: MessageWriter, address_changes: int) -> bool:
        """Make this the current link and end the earlier one; False if the address has changed meanwhile."""
        self._drain_bound_link()
        with self._lock:
            if address_changes != self._address_changes:
                return False
            previous = self._newest_writer
            self._newest_writer = writer
        if previous is not None:
            previous.abort()  # ends its thread; notices that it has already read are still handled
        return True

    def _drain_bound_link(self) -> None:
        """Send nothing more on the bound link, and wait until the pool has read what was sent on it.

        The pool ignores a link from the moment the next one is bound. Without the wait, nothing would show
        which of the last commands it has read. Until the next link is bound, commands are not sent; they are
        sent on it afterwards.
        """
        with self._lock:
            writer = self._bound_writer
            self._bound_writer = None
            if writer is not None:
                self._sent_commands += 1
                question = SentCommand(self._bound_links, self._sent_commands)
                self._drain_echo = f"{DRAIN_ECHO}-{question.number}"
                self.read_commands.question_sent(self._drain_echo, question)
                writer.send(messages.question(messages.POLL, self._drain_echo))
            echo = self._drain_echo  # if the address has changed again, the drain may still be in progress
        self.read_commands.wait_for_reply(echo, DRAIN_TIMEOUT_S)

    def _receive(self, line: bytes, writer: MessageWriter) -> None:
        received = self._decode(line)
        if received is None:
            return
        notice = received.notice
        with self._receive_lock:
            if notice.pos:
                if notice.pos <= self._position:
                    return  # repeated after a reconnect, and already handled
                self._position = notice.pos
            if notice.action == messages.BOUND:
                self._bind(notice, writer)
            else:
                if notice.echo:
                    self._reply_received(notice.echo)
                self._listener.notice_received(notice, received.content)

    def _reply_received(self, echo: str) -> None:
        with self._lock:  # the question may still be being sent
            self.read_commands.reply_received(echo)

    def _decode(self, line: bytes) -> ReceivedNotice | None:
        """Decode a line; None if it is to be skipped."""
        try:
            return messages.decode_notice(line)
        except messages.UnsupportedNoticeError as error:
            logger.warning("worker pool notice skipped, unsupported form: %s", error)
        except messages.UnreadableNoticeError as error:
            # The line may hold a notice, which the pool repeats on a new link. If it is unreadable again, it
            # is skipped so that the following notices can be received.
            if self._unreadable_position != self._position:
                self._unreadable_position = self._position
                raise
            logger.warning("worker pool notice skipped, unreadable twice: %s", error)
        return None

    def _bind(self, notice: Notice, writer: MessageWriter) -> None:
        self._identify_pool(clock.now() - notice.duration_us)
        with self._lock:
            if self._newest_writer is not writer:
                return  # replaced meanwhile
            self._bound_links += 1
            self._bound_writer = writer
            link = self._bound_links
            self.read_commands.forget_questions(before_link=link)
        self._listener.link_bound(link)

    def _identify_pool(self, started_at: int) -> None:
        """Detect a new pool: it numbers its notices from 1, and none of them may be skipped."""
        if self._is_same_pool is None or self._is_same_pool(self.pool_started_at, started_at):
            if self.pool_started_at is None:
                self.pool_started_at = started_at
            return
        self.pool_started_at = started_at
        with self._lock:
            last_link = self._bound_links
        self._listener.pool_replaced(last_link)
        if self._position:
            self._position = 0
            raise messages.PoolReplacedError("the pool was replaced; binding again from its first notice")
