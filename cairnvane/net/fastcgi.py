"""The codec of FastCGI 1.0, as far as a responder needs it: bytes to records and back, with no I/O."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import NamedTuple

from .errors import ProtocolError

VERSION = 1
# Types of records.
BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
# The role that is served, the flag of a BEGIN_REQUEST, and the protocol statuses of an END_REQUEST.
RESPONDER = 1
KEEP_CONN = 1
REQUEST_COMPLETE, OVERLOADED, UNKNOWN_ROLE = 0, 2, 3

_HEADER = struct.Struct(">BBHHBx")  # version, type, request, content length, padding length
_BEGIN = struct.Struct(">HB5x")  # role, flags
_END = struct.Struct(">IB3x")  # application status, protocol status
_LONG_LENGTH = struct.Struct(">I")
# Lengths of names and values from here on take four bytes, of which the first has its top bit set.
_FIRST_LONG_LENGTH = 128
_LONG_LENGTH_FLAG = 0x80000000
_LONG_LENGTH_MASK = 0x7FFFFFFF

# In bytes. The parameters of a request are a dozen short fields; its body is at most 2 KiB.
MAX_PARAMS = 8_192
MAX_BODY = 2_048
# A record of more than this can be part of no legal request.
MAX_CONTENT = MAX_PARAMS
MAX_RECORD_OUT = 65_535


class MalformedRecordError(ProtocolError):
    """Bytes that no legal peer sends; the connection can't be read on from here."""


class Record(NamedTuple):
    """One record."""

    kind: int  # the type
    request: int  # the request's number; 0 for management records
    content: bytes


def read_record(view: memoryview, at: int, have: int) -> tuple[Record, int] | None:
    """The record that starts at `at`, and where the next one does; None if it is incomplete at `have`."""
    if have - at < _HEADER.size:
        return None
    version, kind, request, length, padding = _HEADER.unpack_from(view, at)
    if version != VERSION:
        raise MalformedRecordError(f"version {version}")
    if length > MAX_CONTENT:
        raise MalformedRecordError(f"a record of {length} bytes")
    start = at + _HEADER.size
    end = start + length + padding
    if end > have:
        return None
    return Record(kind, request, bytes(view[start : start + length])), end


def record(kind: int, request: int, content: bytes) -> bytes:
    """One record as bytes."""
    return _HEADER.pack(VERSION, kind, request, len(content), 0) + content


def decode_pairs(data: bytes) -> dict[str, str]:
    """Decode name-value pairs; bytes that are not UTF-8 stay distinct, so that none match by mistake."""
    decoded: dict[str, str] = {}
    position = 0
    while position < len(data):
        name_length, position = _read_length(data, position)
        value_length, position = _read_length(data, position)
        name_end = position + name_length
        value_end = name_end + value_length
        if value_end > len(data):
            raise MalformedRecordError("parameters cut short")
        name = data[position:name_end].decode("utf-8", "surrogateescape")
        decoded[name] = data[name_end:value_end].decode("utf-8", "surrogateescape")
        position = value_end
    return decoded


def _read_length(data: bytes, position: int) -> tuple[int, int]:
    """The length of a name or value that is encoded at this position, and the position behind it."""
    if position >= len(data):
        raise MalformedRecordError("parameters cut short")
    length = data[position]
    if length < _FIRST_LONG_LENGTH:
        return length, position + 1
    end = position + _LONG_LENGTH.size
    if end > len(data):
        raise MalformedRecordError("parameters cut short")
    return _LONG_LENGTH.unpack_from(data, position)[0] & _LONG_LENGTH_MASK, end


def encode_pairs(values: dict[str, str]) -> bytes:
    """Encode name-value pairs."""
    encoded = bytearray()
    for name, value in values.items():
        name_bytes = name.encode("utf-8", "surrogateescape")
        value_bytes = value.encode("utf-8", "surrogateescape")
        encoded += _encode_length(len(name_bytes))
        encoded += _encode_length(len(value_bytes))
        encoded += name_bytes
        encoded += value_bytes
    return bytes(encoded)


def _encode_length(length: int) -> bytes:
    if length < _FIRST_LONG_LENGTH:
        return bytes([length])
    return _LONG_LENGTH.pack(length | _LONG_LENGTH_FLAG)


def end(request: int, status: int = REQUEST_COMPLETE) -> bytes:
    """The end of a request that has no (more) output."""
    return record(END_REQUEST, request, _END.pack(0, status))


def response(request: int, content: bytes) -> bytes:
    """A whole response: its output, the end of the output, the end of the request."""
    records = [
        record(STDOUT, request, content[start : start + MAX_RECORD_OUT])
        for start in range(0, len(content), MAX_RECORD_OUT)
    ]
    return b"".join([*records, record(STDOUT, request, b""), end(request)])


@dataclass(slots=True)
class IncomingRequest:
    """A request that is being read."""

    id: int
    keep_connection: bool  # the connection stays open after the response
    begun: float  # when, on the connection's own clock
    params: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    _stream: bytearray = field(default_factory=bytearray)  # of the parameters, then of the body
    _has_params: bool = False

    def add(self, part: Record) -> bool:
        """Add a PARAMS or STDIN record; True when the request is whole.

        `MalformedRecordError` if the record is out of order or the request too long.
        """
        if (part.kind == STDIN) is not self._has_params:
            raise MalformedRecordError("parameters and body out of order")
        if part.content:
            self._add_content(part.content)
            return False
        if self._has_params:
            self.body = bytes(self._stream)
            return True
        self.params = decode_pairs(bytes(self._stream))
        self._has_params = True
        self._stream.clear()
        return False

    def _add_content(self, content: bytes) -> None:
        self._stream += content
        if len(self._stream) > (MAX_BODY if self._has_params else MAX_PARAMS):
            raise MalformedRecordError("an oversized request")


def parse_begin_request(opening: Record) -> tuple[int, bool]:
    """The role that a BEGIN_REQUEST names, and whether the connection is to be kept open."""
    if len(opening.content) != _BEGIN.size or opening.request == 0:
        raise MalformedRecordError("a malformed BEGIN_REQUEST")
    role, flags = _BEGIN.unpack(opening.content)
    return role, bool(flags & KEEP_CONN)


def management_reply(asked: Record, values: dict[str, str]) -> bytes:
    """The answer to a management record: the values asked for, or that the type is unknown."""
    if asked.kind != GET_VALUES:
        return record(UNKNOWN_TYPE, 0, bytes([asked.kind]) + bytes(7))
    answered = {name: values[name] for name in decode_pairs(asked.content) if name in values}
    return record(GET_VALUES_RESULT, 0, encode_pairs(answered))
