"""One balancer's connection: its read loop, the deadlines for its peer, and its graceful close."""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from typing import Protocol

from . import fastcgi
from .connection_lifecycle import MAX_OPEN_REQUESTS, ConnectionLifecycle, ConnectionPhase, LifecycleContext
from .read_buffers import BufferPool
from .record_handler import MAX_STRAY_RECORDS, HandlerContext, RecordHandler
from .suspect_reads import SUSPECT_READ_BYTES

__all__ = [
    "MAX_OPEN_REQUESTS",
    "MAX_STRAY_RECORDS",
    "REQUEST_TIMEOUT_S",
    "Connection",
    "ServerContext",
    "ConnectionPhase",
]

logger = logging.getLogger(__name__)

# Deadline for a complete request on a connection without open requests. A balancer opens a connection to send
# a request, so a peer that sends nothing or only a part for this long is hardly one. Such a connection has to
# be closed within 3 s; the difference allows for delays on a busy machine.
REQUEST_TIMEOUT_S = 2.0
# Delay before the next read from a suspect peer. Without it, a client that retries as soon as it is rejected
# would use the CPU time that the balancers need.
SUSPECT_READ_DELAY_S = 0.05
# Time to send pending responses when the connection is closed.
FLUSH_TIMEOUT_S = 1.0
# After our side is closed, the peer has this time to close its own, and may send at most this number of bytes
# until then; otherwise the connection is reset.
FINAL_READ_TIMEOUT_S = 0.2
FINAL_READ_MAX_BYTES = 65_536
FINAL_READ_CHUNK_BYTES = 4_096


class ServerContext(LifecycleContext, HandlerContext, Protocol):
    """The attributes of the server that a connection uses."""

    buffers: BufferPool
    client_timeout_s: float  # no client waits longer than this for its answer


