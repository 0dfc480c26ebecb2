"""The FastCGI front: the listener, one reader a connection, answers, ABORT and health checks.

It turns records into exchange objects and answers into records, and decides nothing else.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from urllib.parse import parse_qs

from .. import clock, log
from ..exchange import Answer, Check, Exchange, Intake, Request, Verdict
from . import fastcgi
from .buffers import BufferPool
from .outlet import Outlet, set_wait

SERVICE_PATH, HEALTH_PATH = "/svc/", "/status/live"
# The protocol's own bound on open requests of a connection.
MAX_OPEN = 32
# A reader that waits looks up this often whether its connection has idled too long or is to be left.
IDLE_LOOK_S = 0.5
# A balancer that was told the end closes its side within this time, or is cut off.
LAST_READ_S, LAST_READ_BYTES = 0.2, 4_096
# The kernel's queue of connections that wait for `accept`; more than there are balancers.
BACKLOG = 512
# What the field names of the protocol allow.
MAX_MEMORY_KB = 2_000.0
ID_DIGITS, TOKEN_DIGITS = 16, 32

_STATUS = {
    Verdict.SERVED: b"200 OK", Verdict.REFUSED: b"503 Service Unavailable", Verdict.FAILED: b"500 Failed",
}


class BadRequest(Exception):
    """A well-framed request whose fields can't be right."""


def _hex(params: dict[str, str], name: str, digits: int) -> str:
    text = params.get(name, "")
    if len(text) != digits or any(c not in "0123456789abcdefABCDEF" for c in text):
        raise BadRequest(f"{name}: not {digits} hex digits")
    return text


def _number(params: dict[str, str], name: str, most: float) -> float:
    # Nought is a legal figure: there is a balancer number 0.
    try:
        value = float(params[name])
    except (KeyError, ValueError):
        raise BadRequest(f"{name}: not a number") from None
    if not 0 <= value <= most:
        raise BadRequest(f"{name}: out of range")
    return value


def content(answer: Answer) -> bytes:
    """An answer as a CGI response."""
    lines = [b"Status: " + _STATUS[answer.verdict]]
    if answer.load is not None:
        lines.append(b"Srv-Load: %.4f" % answer.load)
    if answer.verdict is Verdict.REFUSED:
        if answer.stay_away_ms > 0:
            lines.append(b"Srv-Wait-Ms: %d" % answer.stay_away_ms)
        if answer.last:
            lines.append(b"Srv-Last: 1")
    return b"\r\n".join([*lines, b"", answer.body])


