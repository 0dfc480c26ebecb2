"""Writes whole messages to one peer, in order, without ever making the caller wait."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections import deque

# What a peer that does not read may leave waiting here, in bytes: an answer for each of 32 open requests.
MAX_BACKLOG_BYTES = 256 * 1024
# A peer that takes nothing for so long is given up. Longer than a pause of the machine.
WRITE_TIMEOUT_S = 10

_TIMEVAL = struct.Struct("ll")  # seconds and microseconds, as the kernel reads them


def set_socket_timeout(sock: socket.socket, option: int, seconds: float) -> None:
    """Bound a blocking socket's waits in the kernel (`SO_SNDTIMEO`, `SO_RCVTIMEO`).

    The socket itself stays blocking.
    """
    whole_seconds = int(seconds)
    microseconds = int((seconds - whole_seconds) * 1e6)
    sock.setsockopt(socket.SOL_SOCKET, option, _TIMEVAL.pack(whole_seconds, microseconds))


class MessageWriter:
    """One writer at a time, whole messages only, so that records never interleave.

    The caller's own send writes what the socket has room for. What is left goes out from a thread that lives
    as long as there is a backlog: a slow peer stalls neither the host nor any other connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._lock = threading.Lock()  # guards the backlog, the two flags, and the order of writes
        self._backlog: deque[bytes] = deque()
        self._backlog_size = 0
        self._is_broken = False
        self._is_ending = False  # close our side once the backlog has left
        self._drainer: threading.Thread | None = None
        set_socket_timeout(sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)

    def send(self, data: bytes) -> bool:
        """Write, now or soon. False if the connection is lost, and with it the message."""
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
                self._break()
                return False
            if sent == len(data):
                return True
            return self._enqueue(data[sent:]) and self._start_drainer()

    @property
    def waiting(self) -> bool:
        """Something that was sent has not left yet."""
        return bool(self._backlog)

    def cut(self) -> None:
        """End the connection at once."""
        with self._lock:
            self._break()

    def end(self) -> None:
        """Close our side of the connection, once what was sent has left."""
        with self._lock:
            self._is_ending = True
            if not self._backlog:
                self._shut_down(socket.SHUT_WR)

    def finish(self, timeout_s: float) -> None:
        """End, and wait so long at the most until all has left."""
        self.end()
        if (drainer := self._drainer) is not None:
            drainer.join(timeout_s)

    # --- with the lock held

    def _enqueue(self, data: bytes) -> bool:
        if self._backlog_size + len(data) > MAX_BACKLOG_BYTES:
            self._break()
            return False
        self._backlog.append(data)
        self._backlog_size += len(data)
        return True

    def _start_drainer(self) -> bool:
        self._drainer = threading.Thread(target=self._drain, name="backlog writer", daemon=True)
        try:
            self._drainer.start()
        except RuntimeError:  # no more threads: this peer is given up, not the caller
            self._drainer = None
            self._break()
            return False
        return True

    def _remove_sent(self, message: bytes, sent: int) -> None:
        self._backlog_size -= sent
        if sent == len(message):
            self._backlog.popleft()
        else:
            self._backlog[0] = message[sent:]

    def _break(self) -> None:
        self._is_broken = True
        self._backlog.clear()
        self._shut_down(socket.SHUT_RDWR)  # wakes the reader, which closes it

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)

    # --- the backlog's thread

    def _drain(self) -> None:
        """Write the backlog until none is left or the connection is lost."""
        while True:
            with self._lock:
                if not self._backlog:
                    if self._is_ending:
                        self._shut_down(socket.SHUT_WR)
                    return
                message = self._backlog[0]
            try:
                sent = self._sock.send(message)
            except OSError:  # the bounded wait has run out, or the peer is gone
                with self._lock:
                    self._break()
                return
            with self._lock:
                if self._is_broken:  # cut meanwhile, which has emptied the backlog
                    return
                self._remove_sent(message, sent)
