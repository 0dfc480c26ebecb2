"""The format on disk: encodes and parses segment headers and records. No I/O.

A segment consists of a header of 128 bytes and of records. It is divided into blocks of 64 KiB; a record
never crosses a block boundary, and the rest of a block is filled with zeros. Each record starts with a head
of 16 bytes that has its own checksum, over the payload's checksum and length, the kind and the segment's
number: the length is used only if that checksum matches. If it does not, the rest of the block is skipped and
reading continues with the next block.
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
MAX_NAME = 64  # bytes of the instance name
MAX_RECORD = BLOCK - HEADER_BYTES  # bytes; the first block, with the header, has the least room

_HEADER = struct.Struct("<8sHHQ16sQQB64s")  # magic, version, length, number, boot, at, unix ms, name
_CRC = struct.Struct("<I")
_HEAD = struct.Struct("<IIIB3x")  # crc of the rest of the head, payload's crc, payload's length, kind
HEAD_BYTES = _HEAD.size
_CHECKED_HEAD = slice(4, 16)  # the part of a head that the checksum in its first 4 bytes covers
_COMMON = struct.Struct("<16sQQQ")  # idempotency key, recorded at, expires at, settled notice
COMMON_BYTES = _COMMON.size
_INTENT = struct.Struct("<8s16sQf")  # uid, fingerprint, deadline, memory; then the class name
_END = struct.Struct("<16s")  # fingerprint; then the result
_CALL = struct.Struct("<Q")  # the notice that asks for the call
_LINK = struct.Struct("<q")  # when the worker pool started
NO_KEY = bytes(16)  # the key of a record that concerns no request


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a segment."""

    number: int
    boot: bytes  # id of the machine's boot; times of the monotonic clock are comparable only within one boot
    at: int  # when the segment was begun, in microseconds of the monotonic clock
    unix_ms: int  # the same in Unix time, for display only
    name: str  # of the instance that owns the segment


@dataclass(frozen=True, slots=True)
class Record:
    """A parsed record."""

    step: Step
    key: bytes  # the idempotency key
    recorded_at: int  # microseconds of the monotonic clock, as is `expires_at`
    expires_at: int  # when the key's window ends
    settled_notice: int  # the effects of all notices up to this one are recorded
    own_part: bytes  # the part of the payload whose layout depends on the step


@dataclass(frozen=True, slots=True)
class Damage:
    """A part of a segment that is not readable."""

    offset: int
    description: str
    length: int  # bytes that are skipped

    def __str__(self) -> str:
        return f"{self.description} at byte {self.offset}, {self.length} bytes passed over"


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
            "cut short in its header" if version >= OLDEST_VERSION else f"format {version} does not exist"
        )
    if _CRC.unpack_from(data, HEADER_BYTES - _CRC.size)[0] != crc32c(data[: HEADER_BYTES - _CRC.size]):
        raise InvalidHeaderError("its header is damaged")
    _, _, _, number, boot, at, unix_ms, length, name = _HEADER.unpack_from(data)
    return Header(number, boot, at, unix_ms, name[:length].decode(errors="replace"))


def salt(number: int) -> int:
    """The initial value of the checksums of the record heads in segment `number`.

    A block that was copied from another segment does not match it.
    """
    return int(crc32c(number.to_bytes(8, "little")))


def encode_record(
    segment_number: int,
    step: Step,
    key: bytes,
    recorded_at: int,
    expires_at: int,
    settled_notice: int,
    own_part: bytes,
) -> bytes:
    """The bytes of a record in a segment."""
    payload = _COMMON.pack(key, recorded_at, expires_at, settled_notice) + own_part
    head = _HEAD.pack(0, crc32c(payload), len(payload), step)
    return _CRC.pack(extend(salt(segment_number), head[_CHECKED_HEAD])) + head[_CHECKED_HEAD] + payload


def record_size(own_part_bytes: int) -> int:
    """The size in bytes of a record whose own part has `own_part_bytes` bytes."""
    return HEAD_BYTES + COMMON_BYTES + own_part_bytes


# The size of a start record with a class name of 32 bytes.
INTENT_BYTES = record_size(_INTENT.size + 32)
# The size of an end record without the result.
END_BYTES = record_size(_END.size)