class _Connection:
    """One balancer's connection."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.outlet = Outlet(sock)
        self.reading: dict[int, fastcgi.Incoming] = {}
        self._open: dict[int, Exchange] = {}  # handed over, not answered
        self._lock = threading.Lock()
        self._last = time.monotonic()  # when it last carried something
        self._leaving = False

    def serve(self) -> None:
        """Read until either side ends the connection."""
        with self.server.buffers.lend() as view:
            have = 0
            while True:
                try:
                    got = self.sock.recv_into(view[have:])
                except BlockingIOError:  # the bounded wait has run out
                    if self._leaving:
                        return
                    self.close_if_idle()
                    continue
                except OSError:
                    return
                if got == 0 or self._leaving:
                    return
                self._last = time.monotonic()
                have = self._read(view, have + got)

    def _read(self, view: memoryview, have: int) -> int:
        at = 0
        while (found := fastcgi.take(view, at, have)) is not None:
            part, at = found
            self._take(part)
        view[: have - at] = bytes(view[at:have])
        return have - at

    def _take(self, part: fastcgi.Record) -> None:
        if part.request == 0:
            self.outlet.send(fastcgi.management(part, self.server.values))
        elif part.kind == fastcgi.BEGIN_REQUEST:
            self._begin(part)
        elif part.kind == fastcgi.ABORT_REQUEST:
            self._abort(part.request)
        elif part.kind in (fastcgi.PARAMS, fastcgi.STDIN):
            incoming = self.reading.get(part.request)
            if incoming is not None and incoming.add(part):
                del self.reading[part.request]
                self._hand_over(incoming)
        else:
            raise fastcgi.Malformed(f"record type {part.kind}")

    def _begin(self, part: fastcgi.Record) -> None:
        role, keep = fastcgi.begin(part)
        with self._lock:
            taken = part.request in self._open
            count = len(self._open) + len(self.reading)
        if taken or part.request in self.reading:
            raise fastcgi.Malformed(f"request {part.request} began twice")
        if role != fastcgi.RESPONDER:
            self.outlet.send(fastcgi.end(part.request, fastcgi.UNKNOWN_ROLE))
        elif count >= MAX_OPEN:  # never handed over, so the promise that it never ran holds
            self.outlet.send(fastcgi.end(part.request, fastcgi.OVERLOADED))
        else:
            self.reading[part.request] = fastcgi.Incoming(part.request, keep)

    def _abort(self, number: int) -> None:
        if self.reading.pop(number, None) is None:
            with self._lock:
                exchange = self._open.get(number)
            if exchange is None or not exchange.withdraw():
                return  # answered already
            self._drop(number)
            if isinstance(exchange, Request):
                self.server.intake.gone(exchange)
        self.outlet.send(fastcgi.end(number))  # frees the number; as an answer it is owed nothing

    def _hand_over(self, incoming: fastcgi.Incoming) -> None:
        def deliver(answer: Answer) -> None:
            self._answer(incoming, answer)

        params = incoming.params
        path = params.get("SCRIPT_NAME", "")
        if path == HEALTH_PATH:
            deep = "1" in parse_qs(params.get("QUERY_STRING", "")).get("real", [])
            check = Check(deliver, deep)
            self._keep(incoming.id, check)
            self.server.intake.checked(check)
            return
        try:
            if not path.startswith(SERVICE_PATH):
                raise BadRequest(f"SCRIPT_NAME: {path!r}")
            request = Request(
                deliver, _hex(params, "HTTP_REQ_ID", ID_DIGITS), path[len(SERVICE_PATH):], incoming.body,
                arrived=clock.place(int(_number(params, "HTTP_REQ_TIME", 1e15))),
                caller=int(_number(params, "HTTP_REQ_FROM", 1e9)),
                memory=_number(params, "HTTP_REQ_KB", MAX_MEMORY_KB),
                token=_hex(params, "HTTP_REQ_TOKEN", TOKEN_DIGITS) if "HTTP_REQ_TOKEN" in params else None,
            )
        except BadRequest as error:
            log.say("server", str(error))
            exchange = Exchange(deliver)
            self._keep(incoming.id, exchange)
            exchange.finish(Answer(Verdict.FAILED))
            return
        self._keep(incoming.id, request)
        self.server.intake.arrived(request)

    def _keep(self, number: int, exchange: Exchange) -> None:
        with self._lock:
            self._open[number] = exchange

    def _drop(self, number: int) -> None:
        with self._lock:
            self._open.pop(number, None)
            self._last = time.monotonic()

    def _answer(self, incoming: fastcgi.Incoming, answer: Answer) -> None:
        # Dropped first: the balancer may use the number again as soon as it has read the end.
        self._drop(incoming.id)
        self.outlet.send(fastcgi.response(incoming.id, content(answer)))
        if self.server.retiring or not incoming.keep:
            self.close_if_idle(asked=not incoming.keep)

    def close_if_idle(self, asked: bool = False) -> None:
        """Leave a connection with no open request, if that is wanted or it has idled for too long."""
        with self._lock:
            idle, limit = time.monotonic() - self._last, self.server.idle_s
            wanted = asked or self.server.retiring or (limit > 0 and idle > limit)
            if not wanted or self._open or self.reading:
                return
            self._leaving = True
        self.outlet.end()  # the balancer closes its side, which ends the reader's wait

    def close(self) -> None:
        """The connection is over; nobody is left to answer."""
        # Closing with unread bytes resets the connection, and the balancer might lose answers that it has
        # not read yet. So it is told the end first, and has a moment to close its side.
        self.outlet.finish()
        with contextlib.suppress(OSError):
            set_wait(self.sock, socket.SO_RCVTIMEO, LAST_READ_S)
            while self.sock.recv(LAST_READ_BYTES):
                pass
        with self._lock:
            left, self._open = list(self._open.values()), {}
        for exchange in left:
            if exchange.withdraw() and isinstance(exchange, Request):
                self.server.intake.gone(exchange)
        self.sock.close()


class Server:
    """Listens for balancers."""

    def __init__(self, address: tuple[str, int], intake: Intake, most: int) -> None:
        self.intake = intake
        self.buffers = BufferPool()
        self.idle_s = 0.0  # close connections that carried nothing for so long; 0: leave it to the callers
        self.retiring = False
        self.values = {
            "FCGI_MAX_CONNS": str(most), "FCGI_MAX_REQS": str(most * MAX_OPEN), "FCGI_MPXS_CONNS": "1",
        }
        self._room = threading.BoundedSemaphore(most)
        self._connections: set[_Connection] = set()
        self._changed = threading.Condition()
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self.address: tuple[str, int] = self._socket.getsockname()

    def start(self) -> None:
        """Accept from now on."""
        threading.Thread(target=self._accept, name="listener", daemon=True).start()

    def retire(self, wait_s: float) -> None:
        """Take no more connections, and close each one that has no open request; wait until all are gone."""
        self.retiring = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        with self._changed:
            left = list(self._connections)
        for connection in left:
            connection.close_if_idle()
        with self._changed:
            self._changed.wait_for(lambda: not self._connections, wait_s)

    def _accept(self) -> None:
        while not self.retiring:
            # Counted before accepting: the descriptors that are left belong to the pool and to calls.
            self._room.acquire()
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                self._room.release()
                if not self.retiring:
                    log.say("server", f"accept: {error}")
                    time.sleep(IDLE_LOOK_S)
                continue
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)  # a vanished peer frees its place
                set_wait(sock, socket.SO_RCVTIMEO, IDLE_LOOK_S)
                connection = _Connection(self, sock)
            except OSError as error:  # reset before it was looked at: the listener lives on
                log.say("server", f"accepted: {error}")
                sock.close()
                self._room.release()
                continue
            with self._changed:
                self._connections.add(connection)
            try:
                threading.Thread(target=self._serve, args=(connection,), name="reader", daemon=True).start()
            except RuntimeError as error:  # no more threads: this connection ends, not the process
                log.say("server", str(error))
                self._leave(connection)

    def _serve(self, connection: _Connection) -> None:
        try:
            connection.serve()
        except fastcgi.Malformed as error:
            log.say("server", f"connection ended: {error}")
        finally:
            self._leave(connection)

    def _leave(self, connection: _Connection) -> None:
        connection.close()
        self._room.release()
        with self._changed:
            self._connections.discard(connection)
            self._changed.notify_all()
