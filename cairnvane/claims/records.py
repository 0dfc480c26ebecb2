"""The format of the ledger's records, to bytes and back. No I/O.

Several lives append to one file, and a write may be cut short where another's follows. So each record begins
with a mark and carries one checksum over all of it; where none can be read, the next one that can is looked
for.
"""

from __future__ import annotations

import struct
from typing import NamedTuple
from zlib import crc32

from .states import Step

VERSION = 1
_MARK = b"CVL"
MAGIC = _MARK + b"%d" % VERSION
_HEAD = struct.Struct("<4sIHBxQ")  # magic, checksum of all behind it, payload's length, kind, life
HEAD_BYTES = _HEAD.size
_CHECKED_AT = 8
_COMMON = struct.Struct("<16sQQ")  # token, at, until
COMMON_BYTES = _COMMON.size
DIGEST_BYTES = 16
MOST_REST = (1 << 16) - 1 - COMMON_BYTES
# Behind this record, nothing in its segment counts. Steps of a key have their own numbers.
SEAL = 16
_KINDS = {SEAL, Step.INTENT, Step.RESULT, Step.FAULT, Step.NEVER}
NO_TOKEN = bytes(16)


class NewerVersionError(OSError):
    """Written by a version of the program that this one can't live beside. To a life that already serves, it
    is a folder that fails: it takes no new keys on."""


class Record(NamedTuple):
    """One record. Times are microseconds of the machine's monotonic clock."""

    kind: int
    life: int
    token: bytes
    at: int  # when it was made
    until: int  # until when its key counts
    rest: bytes  # of an intent: the digest; of an end: the digest and the result


def put(kind: int, life: int, token: bytes, at: int, until: int, rest: bytes = b"") -> bytes:
    """A record's bytes; `ValueError` if it is too long."""
    if len(rest) > MOST_REST:
        raise ValueError(f"a record of {len(rest)} bytes")
    payload = _COMMON.pack(token, at, until) + rest
    head = _HEAD.pack(MAGIC, 0, len(payload), kind, life)
    return (
        head[:4]
        + crc32(payload, crc32(head[_CHECKED_AT:])).to_bytes(4, "little")
        + head[_CHECKED_AT:]
        + payload
    )


def _at(data: bytes, at: int) -> tuple[Record, int] | None:
    """The record that begins here, and its length; None if none can be read."""
    if len(data) - at < HEAD_BYTES:
        return None
    magic, crc, length, kind, life = _HEAD.unpack_from(data, at)
    end = at + HEAD_BYTES + length
    if magic != MAGIC or kind not in _KINDS or length < COMMON_BYTES or end > len(data):
        return None
    if crc != crc32(data[at + _CHECKED_AT : end]):
        return None
    token, made, until = _COMMON.unpack_from(data, at + HEAD_BYTES)
    rest = data[at + HEAD_BYTES + COMMON_BYTES : end]
    return Record(kind, life, token, made, until, rest), HEAD_BYTES + length


class Scan(NamedTuple):
    """What a piece of a segment holds."""

    records: list[tuple[int, int, Record]]  # offset and length in the piece
    used: int  # bytes up to which nothing needs to be read again
    passed_over: int  # bytes among these that no record was read from


def scan(data: bytes) -> Scan:
    """All records of a piece. What can't be read is passed over once something that can be stands behind it;
    before that it may be being written."""
    records = []
    at = passed = 0
    while (found := _at(data, at)) is not None or (next_ := _next(data, at)) is not None:
        if found is None:
            assert next_ is not None
            passed += next_ - at
            at = next_
            continue
        records.append((at, found[1], found[0]))
        at += found[1]
    return Scan(records, at, passed)


def _next(data: bytes, at: int) -> int | None:
    """Where the next record that can be read begins, behind one that can't."""
    while (at := data.find(MAGIC, at + 1)) >= 0:
        if _at(data, at) is not None:
            return at
    return None


def check_version(data: bytes) -> None:
    """`NewerVersion` if a segment that begins so was written by a later version of the format."""
    if data[:3] == _MARK and data[3:4].isdigit() and int(data[3:4]) > VERSION:
        raise NewerVersionError(f"format {data[3:4].decode()}; this one reads up to {VERSION}")
