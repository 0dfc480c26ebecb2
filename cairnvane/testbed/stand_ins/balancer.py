"""A stand-in balancer, which sends requests over a few FastCGI connections and reports the end of each."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from ...net import fastcgi
from .sockets import HOST, RECEIVE_BYTES, shut

# The protocol's limit on open requests per connection.
MAX_REQUESTS_PER_CONNECTION = 32
# A server may close an idle connection while a request is on its way. Within this time after the request was
# sent, the protocol has it resent on a new connection, once.
CLOSE_RACE_S = 0.05
CONNECT_TIMEOUT_S = 5
# Default memory of a queued request.
DEFAULT_MEMORY_KB = 8.0
# Status of a reply if the connection ended before a response.
DISCONNECTED = 0


@dataclass(slots=True)
class Reply:
    """The result of one attempt. `status` is `DISCONNECTED` if the connection ended before a response."""

    status: int
    body: bytes
    retry_after_ms: int
    duration_s: float


ReplyCallback = Callable[[Reply], None]


def _disconnected() -> Reply:
    return Reply(DISCONNECTED, b"", 0, 0.0)


@dataclass(slots=True)
class _PendingRequest:
    """A request that has not been answered."""

    then: ReplyCallback
    sent_at: float  # on the monotonic clock
    # Encodes its records for a request number; None if it must not be resent.
    records: Callable[[int], bytes] | None


class _Connection:
    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection((HOST, port), CONNECT_TIMEOUT_S)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock = threading.Lock()  # guards everything below, and writing to the socket
        self.free_numbers = list(range(1, MAX_REQUESTS_PER_CONNECTION + 1))
        self.pending: dict[int, _PendingRequest] = {}  # by request number
        self.broken = False

    def close_if_idle(self) -> None:
        """Shut the connection down if no request is pending on it."""
        with self.lock:
            if not self.pending and not self.broken:
                self.broken = True
                shut(self.sock)


def _encode(parameters: dict[str, str], body: bytes, number: int) -> bytes:
    """The records of a request with this number."""
    return b"".join(
        [
            fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0"),
            fastcgi.record(fastcgi.PARAMS, number, fastcgi.encode_pairs(parameters)),
            fastcgi.record(fastcgi.PARAMS, number, b""),
            fastcgi.record(fastcgi.STDIN, number, body),
            fastcgi.record(fastcgi.STDIN, number, b""),
        ]
    )


def _parameters(uid: str, lane: str, token: str | None, memory_kb: float) -> dict[str, str]:
    parameters = {
        "SCRIPT_NAME": f"/svc/{lane}",
        "REQUEST_METHOD": "POST",
        "HTTP_REQ_ID": uid,
        "HTTP_REQ_FROM": "1",
        "HTTP_REQ_TIME": str(time.time_ns() // 1_000_000),
        "HTTP_REQ_KB": f"{memory_kb:g}",
        "HTTP_REQ_RANK": "0.5",
    }
    if token is not None:
        parameters["HTTP_REQ_TOKEN"] = token
    return parameters


class StandInBalancer:
    """A client of one server process or, with `renew`, of all processes that listen on one address.

    A lost connection is replaced only with `renew`. Replies are passed to a callback in a reader's thread, or
    in the caller's thread if the connection has ended. Any thread may call its methods.
    """

    def __init__(
        self, port: int, links: int = 4, renew: bool = False, memory_kb: float = DEFAULT_MEMORY_KB
    ) -> None:
        """Open `links` connections; `OSError` if nothing listens on the port.

        `memory_kb` is the memory that each request declares for its time in the queue.
        """
        self._memory_kb = memory_kb
        self._port = port
        self._renew = renew
        self._connections = [_Connection(port) for _ in range(links)]
        self._capacity = threading.Semaphore(links * MAX_REQUESTS_PER_CONNECTION)
        self._next = 0
        for connection in self._connections:
            self._start_reader(connection)

    def _start_reader(self, connection: _Connection) -> None:
        threading.Thread(target=self._read, args=(connection,), name="balancer reader", daemon=True).start()

    def close_if_idle(self, at: int) -> None:
        """Close an idle connection, so that the next request on it opens a new one.

        The new connection may lead to another process.
        """
        self._connections[at % len(self._connections)].close_if_idle()

    def send(
        self,
        uid: str,
        lane: str,
        body: bytes,
        token: str | None,
        then: ReplyCallback,
        fresh: bool = False,
        wait: bool = True,
    ) -> Callable[[], None] | None:
        """Send a request once a connection has capacity; None if none has and `wait` is False.

        `fresh`: open a new connection for it. `token`: its idempotency key. The returned function aborts the
        request, after which `then` is not called.
        """
        if not self._capacity.acquire(blocking=wait):
            return None
        parameters = _parameters(uid, lane, token, self._memory_kb)

        def records(number: int) -> bytes:
            return _encode(parameters, body, number)

        request = _PendingRequest(then, time.monotonic(), records if self._renew else None)
        connection, number = self._assign(request, fresh)
        with connection.lock, contextlib.suppress(OSError):
            if not connection.broken:
                connection.sock.sendall(records(number))
                return lambda: self._abort(connection, number, then)
        self._finish(connection, number, _disconnected())
        return lambda: None

    def _abort(self, connection: _Connection, number: int, then: ReplyCallback) -> None:
        """Send the abort. The request number is reused once the server has ended the request."""
        with connection.lock, contextlib.suppress(OSError):
            if (request := connection.pending.get(number)) is not None and request.then is then:
                connection.pending[number] = _PendingRequest(lambda reply: None, 0.0, None)
                connection.sock.sendall(fastcgi.record(fastcgi.ABORT_REQUEST, number, b""))

    # --- choice of a connection

    def _assign(self, request: _PendingRequest, fresh: bool) -> tuple[_Connection, int]:
        """Choose a connection for a request, and its number on that connection."""
        if fresh:
            with contextlib.suppress(OSError):
                return self._assign_fresh(request)
        while True:
            for _ in self._connections:
                self._next = (self._next + 1) % len(self._connections)
                connection = self._connections[self._next]
                if connection.broken and self._renew:
                    connection = self._reconnect(connection)
                    self._connections[self._next] = connection
                with connection.lock:
                    if connection.free_numbers:
                        number = connection.free_numbers.pop()
                        connection.pending[number] = request
                        return connection, number

    def _assign_fresh(self, request: _PendingRequest) -> tuple[_Connection, int]:
        """Open a connection that replaces another one, which is closed if it is idle."""
        connection = _Connection(self._port)
        number = connection.free_numbers.pop()
        connection.pending[number] = request
        self._start_reader(connection)
        self._connections[self._next].close_if_idle()
        self._connections[self._next] = connection
        return connection, number

    def _reconnect(self, connection: _Connection) -> _Connection:
        """Open a connection that replaces an ended one; the ended one itself if connecting fails."""
        try:
            replacement = _Connection(self._port)
        except OSError:
            return connection
        self._start_reader(replacement)
        return replacement

    # --- replies

    def _read(self, connection: _Connection) -> None:
        buffered = b""
        output: dict[int, bytearray] = {}  # by request number
        with contextlib.suppress(OSError):
            while received := connection.sock.recv(RECEIVE_BYTES):
                buffered += received
                offset = 0
                while (found := fastcgi.read_record(memoryview(buffered), offset, len(buffered))) is not None:
                    part, offset = found
                    if part.kind == fastcgi.STDOUT:
                        output.setdefault(part.request, bytearray()).extend(part.content)
                    elif part.kind == fastcgi.END_REQUEST:
                        self._complete(connection, part.request, bytes(output.pop(part.request, b"")))
                buffered = buffered[offset:]
        with connection.lock:
            connection.broken = True
            unanswered = list(connection.pending)
        for number in unanswered:
            self._finish(connection, number, _disconnected())

    def _complete(self, connection: _Connection, number: int, content: bytes) -> None:
        head, _, body = content.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        status = int(fields.get("Status", "500").split(" ")[0])
        retry_after_ms = int(fields.get("Srv-Wait-Ms", "0"))
        self._finish(connection, number, Reply(status, body, retry_after_ms, 0.0))

    def _resend_after_close(self, request: _PendingRequest) -> bool:
        """Resend a request whose connection the server closed while the request was on its way.

        False if it was sent too long ago, has been resent before, or nothing listens.
        """
        if request.records is None or time.monotonic() - request.sent_at > CLOSE_RACE_S:
            return False
        with contextlib.suppress(OSError):
            connection = _Connection(self._port)
            number = connection.free_numbers.pop()
            connection.pending[number] = _PendingRequest(request.then, request.sent_at, None)
            connection.sock.sendall(request.records(number))
            self._start_reader(connection)
            return True
        return False

    def _finish(self, connection: _Connection, number: int, reply: Reply) -> None:
        with connection.lock:
            request = connection.pending.pop(number, None)
            if request is None:
                return
            connection.free_numbers.append(number)
        if reply.status == DISCONNECTED and self._resend_after_close(request):
            return
        self._capacity.release()
        reply.duration_s = time.monotonic() - request.sent_at
        request.then(reply)

    def close(self) -> None:
        """Shut all connections down."""
        for connection in self._connections:
            shut(connection.sock)
