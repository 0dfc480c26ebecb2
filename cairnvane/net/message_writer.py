"""Writes to one peer, in order, that never make the caller wait."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections import deque

# What a peer that does not read may leave waiting here: an answer for each of 32 open requests.
MOST_WAITING = 256 * 1024
# A peer that takes nothing for so long is given up. Longer than a pause of the machine.
WRITE_WAIT_S = 10


def set_wait(sock: socket.socket, option: int, seconds: float) -> None:
    """Bound a blocking socket's waits in the kernel; the socket itself stays blocking."""
    whole = int(seconds)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", whole, int((seconds - whole) * 1e6)))


class MessageWriter:
    """One writer at a time, whole messages only, so that records never interleave.

    The caller's own send takes what the socket has room for. What is left goes out from a thread that lives
    as long as there is a backlog: a slow peer stalls neither the host nor any other connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._lock = threading.Lock()
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self._broken = self._ending = False
        self._writer: threading.Thread | None = None
        set_wait(sock, socket.SO_SNDTIMEO, WRITE_WAIT_S)

    def send(self, data: bytes) -> bool:
        """Write, now or soon. False if the connection is lost, and with it the message."""
        with self._lock:
            if self._broken:
                return False
            if self._waiting:
                return self._put_off(data)
            try:
                sent = self._sock.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self._break()
            if sent == len(data):
                return True
            if not self._put_off(data[sent:]):
                return False
            self._writer = threading.Thread(target=self._drain, name="outlet", daemon=True)
            try:
                self._writer.start()
            except RuntimeError:  # no more threads: this peer is given up, not the caller
                self._writer = None
                return self._break()
            return True

    @property
    def waiting(self) -> bool:
        """Something that was sent has not left yet."""
        return bool(self._waiting)

    def cut(self) -> None:
        """End the connection at once."""
        with self._lock:
            self._break()

    def end(self) -> None:
        """Tell the peer that no more comes, once what was sent has left."""
        with self._lock:
            self._ending = True
            if not self._waiting:
                self._shut(socket.SHUT_WR)

    def finish(self, wait_s: float) -> None:
        """End, and wait so long at the most until all has left."""
        self.end()
        if (writer := self._writer) is not None:
            writer.join(wait_s)

    def _put_off(self, data: bytes) -> bool:
        if self._size + len(data) > MOST_WAITING:
            return self._break()
        self._waiting.append(data)
        self._size += len(data)
        return True

    def _drain(self) -> None:
        while True:
            with self._lock:
                if not self._waiting:
                    if self._ending:
                        self._shut(socket.SHUT_WR)
                    return
                data = self._waiting[0]
            try:
                sent = self._sock.send(data)
            except OSError:  # the bounded wait has run out, or the peer is gone
                with self._lock:
                    self._break()
                return
            with self._lock:
                self._size -= sent
                if sent == len(data):
                    self._waiting.popleft()
                else:
                    self._waiting[0] = data[sent:]

    def _break(self) -> bool:
        self._broken = True
        self._waiting.clear()
        self._shut(socket.SHUT_RDWR)  # wakes the reader, which closes it
        return False

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(how)
