"""The FastCGI front: the listener, and who may have a connection."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
import threading
import time

from ..exchange import RequestSink, ResponseCounter
from .accept_loop import accept, hand
from .connection import MAX_OPEN, Connection
from .read_buffers import BufferPool

logger = logging.getLogger(__name__)

# The connections are looked over this often for what is to end.
LOOK_S = 0.5
# The kernel's queue of connections that wait for `accept`; more than there are balancers.
BACKLOG = 512
# Connections that are on their way out may be so many more than `most`, for a moment.
CLOSING = 16


def _listen(address: tuple[str, int]) -> socket.socket:
    """A new version of the program listens here too while this one serves on, and takes over. Where the
    option is not to be had, this process listens alone, as it did before there were handovers."""
    try:
        return socket.create_server(address, backlog=BACKLOG, reuse_port=True)
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise
        logger.warning("SO_REUSEPORT: %s; no later version can listen beside this one", error.strerror)
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
        self.sink = sink
        self.response_counter = response_counter
        self.buffers = BufferPool()
        self.idle_s = 0.0  # close connections that carried nothing for so long; 0: as late as allowed
        self.retiring = False
        # The time by which peers are judged. A pause of the machine counts as one look at the most: they
        # could write nothing meanwhile.
        self.clock = 0.0
        self.values = {
            "FCGI_MAX_CONNS": str(most),
            "FCGI_MAX_REQS": str(most * MAX_OPEN),
            "FCGI_MPXS_CONNS": "1",
        }
        self._most = most
        self._connections: set[Connection] = set()
        self._changed = threading.Condition()
        self._socket = _listen(address)
        self.address: tuple[str, int] = self._socket.getsockname()

    def start(self) -> None:
        """Accept from now on."""
        threading.Thread(target=self._accept, name="listener", daemon=True).start()
        threading.Thread(target=self._look, name="look", daemon=True).start()

    def retire(self, wait_s: float) -> None:
        """Take no more connections, and close each one that has no open request; wait until all are gone.
        Those that are not by then are told the end."""
        self.retiring = True
        self._take_waiting()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        logger.info("takes no more connections")
        for connection in self._all():
            connection.close_if_idle()
        with self._changed:
            self._changed.wait_for(lambda: not self._connections, wait_s)
        for connection in self._all():
            connection.leave()

    def _take_waiting(self) -> None:
        """The kernel has completed these connections, and a request may be whole on one: with the listener
        they would be reset. The listener's thread may take some of them."""
        with contextlib.suppress(OSError):  # no more of them
            self._socket.setblocking(False)
            for _ in range(BACKLOG):
                hand(self._socket.accept()[0], self._take, "server")

    def _all(self) -> list[Connection]:
        with self._changed:
            return list(self._connections)

    def _look(self) -> None:
        while True:
            time.sleep(LOOK_S)
            self.clock += LOOK_S
            for connection in self._all():
                try:
                    connection.look()
                except Exception as error:  # one connection's trouble must not leave all others unwatched
                    logger.warning("look: %s %s", type(error).__name__, error)

    def _accept(self) -> None:
        accept(self._socket, lambda: self.retiring, self._take, "server")

    def _take(self, sock: socket.socket) -> None:
        if not self._has_room():
            sock.close()  # nothing ran, and the caller knows it at once
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)  # a vanished peer frees its place
        connection = Connection(self, sock)
        with self._changed:
            self._connections.add(connection)
        try:
            threading.Thread(target=self._serve, args=(connection,), name="reader", daemon=True).start()
        except RuntimeError:
            self._forget(connection)
            raise
        if self.retiring:  # `retire` said so before it looked, and may have looked before it was there
            connection.close_if_idle()

    def _has_room(self) -> bool:
        """Guards the balancers' places, and the descriptors of the pool and of calls, against clients that
        connect by hundreds. In need of a place, the connection is ended that waits for nothing and carried
        nothing for the longest, those first on which nothing was ever served."""
        with self._changed:
            count = len(self._connections)
            if count < self._most:
                return True
            if count >= self._most + CLOSING:
                return False
            order = sorted(self._connections, key=lambda c: (c.has_served, c.last_activity))
        # Who has half said something may be a client that drips, or a balancer at an ill moment: in need, the
        # former make room.
        return any(connection.make_room() for connection in order) or any(
            connection.make_room(even_if_partial=True) for connection in order if not connection.has_served
        )

    def _serve(self, connection: Connection) -> None:
        try:
            connection.serve()
        finally:
            try:
                connection.close()
            finally:
                self._forget(connection)

    def _forget(self, connection: Connection) -> None:
        with self._changed:
            self._connections.discard(connection)
            self._changed.notify_all()
