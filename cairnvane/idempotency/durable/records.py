"""The format: segment headers and records, to bytes and back. No I/O.

A segment is a header of 128 bytes and records. It is divided into blocks of 64 KiB; a record never crosses
from one block into the next, and the rest of a block is zeros. Each record has a head of 16 bytes with a
checksum of its own, over length, kind and the segment's number: only a length whose checksum holds is
believed. Behind a head that can't be believed nothing in the block is; reading goes on at the next block.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from google_crc32c import extend
from google_crc32c import value as crc32c

from ...claims.states import Step

VERSION, OLDEST = 1, 1
MAGIC = b"CVKEYED\n"
BLOCK = 65_536
HEADER_BYTES = 128
MAX_NAME = 64
MAX_RECORD = BLOCK - HEADER_BYTES  # what fits into the first block fits into all

_HEADER = struct.Struct("<8sHHQ16sQQB64s")  # magic, version, length, number, boot, at, unix ms, name
_CRC = struct.Struct("<I")
_HEAD = struct.Struct("<IIIB3x")  # crc of what follows, payload's crc, payload's length, kind
HEAD_BYTES = _HEAD.size
_CHECKED = slice(4, 16)  # of a head, what its checksum is over
_COMMON = struct.Struct("<16sQQQ")  # token, at, until, pos
COMMON_BYTES = _COMMON.size
_INTENT = struct.Struct("<8s16sQf")  # uid, digest, due, memory; the lane behind
_END = struct.Struct("<16s")  # digest; the result behind
_CALL = struct.Struct("<Q")  # the notice that asks for it
_LINK = struct.Struct("<q")  # when the pool started
NO_TOKEN = bytes(16)


class InvalidHeaderError(Exception):
    """No segment, or one that this version can't read."""


class NewerVersionError(InvalidHeaderError):
    """A segment of a later version: it must not be touched."""


@dataclass(frozen=True, slots=True)
class Header:
    """What a segment says of itself."""

    number: int
    boot: bytes  # of the machine: its monotonic clock counts within it only
    at: int  # microseconds of the monotonic clock
    unix_ms: int  # for people
    name: str  # of the instance that it belongs to


@dataclass(frozen=True, slots=True)
class Record:
    """A record, taken apart."""

    step: Step
    token: bytes
    at: int  # when it was made
    until: int  # until when its key counts
    pos: int  # notices up to this one have had their effect recorded
    rest: bytes


@dataclass(frozen=True, slots=True)
class Damage:
    """A place that can't be read."""

    offset: int
    what: str
    length: int  # bytes that are passed over

    def __str__(self) -> str:
        return f"{self.what} at byte {self.offset}, {self.length} bytes passed over"


def put_header(header: Header) -> bytes:
    """128 bytes."""
    name = header.name.encode()[:MAX_NAME]
    data = _HEADER.pack(
        MAGIC, VERSION, HEADER_BYTES, header.number, header.boot, header.at, header.unix_ms, len(name), name
    )
    data = data.ljust(HEADER_BYTES - _CRC.size, b"\0")
    return data + _CRC.pack(crc32c(data))


def header(data: bytes) -> Header:
    """Read the first 128 bytes; `BadHeader` says in a few words what is wrong with them."""
    if data[:8] != MAGIC:
        raise InvalidHeaderError("not a segment" if data.strip(b"\0") else "empty")
    if len(data) < 12:
        raise InvalidHeaderError("cut short in its header")
    version = int.from_bytes(data[8:10], "little")
    if version > VERSION:
        raise NewerVersionError(
            f"written by a newer version (format {version}; this one reads up to {VERSION})"
        )
    if version < OLDEST or len(data) < HEADER_BYTES:
        raise InvalidHeaderError(
            "cut short in its header" if version >= OLDEST else f"format {version} is no format"
        )
    if _CRC.unpack_from(data, HEADER_BYTES - _CRC.size)[0] != crc32c(data[: HEADER_BYTES - _CRC.size]):
        raise InvalidHeaderError("its header is damaged")
    _, _, _, number, boot, at, unix_ms, length, name = _HEADER.unpack_from(data)
    return Header(number, boot, at, unix_ms, name[:length].decode(errors="replace"))


def salt(number: int) -> int:
    """Where the checksums of a segment's heads begin: a block of another segment is none of this one's."""
    return int(crc32c(number.to_bytes(8, "little")))


def put(number: int, step: Step, token: bytes, at: int, until: int, pos: int, rest: bytes) -> bytes:
    """A record of segment `number`."""
    payload = _COMMON.pack(token, at, until, pos) + rest
    head = _HEAD.pack(0, crc32c(payload), len(payload), step)
    return _CRC.pack(extend(salt(number), head[_CHECKED])) + head[_CHECKED] + payload


def size(rest: int) -> int:
    """The bytes of a record whose own part has `rest` bytes."""
    return HEAD_BYTES + COMMON_BYTES + rest


INTENT_BYTES, END_BYTES = size(_INTENT.size + 32), size(_END.size)


def padding(offset: int, length: int) -> int:
    """Zeros to put before a record of this length, so that it stays within its block."""
    left = BLOCK - offset % BLOCK
    return left if length > left else 0


_NOTHING = bytes(HEAD_BYTES)
_STEPS = {int(step): step for step in Step}


def scan(data: bytes, at: int, number: int) -> Iterator[tuple[int, int, bytes] | Damage]:
    """The records of a block whose first byte is byte `at` of segment `number`: kind, offset in the segment,
    and payload. The header, in the first block, is passed over."""
    offset, end, salted = (HEADER_BYTES if at == 0 else 0), len(data), salt(number)
    while end - offset >= HEAD_BYTES:
        head, crc, length, kind = _HEAD.unpack_from(data, offset)
        if kind == 0 and data[offset : offset + HEAD_BYTES] == _NOTHING:
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

common = _COMMON.unpack_from  # token, at, until, pos


def parse(kind: int, payload: bytes) -> Record:
    """The payload of a record that `scan` has found."""
    token, at, until, pos = _COMMON.unpack_from(payload)
    return Record(_STEPS[kind], token, at, until, pos, payload[COMMON_BYTES:])


def put_intent(uid: str, digest: bytes, due: int, memory: float, lane: str) -> bytes:
    """An intent's own part."""
    return _INTENT.pack(bytes.fromhex(uid), digest, due, memory) + lane.encode()


def intent(rest: bytes) -> tuple[str, bytes, int, float, str]:
    """The uid, digest, due time, memory and lane of an intent."""
    uid, digest, due, memory = _INTENT.unpack_from(rest)
    return uid.hex(), digest, due, memory, rest[_INTENT.size :].decode(errors="replace")


def put_end(digest: bytes, result: bytes) -> bytes:
    """An end's own part."""
    return _END.pack(digest) + result


def end(rest: bytes) -> tuple[bytes, bytes]:
    """The digest and result of an end."""
    return rest[: _END.size], rest[_END.size :]


def put_call(pos: int) -> bytes:
    """A call's own part."""
    return _CALL.pack(pos)


def call(rest: bytes) -> int:
    """The notice that asked for the call."""
    return int(_CALL.unpack_from(rest)[0])


def put_link(started: int) -> bytes:
    """A link's own part."""
    return _LINK.pack(started)


def link(rest: bytes) -> int:
    """When the pool of this link started."""
    return int(_LINK.unpack_from(rest)[0])
