"""The door's sockets: HTTP/1.1, one call per connection, each answered within a second whatever the load.

One thread for all callers. A caller that says nothing, or half a call, costs a descriptor for `CALL_WAIT_S`
at the most, and goes earlier if its place is wanted (`waiting`). A whole call is answered where it is read:
no answer waits for anything, and each fits into the buffer of a socket that has sent nothing so far.
"""

from __future__ import annotations

import contextlib
import logging
import selectors
import socket
import threading
import time
from dataclasses import dataclass, field

from .connection_slots import CALL_WAIT_S, ConnectionSlots, Phase
from .endpoints import REASONS, Endpoints, Reply
from .http_request import BadCall, Head
from .readiness import Readiness

logger = logging.getLogger(__name__)

# The kernel's queue: staff's calls stand in it behind silent callers that came back, and beyond it the
# kernel drops a connection for a second. It holds no descriptor of ours.
BACKLOG = 1_024
# Callers that have a place; each holds a descriptor of those kept for the process's own use.
MOST_CALLERS, LEAST_CALLERS = 128, 8
# After a failed `accept` (no descriptors, say) the next try waits so long.
ACCEPT_RETRY_S = 0.1
# A caller is closed up to so long after its time, so that a crowd of them is looked over in one go.
LOOK_S = 0.05
_CHUNK = 4_096


def places(own_sockets: int) -> int:
    """How many callers may wait, of so many descriptors that are no balancer's: half, since the links and
    each call of the vault need theirs."""
    return max(LEAST_CALLERS, min(MOST_CALLERS, own_sockets // 2))


@dataclass(slots=True, eq=False)
class _Caller:
    sock: socket.socket
    head: Head = field(default_factory=Head)
    answered: bool = False


class AdministrationServer:
    """Listens at the operators' address."""

    def __init__(
        self,
        address: tuple[str, int],
        calls: Endpoints,
        duty: Readiness,
        most: int = MOST_CALLERS,
        call_wait_s: float = CALL_WAIT_S,
    ) -> None:
        """Bind at once: `OSError` if the address can't be had. `most` callers may wait at a time, each of
        them `call_wait_s` for its call to be whole."""
        self._calls, self._duty = calls, duty
        self._waiting: ConnectionSlots[_Caller] = ConnectionSlots(most, call_wait_s)
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._selector = selectors.PollSelector()
        self._listening = False
        self._closed = False
        self._resume_at = 0.0  # no newcomer before this

    def start(self) -> None:
        """Answer from now on."""
        threading.Thread(target=self._run, name="door", daemon=True).start()

    def leave(self) -> None:
        """The notice to leave: not ready from now on, and health checks are bad. The door stays open to the
        end, for the figures."""
        self._duty.leave()

    def close(self) -> None:
        """Take no more calls; who waits is closed within the next look."""
        self._closed = True

    # --- the thread

    def _run(self) -> None:
        while not self._closed:
            now = time.monotonic()
            self._listen(now >= self._resume_at)
            for key, _ in self._selector.select(self._wait_s(now)):
                if key.data is None:
                    self._accept()
                else:
                    self._guarded(key.data)
            now = time.monotonic()
            for caller, phase in self._waiting.over(now):
                self._time_over(caller, phase)
        for key in list(self._selector.get_map().values()):
            if isinstance(key.data, _Caller):
                self._end(key.data)
        self._listen(False)
        self._socket.close()

    def _wait_s(self, now: float) -> float:
        """Until the next caller's time is over or newcomers may come again; a close is seen as late."""
        ends = [self._waiting.next_end()] if len(self._waiting) else []
        if not self._listening:
            ends.append(self._resume_at)
        return min([1.0, *(max(LOOK_S, end - now) for end in ends if end is not None)])

    def _listen(self, on: bool) -> None:
        if on is self._listening:
            return
        if on:
            self._selector.register(self._socket, selectors.EVENT_READ, None)
        else:
            self._selector.unregister(self._socket)
        self._listening = on

    def _accept(self) -> None:
        """Take in whoever has come, as many as the pace lets; each is read at once, since most have spoken
        by now."""
        while True:
            now = time.monotonic()
            if pause := self._waiting.pause(now):
                self._resume_at = now + pause
                return
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("accept: %s", error)
                self._resume_at = now + ACCEPT_RETRY_S
                if (first := self._waiting.first_to_go(now)) is not None:
                    self._end(first)  # its descriptor may be what is wanted
                return
            caller = _Caller(sock)
            try:
                sock.setblocking(False)
                self._selector.register(sock, selectors.EVENT_READ, caller)
            except OSError as error:  # reset by now
                logger.warning("accepted: %s", error)
                sock.close()
                continue
            if (gone := self._waiting.enter(caller, now)) is not None:
                self._end(gone)
            self._guarded(caller)

    def _guarded(self, caller: _Caller) -> None:
        """One caller's trouble must not take the door down."""
        if caller.sock.fileno() < 0:
            return  # it went in this same round, for a newcomer
        try:
            self._read(caller)
        except Exception as error:
            logger.warning("call: %s %s", type(error).__name__, error)
            self._end(caller)

    def _read(self, caller: _Caller) -> None:
        try:
            data = caller.sock.recv(_CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            return self._end(caller)
        if caller.answered:
            return  # said behind its call: read away, so that the close does not reset the answer
        try:
            call = caller.head.feed(data)
        except BadCall as error:
            return self._reply(caller, Reply(error.status, b'{"error":"%s"}' % str(error).encode()))
        if call is None:
            return self._waiting.said(caller)
        self._reply(caller, self._calls.answer(call.method, call.target))

    def _time_over(self, caller: _Caller, phase: Phase) -> None:
        if phase is Phase.HALF:
            self._send(caller, Reply(408, b'{"error":"the call did not come whole in time"}'))
        self._end(caller)

    def _reply(self, caller: _Caller, reply: Reply) -> None:
        """Its answer, and the end of ours; the connection goes once the caller has closed its own, or has had
        the time for it."""
        caller.answered = True
        if self._send(caller, reply):
            self._waiting.answered(caller, time.monotonic())
        else:
            self._end(caller)

    def _send(self, caller: _Caller, reply: Reply) -> bool:
        data = as_bytes(reply)
        with contextlib.suppress(OSError):
            if caller.sock.send(data) == len(data):
                caller.sock.shutdown(socket.SHUT_WR)
                return True
        return False

    def _end(self, caller: _Caller) -> None:
        self._waiting.leave(caller)
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(caller.sock)
        caller.sock.close()


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
