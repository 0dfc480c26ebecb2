"""One balancer's connection: the reader's loop, the deadlines of the peer, and the orderly close."""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from typing import Protocol

from . import fastcgi
from .connection_lifecycle import MAX_OPEN, ConnectionLifecycle, ConnectionPhase, LifecycleContext
from .read_buffers import BufferPool
from .record_handler import MAX_STRAY_RECORDS, HandlerContext, RecordHandler

__all__ = [
    "MAX_OPEN",
    "MAX_STRAY_RECORDS",
    "REQUEST_TIMEOUT_S",
    "Connection",
    "ServerContext",
    "ConnectionPhase",
]

logger = logging.getLogger(__name__)

# A balancer opens a connection for a request and sends that whole. Whoever says nothing, or half of
# something, for so long is no balancer; it is owed an end within 3 s, of which a busy machine takes some.
REQUEST_TIMEOUT_S = 2.0
# Who sends what can't be right is read on only after so long: a client that tries the same again as soon as
# it is rejected would else have the share of the core that the balancers need.
SUSPECT_READ_DELAY_S = 0.05
# Answers that were given have so long to leave when the connection ends.
FLUSH_TIMEOUT_S = 1.0
# A balancer that has read the end closes its side within this time, or is cut off; so is one that sends more
# than so many bytes.
FINAL_READ_TIMEOUT_S = 0.2
FINAL_READ_MAX_BYTES = 65_536
FINAL_READ_CHUNK_BYTES = 4_096


class ServerContext(LifecycleContext, HandlerContext, Protocol):
    """What a connection needs to know of the server."""

    buffers: BufferPool


class Connection:
    """One balancer's connection, read by one thread (`serve`, then `close`)."""

    def __init__(self, server: ServerContext, sock: socket.socket) -> None:
        self.sock = sock
        self._server = server
        self._lifecycle = ConnectionLifecycle(server, sock)
        self._handler = RecordHandler(server, self._lifecycle)

    @property
    def has_served(self) -> bool:
        """Whether a request on it was served: then it is a balancer's, as far as can be told."""
        return self._handler.has_served

    @property
    def last_activity(self) -> float:
        """When it last carried something, in seconds of the monotonic clock."""
        return self._lifecycle.last_activity

    @property
    def state(self) -> ConnectionPhase:
        """How far its end has come."""
        return self._lifecycle.state

    @property
    def is_parsing(self) -> bool:
        """Bytes were received that have not been parsed yet."""
        return self._lifecycle.is_parsing

    @property
    def partial_record_since(self) -> float | None:
        """Since when a record is half read, by the server's clock."""
        return self._lifecycle.partial_record_since

    # --- reading

    def serve(self) -> None:
        """Read until either side ends the connection.

        The wait for the peer has no bound here, since hundreds of readers that wake up now and then would get
        in the way of the few that have something to do: `look` wakes those that are to end. What has come
        stays in the kernel meanwhile, where the lifecycle sees it.
        """
        with self._server.buffers.lend() as buffer:
            buffered = 0
            while True:
                try:
                    if not self.sock.recv(1, socket.MSG_PEEK):
                        return
                    received = self._lifecycle.receive(buffer[buffered:])
                except OSError:
                    return
                if received == 0:
                    return
                is_serving = self._lifecycle.state is ConnectionPhase.SERVING
                buffered = self._parse(buffer, buffered + received) if is_serving else 0
                if self._close_after_parsing():
                    return
                if self._handler.is_suspect:
                    time.sleep(SUSPECT_READ_DELAY_S)

    def _parse(self, buffer: memoryview, size: int) -> int:
        """Act on all whole records of the buffer; the size of what is left, moved to its beginning."""
        position = 0
        try:
            while (found := fastcgi.read_record(buffer, position, size)) is not None:
                record, position = found
                self._handler.handle(record)
        except fastcgi.MalformedRecordError as error:
            logger.warning("connection is not read any more: %s", error)
            self._handler.is_suspect = True
            self._lifecycle.stop_reading()
            return 0
        remaining = size - position
        if remaining == 0:
            self._lifecycle.no_partial_record()
        elif position or self._lifecycle.partial_record_since is None:
            buffer[:remaining] = bytes(buffer[position:size])
            self._lifecycle.partial_record_left()
        return remaining

    def _close_after_parsing(self) -> bool:
        """Close the connection if only unparsed bytes kept it from its end; True if it has ended now.

        Who asked for the end before found it busy.
        """
        self._lifecycle.parsing_finished()
        is_closing = self._server.retiring or self._lifecycle.state is ConnectionPhase.ANSWERING
        return is_closing and self.close_if_idle()

    # --- ending

    def enforce_deadlines(self) -> None:
        """Enforce the peer's deadlines; called now and then.

        End the wait for a peer that has nothing to say, fail requests that do not come whole, and close the
        connection if it idles.
        """
        expired = self._lifecycle.expire(self._server.clock - REQUEST_TIMEOUT_S)
        if expired.connection:
            self._wake_reader()
            return
        for incoming in expired.partial_requests:
            self._handler.fail(incoming)
        self.close_if_idle()

    def close_if_idle(self, asked: bool = False) -> bool:
        """End a connection with no open request, if that is wanted or it has idled for too long."""
        return self._lifecycle.close_if_idle(asked)

    def evict(self, even_if_partial: bool = False) -> bool:
        """End it at once, since another connection needs its place.

        False if an answer is owed on it, or, unless `even_if_partial`, something has come that may become a
        request.
        """
        return self._lifecycle.evict(even_if_partial)

    def end(self) -> None:
        """End it whatever is still being read: the time to answer it is over."""
        self._lifecycle.end()

    def close(self) -> None:
        """Close the connection once its peer has ended its side or was asked to.

        Called by the reader's thread. In FastCGI's terms that aborts all open requests, and nothing runs on
        for them. The peer may still read, and each request that was read is owed an answer, so it gets one.
        """
        for number, exchange in self._lifecycle.stop_reading_and_list_open().items():
            self._handler.abandon(number, exchange)
        self._lifecycle.end_when_answered(FLUSH_TIMEOUT_S)
        # Closing with unread bytes resets the connection, and the balancer might lose answers that it has
        # not read yet. So our side is closed first, and the peer has a moment to close its own.
        self._lifecycle.writer.finish(FLUSH_TIMEOUT_S)
        self._read_to_end()
        self.sock.close()

    def _wake_reader(self) -> None:
        """End the reader's wait for a peer that does not close its side."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def _read_to_end(self) -> None:
        """Read until the peer closes its side.

        Bounded in time and bytes: a client with 60 MB to send, or one that drips, must not hold the thread.
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
