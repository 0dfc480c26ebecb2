"""Writes complete messages to one peer, in order, without blocking the caller."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections import deque

# Maximum number of bytes that are queued for a slow peer: a response to each of 32 open requests.
MAX_BACKLOG_BYTES = 256 * 1024
# The connection is dropped if the peer accepts no data for this time. Longer than a pause of the machine.
WRITE_TIMEOUT_S = 10

_TIMEVAL = struct.Struct("ll")  # seconds and microseconds: the kernel's `struct timeval`


def set_socket_timeout(sock: socket.socket, option: int, seconds: float) -> None:
    """Set a timeout in the kernel (`SO_SNDTIMEO` or `SO_RCVTIMEO`) for a blocking socket.

    The socket itself stays in blocking mode.
    """
    whole_seconds = int(seconds)
    microseconds = int((seconds - whole_seconds) * 1e6)
    sock.setsockopt(socket.SOL_SOCKET, option, _TIMEVAL.pack(whole_seconds, microseconds))


class MessageWriter:
    """Serializes writes of complete messages, so that records of several threads never interleave.

    `send` writes as much as the socket accepts at once. The rest is written by a thread that runs while there
    is a backlog, so a slow peer delays neither the caller nor other connections.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._lock = threading.Lock()  # guards the backlog, the two flags and the order of writes
        self._backlog: deque[bytes] = deque()
        self._backlog_size = 0
        self._is_broken = False
        self._is_ending = False  # close our side once the backlog has been written
        self._backlog_thread: threading.Thread | None = None
        set_socket_timeout(sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)

    def send(self, data: bytes) -> bool:
        """Write the message now or queue it. False if the connection, and so the message, is lost."""
        with self._lock:
            if self._is_broken:
                return False
            if self._backlog:
                return self._enqueue(data)
            try:
                sent = self._sock.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._drop_connection()
                return False
            if sent == len(data):
                return True
            return self._enqueue(data[sent:]) and self._start_backlog_thread()

    @property
    def has_backlog(self) -> bool:
        """Whether queued data has not been written yet."""
        return bool(self._backlog)

    def abort(self) -> None:
        """Drop the connection and its backlog at once."""
        with self._lock:
            self._drop_connection()

    def close_write_side(self) -> None:
        """Close our side of the connection once the backlog has been written."""
        with self._lock:
            self._is_ending = True
            if not self._backlog:
                self._shut_down(socket.SHUT_WR)

    def close_write_side_and_wait(self, timeout_s: float) -> None:
        """Close our side, and wait at most `timeout_s` until the backlog has been written."""
        self.close_write_side()
        if (backlog_thread := self._backlog_thread) is not None:
            backlog_thread.join(timeout_s)

    # --- called with the lock held

    def _enqueue(self, data: bytes) -> bool:
        if self._backlog_size + len(data) > MAX_BACKLOG_BYTES:
            self._drop_connection()
            return False
        self._backlog.append(data)
        self._backlog_size += len(data)
        return True

    def _start_backlog_thread(self) -> bool:
        self._backlog_thread = threading.Thread(
            target=self._write_backlog, name="backlog writer", daemon=True
        )
        try:
            self._backlog_thread.start()
        except RuntimeError:  # no thread can be started: drop this peer instead of failing the caller
            self._backlog_thread = None
            self._drop_connection()
            return False
        return True

    def _remove_sent(self, message: bytes, sent: int) -> None:
        self._backlog_size -= sent
        if sent == len(message):
            self._backlog.popleft()
        else:
            self._backlog[0] = message[sent:]

    def _drop_connection(self) -> None:
        self._is_broken = True
        self._backlog.clear()
        self._shut_down(socket.SHUT_RDWR)  # wakes the reader, which closes the socket

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)

    # --- the backlog thread

    def _write_backlog(self) -> None:
        """Write the backlog until it is empty or the connection is lost."""
        while True:
            with self._lock:
                if not self._backlog:
                    if self._is_ending:
                        self._shut_down(socket.SHUT_WR)
                    return
                message = self._backlog[0]
            try:
                sent = self._sock.send(message)
            except OSError:  # write timeout, or the peer has disconnected
                with self._lock:
                    self._drop_connection()
                return
            with self._lock:
                if self._is_broken:  # aborted meanwhile, which has cleared the backlog
                    return
                self._remove_sent(message, sent)
