"""One connection of the front: records in, answers out, and the bounds on a peer that misbehaves."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from enum import Enum
from typing import Protocol

from ..exchange import Exchange, Request, RequestSink, Response, ResponseCounter, ResponseStatus
from . import fastcgi, request_parameters
from .message_writer import MessageWriter
from .read_buffers import BufferPool

logger = logging.getLogger(__name__)

# The protocol's own bound on open requests of a connection.
MAX_OPEN = 32
# A balancer opens a connection for a request and sends that whole. Whoever says nothing, or half of
# something, for so long is no balancer; it is owed an end within 3 s, of which a busy machine takes some.
SAY_WAIT_S = 2.0
# So much longer if something has come that was not read yet.
UNSEEN_WAIT_S = 0.5
# A balancer that was told the end closes its side within this time, or is cut off; so is one that sends on.
LAST_READ_S, LAST_READ_BYTES, LAST_READ_PART = 0.2, 65_536, 4_096
# Balancers close what idles after some seconds themselves. A client that asks once and then holds its
# connection for good would keep a thread and a descriptor for it; a balancer's is never cut that early.
IDLE_MOST_S = 30.0
# What was answered has so long to leave when the connection ends.
LAST_WRITE_S = 1.0
# Who sends what can't be right is read on only after so long: a client that tries the same again as soon as
# it is turned away would else have the share of the core that the balancers need.
SLOW_READ_S = 0.05
# Records of no request, one after the other: a balancer has a few for each of 32 that ended meanwhile. Who
# sends more has nothing to say, and each costs.
MOST_VOID = 256


class State(Enum):
    """How far the end of a connection has come. It only goes forward, under the connection's lock."""

    SERVING = 0  # requests are read and answered
    ANSWERING = 1  # nothing more is taken from the peer; what it is owed goes out, then it is told the end
    ENDED = 2  # it was told the end: nothing that still comes is looked at


class Front(Protocol):
    """What a connection needs to know of the server."""

    sink: RequestSink
    response_counter: ResponseCounter | None  # counts final answers; None: nobody does
    buffers: BufferPool
    idle_s: float  # close connections that carried nothing for so long; 0: as late as allowed
    retiring: bool
    clock: float  # seconds by which peers are judged; see `Server`
    values: dict[str, str]


