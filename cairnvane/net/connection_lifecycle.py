"""The open requests of one connection and the phase of its shutdown, guarded by one lock."""

from __future__ import annotations

import socket
import threading
import time
from enum import Enum
from typing import NamedTuple, Protocol

from ..exchange import Exchange
from . import fastcgi
from .message_writer import MessageWriter
from .request_memory import RequestMemory
from .request_parameters import PARAMETER_NAMES
from .suspect_reads import SuspectReads, TurnTicket

# The protocol's limit on open requests per connection.
MAX_OPEN_REQUESTS = 32
# So many more aborted or invalid requests than valid answers on a connection are a flood: twice what a
# balancer has open, and aborts, where a slow server has given no answer in time.
MAX_FRUITLESS_REQUESTS = 2 * MAX_OPEN_REQUESTS
# Extension of a peer's deadline while received bytes have not been parsed yet.
UNREAD_INPUT_GRACE_S = 0.5
# Idle connections are closed after this time at the latest. Balancers close theirs after a few seconds, so
# this never affects them; a client that keeps its connection open after one request would occupy a thread and
# a file descriptor.
MAX_IDLE_S = 30.0


class ConnectionPhase(Enum):
    """The phase of a connection's shutdown. It only advances, and only under the lifecycle's lock."""

    SERVING = 0  # requests are read and answered
    ANSWERING = 1  # nothing more is read; pending responses are sent, then our side is closed
    ENDED = 2  # our side is closed; further input is ignored


class BeginResult(Enum):
    """The result of a BEGIN_REQUEST record."""

    STARTED = 0
    NUMBER_IN_USE = 1
    UNKNOWN_ROLE = 2
    OVERLOADED = 3


class AbortedRequest(NamedTuple):
    """The request that an abort record refers to."""

    was_partial: bool  # the request was still being read, and has been removed
    exchange: Exchange | None  # the request was handed over and has not been answered; else None


class Expired(NamedTuple):
    """What has exceeded its deadline."""

    connection: bool  # the connection itself; its reader has to be woken
    partial_requests: list[fastcgi.IncomingRequest]  # their clients have given up


class LifecycleContext(Protocol):
    """The attributes of the server that the lifecycle uses."""

    idle_s: float  # close connections after this idle time; 0: after `MAX_IDLE_S`
    retiring: bool
    clock: float  # in seconds; the deadlines of peers are measured by it
    request_memory: RequestMemory
    suspect_reads: SuspectReads


