"""The message writer against peers that read slowly or not at all."""

from __future__ import annotations

import socket
import threading
from typing import Any

from peers import WAIT_S

from cairnvane.net.message_writer import MAX_BACKLOG_BYTES, MessageWriter


def test_send_never_waits_for_a_peer_that_does_not_read() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        writer = MessageWriter(ours)
        message = bytes(range(256)) * 64
        count = 0
        while writer.send(message):  # returns at once each time, until the bound is met
            count += 1
            assert count * len(message) < 64 * MAX_BACKLOG_BYTES
        assert count * len(message) > MAX_BACKLOG_BYTES


def test_backlog_of_a_slow_peer_is_sent_whole_and_in_order() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        writer = MessageWriter(ours)
        messages = [bytes([n]) * 3_000 for n in range(40)]
        assert all(writer.send(message) for message in messages)
        writer.close_write_side()  # only once all of it has left
        assert theirs.recv(120_000, socket.MSG_WAITALL) == b"".join(messages)
        assert theirs.recv(1) == b""


class HeldSocket:
    """Takes nothing at once; the backlog's send takes all of it, but returns only when it is let go."""

    def __init__(self) -> None:
        self.reached = threading.Event()
        self.go = threading.Event()

    def send(self, data: bytes, flags: int = 0) -> int:
        if flags:
            raise BlockingIOError
        self.reached.set()
        assert self.go.wait(WAIT_S)
        return len(data)

    def setsockopt(self, *arguments: Any) -> None: ...

    def shutdown(self, how: int) -> None: ...


def test_a_cut_while_the_backlog_is_sent_ends_its_thread_in_order() -> None:
    """Regression: the thread took the message that it had sent off a backlog that the cut had emptied."""
    sock = HeldSocket()
    writer = MessageWriter(sock)  # type: ignore[arg-type]
    assert writer.send(b"message")
    assert sock.reached.wait(WAIT_S)
    backlog_thread = writer._backlog_thread
    assert backlog_thread is not None
    writer.abort()
    sock.go.set()
    backlog_thread.join(WAIT_S)
    assert not backlog_thread.is_alive() and not writer.has_backlog
    assert not writer.send(b"more")
