"""The door's sockets: HTTP/1.1, one call per connection, each answered within a second whatever the load.

A thread for each connection, on a blocking socket with a time limit for each wait: a caller that says
nothing, or half a call, holds only its own thread, and only until `CALL_WAIT_S`.
"""

from __future__ import annotations

import contextlib
import re
import socket
import threading
import time

from .. import log
from ..net.accepting import accept
from .calls import REASONS, Calls, Reply
from .duty import Duty

# An answer is due within 1 s of the call; what has not come whole by then never will in time.
CALL_WAIT_S = 1.0
# A call of the door is a line and a few headers; a body is read and put aside.
MAX_HEAD, MAX_BODY = 8_192, 65_536
# Callers at a time. Each holds a descriptor, taken from those kept for the process's own use; more are told
# no at once rather than left waiting.
MOST_CALLS = 16
BACKLOG = 64
# An answer has so long to leave before the connection is closed.
WRITE_WAIT_S = 0.5
_CHUNK = 4_096
_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (\S{1,2048}) HTTP/1\.[01]")
_LENGTH = re.compile(rb"[0-9]{1,10}")


class BadCall(Exception):
    """What came is no HTTP/1.1 call, or not a whole one in time."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Door:
    """Listens at the operators' address."""

    def __init__(
        self, address: tuple[str, int], calls: Calls, duty: Duty, call_wait_s: float = CALL_WAIT_S,
    ) -> None:
        """Bind at once: `OSError` if the address can't be had. A caller has `call_wait_s` to say its call."""
        self._calls, self._duty, self._call_wait_s = calls, duty, call_wait_s
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._busy = threading.BoundedSemaphore(MOST_CALLS)
        self._closed = False

    def start(self) -> None:
        """Accept from now on."""
        threading.Thread(target=self._accept, name="door", daemon=True).start()

    def leave(self) -> None:
        """The notice to leave: not ready from now on, and health checks are bad. The door stays open to the
        end, for the figures."""
        self._duty.leave()

    def close(self) -> None:
        """Take no more calls."""
        self._closed = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _accept(self) -> None:
        accept(self._socket, lambda: self._closed, self._take, "door")

    def _take(self, sock: socket.socket) -> None:
        if not self._busy.acquire(blocking=False):
            _reply(sock, Reply(503, b'{"error":"too many callers at once"}'))
            return
        try:
            threading.Thread(target=self._serve, args=(sock,), name="door-call", daemon=True).start()
        except RuntimeError:
            self._busy.release()
            raise

    def _serve(self, sock: socket.socket) -> None:
        try:
            try:
                method, target = read_call(sock, time.monotonic() + self._call_wait_s)
            except BadCall as error:
                if error.status:
                    _reply(sock, Reply(error.status, b'{"error":"%s"}' % str(error).encode()))
                else:
                    sock.close()
                return
            _reply(sock, self._calls.answer(method, target))
        except Exception as error:  # one caller's trouble must not take the door down
            log.say("door", f"call: {type(error).__name__} {error}")
            sock.close()
        finally:
            self._busy.release()


def read_call(sock: socket.socket, deadline: float) -> tuple[str, str]:
    """The method and target of one call, its body read and put aside; `BadCall` with the status to answer,
    0 where the caller left or said nothing in time."""
    data = b""
    while (end := data.find(b"\r\n\r\n")) < 0:
        if len(data) > MAX_HEAD:
            raise BadCall(431 if data else 400, "the head is too long")
        data += _recv(sock, deadline, bool(data))
    head, rest = data[:end], data[end + 4:]
    first, *lines = head.split(b"\r\n")
    if (call := _REQUEST_LINE.fullmatch(first)) is None:
        raise BadCall(400, "no request line")
    length = 0
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise BadCall(400, "a header line without a colon")
        name, value = name.strip().lower(), value.strip()
        if name == b"transfer-encoding":
            raise BadCall(400, "a transfer encoding, which the door does not speak")
        if name == b"content-length":
            if _LENGTH.fullmatch(value) is None or int(value) > MAX_BODY:
                raise BadCall(400, "a content length that can't be")
            length = int(value)
    while len(rest) < length:
        rest += _recv(sock, deadline, True)
    return call[1].decode(), call[2].decode("latin-1")


def _recv(sock: socket.socket, deadline: float, begun: bool) -> bytes:
    left = deadline - time.monotonic()
    if left <= 0:
        raise BadCall(408 if begun else 0, "the call did not come whole in time")
    sock.settimeout(left)
    try:
        got = sock.recv(_CHUNK)
    except TimeoutError:
        raise BadCall(408 if begun else 0, "the call did not come whole in time") from None
    except OSError:
        raise BadCall(0, "the caller left") from None
    if not got:
        raise BadCall(0, "the caller left")
    return got


def _reply(sock: socket.socket, reply: Reply) -> None:
    """Write the answer, and close."""
    reason = REASONS.get(reply.status, "")
    head = [f"HTTP/1.1 {reply.status} {reason}", "Content-Type: application/json",
            f"Content-Length: {len(reply.body)}", "Connection: close"]
    if reply.allow:
        head.append(f"Allow: {reply.allow}")
    data = ("\r\n".join([*head, "", ""])).encode("latin-1") + reply.body
    try:
        sock.settimeout(WRITE_WAIT_S)
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass
    finally:
        sock.close()
