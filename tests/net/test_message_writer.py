"""The message writer with peers that read slowly or not at all."""

from __future__ import annotations

import socket
import threading
from typing import Any

from peers import WAIT_S

from cairnvane.net.message_writer import MAX_BACKLOG_BYTES, MessageWriter


def test_send_never_waits_for_a_peer_that_does_not_read() -> None:
    local, remote = socket.socketpair()
    with local, remote:
        writer = MessageWriter(local)
        message = bytes(range(256)) * 64
        count = 0
        while writer.send(message):  # returns at once each time, until the backlog is full
            count += 1
            assert count * len(message) < 64 * MAX_BACKLOG_BYTES
        assert count * len(message) > MAX_BACKLOG_BYTES


def test_backlog_of_a_slow_peer_is_sent_whole_and_in_order() -> None:
    local, remote = socket.socketpair()
    with local, remote:
        local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        writer = MessageWriter(local)
        messages = [bytes([n]) * 3_000 for n in range(40)]
        assert all(writer.send(message) for message in messages)
        writer.close_write_side()  # closes only after the backlog has been written
        assert remote.recv(120_000, socket.MSG_WAITALL) == b"".join(messages)
        assert remote.recv(1) == b""


class BlockingSocket:
    """Accepts nothing without blocking; the blocking `send` accepts all data, but waits until released."""

    def __init__(self) -> None:
        self.send_started = threading.Event()
        self.released = threading.Event()

    def send(self, data: bytes, flags: int = 0) -> int:
        if flags:
            raise BlockingIOError
        self.send_started.set()
        assert self.released.wait(WAIT_S)
        return len(data)

    def setsockopt(self, *arguments: Any) -> None: ...

    def shutdown(self, how: int) -> None: ...


def test_abort_while_the_backlog_is_sent_ends_its_thread_cleanly() -> None:
    """Regression: the thread removed its sent message from a backlog that the abort had cleared."""
    sock = BlockingSocket()
    writer = MessageWriter(sock)  # type: ignore[arg-type]
    assert writer.send(b"message")
    assert sock.send_started.wait(WAIT_S)
    backlog_thread = writer._backlog_thread
    assert backlog_thread is not None
    writer.abort()
    sock.released.set()
    backlog_thread.join(WAIT_S)
    assert not backlog_thread.is_alive() and not writer.has_backlog
    assert not writer.send(b"more")