def padding(offset: int, length: int) -> int:
    """The number of zero bytes to write before a record so that it does not cross a block boundary."""
    bytes_left = BLOCK - offset % BLOCK
    return bytes_left if length > bytes_left else 0


_NO_HEAD = bytes(HEAD_BYTES)
_STEPS = {int(step): step for step in Step}


# The kind of a record, its offset in the segment, and its payload. A plain tuple is fast to create: recovery
# reads hundreds of thousands of records.
RawRecord = tuple[int, int, bytes]


def scan(data: bytes, block_offset: int, segment_number: int) -> Iterator[RawRecord | Damage]:
    """Yield the records and the damage in `data`, which starts at `block_offset` of the segment.

    The header, in the first block, is skipped.
    """
    offset = HEADER_BYTES if block_offset == 0 else 0
    end = len(data)
    initial_crc = salt(segment_number)
    while end - offset >= HEAD_BYTES:
        head, crc, length, kind = _HEAD.unpack_from(data, offset)
        if kind == 0 and data[offset : offset + HEAD_BYTES] == _NO_HEAD:
            if data[offset:].strip(b"\0"):
                yield Damage(block_offset + offset, "zeros followed by data", end - offset)
            return
        if head != extend(initial_crc, data[offset + 4 : offset + HEAD_BYTES]):
            yield Damage(block_offset + offset, "an invalid record head", end - offset)
            return
        start = offset + HEAD_BYTES
        if start + length > end:
            yield Damage(block_offset + offset, "cut short", end - offset)
            return
        payload = data[start : start + length]
        if crc32c(payload) != crc:
            yield Damage(block_offset + offset, "a wrong checksum", HEAD_BYTES + length)
        elif kind not in _STEPS or length < COMMON_BYTES + _MIN_OWN_PART_BYTES[kind]:
            yield Damage(block_offset + offset, f"an invalid record of kind {kind}", HEAD_BYTES + length)
        else:
            yield kind, block_offset + offset, payload
        offset = start + length
    if data[offset:].strip(b"\0"):
        yield Damage(block_offset + offset, "cut short", end - offset)


# The smallest size of the own part in a record of each kind.
_MIN_OWN_PART_BYTES = {
    Step.INTENT: _INTENT.size,
    Step.CALL: _CALL.size,
    Step.RESULT: _END.size,
    Step.FAULT: _END.size,
    Step.NEVER: 0,
    Step.LINK: _LINK.size,
}

unpack_common = _COMMON.unpack_from  # returns idempotency key, recorded at, expires at, settled notice


def parse_record(kind: int, payload: bytes) -> Record:
    """Parse the payload of a record that `scan` has yielded."""
    key, recorded_at, expires_at, settled_notice = _COMMON.unpack_from(payload)
    return Record(_STEPS[kind], key, recorded_at, expires_at, settled_notice, payload[COMMON_BYTES:])


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


def parse_start(own_part: bytes) -> StartPart:
    """Parse the own part of a start record."""
    uid, fingerprint, deadline, memory = _INTENT.unpack_from(own_part)
    class_name = own_part[_INTENT.size :].decode(errors="replace")
    return StartPart(uid.hex(), fingerprint, deadline, memory, class_name)


def encode_end(fingerprint: bytes, result: bytes) -> bytes:
    """The own part of an end record."""
    return _END.pack(fingerprint) + result


def parse_end(own_part: bytes) -> EndPart:
    """Parse the own part of an end record."""
    return EndPart(own_part[: _END.size], own_part[_END.size :])


def encode_call(notice: int) -> bytes:
    """The own part of a call record."""
    return _CALL.pack(notice)


def parse_call(own_part: bytes) -> int:
    """The notice that asked for the call, from the own part of a call record."""
    return int(_CALL.unpack_from(own_part)[0])


def encode_link(pool_started_at: int) -> bytes:
    """The own part of a link record."""
    return _LINK.pack(pool_started_at)


def parse_link(own_part: bytes) -> int:
    """When the worker pool started, from the own part of a link record."""
    return int(_LINK.unpack_from(own_part)[0])
