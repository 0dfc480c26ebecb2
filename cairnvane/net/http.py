"""A small HTTP/1.1 client codec: one call's request to bytes, and its reply read from a socket."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass

# Vault replies and roster replies are a few KiB at most.
MAX_HEAD, MAX_BODY = 8_192, 65_536
# Interim (1xx) heads that may come ahead of a reply; a peer that sends more never comes to the point.
MAX_INTERIM = 8
_CHUNK = 8_192
# Plain ASCII digits: `str.isdigit` passes others, which `int` refuses, or reads as numbers no peer meant.
_STATUS_LINE = re.compile(r"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: .*)?")
_LENGTH = re.compile(r"[0-9]{1,10}")


class InvalidReplyError(Exception):
    """What came back is no HTTP reply, or not a whole one."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def request(verb: str, path: str, to: tuple[str, int], headers: dict[str, str], body: bytes) -> bytes:
    """A whole request."""
    lines = [f"{verb} {path} HTTP/1.1", f"Host: {to[0]}:{to[1]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def _head(data: bytes) -> tuple[int, dict[str, str]]:
    first, *lines = data.decode("latin-1").split("\r\n")
    if (status := _STATUS_LINE.fullmatch(first)) is None:
        raise InvalidReplyError(f"status line {first[:80]!r}")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        name, value = name.lower(), value.strip()
        if not colon or not name or name != name.strip():
            raise InvalidReplyError(f"header line {line[:80]!r}")
        if name == "content-length" and headers.get(name, value) != value:
            raise InvalidReplyError("two content lengths")
        headers[name] = value
    return int(status[1]), headers


def _length(status: int, headers: dict[str, str]) -> int | None:
    """How long the body is; None: as long as the connection lasts."""
    if "transfer-encoding" in headers:
        raise InvalidReplyError("a transfer encoding, which this client does not speak")
    text = headers.get("content-length")
    if text is None:
        return 0 if status in (204, 304) else None
    if not _LENGTH.fullmatch(text):
        raise InvalidReplyError(f"content length {text[:80]!r}")
    if int(text) > MAX_BODY:
        raise InvalidReplyError("an oversized body")
    return int(text)


def read_reply(sock: socket.socket, deadline: float) -> Reply:
    """The reply on a connection that carries one call; `TimeoutError` at `deadline` (of `time.monotonic`).

    The deadline holds for the whole reply, since a peer that drips would outlive a bound on each read. What
    stands behind the reply is not looked at: the connection is used for nothing else.
    """
    data = b""
    for _ in range(MAX_INTERIM + 1):
        while (mark := data.find(b"\r\n\r\n")) < 0:
            if len(data) > MAX_HEAD:
                raise InvalidReplyError("an oversized head")
            if not (more := _more(sock, deadline)):
                raise InvalidReplyError("cut short in the head")
            data += more
        status, headers = _head(data[:mark])
        data = data[mark + 4 :]
        if status >= 200:
            break
    else:
        raise InvalidReplyError("interim replies without end")
    length = _length(status, headers)
    while length is None or len(data) < length:
        if not (more := _more(sock, deadline)):
            if length is None:
                break
            raise InvalidReplyError("cut short in the body")
        data += more
        if length is None and len(data) > MAX_BODY:
            raise InvalidReplyError("an oversized body")
    return Reply(status, headers, data[:length])


def _more(sock: socket.socket, deadline: float) -> bytes:
    if (left := deadline - time.monotonic()) <= 0:
        raise TimeoutError("the reply is overdue")
    sock.settimeout(left)
    return sock.recv(_CHUNK)
