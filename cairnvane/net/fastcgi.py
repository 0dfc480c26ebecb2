"""FastCGI 1.0, the part that a responder needs: bytes to records and back. No sockets here."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import NamedTuple

VERSION = 1
BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER = 1
KEEP_CONN = 1
REQUEST_COMPLETE, OVERLOADED, UNKNOWN_ROLE = 0, 2, 3

_HEADER = struct.Struct(">BBHHBx")
_BEGIN = struct.Struct(">HB5x")
_END = struct.Struct(">IB3x")
_LONG_LENGTH = struct.Struct(">I")

# The parameters of a request are a dozen short fields; its body is at most 2 KiB.
MAX_PARAMS = 8_192
MAX_BODY = 2_048
# A record of more than this can be part of no legal request.
MAX_CONTENT = MAX_PARAMS
MAX_RECORD_OUT = 65_535


class MalformedRecordError(Exception):
    """Bytes that no legal peer sends; the connection can't be read on from here."""


class Record(NamedTuple):
    """One record."""

    kind: int
    request: int
    content: bytes


def take(view: memoryview, at: int, have: int) -> tuple[Record, int] | None:
    """The record that starts at `at`, and where the next one does; None if it is not all there yet."""
    if have - at < _HEADER.size:
        return None
    version, kind, request, length, padding = _HEADER.unpack_from(view, at)
    if version != VERSION:
        raise MalformedRecordError(f"version {version}")
    if length > MAX_CONTENT:
        raise MalformedRecordError(f"a record of {length} bytes")
    start = at + _HEADER.size
    end = start + length + padding
    return (Record(kind, request, bytes(view[start : start + length])), end) if end <= have else None


def record(kind: int, request: int, content: bytes) -> bytes:
    """One record as bytes."""
    return _HEADER.pack(VERSION, kind, request, len(content), 0) + content


def pairs(data: bytes) -> dict[str, str]:
    """Name-value pairs. Bytes that are not UTF-8 stay distinct, so that nothing is matched by mistake."""
    found: dict[str, str] = {}
    at = 0
    while at < len(data):
        lengths = []
        for _ in range(2):
            if at >= len(data):
                raise MalformedRecordError("parameters cut short")
            length = data[at]
            if length < 128:
                at += 1
            else:
                if at + 4 > len(data):
                    raise MalformedRecordError("parameters cut short")
                length = _LONG_LENGTH.unpack_from(data, at)[0] & 0x7FFFFFFF
                at += 4
            lengths.append(length)
        middle, end = at + lengths[0], at + lengths[0] + lengths[1]
        if end > len(data):
            raise MalformedRecordError("parameters cut short")
        found[data[at:middle].decode("utf-8", "surrogateescape")] = data[middle:end].decode(
            "utf-8", "surrogateescape"
        )
        at = end
    return found


def put_pairs(values: dict[str, str]) -> bytes:
    """Name-value pairs as bytes."""
    out = bytearray()
    for pair in values.items():
        texts = [text.encode("utf-8", "surrogateescape") for text in pair]
        for text in texts:
            out += bytes([len(text)]) if len(text) < 128 else _LONG_LENGTH.pack(len(text) | 0x80000000)
        out += b"".join(texts)
    return bytes(out)


def end(request: int, status: int = REQUEST_COMPLETE) -> bytes:
    """The end of a request that has no (more) output."""
    return record(END_REQUEST, request, _END.pack(0, status))


def response(request: int, content: bytes) -> bytes:
    """A whole answer: output, its end, the end of the request."""
    out = [
        record(STDOUT, request, content[at : at + MAX_RECORD_OUT])
        for at in range(0, len(content), MAX_RECORD_OUT)
    ]
    return b"".join([*out, record(STDOUT, request, b""), end(request)])


@dataclass(slots=True)
class Incoming:
    """A request that is being read."""

    id: int
    keep: bool
    begun: float  # when, on the connection's own clock
    params: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    _raw: bytearray = field(default_factory=bytearray)
    _named: bool = False

    def add(self, part: Record) -> bool:
        """Take a PARAMS or STDIN record in; True when the request is whole."""
        if (part.kind == STDIN) is not self._named:
            raise MalformedRecordError("parameters and body out of order")
        if part.content:
            self._raw += part.content
            if len(self._raw) > (MAX_BODY if self._named else MAX_PARAMS):
                raise MalformedRecordError("an oversized request")
            return False
        if self._named:
            self.body = bytes(self._raw)
            return True
        self.params, self._named = pairs(bytes(self._raw)), True
        self._raw.clear()
        return False


def begin(opening: Record) -> tuple[int, bool]:
    """The role and the wish to keep the connection that a BEGIN_REQUEST names."""
    if len(opening.content) != _BEGIN.size or opening.request == 0:
        raise MalformedRecordError("a bad BEGIN_REQUEST")
    role, flags = _BEGIN.unpack(opening.content)
    return role, bool(flags & KEEP_CONN)


def management(asked: Record, values: dict[str, str]) -> bytes:
    """The answer to a record of no request: the values asked for, or that the type is unknown."""
    if asked.kind != GET_VALUES:
        return record(UNKNOWN_TYPE, 0, bytes([asked.kind]) + bytes(7))
    known = {name: values[name] for name in pairs(asked.content) if name in values}
    return record(GET_VALUES_RESULT, 0, put_pairs(known))
