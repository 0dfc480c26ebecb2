"""The FastCGI server: the listener and the limit on connections."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import threading
import time
from typing import Protocol

from .. import clock
from ..exchange import RequestSink, ResponseCounter
from .accept_loop import accept_connections, hand_over
from .connection import MAX_OPEN_REQUESTS, Connection, ConnectionPhase
from .read_buffers import BufferPool
from .request_memory import MEBIBYTE, RequestMemory, connection_limit
from .suspect_reads import SuspectReads

logger = logging.getLogger(__name__)

# Interval of the checks of connection deadlines.
DEADLINE_CHECK_INTERVAL_S = 0.5
# Length of the kernel's queue of connections to be accepted; larger than the number of balancers.
ACCEPT_BACKLOG = 512
DEFAULT_CLIENT_TIMEOUT_S = 30.0
DEFAULT_MEMORY_BYTES = 192 * MEBIBYTE
# Connections that are being closed may briefly exceed the maximum by this number.
MAX_CLOSING_CONNECTIONS = 16


def _listen(address: tuple[str, int]) -> socket.socket:
    """Listen at the address, shared with other processes if the kernel supports `SO_REUSEPORT`.

    With the option, a new version of the program can listen at the same address and take over while this one
    still serves. Without it, this process listens exclusively.
    """
    try:
        return socket.create_server(address, backlog=ACCEPT_BACKLOG, reuse_port=True)
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise
        logger.warning(
            "SO_REUSEPORT unavailable, a new version cannot share the listen address: %s", error.strerror
        )
        return socket.create_server(address, backlog=ACCEPT_BACKLOG)


class ConnectionQuota(Protocol):
    """A limit on connections that is shared with other processes; it may be used from any thread."""

    def publish(self, count: int) -> None:
        """Tell the other processes how many connections this one has."""

    def limit(self, now: int) -> int:
        """Return how many connections this process may have at this time, in microseconds."""


class FastCgiServer:
    """Serves balancers on at most `max_connections` connections at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        sink: RequestSink,
        max_connections: int,
        response_counter: ResponseCounter | None = None,
        client_timeout_s: float = DEFAULT_CLIENT_TIMEOUT_S,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        connection_quota: ConnectionQuota | None = None,
    ) -> None:
        """Bind the address; raises `OSError` if that fails.

        `client_timeout_s` is the longest time for which a client waits for its answer, `memory_bytes` the
        memory limit of the process. `connection_quota` may lower the maximum number of connections.
        """
        self.sink = sink
        self.response_counter = response_counter
        self.client_timeout_s = client_timeout_s
        self.buffers = BufferPool()
        self.request_memory = RequestMemory(memory_bytes)
        self.suspect_reads = SuspectReads(sink.wait_until_handled)
        self.idle_s = 0.0  # close connections after this idle time; 0: after `MAX_IDLE_S`
        self.retiring = False
        # In seconds; the deadlines of peers are measured by it. It advances by one interval at a time, so a
        # pause of the machine, in which peers could send nothing, counts as one interval at most.
        self.clock = 0.0
        max_connections = min(max_connections, connection_limit(memory_bytes))
        self.values = {
            "FCGI_MAX_CONNS": str(max_connections),
            "FCGI_MAX_REQS": str(max_connections * MAX_OPEN_REQUESTS),
            "FCGI_MPXS_CONNS": "1",
        }
        self._max_connections = max_connections
        self._connection_quota = connection_quota
        self._connections: set[Connection] = set()
        self._connections_changed = threading.Condition()  # its lock guards the set of connections
        self._socket = _listen(address)
        self.address: tuple[str, int] = self._socket.getsockname()

    def start(self) -> None:
        """Start the threads that accept connections and check their deadlines."""
        threading.Thread(target=self._accept_connections, name="listener", daemon=True).start()
        threading.Thread(target=self._watch_deadlines, name="connection deadlines", daemon=True).start()

    def retire(self, wait_s: float) -> None:
        """Accept no more connections, and close each one as soon as it has no open request.

        Waits at most `wait_s` seconds until all are closed, then ends the remaining ones.
        """
        self.retiring = True
        self._accept_backlog()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        logger.info("takes no more connections")
        for connection in self._open_connections():
            connection.close_if_idle()
        with self._connections_changed:
            self._connections_changed.wait_for(lambda: not self._connections, wait_s)
        for connection in self._open_connections():
            connection.end()

    def _accept_backlog(self) -> None:
        """Accept the connections in the kernel's queue.

        Such a connection may already hold a complete request, and closing the listener would reset it. The
        listener's thread may accept some of them concurrently.
        """
        with contextlib.suppress(OSError):  # the queue is empty
            self._socket.setblocking(False)
            for _ in range(ACCEPT_BACKLOG):
                sock, _ = self._socket.accept()
                hand_over(sock, self._start_connection, logger)

    def _open_connections(self) -> list[Connection]:
        with self._connections_changed:
            return list(self._connections)

    def _watch_deadlines(self) -> None:
        """Runs in the thread that ends overdue and idle connections."""
        while True:
            time.sleep(DEADLINE_CHECK_INTERVAL_S)
            self.clock += DEADLINE_CHECK_INTERVAL_S
            checks = [self._make_room_for_other_processes]
            checks += [connection.enforce_deadlines for connection in self._open_connections()]
            for check in checks:
                try:
                    check()
                except Exception as error:  # the error of one check must not stop the others
                    logger.warning("deadline check failed: %s %s", type(error).__name__, error)

    def _accept_connections(self) -> None:
        """Runs in the listener's thread."""
        accept_connections(self._socket, lambda: self.retiring, self._start_connection, logger)

    def _start_connection(self, sock: socket.socket) -> None:
        """Serve an accepted connection in a thread of its own, or close it if there is no capacity."""
        if not self._ensure_capacity():
            sock.close()  # nothing has run, and the client notices the close at once
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)  # detects peers that have vanished
        connection = Connection(self, sock)
        with self._connections_changed:
            self._connections.add(connection)
            self._publish_count()
        try:
            threading.Thread(
                target=self._serve_connection, args=(connection,), name="connection reader", daemon=True
            ).start()
        except RuntimeError:
            self._remove_connection(connection)
            raise
        if self.retiring:  # `retire` may have listed the connections before this one was added
            connection.close_if_idle()

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may be opened, if necessary after another one was evicted.

        Protects the balancers' connections, and the file descriptors for the pool and for calls, against
        clients that open hundreds of connections. The evicted connection is one without a pending response
        that has been idle for the longest time; those that were never served a request are evicted first.
        """
        maximum = self._current_maximum()
        with self._connections_changed:
            count = len(self._connections)
        if count < maximum:
            return True
        candidates = self._eviction_candidates()
        # There are more than the maximum while room is made for another process.
        live = sum(connection.state is not ConnectionPhase.ENDED for connection in candidates)
        if count >= max(maximum, live) + MAX_CLOSING_CONNECTIONS:
            return False
        if any(connection.evict() for connection in candidates):
            return True
        # A connection with a partial request belongs to a client that sends slowly or to a balancer that is
        # just sending. Only connections that were never served a request are evicted then.
        return any(
            connection.evict(even_if_partial=True) for connection in candidates if not connection.has_served
        )

    def _current_maximum(self) -> int:
        if self._connection_quota is None:
            return self._max_connections
        return min(self._max_connections, self._connection_quota.limit(clock.now()))

    def _eviction_candidates(self) -> list[Connection]:
        """All connections, those first that should be evicted first."""
        return sorted(self._open_connections(), key=lambda c: (c.has_served, c.last_activity))

    def _make_room_for_other_processes(self) -> None:
        """Evict idle connections beyond the maximum, which is lower while another process serves too."""
        excess = len(self._open_connections()) - self._current_maximum()
        if excess <= 0:
            return
        for connection in self._eviction_candidates():
            if connection.state is not ConnectionPhase.ENDED and connection.evict():
                excess -= 1
                if excess <= 0:
                    return

    def _publish_count(self) -> None:
        """Publish the number of connections; called with the lock held, so that the last one is published."""
        if self._connection_quota is not None:
            self._connection_quota.publish(len(self._connections))

    def _serve_connection(self, connection: Connection) -> None:
        """Runs in the thread of one connection."""
        try:
            connection.serve()
        finally:
            try:
                connection.close()
            finally:
                self._remove_connection(connection)

    def _remove_connection(self, connection: Connection) -> None:
        with self._connections_changed:
            self._connections.discard(connection)
            self._connections_changed.notify_all()
            self._publish_count()