class Connection:
    """One balancer's connection.

    Whether something is owed on it, and whether it has ended, is one question under one lock, whoever asks:
    the look-out, an answer's thread, a new connection that needs its place, the notice to leave. For that,
    a request is at any moment seen in one of these: unread by us (`_unread` asks the kernel), in the reader's
    hands (`_in_hand`), half said (`reading`, `_rest_since`), or owed an answer (`_open`) that is not written.
    """

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front = front
        self.sock = sock
        self.outlet = MessageWriter(sock)
        self.standing = False  # something on it was answered 'served': a balancer's, as far as can be told
        self.last = time.monotonic()  # when it last carried something
        self.reading: dict[int, fastcgi.Incoming] = {}  # oldest first
        self._open: dict[int, Exchange] = {}  # handed over, not answered
        self._in_hand = False  # what was read has not been looked through yet
        self._lock = threading.Lock()
        self._answered = threading.Condition(self._lock)  # nothing is open
        self._state = State.SERVING
        self._ended_since: float | None = None  # by the front's clock, as the next two
        self._suspect = False  # something on it could not be right
        self._void = 0  # records of no request since the last whole one
        # None once a whole request has come, and None while no record is half read.
        self._unheard_since: float | None = front.clock
        self._rest_since: float | None = None

    @property
    def _half_said(self) -> bool:
        """Something has come of which the rest, or the meaning, is still to be seen."""
        return bool(self._in_hand or self.reading or self._rest_since is not None) or self._unread()

    def _unread(self) -> bool:
        """Bytes have come that nobody has read: a connection that holds some is not idle, however long ago
        they came. A busy core may keep the reader from them."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # none; or the peer has cut it, and the reader will see that
            return False

    def serve(self) -> None:
        """Read until either side ends the connection. The wait for the peer has no bound here, since hundreds
        of readers that look up now and then would get in the way of the few that have something to do:
        `look` wakes those that are to end. What has come stays with the kernel meanwhile, where `_unread`
        sees it."""
        with self.front.buffers.lend() as view:
            have = 0
            while True:
                try:
                    if not self.sock.recv(1, socket.MSG_PEEK):
                        return
                    got = self._take_in(view[have:])
                except OSError:
                    return
                if got == 0:
                    return
                have = self._read(view, have + got) if self._state is State.SERVING else 0
                if self._looked_through():
                    return
                if self._suspect:
                    time.sleep(SLOW_READ_S)

    def _take_in(self, room: memoryview) -> int:
        """Read what has come, into the reader's hands; 0 if the connection has ended."""
        with self._lock:
            if self._state is State.ENDED:
                return 0
            got = self.sock.recv_into(room, 0, socket.MSG_DONTWAIT)  # they are there: no one else takes any
            self._in_hand = True
            self.last = time.monotonic()
        return got

    def _looked_through(self) -> bool:
        """The reader's hands are empty. True if that was all that kept the connection from its end."""
        with self._lock:
            self._in_hand = False
        wanted = self.front.retiring or self._state is State.ANSWERING  # who asked before found it busy
        return wanted and self.close_if_idle()

    def _read(self, view: memoryview, have: int) -> int:
        at = 0
        try:
            while (found := fastcgi.take(view, at, have)) is not None:
                part, at = found
                self._take(part)
        except fastcgi.MalformedRecordError as error:
            logger.warning("nothing more is read of a connection: %s", error)
            self._suspect = True
            with self._lock:
                self._take_no_more()
            return 0
        if at == have:
            self._rest_since = None
        elif at or self._rest_since is None:
            view[: have - at] = bytes(view[at:have])
            self._rest_since = self.front.clock
        return have - at

    def _take_no_more(self) -> None:
        """With the lock held: what comes from here on can't be read. The answers that are owed are another
        matter."""
        if self._state is State.SERVING:
            self._state = State.ANSWERING
        self.reading.clear()
        self._rest_since = self._unheard_since = None

    def look(self) -> None:
        """Called now and then: end what keeps waiting, fail what is not said whole, leave what idles."""
        before = self.front.clock - SAY_WAIT_S
        with self._lock:
            over = self._ended_since is not None and self._ended_since <= before
            if self._overdue(self._unheard_since, before) or self._overdue(self._rest_since, before):
                self._take_no_more()
                if over := not self._open:
                    self._end()
            late = [incoming for incoming in self.reading.values() if incoming.begun <= before]
        if over:
            return self._wake()
        for incoming in late:
            self._fail(incoming)
        self.close_if_idle()

    def _overdue(self, since: float | None, before: float) -> bool:
        """With the lock held. What has come unread may be what was waited for, and has a little longer: a
        busy core is not the peer's fault."""
        if since is None or since > before:
            return False
        return since <= before - UNSEEN_WAIT_S or not (self._in_hand or self._unread())

    def _end(self) -> None:
        """With the lock held: the end is told, and from this moment on nothing is taken."""
        if self._state is not State.ENDED:
            self._state, self._ended_since = State.ENDED, self.front.clock
            self.outlet.end()

    def _wake(self) -> None:
        """End the reader's wait for a peer that does not close its side."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def _take(self, part: fastcgi.Record) -> None:
        if part.request == 0:
            self._count_void()
            self.outlet.send(fastcgi.management(part, self.front.values))
        elif part.kind == fastcgi.BEGIN_REQUEST:
            self._begin(part)
        elif part.kind == fastcgi.ABORT_REQUEST:
            self._abort(part.request)
        elif part.kind in (fastcgi.PARAMS, fastcgi.STDIN):
            incoming = self.reading.get(part.request)
            if incoming is None:
                self._count_void()
            elif incoming.add(part):
                self._hand_over(incoming)
        else:
            raise fastcgi.MalformedRecordError(f"record type {part.kind}")

    def _count_void(self) -> None:
        self._void += 1
        if self._void > MOST_VOID:
            raise fastcgi.MalformedRecordError(f"{self._void} records of no request, one after the other")

    def _begin(self, part: fastcgi.Record) -> None:
        role, keep = fastcgi.begin(part)
        with self._lock:
            taken = part.request in self._open or part.request in self.reading
            full = len(self._open) + len(self.reading) >= MAX_OPEN
            if not taken and not full and role == fastcgi.RESPONDER:
                self.reading[part.request] = fastcgi.Incoming(part.request, keep, self.front.clock)
        if taken:
            raise fastcgi.MalformedRecordError(f"request {part.request} began twice")
        if role != fastcgi.RESPONDER or full:
            self._suspect = True
            self._count_void()
            # Never handed over, so the promise that it never ran holds.
            why = fastcgi.UNKNOWN_ROLE if role != fastcgi.RESPONDER else fastcgi.OVERLOADED
            self.outlet.send(fastcgi.end(part.request, why))

    def _abort(self, number: int) -> None:
        with self._lock:
            half, exchange = self.reading.pop(number, None), self._open.get(number)
        if exchange is None:
            self._count_void()
        if half is None:
            if exchange is None or not exchange.abandon():
                return  # answered already
            if isinstance(exchange, Request):
                self.front.sink.client_disconnected(exchange)
        self._write(number, fastcgi.end(number))  # frees the number; as an answer it is owed nothing

    def _hand_over(self, incoming: fastcgi.Incoming) -> None:
        lane = ""  # the class, once it is known

        def deliver(answer: Response) -> None:
            self.standing |= answer.status is ResponseStatus.SERVED
            # Counted before it goes out: whoever reads the figures after the answer has it in them.
            if lane and (meter := self.front.response_counter) is not None:
                meter.response_sent(lane, answer.status)
            self._answer(incoming, answer)

        check = request_parameters.health_check(incoming.params, deliver)
        if check is not None:
            if self._owe(incoming, check):
                self.front.sink.health_check_arrived(check)
            return
        try:
            request = request_parameters.service_request(incoming.params, incoming.body, deliver)
        except request_parameters.InvalidRequestError as error:
            logger.error("%s", error)
            self._fail(incoming)
            return
        if self._owe(incoming, request):
            lane = request.class_name
            self.front.sink.request_arrived(request)

    def _fail(self, incoming: fastcgi.Incoming) -> None:
        """End a request that no balancer sends, before anyone else hears of it."""
        exchange = Exchange(lambda answer: self._answer(incoming, answer))
        if self._owe(incoming, exchange):
            exchange.respond(Response(ResponseStatus.FAILED, invalid_request=True))

    def _owe(self, incoming: fastcgi.Incoming, exchange: Exchange) -> bool:
        """It is not read any more but owed an answer, in one step, so that it is seen at any moment. False if
        something else came first: the end, or the look-out, whose patience ended as the rest came."""
        with self._lock:
            if self._state is not State.SERVING or self.reading.get(incoming.id) is not incoming:
                return False
            del self.reading[incoming.id]
            self._open[incoming.id] = exchange
            self._unheard_since, self._void = None, 0
        return True

    def _answer(self, incoming: fastcgi.Incoming, answer: Response) -> None:
        self._suspect |= answer.invalid_request
        self._write(incoming.id, fastcgi.response(incoming.id, request_parameters.content(answer)))
        if self.front.retiring or not incoming.keep or self._state is State.ANSWERING:
            self.close_if_idle(asked=not incoming.keep)

    def _write(self, number: int, data: bytes) -> None:
        """The request is not open any more, and its end is written, which does not wait: one step. With the
        connection's end told in between, the peer would never get it. Written first, the balancer might use
        the number again while it still counts as open."""
        with self._lock:
            self._open.pop(number, None)
            self.outlet.send(data)
            self.last = time.monotonic()
            if not self._open:
                self._answered.notify()

    def close_if_idle(self, asked: bool = False) -> bool:
        """Leave a connection with no open request, if that is wanted or it has idled for too long."""
        with self._lock:
            if self._state is State.ENDED or self._open:
                return False
            if self._state is State.SERVING:
                idle = time.monotonic() - self.last
                wanted = asked or self.front.retiring or idle > (self.front.idle_s or IDLE_MOST_S)
                if not wanted or self._half_said:
                    return False
            self._end()  # the balancer closes its side, which ends the reader's wait
        return True

    def make_room(self, half_said: bool = False) -> bool:
        """End it at once, since another needs its place. False if an answer is owed on it, or, unless
        `half_said`, something has come that may become a request."""
        with self._lock:
            if self._state is State.ENDED or self._open or self.outlet.waiting:
                return False
            if self._half_said and not half_said:
                return False
            self._end()
        self.outlet.cut()  # wakes the reader
        return True

    def leave(self) -> None:
        """Tell the end, whatever is half said: the time to answer it is over."""
        with self._lock:
            self._end()

    def close(self) -> None:
        """The peer has ended its side, or was told to: in FastCGI's words the abort of all that is open, and
        nothing runs on for it. It may still read, and what was read is owed an answer, so it gets one."""
        with self._lock:
            self._take_no_more()
            left = dict(self._open)
        for number, exchange in left.items():
            if exchange.abandon():
                self._write(
                    number,
                    fastcgi.response(number, request_parameters.content(Response(ResponseStatus.FAILED))),
                )
                if isinstance(exchange, Request):
                    self.front.sink.client_disconnected(exchange)
        with self._lock:  # the rest have their answers on the way, in other threads
            self._answered.wait_for(lambda: not self._open, LAST_WRITE_S)
            self._end()
        # Closing with unread bytes resets the connection, and the balancer might lose answers that it has
        # not read yet. So it is told the end first, and has a moment to close its side. The moment is bounded
        # in time and bytes: a client with 60 MB to send, or one that drips, must not hold the thread.
        self.outlet.finish(LAST_WRITE_S)
        end, most = time.monotonic() + LAST_READ_S, LAST_READ_BYTES
        with contextlib.suppress(OSError):
            while (left_s := end - time.monotonic()) > 0 and most > 0:
                self.sock.settimeout(left_s)
                if not (got := len(self.sock.recv(LAST_READ_PART))):
                    break
                most -= got
        self.sock.close()
