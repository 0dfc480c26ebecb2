"""The sockets of the administration endpoint: HTTP/1.1, one request per connection.

Each is answered within a second whatever the load. One thread serves all connections. A client that sends
nothing, or half a request, costs a descriptor for `REQUEST_TIMEOUT_S` at the most, and is evicted earlier if
its slot is wanted (`connection_slots`). A whole request is answered where it is read: no answer waits for
anything, and each fits into the buffer of a socket that has sent nothing so far.
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

# The kernel's queue: operators' connections stand in it behind silent clients that came back, and beyond it
# the kernel drops a connection for a second. It holds no descriptor of ours.
BACKLOG = 1_024
# Connections that have a slot; each holds a descriptor of those kept for the process's own use.
MAX_CONNECTIONS, MIN_CONNECTIONS = 128, 8
# After a failed `accept` (no descriptors, say) the next attempt waits so long.
ACCEPT_RETRY_S = 0.1
# A connection is closed up to so long after its time, so that many of them are closed in one go.
MIN_EXPIRY_WAIT_S = 0.05
# A close of the server is seen within this time.
MAX_WAIT_S = 1.0
_CHUNK_BYTES = 4_096


def connection_limit(own_sockets: int) -> int:
    """How many connections may wait, of so many descriptors that are no balancer's.

    Half, since the links and each call of the vault need theirs.
    """
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, own_sockets // 2))


@dataclass(slots=True, eq=False)
class _Client:
    sock: socket.socket
    parser: RequestParser = field(default_factory=RequestParser)
    is_answered: bool = False


class AdministrationServer:
    """Listens at the operators' address."""

    def __init__(
        self,
        address: tuple[str, int],
        calls: Endpoints,
        duty: Readiness,
        most: int = MAX_CONNECTIONS,
        call_wait_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        """Bind at once: `OSError` if the address can't be had.

        `most` connections may wait at a time, each of them `call_wait_s` for its request to be whole.
        """
        self._endpoints = calls
        self._readiness = duty
        self._slots: ConnectionSlots[_Client] = ConnectionSlots(most, call_wait_s)
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._selector = selectors.PollSelector()
        self._is_accepting = False
        self._is_closed = False
        self._accept_again_at = 0.0  # no new connection before this

    def start(self) -> None:
        """Answer from now on."""
        threading.Thread(target=self._serve, name="administration server", daemon=True).start()

    def shut_down(self) -> None:
        """Shut down: not ready from now on, and health checks fail.

        The administration endpoint stays open to the end, for the metrics.
        """
        self._readiness.shut_down()

    def close(self) -> None:
        """Accept no more connections; open ones are closed within `MAX_WAIT_S`."""
        self._is_closed = True

    # --- the thread

    def _serve(self) -> None:
        """The server's thread."""
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
        """Until the next connection's time is over or new ones may come again, `MAX_WAIT_S` at the most."""
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
        """Accept as many connections as the rate limit lets.

        Each is read at once, since most have sent their request by now.
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
            self._close_client(candidate)  # its descriptor may be what is wanted

    def _add_client(self, sock: socket.socket, now: float) -> None:
        client = _Client(sock)
        try:
            sock.setblocking(False)
            self._selector.register(sock, selectors.EVENT_READ, client)
        except OSError as error:  # reset by now
            logger.warning("accepted connection closed: %s", error)
            sock.close()
            return
        evicted = self._slots.add(client, now)
        if evicted is not None:
            self._close_client(evicted)
        self._read_guarded(client)

    # --- requests and answers

    def _read_guarded(self, client: _Client) -> None:
        """Read from a client whose faults must not take the server down."""
        if client.sock.fileno() < 0:
            return  # it was evicted in this same round
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
        # What comes behind a request is only read away, so that the close does not reset the answer.

    def _feed(self, client: _Client, data: bytes) -> None:
        try:
            request = client.parser.feed(data)
        except InvalidHttpRequestError as error:
            self._answer(client, Reply(error.status, b'{"error":"%s"}' % str(error).encode()))
            return
        if request is None:
            self._slots.request_begun(client)
        else:
            self._answer(client, self._endpoints.answer(request.method, request.target))

    def _time_out(self, client: _Client, phase: Phase) -> None:
        if phase is Phase.PARTIAL:
            self._send(client, Reply(REQUEST_TIMEOUT, b'{"error":"the call did not come whole in time"}'))
        self._close_client(client)

    def _answer(self, client: _Client, reply: Reply) -> None:
        """Send the answer and close our side.

        The connection is closed once the client has closed its own side, or has had the time for it.
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
    """The answer on the wire."""
    head = [
        f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, '')}",
        f"Content-Type: {reply.kind}",
        f"Content-Length: {len(reply.body)}",
        "Connection: close",
    ]
    if reply.allow:
        head.append(f"Allow: {reply.allow}")
    return ("\r\n".join([*head, "", ""])).encode("latin-1") + reply.body
