"""The FastCGI server: the listener, and which connections may exist."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import threading
import time

from ..exchange import RequestSink, ResponseCounter
from .accept_loop import accept_connections, hand_over
from .connection import MAX_OPEN, Connection
from .read_buffers import BufferPool

logger = logging.getLogger(__name__)

# The connections' deadlines are checked this often.
DEADLINE_CHECK_INTERVAL_S = 0.5
# The kernel's queue of connections that wait for `accept`; more than there are balancers.
BACKLOG = 512
# Connections that are being closed may exceed the maximum by so many, for a moment.
MAX_CLOSING = 16


def _listen(address: tuple[str, int]) -> socket.socket:
    """Listen at the address, beside another process where the kernel has `SO_REUSEPORT`.

    A new version of the program listens here too while this one serves on, and takes over. Where the option
    is not to be had, this process listens alone.
    """
    try:
        return socket.create_server(address, backlog=BACKLOG, reuse_port=True)
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise
        logger.warning("SO_REUSEPORT unavailable, no later version can listen beside: %s", error.strerror)
        return socket.create_server(address, backlog=BACKLOG)


class FastCgiServer:
    """Listens for balancers, on `most` connections at a time."""

    def __init__(
        self,
        address: tuple[str, int],
        sink: RequestSink,
        most: int,
        response_counter: ResponseCounter | None = None,
    ) -> None:
        """Bind at once: `OSError` if the address can't be had."""
        self.sink = sink
        self.response_counter = response_counter
        self.buffers = BufferPool()
        self.idle_s = 0.0  # close connections that carried nothing for so long; 0: as late as allowed
        self.retiring = False
        # The time by which peers are judged. A pause of the machine counts as one interval at the most: they
        # could write nothing meanwhile.
        self.clock = 0.0
        self.values = {
            "FCGI_MAX_CONNS": str(most),
            "FCGI_MAX_REQS": str(most * MAX_OPEN),
            "FCGI_MPXS_CONNS": "1",
        }
        self._max_connections = most
        self._connections: set[Connection] = set()
        self._connections_changed = threading.Condition()  # its lock guards the set of connections
        self._socket = _listen(address)
        self.address: tuple[str, int] = self._socket.getsockname()

    def start(self) -> None:
        """Accept from now on."""
        threading.Thread(target=self._accept_connections, name="listener", daemon=True).start()
        threading.Thread(target=self._watch_deadlines, name="connection deadlines", daemon=True).start()

    def retire(self, wait_s: float) -> None:
        """Accept no more connections, and close each one as soon as it has no open request.

        Waits until all are closed, for `wait_s` seconds at the most; what is left then is ended.
        """
        self.retiring = True
        self._accept_backlog()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        logger.info("takes no more connections")
        for connection in self._all():
            connection.close_if_idle()
        with self._connections_changed:
            self._connections_changed.wait_for(lambda: not self._connections, wait_s)
        for connection in self._all():
            connection.end()

    def _accept_backlog(self) -> None:
        """Accept what the kernel has completed.

        A request may be whole on such a connection, and with the listener they would all be reset. The
        listener's thread may accept some of them.
        """
        with contextlib.suppress(OSError):  # no more of them
            self._socket.setblocking(False)
            for _ in range(BACKLOG):
                sock, _ = self._socket.accept()
                hand_over(sock, self._start_connection, logger)

    def _all(self) -> list[Connection]:
        with self._connections_changed:
            return list(self._connections)

    def _watch_deadlines(self) -> None:
        """The thread that ends overdue and idle connections."""
        while True:
            time.sleep(DEADLINE_CHECK_INTERVAL_S)
            self.clock += DEADLINE_CHECK_INTERVAL_S
            for connection in self._all():
                try:
                    connection.enforce_deadlines()
                except Exception as error:  # one connection's fault must not leave all others unwatched
                    logger.warning("deadline check failed: %s %s", type(error).__name__, error)

    def _accept_connections(self) -> None:
        """The listener's thread."""
        accept_connections(self._socket, lambda: self.retiring, self._start_connection, logger)

    def _start_connection(self, sock: socket.socket) -> None:
        """Serve an accepted connection in a thread of its own, or close it if there is no capacity."""
        if not self._ensure_capacity():
            sock.close()  # nothing ran, and the caller knows it at once
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)  # a vanished peer frees its place
        connection = Connection(self, sock)
        with self._connections_changed:
            self._connections.add(connection)
        try:
            threading.Thread(
                target=self._serve_connection, args=(connection,), name="connection reader", daemon=True
            ).start()
        except RuntimeError:
            self._forget(connection)
            raise
        if self.retiring:  # `retire` may have listed the connections before this one was there
            connection.close_if_idle()

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may exist, if need be in the place of another.

        Guards the balancers' connections, and the descriptors of the pool and of calls, against clients that
        connect by hundreds. The connection to be ended is one that waits for nothing and carried nothing for
        the longest, those first on which nothing was ever served.
        """
        with self._connections_changed:
            count = len(self._connections)
            if count < self._max_connections:
                return True
            if count >= self._max_connections + MAX_CLOSING:
                return False
            candidates = sorted(self._connections, key=lambda c: (c.has_served, c.last_activity))
        if any(connection.evict() for connection in candidates):
            return True
        # Who has sent half a request may be a client that drips, or a balancer at an unlucky moment: only the
        # former make room.
        return any(
            connection.evict(even_if_partial=True) for connection in candidates if not connection.has_served
        )

    def _serve_connection(self, connection: Connection) -> None:
        """The thread of one connection."""
        try:
            connection.serve()
        finally:
            try:
                connection.close()
            finally:
                self._forget(connection)

    def _forget(self, connection: Connection) -> None:
        with self._connections_changed:
            self._connections.discard(connection)
            self._connections_changed.notify_all()
