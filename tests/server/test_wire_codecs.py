"""The FastCGI and HTTP codecs: round trips, incomplete messages and malformed messages."""

from __future__ import annotations

import socket
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import WAIT_S

from cairnvane.net import fastcgi, http

texts = st.text(max_size=200)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.dictionaries(texts, texts, max_size=8))
def test_name_value_pairs_round_trip(values: dict[str, str]) -> None:
    assert fastcgi.decode_pairs(fastcgi.encode_pairs(values)) == values


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 400))
def test_record_is_read_only_when_it_is_complete(content: bytes, cut: int) -> None:
    data = fastcgi.record(fastcgi.STDIN, 7, content)
    result = fastcgi.read_record(memoryview(data[:cut]), 0, min(cut, len(data)))
    complete = (fastcgi.Record(fastcgi.STDIN, 7, content), len(data))
    assert result == (complete if cut >= len(data) else None)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"SMTP hi\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nbroken\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + bytes(70_000),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"x" * 9_000,
        # Digits that `isdigit` accepts but `int` does not, which used to end the call's thread silently.
        b"HTTP/1.1 \xb200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 99,
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
)
def test_malformed_or_incomplete_http_reply_is_rejected(data: bytes) -> None:
    ours, theirs = socket.socketpair()
    with ours:
        theirs.sendall(data)
        theirs.close()
        with pytest.raises(http.InvalidReplyError):
            http.read_reply(ours, time.monotonic() + WAIT_S)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\nA: b\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    ],
)
def test_bytes_around_an_http_reply_are_not_part_of_it(data: bytes) -> None:
    """Guards against taking an interim response for the final reply."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data)
        reply = http.read_reply(ours, time.monotonic() + WAIT_S)
        assert (reply.status, reply.body) == (200, b"abc")


def test_slow_http_reply_ends_at_the_deadline() -> None:
    """Guards against a timeout that applies only to each read, which a slow peer never exceeds."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"HTTP/1.1 200 OK\r\n")  # so that a read would return at once
        with pytest.raises(TimeoutError):
            http.read_reply(ours, time.monotonic())


def test_http_body_without_a_length_ends_with_the_connection() -> None:
    ours, theirs = socket.socketpair()
    with ours:
        theirs.sendall(b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nabc")
        theirs.close()
        assert http.read_reply(ours, time.monotonic() + WAIT_S) == http.Reply(200, {"x-a": "b"}, b"abc")


def test_only_known_parameters_of_a_request_are_kept() -> None:
    """Guards against a crash by memory: thousands of tiny parameters need fifty times their encoded size."""
    pairs = fastcgi.encode_pairs({"SCRIPT_NAME": "/svc/read", "HTTP_REQ_KEY": "7f", "ab": ""})
    incoming = fastcgi.IncomingRequest(1, True, 0.0, frozenset({"SCRIPT_NAME"}))
    assert not incoming.add(fastcgi.Record(fastcgi.PARAMS, 1, pairs))
    assert not incoming.add(fastcgi.Record(fastcgi.PARAMS, 1, b""))
    assert incoming.params == {"SCRIPT_NAME": "/svc/read"}


def test_too_many_parameters_are_malformed() -> None:
    """Guards against starvation: decoding thousands of empty parameters takes a millisecond a request."""
    assert fastcgi.decode_pairs(bytes(2) * fastcgi.MAX_PAIRS) == {"": ""}
    with pytest.raises(fastcgi.MalformedRecordError, match="more than 256 parameters"):
        fastcgi.decode_pairs(bytes(2) * (fastcgi.MAX_PAIRS + 1))
