"""The codec for the part of FastCGI 1.0 that a responder needs; it does no I/O."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import NamedTuple

from .errors import ProtocolError

VERSION = 1
# Record types.
BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
# The supported role, the flag of a BEGIN_REQUEST, and the protocol statuses of an END_REQUEST.
RESPONDER = 1
KEEP_CONN = 1
REQUEST_COMPLETE, OVERLOADED, UNKNOWN_ROLE = 0, 2, 3

_HEADER = struct.Struct(">BBHHBx")  # version, type, request, content length, padding length
_BEGIN = struct.Struct(">HB5x")  # role, flags
_END = struct.Struct(">IB3x")  # application status, protocol status
_LONG_LENGTH = struct.Struct(">I")
# Names and values of at least this length have a four-byte length field, in which the top bit is set.
_FIRST_LONG_LENGTH = 128
_LONG_LENGTH_FLAG = 0x80000000
_LONG_LENGTH_MASK = 0x7FFFFFFF

# In bytes. The parameters of a request are a dozen short fields; its body is at most 2 KiB.
MAX_PARAMS_BYTES = 8_192
MAX_BODY_BYTES = 2_048
# Decoding more would take long, since a name and a value may be empty.
MAX_PAIRS = 256
# No legal request has a record with more content than this.
MAX_CONTENT_BYTES = MAX_PARAMS_BYTES
MAX_RECORD_OUT = 65_535
# Memory of a request of which no content has been received yet.
PARTIAL_REQUEST_BYTES = 1_024


class MalformedRecordError(ProtocolError):
    """Input that violates the protocol; nothing after it on the connection can be decoded."""


class Record(NamedTuple):
    """A FastCGI record."""

    kind: int  # the record type
    request: int  # the request's number; 0 for management records
    content: bytes


def read_record(view: memoryview, offset: int, size: int) -> tuple[Record, int] | None:
    """Decode the record at `offset` of a buffer with `size` valid bytes.

    Returns the record and the offset of the next one, or None if the record is incomplete.
    """
    if size - offset < _HEADER.size:
        return None
    version, kind, request, length, padding = _HEADER.unpack_from(view, offset)
    if version != VERSION:
        raise MalformedRecordError(f"unsupported protocol version {version}")
    if length > MAX_CONTENT_BYTES:
        raise MalformedRecordError(f"oversized record: {length} bytes of content")
    start = offset + _HEADER.size
    end = start + length + padding
    if end > size:
        return None
    return Record(kind, request, bytes(view[start : start + length])), end


def record(kind: int, request: int, content: bytes) -> bytes:
    """Encode one record."""
    return _HEADER.pack(VERSION, kind, request, len(content), 0) + content


def decode_pairs(data: bytes, names: frozenset[str] | None = None) -> dict[str, str]:
    """Decode name-value pairs: all, or those with one of these names.

    Bytes that are not UTF-8 become surrogate escapes, so that different names never become equal.
    """
    decoded: dict[str, str] = {}
    position = 0
    count = 0
    size = len(data)
    while position < size:
        count += 1
        if count > MAX_PAIRS:
            raise MalformedRecordError(f"more than {MAX_PAIRS} parameters")
        # Most lengths are short ones, which need no call.
        name_length = data[position]
        position += 1
        if name_length >= _FIRST_LONG_LENGTH:
            name_length, position = _read_long_length(data, position - 1)
        if position >= size:
            raise MalformedRecordError("truncated parameters")
        value_length = data[position]
        position += 1
        if value_length >= _FIRST_LONG_LENGTH:
            value_length, position = _read_long_length(data, position - 1)
        name_end = position + name_length
        value_end = name_end + value_length
        if value_end > size:
            raise MalformedRecordError("truncated parameters")
        name = data[position:name_end].decode("utf-8", "surrogateescape")
        if names is None or name in names:
            decoded[name] = data[name_end:value_end].decode("utf-8", "surrogateescape")
        position = value_end
    return decoded


def _read_long_length(data: bytes, position: int) -> tuple[int, int]:
    """Decode the four-byte length of a name or value; returns it and the position after it."""
    end = position + _LONG_LENGTH.size
    if end > len(data):
        raise MalformedRecordError("truncated parameters")
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
    """Encode the END_REQUEST record of a request."""
    return record(END_REQUEST, request, _END.pack(0, status))


def response(request: int, content: bytes) -> bytes:
    """Encode a complete response: the output, the end of the output and the end of the request."""
    records = [
        record(STDOUT, request, content[start : start + MAX_RECORD_OUT])
        for start in range(0, len(content), MAX_RECORD_OUT)
    ]
    return b"".join([*records, record(STDOUT, request, b""), end(request)])


@dataclass(slots=True)
class IncomingRequest:
    """A request that is being received."""

    id: int
    keep_connection: bool  # the connection stays open after the response
    started_at: float  # time of the first record, by the server's clock for connections
    parameter_names: frozenset[str]  # all other parameters are discarded
    params: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    _stream: bytearray = field(default_factory=bytearray)  # content of the parameters, later of the body
    _has_params: bool = False
    _params_bytes: int = 0

    @property
    def size(self) -> int:
        """The bytes of memory that it occupies, with an allowance for its objects."""
        return PARTIAL_REQUEST_BYTES + self._params_bytes + len(self._stream)

    def add(self, part: Record) -> bool:
        """Add a PARAMS or STDIN record; True if the request is now complete.

        Raises `MalformedRecordError` if the record is out of order or the request is too long.
        """
        if (part.kind == STDIN) is not self._has_params:
            raise MalformedRecordError("PARAMS and STDIN records out of order")
        if part.content:
            self._add_content(part.content)
            return False
        if self._has_params:
            self.body = bytes(self._stream)
            return True
        self.params = decode_pairs(bytes(self._stream), self.parameter_names)
        self._has_params = True
        self._params_bytes = len(self._stream)
        self._stream.clear()
        return False

    def _add_content(self, content: bytes) -> None:
        self._stream += content
        if len(self._stream) > (MAX_BODY_BYTES if self._has_params else MAX_PARAMS_BYTES):
            raise MalformedRecordError("oversized request")


def parse_begin_request(begin_record: Record) -> tuple[int, bool]:
    """Decode a BEGIN_REQUEST; returns its role and whether the connection is to be kept open."""
    if len(begin_record.content) != _BEGIN.size or begin_record.request == 0:
        raise MalformedRecordError("malformed BEGIN_REQUEST")
    role, flags = _BEGIN.unpack(begin_record.content)
    return role, bool(flags & KEEP_CONN)


def management_reply(query: Record, values: dict[str, str]) -> bytes:
    """Encode the reply to a management record: the requested values, or UNKNOWN_TYPE."""
    if query.kind != GET_VALUES:
        return record(UNKNOWN_TYPE, 0, bytes([query.kind]) + bytes(7))
    requested = {name: values[name] for name in decode_pairs(query.content) if name in values}
    return record(GET_VALUES_RESULT, 0, encode_pairs(requested))
