"""The format on disk: segment headers and records, to bytes and back. No I/O.

A segment is a header of 128 bytes and records. It is divided into blocks of 64 KiB; a record never crosses
from one block into the next, and the rest of a block is zeros. Each record has a head of 16 bytes with a
checksum of its own, over length, kind and the segment's number: only a length whose checksum holds is
believed. Behind a head that can't be believed nothing in the block is; reading goes on at the next block.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from google_crc32c import extend
from google_crc32c import value as crc32c

from ...claims.states import Step
from .errors import InvalidHeaderError, NewerVersionError

VERSION = 1
OLDEST_VERSION = 1
MAGIC = b"CVKEYED\n"
BLOCK = 65_536
HEADER_BYTES = 128
MAX_NAME = 64
MAX_RECORD = BLOCK - HEADER_BYTES  # what fits into the first block fits into all

_HEADER = struct.Struct("<8sHHQ16sQQB64s")  # magic, version, length, number, boot, at, unix ms, name
_CRC = struct.Struct("<I")
_HEAD = struct.Struct("<IIIB3x")  # crc of what follows, payload's crc, payload's length, kind
HEAD_BYTES = _HEAD.size
_CHECKED_HEAD = slice(4, 16)  # the part of a head that its checksum covers
_COMMON = struct.Struct("<16sQQQ")  # idempotency key, at, until, pos
COMMON_BYTES = _COMMON.size
_INTENT = struct.Struct("<8s16sQf")  # uid, fingerprint, deadline, memory; then the class name
_END = struct.Struct("<16s")  # fingerprint; then the result
_CALL = struct.Struct("<Q")  # the notice that asks for the call
_LINK = struct.Struct("<q")  # when the worker pool started
NO_KEY = bytes(16)


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a segment."""

    number: int
    boot: bytes  # of the machine: the monotonic clock counts within it only
    at: int  # microseconds of the monotonic clock
    unix_ms: int  # for people
    name: str  # of the instance that it belongs to


@dataclass(frozen=True, slots=True)
class Record:
    """A parsed record."""

    step: Step
    key: bytes  # the idempotency key
    recorded_at: int  # when the record was made; microseconds of the monotonic clock, as the next one
    expires_at: int  # until when the key counts
    settled_notice: int  # notices up to this one have had their effect recorded
    own_part: bytes  # the record's own part, by its kind


@dataclass(frozen=True, slots=True)
class Damage:
    """A place that is not readable."""

    offset: int
    what: str
    length: int  # bytes that are skipped

    def __str__(self) -> str:
        return f"{self.what} at byte {self.offset}, {self.length} bytes passed over"


def encode_header(header: Header) -> bytes:
    """The 128 bytes of a segment's header."""
    name = header.name.encode()[:MAX_NAME]
    data = _HEADER.pack(
        MAGIC, VERSION, HEADER_BYTES, header.number, header.boot, header.at, header.unix_ms, len(name), name
    )
    data = data.ljust(HEADER_BYTES - _CRC.size, b"\0")
    return data + _CRC.pack(crc32c(data))


def parse_header(data: bytes) -> Header:
    """Parse the first 128 bytes of a segment; `InvalidHeaderError` says what is wrong with them."""
    if data[:8] != MAGIC:
        raise InvalidHeaderError("not a segment" if data.strip(b"\0") else "empty")
    if len(data) < 12:
        raise InvalidHeaderError("cut short in its header")
    version = int.from_bytes(data[8:10], "little")
    if version > VERSION:
        raise NewerVersionError(
            f"written by a newer version (format {version}; this one reads up to {VERSION})"
        )
    if version < OLDEST_VERSION or len(data) < HEADER_BYTES:
        raise InvalidHeaderError(
            "cut short in its header" if version >= OLDEST_VERSION else f"format {version} is no format"
        )
    if _CRC.unpack_from(data, HEADER_BYTES - _CRC.size)[0] != crc32c(data[: HEADER_BYTES - _CRC.size]):
        raise InvalidHeaderError("its header is damaged")
    _, _, _, number, boot, at, unix_ms, length, name = _HEADER.unpack_from(data)
    return Header(number, boot, at, unix_ms, name[:length].decode(errors="replace"))


def salt(number: int) -> int:
    """The initial value of the checksums of a segment's heads.

    With it, a block of another segment is never taken for one of this segment.
    """
    return int(crc32c(number.to_bytes(8, "little")))


def encode_record(number: int, step: Step, key: bytes, at: int, until: int, pos: int, rest: bytes) -> bytes:
    """The bytes of a record in segment `number`."""
    payload = _COMMON.pack(key, at, until, pos) + rest
    head = _HEAD.pack(0, crc32c(payload), len(payload), step)
    return _CRC.pack(extend(salt(number), head[_CHECKED_HEAD])) + head[_CHECKED_HEAD] + payload


