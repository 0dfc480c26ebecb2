"""A small HTTP/1.1 client codec: one call's request to bytes, and its reply read from a socket."""

from __future__ import annotations

import socket
from dataclasses import dataclass

# Vault replies and roster replies are a few KiB at most.
MAX_HEAD, MAX_BODY = 8_192, 65_536
_CHUNK = 8_192


class BadReply(Exception):
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
    words = first.split(" ", 2)
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
        raise BadReply(f"status line {first!r}")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise BadReply(f"header line {line!r}")
        headers[name.strip().lower()] = value.strip()
    return int(words[1]), headers


def read_reply(sock: socket.socket) -> Reply:
    """The next reply on a blocking socket; a body without a length lasts until the end of the connection."""
    data = b""
    while (mark := data.find(b"\r\n\r\n")) < 0:
        if len(data) > MAX_HEAD:
            raise BadReply("an oversized head")
        data += _more(sock)
    status, headers = _head(data[:mark])
    body = data[mark + 4 :]
    if "transfer-encoding" in headers:
        raise BadReply("a transfer encoding, which this client does not speak")
    length_text = headers.get("content-length", "0" if status in (204, 304) else "")
    if length_text and not length_text.isdigit():
        raise BadReply(f"content length {length_text!r}")
    length = int(length_text) if length_text else None
    if (length or 0) > MAX_BODY:
        raise BadReply("an oversized body")
    while length is None or len(body) < length:
        try:
            body += _more(sock)
        except BadReply:
            if length is None:
                break
            raise
        if len(body) > MAX_BODY:
            raise BadReply("an oversized body")
    return Reply(status, headers, body[:length])


def _more(sock: socket.socket) -> bytes:
    if not (data := sock.recv(_CHUNK)):
        raise BadReply("cut short")
    return data
