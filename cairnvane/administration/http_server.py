"""The HTTP/1.1 server of the administration endpoint, with one request per connection.

Each request is answered within a second under any load. One thread serves all connections. A client that
sends nothing, or only part of a request, holds a descriptor for at most `REQUEST_TIMEOUT_S`, and is evicted
earlier if its slot is needed (`connection_slots`). A complete request is answered as soon as it is read: no
response has to wait, and each fits into the empty send buffer of its socket.
"""

from __future__ import annotations

import contextlib
import logging
import selectors
import socket
import threading
import time
from dataclasses import dataclass, field

from .connection_slots import REQUEST_TIMEOUT_S, ConnectionSlots, Phase
from .endpoints import REASONS, REQUEST_TIMEOUT, Endpoints, Reply
from .http_request import InvalidHttpRequestError, RequestParser
from .readiness import Readiness

logger = logging.getLogger(__name__)

# The kernel's accept queue. Operators' connections wait in it behind reconnecting silent clients; when it is
# full, the kernel drops a connection attempt, which delays it by a second. It uses no descriptor of the
# process.
BACKLOG = 1_024
# Limits for the number of open connections, which use descriptors that are reserved for the process itself.
MAX_CONNECTIONS, MIN_CONNECTIONS = 128, 8
# The delay after a failed `accept`, for example when no descriptor is free.
ACCEPT_RETRY_S = 0.1
# Expired connections are closed up to this time late, so that many are closed in one pass.
MIN_EXPIRY_WAIT_S = 0.05
# The maximum wait in the event loop, within which it notices a close of the server.
MAX_WAIT_S = 1.0
_CHUNK_BYTES = 4_096


def connection_limit(reserved_descriptors: int) -> int:
    """The maximum number of connections, given the descriptors that are not for balancers.

    Half of these, since the links and each call of the vault need descriptors too.
    """
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, reserved_descriptors // 2))


@dataclass(slots=True, eq=False)
class _Client:
    sock: socket.socket
    parser: RequestParser = field(default_factory=RequestParser)
    is_answered: bool = False


