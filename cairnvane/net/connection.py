"""One connection of the front: records in, answers out, and the bounds on a peer that misbehaves."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Protocol

from .. import log
from ..exchange import Answer, Exchange, Intake, Meter, Request, Verdict
from . import fastcgi, fields
from .buffers import BufferPool
from .outlet import Outlet

# The protocol's own bound on open requests of a connection.
MAX_OPEN = 32
# A balancer opens a connection for a request and sends that whole. Whoever says nothing, or half of
# something, for so long is no balancer; it is owed an end within 3 s, of which a busy machine takes some.
SAY_WAIT_S = 2.0
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


class Front(Protocol):
    """What a connection needs to know of the server."""

    intake: Intake
    meter: Meter | None  # counts final answers; None: nobody does
    buffers: BufferPool
    idle_s: float  # close connections that carried nothing for so long; 0: as late as allowed
    retiring: bool
    clock: float  # seconds by which peers are judged; see `Server`
    values: dict[str, str]


class Connection:
    """One balancer's connection."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front = front
        self.sock = sock
        self.outlet = Outlet(sock)
        self.standing = False  # something on it was answered 'served': a balancer's, as far as can be told
        self.last = time.monotonic()  # when it last carried something
        self.reading: dict[int, fastcgi.Incoming] = {}  # oldest first
        self._open: dict[int, Exchange] = {}  # handed over, not answered
        self._lock = threading.Lock()
        self._leaving = False
        self._leaving_since: float | None = None  # by the front's clock, as the next two
        self._suspect = False  # something on it could not be right
        # None once a whole request has come, and None while no record is half read.
        self._unheard_since: float | None = front.clock
        self._rest_since: float | None = None

    @property
    def busy(self) -> bool:
        """A request on it is owed an answer, or is being read."""
        return bool(self._open or self.reading)

    def serve(self) -> None:
        """Read until either side ends the connection. The wait for the peer has no bound here, since hundreds
        of readers that look up now and then would get in the way of the few that have something to do:
        `look` wakes those that are to end."""
        with self.front.buffers.lend() as view:
            have = 0
            while True:
                try:
                    got = self.sock.recv_into(view[have:])
                except OSError:
                    return
                if got == 0 or self._leaving:
                    return
                self.last = time.monotonic()
                have = self._read(view, have + got)
                if self._suspect:
                    time.sleep(SLOW_READ_S)

    def _read(self, view: memoryview, have: int) -> int:
        at = 0
        while (found := fastcgi.take(view, at, have)) is not None:
            part, at = found
            self._take(part)
        if at == have:
            self._rest_since = None
        elif at or self._rest_since is None:
            view[: have - at] = bytes(view[at:have])
            self._rest_since = self.front.clock
        return have - at

    def look(self) -> None:
        """Called now and then: end what keeps waiting, fail what is not said whole, leave what idles."""
        before = self.front.clock - SAY_WAIT_S
        for since in (self._unheard_since, self._rest_since, self._leaving_since):
            if since is not None and since <= before:
                return self._wake()
        late: list[fastcgi.Incoming] = []
        with self._lock:
            while self.reading and (first := next(iter(self.reading.values()))).begun <= before:
                late.append(self.reading.pop(first.id))
        for incoming in late:
            self._fail(incoming)
        self.close_if_idle()

    def _wake(self) -> None:
        """End the reader's wait, and with it the connection."""
        self._leaving = True
        self.outlet.end()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def _take(self, part: fastcgi.Record) -> None:
        if part.request == 0:
            self.outlet.send(fastcgi.management(part, self.front.values))
        elif part.kind == fastcgi.BEGIN_REQUEST:
            self._begin(part)
        elif part.kind == fastcgi.ABORT_REQUEST:
            self._abort(part.request)
        elif part.kind in (fastcgi.PARAMS, fastcgi.STDIN):
            incoming = self.reading.get(part.request)
            if incoming is not None and incoming.add(part):
                with self._lock:
                    in_time = self.reading.pop(part.request, None) is incoming
                if in_time:
                    self._unheard_since = None
                    self._hand_over(incoming)
        else:
            raise fastcgi.Malformed(f"record type {part.kind}")

    def _begin(self, part: fastcgi.Record) -> None:
        role, keep = fastcgi.begin(part)
        with self._lock:
            taken = part.request in self._open or part.request in self.reading
            full = len(self._open) + len(self.reading) >= MAX_OPEN
            if not taken and not full and role == fastcgi.RESPONDER:
                self.reading[part.request] = fastcgi.Incoming(part.request, keep, self.front.clock)
        if taken:
            raise fastcgi.Malformed(f"request {part.request} began twice")
        if role != fastcgi.RESPONDER:
            self._suspect = True
            self.outlet.send(fastcgi.end(part.request, fastcgi.UNKNOWN_ROLE))
        elif full:  # never handed over, so the promise that it never ran holds
            self._suspect = True
            self.outlet.send(fastcgi.end(part.request, fastcgi.OVERLOADED))

    def _abort(self, number: int) -> None:
        with self._lock:
            half, exchange = self.reading.pop(number, None), self._open.get(number)
        if half is None:
            if exchange is None or not exchange.withdraw():
                return  # answered already
            self._drop(number)
            if isinstance(exchange, Request):
                self.front.intake.gone(exchange)
        self.outlet.send(fastcgi.end(number))  # frees the number; as an answer it is owed nothing

    def _hand_over(self, incoming: fastcgi.Incoming) -> None:
        lane = ""  # the class, once it is known

        def deliver(answer: Answer) -> None:
            self.standing |= answer.verdict is Verdict.SERVED
            # Counted before it goes out: whoever reads the figures after the answer has it in them.
            if lane and (meter := self.front.meter) is not None:
                meter.ended(lane, answer.verdict)
            self._answer(incoming, answer)

        check = fields.health_check(incoming.params, deliver)
        if check is not None:
            self._owe(incoming, check)
            self.front.intake.checked(check)
            return
        try:
            request = fields.service_request(incoming.params, incoming.body, deliver)
        except fields.BadRequest as error:
            log.say("server", str(error))
            self._fail(incoming)
            return
        self._owe(incoming, request)
        lane = request.lane
        self.front.intake.arrived(request)

    def _fail(self, incoming: fastcgi.Incoming) -> None:
        """End a request that no balancer sends, before anyone else hears of it."""
        exchange = Exchange(lambda answer: self._answer(incoming, answer))
        self._owe(incoming, exchange)
        exchange.finish(Answer(Verdict.FAILED, suspect=True))

    def _owe(self, incoming: fastcgi.Incoming, exchange: Exchange) -> None:
        with self._lock:
            self._open[incoming.id] = exchange

    def _drop(self, number: int) -> None:
        with self._lock:
            self._open.pop(number, None)
            self.last = time.monotonic()

    def _answer(self, incoming: fastcgi.Incoming, answer: Answer) -> None:
        # Dropped first: the balancer may use the number again as soon as it has read the end.
        self._drop(incoming.id)
        self._suspect |= answer.suspect
        self.outlet.send(fastcgi.response(incoming.id, fields.content(answer)))
        if self.front.retiring or not incoming.keep:
            self.close_if_idle(asked=not incoming.keep)

    def close_if_idle(self, asked: bool = False) -> bool:
        """Leave a connection with no open request, if that is wanted or it has idled for too long."""
        with self._lock:
            idle = time.monotonic() - self.last
            wanted = asked or self.front.retiring or idle > (self.front.idle_s or IDLE_MOST_S)
            if not wanted or self.busy or self._leaving:
                return False
            self._leaving, self._leaving_since = True, self.front.clock
        self.outlet.end()  # the balancer closes its side, which ends the reader's wait
        return True

    def make_room(self) -> bool:
        """End it at once, since another needs its place; False if an answer is owed on it."""
        with self._lock:
            if self._open or self._leaving:
                return False
            self._leaving = True
        self.outlet.cut()  # wakes the reader
        return True

    def close(self) -> None:
        """The connection is over; nobody is left to answer."""
        with self._lock:
            left, self._open = list(self._open.values()), {}
        for exchange in left:
            if exchange.withdraw() and isinstance(exchange, Request):
                self.front.intake.gone(exchange)
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