class Connection:
    """One balancer's connection. One thread reads it: it calls `serve`, then `close`."""

    def __init__(self, server: ServerContext, sock: socket.socket) -> None:
        self.sock = sock
        self._server = server
        self._lifecycle = ConnectionLifecycle(server, sock)
        self._handler = RecordHandler(server, self._lifecycle)
        self._is_flooded = False  # after the last read

    @property
    def has_served(self) -> bool:
        """Whether a request was served on this connection, which indicates that the peer is a balancer."""
        return self._handler.has_served

    @property
    def last_activity(self) -> float:
        """When data was last received or sent, in seconds of the monotonic clock."""
        return self._lifecycle.last_activity

    @property
    def state(self) -> ConnectionPhase:
        """The phase of the connection's shutdown."""
        return self._lifecycle.state

    @property
    def is_parsing(self) -> bool:
        """Whether received bytes have not been parsed yet."""
        return self._lifecycle.is_parsing

    @property
    def partial_record_since(self) -> float | None:
        """Since when a record has been incomplete, by the server's clock; None if there is no such record."""
        return self._lifecycle.partial_record_since

    # --- reading

    def serve(self) -> None:
        """Read until either side ends the connection.

        The wait for the peer has no timeout here, since hundreds of readers that wake up periodically would
        slow down the few that have work: `enforce_deadlines` wakes the readers that have to end. Until it is
        received, input stays in the kernel's buffer, where the lifecycle can detect it.
        """
        while self._await_input():
            buffer = self._server.buffers.borrow()
            try:
                if not self._read_whole_records(memoryview(buffer)):
                    return
            finally:
                self._server.buffers.give_back(buffer)

    def _read_whole_records(self, buffer: memoryview) -> bool:
        """Read until the input ends with a complete record; False if the connection has ended."""
        buffered = self._read_in_turn(buffer, 0)
        while buffered:
            buffered = self._read_in_turn(buffer, buffered) if self._await_input() else None
        return buffered is not None

    def _read_in_turn(self, buffer: memoryview, buffered: int) -> int | None:
        """Read like `_read`, but later if the client is suspect, and in turns if it floods the server."""
        if self._is_flooded:
            with self._server.suspect_reads.turn(self._lifecycle.read_ticket):
                remaining = self._read(buffer[: buffered + SUSPECT_READ_BYTES], buffered)
        else:
            remaining = self._read(buffer, buffered)
        self._update_flooded()
        if remaining is not None and (self._is_flooded or self._handler.is_suspect):
            time.sleep(SUSPECT_READ_DELAY_S)
        return remaining

    def _update_flooded(self) -> None:
        was_flooded = self._is_flooded
        self._is_flooded = self._lifecycle.is_flooded
        if self._is_flooded and not was_flooded:
            logger.warning("connection slowed down: most of its requests are aborted or invalid")

    def _await_input(self) -> bool:
        """Wait until bytes are available; False if the connection has ended."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _read(self, buffer: memoryview, buffered: int) -> int | None:
        """Receive and handle input; the first `buffered` bytes of the buffer were received before.

        Returns how many bytes at the start of the buffer are the beginning of the next record, or None if the
        connection has ended.
        """
        try:
            received = self._lifecycle.receive(buffer[buffered:])
        except OSError:
            return None
        if received == 0:
            return None
        is_serving = self._lifecycle.state is ConnectionPhase.SERVING
        buffered = self._parse(buffer, buffered + received) if is_serving else 0
        return None if self._close_after_parsing() else buffered

    def _parse(self, buffer: memoryview, size: int) -> int:
        """Handle all complete records in the buffer.

        The remaining bytes are moved to the start of the buffer; returns their number.
        """
        position = 0
        try:
            while (found := fastcgi.read_record(buffer, position, size)) is not None:
                record, position = found
                self._handler.handle(record)
        except fastcgi.MalformedRecordError as error:
            logger.warning("connection closed for reading after a malformed record: %s", error)
            self._handler.is_suspect = True
            self._lifecycle.stop_reading()
            return 0
        remaining = size - position
        if remaining == 0:
            self._lifecycle.clear_partial_record()
        elif position or self._lifecycle.partial_record_since is None:
            buffer[:remaining] = bytes(buffer[position:size])
            self._lifecycle.mark_partial_record()
        return remaining

    def _close_after_parsing(self) -> bool:
        """Close the connection if only unparsed bytes prevented that; True if it has ended now.

        An earlier attempt to close it found unparsed bytes and left it open.
        """
        self._lifecycle.parsing_finished()
        self._handler.limit_partial_requests()
        is_closing = self._server.retiring or self._lifecycle.state is ConnectionPhase.ANSWERING
        return is_closing and self.close_if_idle()

    # --- ending

    def enforce_deadlines(self) -> None:
        """Enforce the peer's deadlines; called periodically.

        End the wait for a peer that sends nothing, fail partial requests whose clients have given up, and
        close the connection if it is idle.
        """
        now = self._server.clock
        expired = self._lifecycle.expire(now - REQUEST_TIMEOUT_S, now - self._server.client_timeout_s)
        if expired.connection:
            self._wake_reader()
            return
        if expired.partial_requests:
            self._handler.fail_partial(expired.partial_requests)
        self.close_if_idle()

    def close_if_idle(self, requested: bool = False) -> bool:
        """End a connection without open requests if that was requested or it has been idle for too long."""
        return self._lifecycle.close_if_idle(requested)

    def evict(self, even_if_partial: bool = False) -> bool:
        """End the connection at once to make room for another one.

        False if a response is pending on it, or, unless `even_if_partial`, if input has arrived that may
        become a request.
        """
        return self._lifecycle.evict(even_if_partial)

    def end(self) -> None:
        """End the connection even if a request is still being read: the time to answer it is over."""
        self._lifecycle.end()

    def close(self) -> None:
        """Close the connection after the peer has closed its side or our side was closed.

        Called by the reader's thread. By the FastCGI specification this aborts all open requests, so their
        runs are cancelled. The peer may still read, and each request that was read must be answered, so each
        open request gets a response.
        """
        for number, exchange in self._lifecycle.stop_reading_and_list_open().items():
            self._handler.abandon(number, exchange)
        self._lifecycle.end_when_answered(FLUSH_TIMEOUT_S)
        # Closing a socket with unread bytes resets the connection, and the balancer could lose responses that
        # it has not read yet. So only our side is closed first, and the peer gets a short time to close its
        # own.
        self._lifecycle.writer.close_write_side_and_wait(FLUSH_TIMEOUT_S)
        self._read_to_end()
        self.sock.close()

    def _wake_reader(self) -> None:
        """End the reader's wait for a peer that has not closed its side."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def _read_to_end(self) -> None:
        """Read until the peer closes its side.

        Time and size are bounded: a client that sends 60 MB, or a few bytes at a time, must not block the
        thread.
        """
        deadline = time.monotonic() + FINAL_READ_TIMEOUT_S
        remaining_bytes = FINAL_READ_MAX_BYTES
        with contextlib.suppress(OSError):
            while (remaining_s := deadline - time.monotonic()) > 0 and remaining_bytes > 0:
                self.sock.settimeout(remaining_s)
                count = len(self.sock.recv(FINAL_READ_CHUNK_BYTES))
                if count == 0:
                    return
                remaining_bytes -= count
