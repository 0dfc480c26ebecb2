"""TCP connections on which members exchange whole states, first from the initiator and then from the peer.

The selector loop of the transport drives them, in its thread.
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

# Limits of the connections open at a time and of the duration of one.
MAX_CONNECTIONS = 8
TIMEOUT_US = 2_000_000
RECEIVE_BYTES = 65_536
LENGTH_PREFIX = struct.Struct("!I")


def frame(messages: list[bytes]) -> bytes:
    """Concatenate sealed messages, each prefixed with its length."""
    return b"".join(LENGTH_PREFIX.pack(len(message)) + message for message in messages)


def unframe(data: bytes | bytearray) -> list[bytes]:
    """Split framed data into sealed messages; a truncated last message is returned truncated."""
    messages = []
    start = 0
    while start + LENGTH_PREFIX.size <= len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, start)
        start += LENGTH_PREFIX.size + length
        messages.append(bytes(data[start - length : start]))
    return messages


class StateConnection:
    """One connection, with its unsent and received data."""

    def __init__(self, sock: socket.socket, peer: Address, unsent: bytes, is_initiator: bool) -> None:
        self.sock = sock
        self.peer = peer
        self.unsent = unsent
        self.is_initiator = is_initiator
        self.deadline = clock.now() + TIMEOUT_US
        self.received = bytearray()


class StateConnections:
    """Owns the open connections, limits them, and drives their progress."""

    def __init__(
        self,
        selector: selectors.BaseSelector,
        counts: Counter[str],
        routes: Mapping[Address, Address],
        make_state: Callable[[bool], bytes],
        handle_sealed: Callable[[bytes, Address, int], Message | None],
    ) -> None:
        """Register connections with this selector.

        `make_state` returns the framed state, with or without a request for the peer's. `handle_sealed`
        handles a sealed message from a peer, up to a maximum size in bytes. `routes` maps an address to the
        one by which it is reached from here.
        """
        self._selector = selector
        self._counts = counts
        self._routes = routes
        self._make_state = make_state
        self._handle_sealed = handle_sealed
        self._open: set[StateConnection] = set()

    def __bool__(self) -> bool:
        return bool(self._open)

    def connect(self, address: Address) -> None:
        """Start an exchange, unless the limit of open connections is reached."""
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
        """Accept an exchange that a peer starts; close it if the limit of open connections is reached."""
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
        """Close a connection; `fault` is the counter to increment, if any."""
        if connection not in self._open:
            return
        self._open.discard(connection)
        self._selector.unregister(connection.sock)
        connection.sock.close()
        if fault:
            self._counts[fault] += 1

    def close_overdue(self, now: int) -> None:
        """Close connections past their deadline."""
        overdue = [connection for connection in self._open if connection.deadline < now]
        for connection in overdue:
            self._close(connection, "slow view")

    def close_all(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            self._close(connection)

    def on_ready(self, connection: StateConnection) -> None:
        """Send unsent data, or receive; handle the data at its end, and answer if the peer asked for it."""
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
            message = self._handle_sealed(sealed, connection.peer, MAX_VIEW_BYTES)
            answer_wanted |= isinstance(message, View) and message.answer
        if connection.is_initiator or not answer_wanted:
            self._close(connection)
            return
        connection.unsent = self._make_state(False)
        self._selector.modify(connection.sock, selectors.EVENT_WRITE, connection)