def record_size(rest: int) -> int:
    """The size of a record whose own part has `rest` bytes."""
    return HEAD_BYTES + COMMON_BYTES + rest


# With a class name of 32 bytes.
INTENT_BYTES = record_size(_INTENT.size + 32)
# Without the result.
END_BYTES = record_size(_END.size)


def padding(offset: int, length: int) -> int:
    """The number of zeros before a record of this length that keep it within one block."""
    left = BLOCK - offset % BLOCK
    return left if length > left else 0


_NO_HEAD = bytes(HEAD_BYTES)
_STEPS = {int(step): step for step in Step}


# The kind of a record, its offset in the segment, and its payload. No class of its own: recovery reads
# hundreds of thousands of them.
RawRecord = tuple[int, int, bytes]


def scan(data: bytes, at: int, number: int) -> Iterator[RawRecord | Damage]:
    """The records of a block whose first byte is byte `at` of segment `number`.

    The header, in the first block, is skipped.
    """
    offset = HEADER_BYTES if at == 0 else 0
    end = len(data)
    salted = salt(number)
    while end - offset >= HEAD_BYTES:
        head, crc, length, kind = _HEAD.unpack_from(data, offset)
        if kind == 0 and data[offset : offset + HEAD_BYTES] == _NO_HEAD:
            if data[offset:].strip(b"\0"):
                yield Damage(at + offset, "zeros before something", end - offset)
            return
        if head != extend(salted, data[offset + 4 : offset + HEAD_BYTES]):
            yield Damage(at + offset, "a head that can't be right", end - offset)
            return
        start = offset + HEAD_BYTES
        if start + length > end:
            yield Damage(at + offset, "cut short", end - offset)
            return
        payload = data[start : start + length]
        if crc32c(payload) != crc:
            yield Damage(at + offset, "a wrong checksum", HEAD_BYTES + length)
        elif kind not in _STEPS or length < COMMON_BYTES + _LEAST[kind]:
            yield Damage(at + offset, f"a record of kind {kind} that can't be right", HEAD_BYTES + length)
        else:
            yield kind, at + offset, payload
        offset = start + length
    if data[offset:].strip(b"\0"):
        yield Damage(at + offset, "cut short", end - offset)


_LEAST = {
    Step.INTENT: _INTENT.size,
    Step.CALL: _CALL.size,
    Step.RESULT: _END.size,
    Step.FAULT: _END.size,
    Step.NEVER: 0,
    Step.LINK: _LINK.size,
}

unpack_common = _COMMON.unpack_from  # idempotency key, at, until, pos


def parse_record(kind: int, payload: bytes) -> Record:
    """Parse the payload of a record that `scan` has found."""
    key, at, until, pos = _COMMON.unpack_from(payload)
    return Record(_STEPS[kind], key, at, until, pos, payload[COMMON_BYTES:])


class StartPart(NamedTuple):
    """The own part of a start record."""

    uid: str
    fingerprint: bytes
    deadline: int
    memory: float
    class_name: str


class EndPart(NamedTuple):
    """The own part of an end record."""

    fingerprint: bytes
    result: bytes


def encode_start(uid: str, fingerprint: bytes, deadline: int, memory: float, class_name: str) -> bytes:
    """The own part of a start record."""
    return _INTENT.pack(bytes.fromhex(uid), fingerprint, deadline, memory) + class_name.encode()


def parse_start(rest: bytes) -> StartPart:
    """Parse the own part of a start record."""
    uid, fingerprint, deadline, memory = _INTENT.unpack_from(rest)
    class_name = rest[_INTENT.size :].decode(errors="replace")
    return StartPart(uid.hex(), fingerprint, deadline, memory, class_name)


def encode_end(fingerprint: bytes, result: bytes) -> bytes:
    """The own part of an end record."""
    return _END.pack(fingerprint) + result


def parse_end(rest: bytes) -> EndPart:
    """Parse the own part of an end record."""
    return EndPart(rest[: _END.size], rest[_END.size :])


def encode_call(notice: int) -> bytes:
    """The own part of a call record."""
    return _CALL.pack(notice)


def parse_call(rest: bytes) -> int:
    """The notice that asked for the call, from the own part of a call record."""
    return int(_CALL.unpack_from(rest)[0])


def encode_link(pool_started_at: int) -> bytes:
    """The own part of a link record."""
    return _LINK.pack(pool_started_at)


def parse_link(rest: bytes) -> int:
    """When the worker pool started, from the own part of a link record."""
    return int(_LINK.unpack_from(rest)[0])
