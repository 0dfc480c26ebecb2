"""Calls to the vault: one call a connection, given up by closing it."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue

from ..contract.events import Outcome
from . import http

logger = logging.getLogger(__name__)

PATH = "/v2/read"
# Threads that wait for their next call; as many as calls go out at once on a usual day.
IDLE_THREADS = 16

# How a call ended, the reply's body, and how long it took in microseconds.
Ended = Callable[[Outcome, bytes, int], None]


def outcome(reply: http.Reply) -> Outcome:
    """What a reply proves. Only `X-Refused-Unseen` proves that the call never ran."""
    if reply.status == 200:
        return Outcome.OK
    if reply.headers.get("x-refused-unseen") == "1":
        return Outcome.NEVER_STARTED if reply.status == 409 else Outcome.REJECTED
    return Outcome.TIMEOUT if reply.status == 504 else Outcome.ERROR


class _Threads:
    """Threads for calls, used again: hundreds of calls a second would each pay for a new one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle = 0  # threads that wait, less the tasks that wait for them
        self._tasks: SimpleQueue[Callable[[], None]] = SimpleQueue()

    def run(self, task: Callable[[], None]) -> None:
        """Run it now, in a thread that has nothing else to do; `RuntimeError` if there can be none."""
        with self._lock:
            waits = self._idle > 0
            self._idle -= waits
        if waits:
            self._tasks.put(task)
        else:
            threading.Thread(target=self._serve, args=(task,), name="call", daemon=True).start()

    def _serve(self, task: Callable[[], None]) -> None:
        while True:
            task()
            with self._lock:
                if self._idle >= IDLE_THREADS:
                    return
                self._idle += 1
            task = self._tasks.get()


_threads = _Threads()


class VaultCall:
    """One call on its way, in a thread that it has for itself."""

    def __init__(
        self,
        address: tuple[str, int],
        uid: str,
        body: bytes,
        timeout_us: int,
        ended: Ended,
    ) -> None:
        self._address, self._uid, self._body = address, uid, body
        self._timeout_us = timeout_us
        self._ended = ended
        self._lock = threading.Lock()
        self._sock: socket.socket | None = None
        self._given_up = False
        try:
            _threads.run(self._make)
        except RuntimeError as error:  # no more threads: the call fails, not who asked for it
            logger.error("%s", error)
            ended(Outcome.UNREACHED, b"", 0)

    def give_up(self) -> None:
        """Close it. Its end is not reported any more."""
        with self._lock:
            self._given_up = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes the thread, which closes it

    def _make(self) -> None:
        start = time.monotonic()
        try:
            how, body = self._ask(start + self._timeout_us / 1e6)
        except Exception as error:  # a call that never ends would hold its request to the last
            logger.warning("%s: %s %s", self._uid, type(error).__name__, error)
            how, body = Outcome.BROKEN, b""
        took = int((time.monotonic() - start) * 1e6)
        if not self._given_up:
            self._ended(how, body, took)

    def _ask(self, deadline: float) -> tuple[Outcome, bytes]:
        # Not `create_connection`, which looks addresses up; the configuration has them in figures.
        with socket.socket(socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET) as sock:
            try:
                sock.settimeout(max(0.001, deadline - time.monotonic()))
                sock.connect(self._address)
            except OSError:
                return Outcome.UNREACHED, b""  # no connection, so nothing was said on one
            with self._lock:
                if self._given_up:
                    return Outcome.UNREACHED, b""
                self._sock = sock
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                left = deadline - time.monotonic()
                if left <= 0:
                    return Outcome.UNREACHED, b""
                sock.settimeout(left)
                headers = {"X-Ticket": self._uid, "X-Max-Ms": str(max(1, int(left * 1e3)))}
                sock.sendall(http.request("POST", PATH, self._address, headers, self._body))
                reply = http.read_reply(sock, deadline)
            except TimeoutError:
                return Outcome.TIMEOUT, b""
            except (OSError, http.InvalidReplyError) as error:
                # A connection that breaks during a call proves nothing, nor does a reply that can't be read:
                # the call may have run.
                if not self._given_up:
                    logger.warning("%s: %s %s", self._uid, type(error).__name__, error)
                return Outcome.BROKEN, b""
            finally:
                with self._lock:
                    self._sock = None
        return outcome(reply), reply.body
