"""Calls to the vault: one call a connection, cancelled by closing it."""

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
MAX_IDLE_THREADS = 16
# A call whose deadline has passed still gets this attempt to connect: a timeout of 0 would mean "don't wait".
MIN_CONNECT_TIMEOUT_S = 0.001

# Called with how a call ended, the reply's body, and how long it took in microseconds.
Ended = Callable[[Outcome, bytes, int], None]


def classify_reply(reply: http.Reply) -> Outcome:
    """What a reply proves. Only `X-Refused-Unseen` proves that the call never ran."""
    if reply.status == 200:
        return Outcome.OK
    if reply.headers.get("x-refused-unseen") == "1":
        return Outcome.NEVER_STARTED if reply.status == 409 else Outcome.REJECTED
    return Outcome.TIMEOUT if reply.status == 504 else Outcome.ERROR


class _ThreadPool:
    """Threads for calls, used again: hundreds of calls a second would each pay for a new one."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards the number of idle threads
        self._idle_threads = 0  # threads that wait, less the tasks that wait for them
        self._tasks: SimpleQueue[Callable[[], None]] = SimpleQueue()

    def run(self, task: Callable[[], None]) -> None:
        """Run it now, in a thread that has nothing else to do; `RuntimeError` if there can be none."""
        with self._lock:
            has_idle_thread = self._idle_threads > 0
            if has_idle_thread:
                self._idle_threads -= 1
        if has_idle_thread:
            self._tasks.put(task)
        else:
            threading.Thread(target=self._run_tasks, args=(task,), name="vault call", daemon=True).start()

    def _run_tasks(self, task: Callable[[], None]) -> None:
        """A thread: the first task, and then others until enough threads are idle."""
        while True:
            task()
            with self._lock:
                if self._idle_threads >= MAX_IDLE_THREADS:
                    return
                self._idle_threads += 1
            task = self._tasks.get()


_threads = _ThreadPool()


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
        """Start the call. `ended` is called once, from the call's thread, unless it is given up."""
        self._address = address
        self._uid = uid
        self._body = body
        self._timeout_us = timeout_us
        self._on_ended = ended
        self._lock = threading.Lock()  # guards the cancellation against a connection that is being opened
        self._sock: socket.socket | None = None
        self._is_cancelled = False
        try:
            _threads.run(self._run)
        except RuntimeError as error:  # no more threads: the call fails, not who asked for it
            logger.error("vault call not started: %s", error)
            ended(Outcome.UNREACHED, b"", 0)

    def cancel(self) -> None:
        """Cancel the call by closing its connection. Its end is not reported any more."""
        with self._lock:
            self._is_cancelled = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes the thread, which closes it

    def _run(self) -> None:
        """The call's thread."""
        start = time.monotonic()
        try:
            result, body = self._call(start + self._timeout_us / 1e6)
        except Exception as error:  # a call that never ends would hold its request to the last
            self._log_failure(error)
            result = Outcome.BROKEN
            body = b""
        took_us = int((time.monotonic() - start) * 1e6)
        if not self._is_cancelled:
            self._on_ended(result, body, took_us)

    def _call(self, deadline: float) -> tuple[Outcome, bytes]:
        # Not `create_connection`, which looks addresses up; the configuration has them as numbers.
        with socket.socket(socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET) as sock:
            try:
                sock.settimeout(max(MIN_CONNECT_TIMEOUT_S, deadline - time.monotonic()))
                sock.connect(self._address)
            except OSError:
                return Outcome.UNREACHED, b""  # no connection, so nothing was sent on one
            with self._lock:
                if self._is_cancelled:
                    return Outcome.UNREACHED, b""
                self._sock = sock
            try:
                reply = self._exchange(sock, deadline)
            except TimeoutError:
                return Outcome.TIMEOUT, b""
            except (OSError, http.InvalidReplyError) as error:
                # A connection that breaks during a call proves nothing, nor does a reply that can't be read:
                # the call may have run.
                if not self._is_cancelled:
                    self._log_failure(error)
                return Outcome.BROKEN, b""
            finally:
                with self._lock:
                    self._sock = None
        if reply is None:
            return Outcome.UNREACHED, b""
        return classify_reply(reply), reply.body

    def _exchange(self, sock: socket.socket, deadline: float) -> http.Reply | None:
        """Send the request on a new connection, and read its reply; None if it is too late to send it."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            return None
        sock.settimeout(remaining_s)
        headers = {"X-Ticket": self._uid, "X-Max-Ms": str(max(1, int(remaining_s * 1e3)))}
        sock.sendall(http.request("POST", PATH, self._address, headers, self._body))
        return http.read_reply(sock, deadline)

    def _log_failure(self, error: Exception) -> None:
        logger.warning("vault call failed: %s: %s %s", self._uid, type(error).__name__, error)
