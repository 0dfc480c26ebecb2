"""TCP connections on which members exchange whole states: one way, and then the other.

Driven by the selector loop of the transport; all in its thread.
"""

from __future__ import annotations

import selectors
import socket
import struct
from collections import Counter
from collections.abc import Callable, Mapping

from .. import clock
from .actions import Address
from .messages import MAX_VIEW_BYTES, Message, View

# How many may be open at a time, and how long one may take.
MAX_CONNECTIONS = 8
TIMEOUT_US = 2_000_000
RECEIVE_BYTES = 65_536
LENGTH_PREFIX = struct.Struct("!I")


def frame(messages: list[bytes]) -> bytes:
    """Sealed messages, each after its length."""
    return b"".join(LENGTH_PREFIX.pack(len(message)) + message for message in messages)


def unframe(data: bytes | bytearray) -> list[bytes]:
    """The sealed messages in these bytes; one that was cut off comes as far as it goes."""
    messages = []
    start = 0
    while start + LENGTH_PREFIX.size <= len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, start)
        start += LENGTH_PREFIX.size + length
        messages.append(bytes(data[start - length : start]))
    return messages


class StateConnection:
    """One connection, and what is still to be sent on it."""

    def __init__(self, sock: socket.socket, peer: Address, unsent: bytes, is_initiator: bool) -> None:
        self.sock = sock
        self.peer = peer
        self.unsent = unsent
        self.is_initiator = is_initiator
        self.deadline = clock.now() + TIMEOUT_US
        self.received = bytearray()


class StateConnections:
    """Owns the open connections, their bounds and their progress."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        counts: Counter[str],
        routes: Mapping[Address, Address],
        make_state: Callable[[bool], bytes],
        take: Callable[[bytes, Address, int], Message | None],
    ) -> None:
        """Register connections with this selector.

        `make_state` gives the framed state, with or without a request for the peer's; `take` handles a sealed
        message from a peer of at most so many bytes. `routes`: by which address an address is reached.
        """
        self._selector = selector
        self._counts = counts
        self._routes = routes
        self._make_state = make_state
        self._take = take
        self._open: set[StateConnection] = set()

    def __bool__(self) -> bool:
        return bool(self._open)

    def connect(self, address: Address) -> None:
        """Begin an exchange; beyond the bound nothing happens."""
        if len(self._open) >= MAX_CONNECTIONS:
            return
        sock = socket.socket()
        sock.setblocking(False)
        try:
            sock.connect(self._routes.get(address, address))
        except BlockingIOError:
            pass
        except OSError:
            self._counts["no way"] += 1
            sock.close()
            return
        connection = StateConnection(sock, address, self._make_state(True), is_initiator=True)
        self._add(connection, selectors.EVENT_WRITE)

    def accept(self, listener: socket.socket) -> None:
        """Take an exchange that a peer begins; beyond the bound it is closed."""
        try:
            sock, peer = listener.accept()
        except OSError:
            return
        if len(self._open) >= MAX_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        self._add(StateConnection(sock, peer, b"", is_initiator=False), selectors.EVENT_READ)

    def _add(self, connection: StateConnection, events: int) -> None:
        self._open.add(connection)
        self._selector.register(connection.sock, events, connection)

    def _close(self, connection: StateConnection, fault: str = "") -> None:
        """Close a connection; a fault is counted under its name."""
        if connection not in self._open:
            return
        self._open.discard(connection)
        self._selector.unregister(connection.sock)
        connection.sock.close()
        if fault:
            self._counts[fault] += 1

    def close_overdue(self, now: int) -> None:
        """Close those that took too long."""
        overdue = [connection for connection in self._open if connection.deadline < now]
        for connection in overdue:
            self._close(connection, "slow view")

    def close_all(self) -> None:
        """Close all of them."""
        for connection in list(self._open):
            self._close(connection)

    def on_ready(self, connection: StateConnection) -> None:
        """Send what is left; then receive to the end, take it, and answer if that was asked for."""
        try:
            if connection.unsent:
                self._send(connection)
            else:
                self._receive(connection)
        except OSError:
            self._close(connection, "broken view")

    def _send(self, connection: StateConnection) -> None:
        sent = connection.sock.send(connection.unsent)
        connection.unsent = connection.unsent[sent:]
        if connection.unsent:
            return
        connection.sock.shutdown(socket.SHUT_WR)
        if connection.is_initiator:
            self._selector.modify(connection.sock, selectors.EVENT_READ, connection)
        else:
            self._close(connection)

    def _receive(self, connection: StateConnection) -> None:
        data = connection.sock.recv(RECEIVE_BYTES)
        if not data:
            self._finish_receiving(connection)
            return
        connection.received += data
        if len(connection.received) > MAX_VIEW_BYTES:
            self._close(connection, "oversized")

    def _finish_receiving(self, connection: StateConnection) -> None:
        answer_wanted = False
        for sealed in unframe(connection.received):
            message = self._take(sealed, connection.peer, MAX_VIEW_BYTES)
            answer_wanted |= isinstance(message, View) and message.answer
        if connection.is_initiator or not answer_wanted:
            self._close(connection)
            return
        connection.unsent = self._make_state(False)
        self._selector.modify(connection.sock, selectors.EVENT_WRITE, connection)
