"""What is owed on one connection and whether it has ended: one question, answered under one lock."""

from __future__ import annotations

import socket
import threading
import time
from enum import Enum
from typing import NamedTuple, Protocol

from ..exchange import Exchange
from . import fastcgi
from .message_writer import MessageWriter

# The protocol's own bound on open requests of a connection.
MAX_OPEN = 32
# A peer that is overdue gets so much longer if bytes have come that were not parsed yet.
UNREAD_GRACE_S = 0.5
# Balancers close idle connections themselves after some seconds. A client that asks once and then holds its
# connection for good would keep a thread and a descriptor for it; a balancer's is never cut that early.
MAX_IDLE_S = 30.0


class ConnectionPhase(Enum):
    """How far the end of a connection has come. It only goes forward, under the connection's lock."""

    SERVING = 0  # requests are read and answered
    ANSWERING = 1  # nothing more is read; the answers that are owed go out, then our side is closed
    ENDED = 2  # our side is closed: nothing that still comes is looked at


class BeginResult(Enum):
    """What came of a request's first record."""

    STARTED = 0
    NUMBER_IN_USE = 1
    UNKNOWN_ROLE = 2
    OVERLOADED = 3


class Withdrawn(NamedTuple):
    """What an abort found under its request number."""

    was_partial: bool  # the request was still being read, and is forgotten now
    exchange: Exchange | None  # it was handed over and is not answered


class Expired(NamedTuple):
    """What has waited for its peer for too long."""

    connection: bool  # the connection as a whole: its reader is to be woken
    partial_requests: list[fastcgi.IncomingRequest]


class LifecycleContext(Protocol):
    """What the lifecycle needs to know of the server."""

    idle_s: float  # close connections that carried nothing for so long; 0: only after `MAX_IDLE_S`
    retiring: bool
    clock: float  # seconds by which peers are judged