class ConnectionLifecycle:
    """The requests and the shutdown of one connection.

    The reader, threads that write responses, the deadline thread, a new connection that needs room and the
    graceful shutdown all use this state to decide whether the connection may be closed. So at any moment each
    request is visible in one of these: bytes in the kernel (`_has_unread_bytes`), bytes that are being parsed
    (`is_parsing`), an incomplete record (`partial_record_since`), a request with missing records
    (`_partial_requests`), or a request whose response has not been written (`_open_exchanges`).
    """

    def __init__(self, context: LifecycleContext, sock: socket.socket) -> None:
        self.writer = MessageWriter(sock)
        self.state = ConnectionPhase.SERVING
        self.last_activity = time.monotonic()  # when data was last received or sent, by the monotonic clock
        self.is_parsing = False  # received bytes have not been parsed yet
        self.partial_record_since: float | None = None  # by the clock of `context`
        self._context = context
        self._sock = sock
        # Guards all attributes except `partial_record_since`, which the reader sets without the lock.
        self._lock = threading.Lock()
        self._all_answered = threading.Condition(self._lock)
        self._partial_requests: dict[int, fastcgi.IncomingRequest] = {}  # by request number, oldest first
        self._open_exchanges: dict[int, Exchange] = {}  # handed over, response not yet written
        # By the clock of `context`; None after a complete request has arrived.
        self._first_request_awaited_since: float | None = context.clock
        self._ended_since: float | None = None
        self.read_ticket = TurnTicket()  # for a suspect client's reads; cancelled when the connection ends
        self._partial_bytes = 0  # held for `_partial_requests` after the last read
        self.is_flooded = False  # most requests are aborted or invalid, which costs their client nothing
        # Aborted or invalid ones, less the valid ones answered since; at least 0.
        self._fruitless_requests = 0

    @property
    def has_excessive_partial_requests(self) -> bool:
        """Whether partial requests need too much memory, and those of this connection more than its share."""
        if not self._partial_bytes:
            return False
        memory = self._context.request_memory
        is_over_share = self._partial_bytes > memory.max_partial_bytes_of_connection
        return is_over_share and memory.has_excessive_partial_requests

    # --- reading

    def receive(self, buffer: memoryview) -> int:
        """Receive available bytes for parsing; returns their number, or 0 if the connection has ended.

        The caller has checked that bytes are available, and only one thread receives. Raises `OSError` if the
        connection is lost.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED:
                return 0
            count = self._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT)
            self.is_parsing = True
            self.last_activity = time.monotonic()
        return count

    def parsing_finished(self) -> None:
        """Record that all received bytes have been parsed, and what they left incomplete."""
        with self._lock:
            self.is_parsing = False
            if self._partial_requests or self._partial_bytes:
                self._count_partial_bytes()

    def mark_partial_record(self) -> None:
        """Record that the parsed input ended with an incomplete record."""
        self.partial_record_since = self._context.clock

    def clear_partial_record(self) -> None:
        """Record that the parsed input ended with a complete record."""
        self.partial_record_since = None

    def recount_partial_requests(self) -> None:
        """Account for partial requests that were removed between reads."""
        with self._lock:
            self._count_partial_bytes()

    def stop_reading(self) -> None:
        """Stop reading further input. Pending responses are still sent."""
        with self._lock:
            self._stop_reading()

    # --- requests

    def begin_request(self, number: int, role: int, keep_connection: bool) -> BeginResult:
        """Register a request by its BEGIN_REQUEST record."""
        with self._lock:
            if number in self._open_exchanges or number in self._partial_requests:
                return BeginResult.NUMBER_IN_USE
            if role != fastcgi.RESPONDER:
                return BeginResult.UNKNOWN_ROLE
            if len(self._open_exchanges) + len(self._partial_requests) >= MAX_OPEN_REQUESTS:
                return BeginResult.OVERLOADED
            self._partial_requests[number] = fastcgi.IncomingRequest(
                number, keep_connection, self._context.clock, PARAMETER_NAMES
            )
        return BeginResult.STARTED

    def partial_requests(self) -> list[fastcgi.IncomingRequest]:
        """The requests that are being received."""
        with self._lock:
            return list(self._partial_requests.values())

    def partial_request(self, number: int) -> fastcgi.IncomingRequest | None:
        """The request with this number if it is still being read, else None."""
        return self._partial_requests.get(number)

    def abort_request(self, number: int) -> AbortedRequest:
        """Handle the peer's abort of this request."""
        with self._lock:
            partial = self._partial_requests.pop(number, None)
            exchange = self._open_exchanges.get(number)
            if partial is not None or exchange is not None:
                self._count_fruitless(1)
        return AbortedRequest(partial is not None, exchange)

    def register_exchange(self, incoming: fastcgi.IncomingRequest, exchange: Exchange) -> bool:
        """Turn a partial request into an open one, atomically, so that it is visible at any moment.

        False if the connection has ended or if the deadline of the request passed while its last record
        arrived.
        """
        with self._lock:
            if (
                self.state is not ConnectionPhase.SERVING
                or self._partial_requests.get(incoming.id) is not incoming
            ):
                return False
            del self._partial_requests[incoming.id]
            self._open_exchanges[incoming.id] = exchange
            self._context.request_memory.change_open_requests(1)
            self._first_request_awaited_since = None
        return True

    def answer_request(self, number: int, data: bytes, is_invalid: bool) -> None:
        """Close an open request with its response (`data`)."""
        with self._lock:
            if is_invalid:
                self._count_fruitless(1)
            elif self._fruitless_requests:
                self._count_fruitless(-1)
            self._close_request(number, data)

    def count_fruitless(self, requests: int) -> None:
        """Account for requests that no balancer sends."""
        with self._lock:
            self._count_fruitless(requests)

    def close_request(self, number: int, data: bytes) -> None:
        """Close an open request for whose response nobody waits; `data` tells the peer that it has ended."""
        with self._lock:
            self._close_request(number, data)

    def stop_reading_and_list_open(self) -> dict[int, Exchange]:
        """Stop reading further input, and return the unanswered requests by request number."""
        with self._lock:
            self._stop_reading()
            return dict(self._open_exchanges)

    # --- closing

    def expire(self, cutoff: float, client_cutoff: float) -> Expired:
        """Stop waiting for input that was due before `cutoff` (by the clock of `context`).

        A connection with open requests is one of a balancer, which may pause within a request. It is read on,
        since what follows are requests that must be answered. Only partial requests that began before
        `client_cutoff`, and for which no client waits any more, have expired on it.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED:
                return Expired(self._ended_since is not None and self._ended_since <= cutoff, [])
            if self._open_exchanges:
                partial_requests = list(self._partial_requests.values())
                return Expired(False, [p for p in partial_requests if p.started_at <= client_cutoff])
            if not any(self._is_overdue(since, cutoff) for since in self._input_awaited_since()):
                return Expired(False, [])
            self._stop_reading()
            self._end()
        return Expired(True, [])

    def close_if_idle(self, requested: bool) -> bool:
        """End a connection without open requests if it should be closed; True if it has ended now.

        It should be closed if the peer requested that, the server retires, or it has been idle for too long.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED or self._open_exchanges:
                return False
            if self.state is ConnectionPhase.SERVING:
                is_wanted = requested or self._context.retiring or self._has_idled_too_long()
                if not is_wanted or self._has_partial_input():
                    return False
            self._end()  # the balancer then closes its side, which ends the reader's wait
        return True

    def evict(self, even_if_partial: bool) -> bool:
        """End the connection at once.

        False if a response is pending on it, or, unless `even_if_partial`, if input has arrived that may
        become a request.
        """
        with self._lock:
            if self.state is ConnectionPhase.ENDED or self._open_exchanges or self.writer.has_backlog:
                return False
            if self._has_partial_input() and not even_if_partial:
                return False
            self._end()
        self.writer.abort()  # wakes the reader
        return True

    def end(self) -> None:
        """End the connection, even if requests are still being read or answered."""
        with self._lock:
            self._end()

    def end_when_answered(self, timeout_s: float) -> None:
        """Wait at most `timeout_s` for responses by other threads, then end the connection."""
        with self._lock:
            self._all_answered.wait_for(lambda: not self._open_exchanges, timeout_s)
            self._end()

    # --- called with the lock held

    def _count_fruitless(self, change: int) -> None:
        self._fruitless_requests += change
        self.is_flooded = self._fruitless_requests > MAX_FRUITLESS_REQUESTS

    def _close_request(self, number: int, data: bytes) -> None:
        """Remove an open request and write the end of its response, atomically and without blocking.

        If the connection could be closed between the two steps, the peer would never get the response. If the
        response were written first, the balancer could reuse the number while it still counts as open.
        """
        if self._open_exchanges.pop(number, None) is not None:
            self._context.request_memory.change_open_requests(-1)
        self.writer.send(data)
        self.last_activity = time.monotonic()
        if not self._open_exchanges:
            self._all_answered.notify()

    def _stop_reading(self) -> None:
        if self.state is ConnectionPhase.SERVING:
            self.state = ConnectionPhase.ANSWERING
        self._partial_requests.clear()
        self._count_partial_bytes()
        self.partial_record_since = None
        self._first_request_awaited_since = None

    def _count_partial_bytes(self) -> None:
        """Account for the partial requests that outlast a read: most requests are read at once."""
        size = sum(incoming.size for incoming in self._partial_requests.values())
        if size != self._partial_bytes:
            self._context.request_memory.change_partial_bytes(size - self._partial_bytes)
            self._partial_bytes = size

    def _end(self) -> None:
        """Close our side of the connection; further input is ignored."""
        if self.state is not ConnectionPhase.ENDED:
            self.state = ConnectionPhase.ENDED
            self._ended_since = self._context.clock
            self._context.suspect_reads.cancel(self.read_ticket)
            self.writer.close_write_side()

    def _input_awaited_since(self) -> list[float | None]:
        """Since when each kind of input that began, or has to begin, has been awaited; None if it is not."""
        partial_requests = [partial.started_at for partial in self._partial_requests.values()]
        return [self._first_request_awaited_since, self.partial_record_since, *partial_requests]

    def _is_overdue(self, since: float | None, cutoff: float) -> bool:
        """Whether input that has been awaited since `since` was due before `cutoff`.

        Bytes that have not been parsed yet may be that input, so the deadline is extended while there are
        some: the peer is not responsible for a busy CPU on this machine.
        """
        if since is None or since > cutoff:
            return False
        return since <= cutoff - UNREAD_INPUT_GRACE_S or not (self.is_parsing or self._has_unread_bytes())

    def _has_idled_too_long(self) -> bool:
        idle_s = time.monotonic() - self.last_activity
        return idle_s > (self._context.idle_s or MAX_IDLE_S)

    def _has_partial_input(self) -> bool:
        """Whether input has arrived that is incomplete or has not been parsed yet."""
        if self.is_parsing or self._partial_requests or self.partial_record_since is not None:
            return True
        return self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        """Whether the kernel has bytes that have not been received.

        Such a connection is not idle, however long ago the bytes arrived: on a busy CPU the reader's thread
        may be delayed.
        """
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # no bytes, or the peer has reset the connection, which the reader will notice
            return False
