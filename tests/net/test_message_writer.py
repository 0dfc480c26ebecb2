"""The message writer against peers that read slowly or not at all."""

from __future__ import annotations

import socket

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
        writer.end()  # only once all of it has left
        assert theirs.recv(120_000, socket.MSG_WAITALL) == b"".join(messages)
        assert theirs.recv(1) == b""