class AdministrationServer:
    """Serves the administration endpoint at its configured address."""

    def __init__(
        self,
        address: tuple[str, int],
        endpoints: Endpoints,
        readiness: Readiness,
        max_connections: int = MAX_CONNECTIONS,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        """Bind the address; raises `OSError` if that fails.

        At most `max_connections` are open at a time. Each has `request_timeout_s` to send a complete request.
        """
        self._endpoints = endpoints
        self._readiness = readiness
        self._slots: ConnectionSlots[_Client] = ConnectionSlots(max_connections, request_timeout_s)
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._selector = selectors.PollSelector()
        self._is_accepting = False
        self._is_closed = False
        self._accept_again_at = 0.0  # no new connection before this

    def start(self) -> None:
        """Start the thread that serves the connections."""
        threading.Thread(target=self._serve, name="administration server", daemon=True).start()

    def shut_down(self) -> None:
        """Mark the process as shutting down: it is no longer ready, and health checks fail.

        The administration endpoint stays open until the process exits, for the metrics.
        """
        self._readiness.shut_down()

    def close(self) -> None:
        """Accept no more connections; open ones are closed within `MAX_WAIT_S`."""
        self._is_closed = True

    # --- the thread

    def _serve(self) -> None:
        """Run the event loop until the server is closed."""
        while not self._is_closed:
            now = time.monotonic()
            self._set_accepting(now >= self._accept_again_at)
            for key, _ in self._selector.select(self._wait_s(now)):
                if key.data is None:
                    self._accept()
                else:
                    self._read_guarded(key.data)
            for expired in self._slots.expire(time.monotonic()):
                self._time_out(expired.key, expired.phase)
        for key in list(self._selector.get_map().values()):
            if isinstance(key.data, _Client):
                self._close_client(key.data)
        self._set_accepting(False)
        self._socket.close()

    def _wait_s(self, now: float) -> float:
        """The time until the next connection expires or accepting may resume; at most `MAX_WAIT_S`."""
        deadlines = [self._slots.next_deadline()] if len(self._slots) else []
        if not self._is_accepting:
            deadlines.append(self._accept_again_at)
        waits = [max(MIN_EXPIRY_WAIT_S, deadline - now) for deadline in deadlines if deadline is not None]
        return min([MAX_WAIT_S, *waits])

    def _set_accepting(self, is_accepting: bool) -> None:
        if is_accepting is self._is_accepting:
            return
        if is_accepting:
            self._selector.register(self._socket, selectors.EVENT_READ, None)
        else:
            self._selector.unregister(self._socket)
        self._is_accepting = is_accepting

    # --- new connections

    def _accept(self) -> None:
        """Accept as many connections as the rate limit allows.

        Each is read at once, since most clients have already sent their request.
        """
        while True:
            now = time.monotonic()
            delay_s = self._slots.accept_delay(now)
            if delay_s:
                self._accept_again_at = now + delay_s
                return
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._accept_failed(error, now)
                return
            self._add_client(sock, now)

    def _accept_failed(self, error: OSError, now: float) -> None:
        logger.warning("accept failed: %s", error)
        self._accept_again_at = now + ACCEPT_RETRY_S
        candidate = self._slots.eviction_candidate(now)
        if candidate is not None:
            self._close_client(candidate)  # frees a descriptor, in case none was left

    def _add_client(self, sock: socket.socket, now: float) -> None:
        client = _Client(sock)
        try:
            sock.setblocking(False)
            self._selector.register(sock, selectors.EVENT_READ, client)
        except OSError as error:  # already reset
            logger.warning("accepted connection closed: %s", error)
            sock.close()
            return
        evicted = self._slots.add(client, now)
        if evicted is not None:
            self._close_client(evicted)
        self._read_guarded(client)

    # --- requests and answers

    def _read_guarded(self, client: _Client) -> None:
        """Read from a client, and log any error: no client may stop the server."""
        if client.sock.fileno() < 0:
            return  # evicted earlier in this pass
        try:
            self._read(client)
        except Exception as error:
            logger.warning("administration request failed: %s %s", type(error).__name__, error)
            self._close_client(client)

    def _read(self, client: _Client) -> None:
        try:
            data = client.sock.recv(_CHUNK_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._close_client(client)
        elif not client.is_answered:
            self._feed(client, data)
        # Data after the request is read and discarded: unread data would reset the connection on close.

    def _feed(self, client: _Client, data: bytes) -> None:
        try:
            request = client.parser.feed(data)
        except InvalidHttpRequestError as error:
            self._answer(client, Reply(error.status, b'{"error":"%s"}' % str(error).encode()))
            return
        if request is None:
            self._slots.request_started(client)
        else:
            self._answer(client, self._endpoints.answer(request.method, request.target))

    def _time_out(self, client: _Client, phase: Phase) -> None:
        if phase is Phase.PARTIAL:
            self._send(client, Reply(REQUEST_TIMEOUT, b'{"error":"the call did not come whole in time"}'))
        self._close_client(client)

    def _answer(self, client: _Client, reply: Reply) -> None:
        """Send the response and shut down the sending side of the connection.

        The connection is closed once the client has closed its side, or its time to read has expired.
        """
        client.is_answered = True
        if self._send(client, reply):
            self._slots.answered(client, time.monotonic())
        else:
            self._close_client(client)

    def _send(self, client: _Client, reply: Reply) -> bool:
        data = as_bytes(reply)
        with contextlib.suppress(OSError):
            if client.sock.send(data) == len(data):
                client.sock.shutdown(socket.SHUT_WR)
                return True
        return False

    def _close_client(self, client: _Client) -> None:
        self._slots.remove(client)
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(client.sock)
        client.sock.close()


def as_bytes(reply: Reply) -> bytes:
    """Encode a response as HTTP/1.1."""
    head = [
        f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, '')}",
        f"Content-Type: {reply.kind}",
        f"Content-Length: {len(reply.body)}",
        "Connection: close",
    ]
    if reply.allow:
        head.append(f"Allow: {reply.allow}")
    return ("\r\n".join([*head, "", ""])).encode("latin-1") + reply.body