class ConnectionLifecycle:
    """The requests and the end of one connection.

    The reader, an answer's thread, the deadline watch, a new connection that needs the place and the graceful
    shutdown all ask here. For that, a request is at any moment seen in one of these: bytes in the kernel
    (`_has_unread_bytes`), bytes that are being parsed (`is_parsing`), half a record
    (`partial_record_since`), a request of which records are missing (`_partial_requests`), or a request whose
    answer is not written (`_open_exchanges`).
    """

    def __init__(self, context: LifecycleContext, sock: socket.socket) -> None:
        self.writer = MessageWriter(sock)
        self.state = ConnectionPhase.SERVING
        self.last_activity = time.monotonic()  # when the connection last carried something
        self.is_parsing = False  # bytes were received that have not been parsed yet
        self.partial_record_since: float | None = None  # by the context's clock, as the next two
        self._context = context
        self._sock = sock
        # Guards all that is here, except `partial_record_since`, which the reader sets without it.
        self._lock = threading.Lock()
        self._all_answered = threading.Condition(self._lock)
        self._partial_requests: dict[int, fastcgi.IncomingRequest] = {}  # by request number, oldest first
        self._open_exchanges: dict[int, Exchange] = {}  # handed over, the answer not written
        # None once a whole request has come.
        self._first_request_awaited_since: float | None = context.clock
        self._ended_since: float | None = None

    # --- reading

    def receive(self, buffer: memoryview) -> int:
        """Receive what has come, to be parsed; the number of bytes, 0 if the connection has ended.

        The caller has seen that there are some; nobody else receives any. `OSError` if the connection is
        lost.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED:
                return 0
            count = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            self.is_parsing = True
            self.last_activity = time.monotonic()
        return count

    def parsing_finished(self) -> None:
        """What was received has been parsed."""
        with self._lock:
            self.is_parsing = False

    def partial_record_left(self) -> None:
        """Behind the records that were parsed stands the beginning of another one."""
        self.partial_record_since = self._context.clock

    def no_partial_record(self) -> None:
        """What was parsed ended with a whole record."""
        self.partial_record_since = None

    def stop_reading(self) -> None:
        """What comes from here on can't be read. The answers that are owed are another matter."""
        with self._lock:
            self._stop_reading()

    # --- requests

    def begin_request(self, number: int, role: int, keep_connection: bool) -> BeginResult:
        """Take note of a request's first record."""
        with self._lock:
            if number in self._open_exchanges or number in self._partial_requests:
                return BeginResult.NUMBER_IN_USE
            if role != fastcgi.RESPONDER:
                return BeginResult.UNKNOWN_ROLE
            if len(self._open_exchanges) + len(self._partial_requests) >= MAX_OPEN:
                return BeginResult.OVERLOADED
            self._partial_requests[number] = fastcgi.IncomingRequest(
                number, keep_connection, self._context.clock
            )
        return BeginResult.STARTED

    def partial_request(self, number: int) -> fastcgi.IncomingRequest | None:
        """The request of this number, if it is being read."""
        return self._partial_requests.get(number)

    def withdraw(self, number: int) -> Withdrawn:
        """The peer has aborted this request."""
        with self._lock:
            partial = self._partial_requests.pop(number, None)
            exchange = self._open_exchanges.get(number)
        return Withdrawn(partial is not None, exchange)

    def owe_answer(self, incoming: fastcgi.IncomingRequest, exchange: Exchange) -> bool:
        """It is not read any more but owed an answer, in one step, so that it is seen at any moment.

        False if something else came first: the connection's end, or the deadline of the request, which ran
        out as its rest came.
        """
        with self._lock:
            if (
                self.state is not ConnectionPhase.SERVING
                or self._partial_requests.get(incoming.id) is not incoming
            ):
                return False
            del self._partial_requests[incoming.id]
            self._open_exchanges[incoming.id] = exchange
            self._first_request_awaited_since = None
        return True

    def close_request(self, number: int, data: bytes) -> None:
        """The request is not open any more, and its end is written, which does not wait: one step.

        If the connection's end were written in between, the peer would never get the answer. Written before
        the request is closed, the balancer might use the number again while it still counts as open.
        """
        with self._lock:
            self._open_exchanges.pop(number, None)
            self.writer.send(data)
            self.last_activity = time.monotonic()
            if not self._open_exchanges:
                self._all_answered.notify()

    def stop_reading_and_list_open(self) -> dict[int, Exchange]:
        """Read nothing more, and return what is owed an answer, by request number."""
        with self._lock:
            self._stop_reading()
            return dict(self._open_exchanges)

    # --- the end

    def expire(self, cutoff: float) -> Expired:
        """Stop waiting for whatever the peer should have sent before `cutoff` (of the context's clock)."""
        with self._lock:
            connection = self._ended_since is not None and self._ended_since <= cutoff
            if self._is_overdue(self._first_request_awaited_since, cutoff) or self._is_overdue(
                self.partial_record_since, cutoff
            ):
                self._stop_reading()
                connection = not self._open_exchanges
                if connection:
                    self._end()
            late = [partial for partial in self._partial_requests.values() if partial.begun <= cutoff]
        return Expired(connection, late)

    def close_if_idle(self, asked: bool) -> bool:
        """End a connection with no open request, if that is wanted; True if it has ended now.

        It is wanted if the peer asked for it, the server retires, or the connection has idled for too long.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED or self._open_exchanges:
                return False
            if self.state is ConnectionPhase.SERVING:
                is_wanted = asked or self._context.retiring or self._idles_too_long()
                if not is_wanted or self._has_partial_input():
                    return False
            self._end()  # the balancer closes its side, which ends the reader's wait
        return True

    def evict(self, even_if_partial: bool) -> bool:
        """End it at once.

        False if an answer is owed on it, or, unless `even_if_partial`, something has come that may become a
        request.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED or self._open_exchanges or self.writer.waiting:
                return False
            if self._has_partial_input() and not even_if_partial:
                return False
            self._end()
        self.writer.cut()  # wakes the reader
        return True

    def end(self) -> None:
        """End it, whatever is still being read or answered."""
        with self._lock:
            self._end()

    def end_when_answered(self, timeout_s: float) -> None:
        """Wait for the answers that are on their way in other threads, so long at the most, and end it."""
        with self._lock:
            self._all_answered.wait_for(lambda: not self._open_exchanges, timeout_s)
            self._end()

    # --- with the lock held

    def _stop_reading(self) -> None:
        if self.state is ConnectionPhase.SERVING:
            self.state = ConnectionPhase.ANSWERING
        self._partial_requests.clear()
        self.partial_record_since = None
        self._first_request_awaited_since = None

    def _end(self) -> None:
        """Close our side: from this moment on nothing is received."""
        if self.state is not ConnectionPhase.ENDED:
            self.state = ConnectionPhase.ENDED
            self._ended_since = self._context.clock
            self.writer.end()

    def _is_overdue(self, since: float | None, cutoff: float) -> bool:
        """Whether the peer should have sent before `cutoff` what it owes since `since`.

        Unparsed bytes may be that, and have a little longer: a busy core is not the peer's fault.
        """
        if since is None or since > cutoff:
            return False
        return since <= cutoff - UNREAD_GRACE_S or not (self.is_parsing or self._has_unread_bytes())

    def _idles_too_long(self) -> bool:
        idle_s = time.monotonic() - self.last_activity
        return idle_s > (self._context.idle_s or MAX_IDLE_S)

    def _has_partial_input(self) -> bool:
        """Something has come of which the rest, or the meaning, is still to be seen."""
        if self.is_parsing or self._partial_requests or self.partial_record_since is not None:
            return True
        return self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        """Bytes have come that nobody has received.

        A connection that holds some is not idle, however long ago they came: a busy core may keep the reader
        from them.
        """
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # none; or the peer has cut it, and the reader will see that
            return False
