"""Calls to the vault: one call per connection, which is closed to cancel the call.

A call that has timed out may still be in progress at the vault, and may not even have been read there. If the
next call of the same request reached the vault meanwhile, the vault could take either one for the other, or
give up the later one. So a timed-out call ends only when the vault has ended its side of the connection, or
after the longest time for which the vault keeps an abandoned call.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue

from .. import clock
from ..contract.events import Outcome
from . import http

logger = logging.getLogger(__name__)

PATH = "/v2/read"
# Limit on idle threads that are kept for later calls: the usual number of concurrent calls.
MAX_IDLE_THREADS = 16
# Minimum timeout for the connection attempt, also after the deadline: 0 would make the socket non-blocking.
MIN_CONNECT_TIMEOUT_S = 0.001
# A vault that goes on sending after a call was abandoned is disconnected after this number of bytes.
MAX_DISCARDED_BYTES = 65_536
DISCARD_CHUNK_BYTES = 4_096

# Called with the outcome of a call, the body of the reply and the duration in microseconds.
CallEndedHandler = Callable[[Outcome, bytes, int], None]


def classify_reply(reply: http.Reply) -> Outcome:
    """The outcome that a reply indicates. Only `X-Refused-Unseen` proves that the call never ran."""
    if reply.status == 200:
        return Outcome.OK
    if reply.headers.get("x-refused-unseen") == "1":
        return Outcome.NEVER_STARTED if reply.status == 409 else Outcome.REJECTED
    return Outcome.TIMEOUT if reply.status == 504 else Outcome.ERROR


class _ThreadPool:
    """Reuses threads for calls, since starting one for each of hundreds of calls per second is expensive."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards the number of idle threads
        self._idle_threads = 0  # idle threads minus queued tasks
        self._tasks: SimpleQueue[Callable[[], None]] = SimpleQueue()

    def run(self, task: Callable[[], None]) -> None:
        """Run a task at once in an idle or new thread; raises `RuntimeError` if no thread can be started."""
        with self._lock:
            has_idle_thread = self._idle_threads > 0
            if has_idle_thread:
                self._idle_threads -= 1
        if has_idle_thread:
            self._tasks.put(task)
        else:
            threading.Thread(target=self._run_tasks, args=(task,), name="vault call", daemon=True).start()

    def _run_tasks(self, task: Callable[[], None]) -> None:
        """Runs in each thread: the first task, then others, until enough threads are idle."""
        while True:
            task()
            with self._lock:
                if self._idle_threads >= MAX_IDLE_THREADS:
                    return
                self._idle_threads += 1
            task = self._tasks.get()


_threads = _ThreadPool()


class VaultCall:
    """A call in progress, in a thread of its own."""

    def __init__(
        self,
        address: tuple[str, int],
        uid: str,
        body: bytes,
        timeout_us: int,
        on_ended: CallEndedHandler,
        abandoned_call_time_us: int = 0,
    ) -> None:
        """Start the call. `on_ended` is called once, from the call's thread, unless the call is cancelled.

        After the timeout it is called once the vault has ended the connection, and at most
        `abandoned_call_time_us` later. The reported duration does not include that wait.
        """
        self._address = address
        self._uid = uid
        self._body = body
        self._timeout_us = timeout_us
        self._on_ended = on_ended
        self._abandoned_call_time_us = abandoned_call_time_us
        self._timed_out_at: float | None = None  # by the monotonic clock
        self._lock = threading.Lock()  # guards the cancellation flag and the socket
        self._sock: socket.socket | None = None
        self._is_cancelled = False
        try:
            _threads.run(self._run)
        except RuntimeError as error:  # no thread can be started: fail the call, not the caller
            logger.error("vault call not started: %s", error)
            on_ended(Outcome.UNREACHED, b"", 0)

    def cancel(self) -> None:
        """Cancel the call by closing its connection. `on_ended` is not called any more."""
        with self._lock:
            self._is_cancelled = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes the thread, which closes the socket

    def _run(self) -> None:
        """Runs in the call's thread."""
        start = time.monotonic()
        try:
            result, body = self._call(start + self._timeout_us / clock.MICROSECONDS_PER_SECOND)
        except Exception as error:  # without an outcome the request would wait until its deadline
            self._log_failure(error)
            result = Outcome.BROKEN
            body = b""
        end = self._timed_out_at or time.monotonic()
        duration_us = int((end - start) * clock.MICROSECONDS_PER_SECOND)
        if not self._is_cancelled:
            self._on_ended(result, body, duration_us)

    def _call(self, deadline: float) -> tuple[Outcome, bytes]:
        # Not `create_connection`, which resolves names: the configuration has numeric addresses.
        with socket.socket(socket.AF_INET6 if ":" in self._address[0] else socket.AF_INET) as sock:
            try:
                sock.settimeout(max(MIN_CONNECT_TIMEOUT_S, deadline - time.monotonic()))
                sock.connect(self._address)
            except OSError:
                return Outcome.UNREACHED, b""  # nothing was sent without a connection
            with self._lock:
                if self._is_cancelled:
                    return Outcome.UNREACHED, b""
                self._sock = sock
            try:
                reply = self._exchange(sock, deadline)
            except TimeoutError:
                self._timed_out_at = time.monotonic()
                self._abandon(sock)
                return Outcome.TIMEOUT, b""
            except (OSError, http.InvalidReplyError) as error:
                # The call may have run, both if the connection was lost during the call and if the reply is
                # invalid.
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
        """Send the request on a new connection and read the reply; None if the deadline passed before."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            return None
        sock.settimeout(remaining_s)
        headers = {"X-Ticket": self._uid, "X-Max-Ms": str(max(1, int(remaining_s * 1e3)))}
        sock.sendall(http.request("POST", PATH, self._address, headers, self._body))
        return http.read_reply(sock, deadline)

    def _abandon(self, sock: socket.socket) -> None:
        """Tell the vault that the call is given up, and wait until it has ended its side."""
        deadline = time.monotonic() + self._abandoned_call_time_us / clock.MICROSECONDS_PER_SECOND
        remaining_bytes = MAX_DISCARDED_BYTES
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline - time.monotonic()) > 0 and remaining_bytes > 0:
                sock.settimeout(remaining_s)
                count = len(sock.recv(DISCARD_CHUNK_BYTES))
                if count == 0:
                    return
                remaining_bytes -= count

    def _log_failure(self, error: Exception) -> None:
        logger.warning("vault call failed: %s: %s %s", self._uid, type(error).__name__, error)
