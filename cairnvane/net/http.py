"""A small HTTP/1.1 client codec: encodes one request, and reads its reply from a socket."""

from __future__ import annotations

import re
import socket
import time
from dataclasses import dataclass

from .errors import ProtocolError

# Replies of the vault and of the service registry have a few KiB at most.
MAX_HEAD_BYTES = 8_192
MAX_BODY_BYTES = 65_536
# Interim (1xx) replies that are accepted before the final one. A peer that sends more is assumed to send no
# final reply.
MAX_INTERIM_REPLIES = 8
_CHUNK_BYTES = 8_192
_HEAD_END = b"\r\n\r\n"
_FIRST_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = (204, 304)
# ASCII digits only: `str.isdigit` also accepts other digits, which `int` rejects or converts unexpectedly.
_STATUS_LINE = re.compile(r"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: .*)?")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,10}")


class InvalidReplyError(ProtocolError):
    """The reply is malformed or incomplete."""


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


def request(verb: str, path: str, address: tuple[str, int], headers: dict[str, str], body: bytes) -> bytes:
    """Encode a complete request."""
    lines = [f"{verb} {path} HTTP/1.1", f"Host: {address[0]}:{address[1]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


def _parse_head(data: bytes) -> tuple[int, dict[str, str]]:
    status_line, *lines = data.decode("latin-1").split("\r\n")
    status = _STATUS_LINE.fullmatch(status_line)
    if status is None:
        raise InvalidReplyError(f"invalid status line {status_line[:80]!r}")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        name = name.lower()
        value = value.strip()
        if not colon or not name or name != name.strip():
            raise InvalidReplyError(f"invalid header line {line[:80]!r}")
        if name == "content-length" and headers.get(name, value) != value:
            raise InvalidReplyError("conflicting Content-Length headers")
        headers[name] = value
    return int(status[1]), headers


def _body_length(status: int, headers: dict[str, str]) -> int | None:
    """The length of the body in bytes; None if the body extends to the end of the connection."""
    if "transfer-encoding" in headers:
        raise InvalidReplyError("Transfer-Encoding is not supported")
    text = headers.get("content-length")
    if text is None:
        return 0 if status in _STATUSES_WITHOUT_BODY else None
    if not _CONTENT_LENGTH.fullmatch(text):
        raise InvalidReplyError(f"invalid Content-Length {text[:80]!r}")
    if int(text) > MAX_BODY_BYTES:
        raise InvalidReplyError("oversized body")
    return int(text)


def read_reply(sock: socket.socket, deadline: float) -> Reply:
    """Read the reply on a connection that is used for one call.

    Raises `TimeoutError` at `deadline` (by `time.monotonic`). The deadline applies to the whole reply, since
    a peer that sends a few bytes at a time would never exceed a timeout for each read. Data after the reply
    is ignored: the connection is not reused.
    """
    status, headers, rest = _read_final_head(sock, deadline)
    length = _body_length(status, headers)
    if length is None:
        return Reply(status, headers, _read_to_end(sock, rest, deadline))
    return Reply(status, headers, _read_body(sock, rest, length, deadline))


def _read_final_head(sock: socket.socket, deadline: float) -> tuple[int, dict[str, str], bytes]:
    """Status and headers of the final reply, and the bytes that were received after its head."""
    data = b""
    for _ in range(MAX_INTERIM_REPLIES + 1):
        while (head_end := data.find(_HEAD_END)) < 0:
            if len(data) > MAX_HEAD_BYTES:
                raise InvalidReplyError("oversized head")
            chunk = _receive(sock, deadline)
            if not chunk:
                raise InvalidReplyError("truncated head")
            data += chunk
        status, headers = _parse_head(data[:head_end])
        data = data[head_end + len(_HEAD_END) :]
        if status >= _FIRST_FINAL_STATUS:
            return status, headers, data
    raise InvalidReplyError("too many interim replies")


def _read_body(sock: socket.socket, data: bytes, length: int, deadline: float) -> bytes:
    """Read a body of known length that begins with `data`."""
    while len(data) < length:
        chunk = _receive(sock, deadline)
        if not chunk:
            raise InvalidReplyError("truncated body")
        data += chunk
    return data[:length]


def _read_to_end(sock: socket.socket, data: bytes, deadline: float) -> bytes:
    """Read a body that begins with `data` and extends to the end of the connection."""
    while chunk := _receive(sock, deadline):
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            raise InvalidReplyError("oversized body")
    return data


def _receive(sock: socket.socket, deadline: float) -> bytes:
    """Receive the next bytes; empty at the end of the connection. Raises `TimeoutError` at the deadline."""
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("no complete reply before the deadline")
    sock.settimeout(remaining_s)
    return sock.recv(_CHUNK_BYTES)
