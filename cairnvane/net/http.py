"""A small HTTP/1.1 client codec: one request to bytes, and its reply read from a socket."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass

from .errors import ProtocolError

# Replies of the vault and of the service registry are a few KiB at most.
MAX_HEAD = 8_192  # bytes
MAX_BODY = 65_536  # bytes
# Interim (1xx) heads that may come ahead of a reply; a peer that sends more never sends the reply.
MAX_INTERIM = 8
_CHUNK_BYTES = 8_192
_HEAD_END = b"\r\n\r\n"
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = (204, 304)
# Plain ASCII digits: `str.isdigit` passes others, which `int` rejects, or reads as numbers no peer meant.
_STATUS_LINE = re.compile(r"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: .*)?")
_LENGTH = re.compile(r"[0-9]{1,10}")


class InvalidReplyError(ProtocolError):
    """What came back is no HTTP reply, or not a whole one."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def request(verb: str, path: str, to: tuple[str, int], headers: dict[str, str], body: bytes) -> bytes:
    """A whole request as bytes."""
    lines = [f"{verb} {path} HTTP/1.1", f"Host: {to[0]}:{to[1]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def _parse_head(data: bytes) -> tuple[int, dict[str, str]]:
    status_line, *lines = data.decode("latin-1").split("\r\n")
    status = _STATUS_LINE.fullmatch(status_line)
    if status is None:
        raise InvalidReplyError(f"status line {status_line[:80]!r}")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        name = name.lower()
        value = value.strip()
        if not colon or not name or name != name.strip():
            raise InvalidReplyError(f"header line {line[:80]!r}")
        if name == "content-length" and headers.get(name, value) != value:
            raise InvalidReplyError("two content lengths")
        headers[name] = value
    return int(status[1]), headers


def _body_length(status: int, headers: dict[str, str]) -> int | None:
    """How long the body is in bytes; None: as long as the connection lasts."""
    if "transfer-encoding" in headers:
        raise InvalidReplyError("a transfer encoding, which this client does not speak")
    text = headers.get("content-length")
    if text is None:
        return 0 if status in _STATUSES_WITHOUT_BODY else None
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
    status, headers, rest = _read_final_head(sock, deadline)
    length = _body_length(status, headers)
    if length is None:
        return Reply(status, headers, _read_to_end(sock, rest, deadline))
    return Reply(status, headers, _read_body(sock, rest, length, deadline))


def _read_final_head(sock: socket.socket, deadline: float) -> tuple[int, dict[str, str], bytes]:
    """Status and headers of the reply behind any interim ones, and the bytes that came behind its head."""
    data = b""
    for _ in range(MAX_INTERIM + 1):
        while (head_end := data.find(_HEAD_END)) < 0:
            if len(data) > MAX_HEAD:
                raise InvalidReplyError("an oversized head")
            chunk = _receive(sock, deadline)
            if not chunk:
                raise InvalidReplyError("cut short in the head")
            data += chunk
        status, headers = _parse_head(data[:head_end])
        data = data[head_end + len(_HEAD_END) :]
        if status >= _FIRST_FINAL_STATUS:
            return status, headers, data
    raise InvalidReplyError("interim replies without end")


def _read_body(sock: socket.socket, data: bytes, length: int, deadline: float) -> bytes:
    """A body of known length that begins with `data`."""
    while len(data) < length:
        chunk = _receive(sock, deadline)
        if not chunk:
            raise InvalidReplyError("cut short in the body")
        data += chunk
    return data[:length]


def _read_to_end(sock: socket.socket, data: bytes, deadline: float) -> bytes:
    """A body that begins with `data` and lasts as long as the connection."""
    while chunk := _receive(sock, deadline):
        data += chunk
        if len(data) > MAX_BODY:
            raise InvalidReplyError("an oversized body")
    return data


def _receive(sock: socket.socket, deadline: float) -> bytes:
    """What comes next, empty at the connection's end; `TimeoutError` at the deadline."""
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("the reply is overdue")
    sock.settimeout(remaining_s)
    return sock.recv(_CHUNK_BYTES)
