"""The connection to the worker pool: bound, read, and reconnected where it broke or the pool has moved."""

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
from .worker_pool_messages import Notice, ReceivedNotice

logger = logging.getLogger(__name__)

# A link that can't be had is tried again this often: well inside any latency objective.
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 2.0

# Whether the pool that started at the second time is the one recorded with the first; both in microseconds of
# the monotonic clock, the recorded one None if it is not known.
SamePool = Callable[[int | None, int], bool]


class LinkListener(Protocol):
    """Who is notified by the link, from its own thread."""

    def link_bound(self, link: int) -> None:
        """Link number `link` is up; the notices that an earlier one missed follow."""

    def notice_received(self, notice: Notice, content: bytes) -> None:
        """A notice that was not received before."""

    def pool_replaced(self) -> None:
        """Another pool has come in the place of the one that had the runs so far."""


class WorkerPoolLink:
    """The connection, and the thread that reads it."""

    def __init__(self, address: tuple[str, int], listener: LinkListener) -> None:
        self.pool_started_at: int | None = None  # in microseconds of the monotonic clock
        self._listener = listener
        self._is_started = False
        # Guards the address, the two counts and the two writers.
        self._lock = threading.Lock()
        self._address = address
        self._moves = 0
        self._bound_links = 0
        self._bound_writer: MessageWriter | None = None  # commands go out here
        self._newest_writer: MessageWriter | None = None  # of the link that is read, bound or not
        # Guards the position and the order of notices: after a move, two links may have some for a moment.
        self._receiving = threading.Lock()
        self._position = 0  # the number of the last notice
        self._unreadable_after = -1  # the position at which a line could not be read
        self._is_same_pool: SamePool | None = None

    def resume(self, position: int, pool_started_at: int | None, is_same_pool: SamePool) -> None:
        """Before `start`: go on after this notice, if it is still the same pool."""
        self._position = position
        self.pool_started_at = pool_started_at
        self._is_same_pool = is_same_pool

    def start(self) -> None:
        """Connect, and stay connected."""
        self._is_started = True
        threading.Thread(
            target=self._stay_connected,
            args=(self._address, self._moves),
            name="worker pool link",
            daemon=True,
        ).start()

    def move(self, address: tuple[str, int]) -> None:
        """Go over to the pool's new address. The old link serves until the new one is up."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
            self._moves += 1
        if self._is_started:
            self.start()

    def send(self, line: bytes) -> int:
        """Send a command; the number of the link on which it went out, 0 if on none."""
        with self._lock:
            writer = self._bound_writer
            link = self._bound_links
        return link if writer is not None and writer.send(line) else 0

    # --- the thread of the links to one address

    def _stay_connected(self, address: tuple[str, int], moves: int) -> None:
        """Connect and read again and again until the pool has moved on.

        The number of moves tells: the pool may come back to an address, and two threads would cut each
        other's links without end.
        """
        while moves == self._moves:
            try:
                with socket.create_connection(address, CONNECT_TIMEOUT_S) as sock:
                    self._read_link(sock, moves)
                logger.info("worker pool link ended")
            except Exception as error:  # whatever a line held: without this thread nothing is ever run again
                logger.warning("worker pool link lost: %s %s", type(error).__name__, error)
            time.sleep(RECONNECT_DELAY_S)

    def _read_link(self, sock: socket.socket, moves: int) -> None:
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer = MessageWriter(sock)
        if not self._replace_newest(writer, moves):
            return
        try:
            with self._receiving:
                writer.send(messages.bind(self._position))
            with sock.makefile("rb") as lines:
                while line := lines.readline(messages.MAX_LINE_BYTES):
                    self._receive(line, writer)
        finally:
            with self._lock:
                if self._newest_writer is writer:
                    self._newest_writer = None
                    self._bound_writer = None

    def _replace_newest(self, writer: MessageWriter, moves: int) -> bool:
        """Make this the link that is read, and end the one before; False if the pool has moved meanwhile."""
        with self._lock:
            if moves != self._moves:
                return False
            previous = self._newest_writer
            self._newest_writer = writer
            self._bound_writer = None  # what is sent until the link is bound is sent again after it
        if previous is not None:
            previous.cut()  # ends its thread; notices that it has read by now count
        return True

    def _receive(self, line: bytes, writer: MessageWriter) -> None:
        received = self._decode(line)
        if received is None:
            return
        notice = received.notice
        with self._receiving:
            if notice.pos:
                if notice.pos <= self._position:
                    return  # repeated after a break, and acted on before
                self._position = notice.pos
            if notice.action == messages.BOUND:
                self._bind(notice, writer)
            else:
                self._listener.notice_received(notice, received.content)

    def _decode(self, line: bytes) -> ReceivedNotice | None:
        """The line's notice; None if the line is to be skipped."""
        try:
            return messages.decode_notice(line)
        except messages.UnsupportedNoticeError as error:
            logger.warning("worker pool notice skipped, unsupported form: %s", error)
        except messages.UnreadableNoticeError as error:
            # A notice may have been lost in it: a new link brings that again. If it comes no better a second
            # time, it is skipped, for the sake of all that follow.
            if self._unreadable_after != self._position:
                self._unreadable_after = self._position
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
        self._listener.link_bound(link)

    def _identify_pool(self, started_at: int) -> None:
        """See whose link it is: a new pool counts its notices from 1, and none of them may be skipped."""
        if self._is_same_pool is None or self._is_same_pool(self.pool_started_at, started_at):
            if self.pool_started_at is None:
                self.pool_started_at = started_at
            return
        self.pool_started_at = started_at
        self._listener.pool_replaced()
        if self._position:
            self._position = 0
            raise messages.PoolReplacedError("a new pool, to be bound from its first notice on")
