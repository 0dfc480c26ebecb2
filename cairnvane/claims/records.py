"""The format of the claim log's records, to bytes and back. No I/O.

Several incarnations append to one file, and a write may be cut short where another's follows. So each record
begins with a magic number and carries one checksum over all of it; where no record can be read, the next
readable one is searched for.
"""

from __future__ import annotations

import struct
from typing import NamedTuple
from zlib import crc32

from .errors import ClaimError, RecordTooLongError
from .states import Step

VERSION = 1
_FORMAT_NAME = b"CVL"
MAGIC = _FORMAT_NAME + b"%d" % VERSION
_HEADER = struct.Struct("<4sIHBxQ")  # magic, checksum of all behind it, payload's length, kind, incarnation
HEAD_BYTES = _HEADER.size
_CHECKSUM_AT = len(MAGIC)
_CHECKED_FROM = 8  # the checksum covers the record from this offset on
_COMMON = struct.Struct("<16sQQ")  # key, time of the record, expiry
COMMON_BYTES = _COMMON.size
FINGERPRINT_BYTES = 16  # of a request's fingerprint
MAX_REST_BYTES = (1 << 16) - 1 - COMMON_BYTES
# A record of this kind ends its segment: nothing behind it counts. The kinds of all other records are the
# numbers of `Step`.
SEAL = 16
_KINDS = {SEAL, Step.INTENT, Step.RESULT, Step.FAULT, Step.NEVER}
NO_KEY = bytes(16)  # the key of a record that concerns no key


class NewerVersionError(ClaimError, OSError):
    """A segment was written by a program version whose format this one can't read.

    To an incarnation that already serves, this is a folder that fails: it accepts no new keys.
    """


class Record(NamedTuple):
    """One record. Times are microseconds of the machine's monotonic clock."""

    kind: int
    incarnation: int  # the incarnation that wrote it
    key: bytes  # the idempotency key
    made_at: int  # when it was made
    expires_at: int  # when its key expires
    rest: bytes  # of an intent: the fingerprint; of an end: the fingerprint and the result


class ScannedRecord(NamedTuple):
    """A record, and where it stands in the scanned data."""

    offset: int
    length: int
    record: Record


class Scan(NamedTuple):
    """What a piece of a segment holds."""

    records: list[ScannedRecord]
    used: int  # bytes up to which nothing needs to be read again
    passed_over: int  # bytes among these that no record could be read from


def encode(kind: int, life: int, token: bytes, at: int, until: int, rest: bytes = b"") -> bytes:
    """Encode a record; `RecordTooLongError` (a `ValueError`) if it does not fit."""
    if len(rest) > MAX_REST_BYTES:
        raise RecordTooLongError(
            f"record of key {token.hex()}: {len(rest)} bytes, at most {MAX_REST_BYTES} fit"
        )
    payload = _COMMON.pack(token, at, until) + rest
    header = _HEADER.pack(MAGIC, 0, len(payload), kind, life)
    checked_header = header[_CHECKED_FROM:]
    checksum = crc32(payload, crc32(checked_header))
    return header[:_CHECKSUM_AT] + checksum.to_bytes(4, "little") + checked_header + payload


def scan(data: bytes) -> Scan:
    """Return all records of a piece of a segment.

    Unreadable data is passed over once a readable record stands behind it; before that, it may be a record
    that is still being written.
    """
    records: list[ScannedRecord] = []
    offset = 0
    passed_over = 0
    while True:
        found = _decode(data, offset)
        if found is None:
            next_offset = _find_next(data, offset)
            if next_offset is None:
                return Scan(records, offset, passed_over)
            passed_over += next_offset - offset
            offset = next_offset
            continue
        records.append(found)
        offset += found.length


def check_version(data: bytes) -> None:
    """Raise `NewerVersionError` if a segment that begins so has a later version of the format."""
    name = data[: len(_FORMAT_NAME)]
    version = data[len(_FORMAT_NAME) : len(_FORMAT_NAME) + 1]
    if name == _FORMAT_NAME and version.isdigit() and int(version) > VERSION:
        raise NewerVersionError(f"format {version.decode()}; this one reads up to {VERSION}")


def _decode(data: bytes, offset: int) -> ScannedRecord | None:
    """The record that begins at this offset; None if none can be read there."""
    if len(data) - offset < HEAD_BYTES:
        return None
    magic, checksum, payload_length, kind, incarnation = _HEADER.unpack_from(data, offset)
    end = offset + HEAD_BYTES + payload_length
    if magic != MAGIC or kind not in _KINDS or payload_length < COMMON_BYTES or end > len(data):
        return None
    if checksum != crc32(data[offset + _CHECKED_FROM : end]):
        return None
    key, made_at, expires_at = _COMMON.unpack_from(data, offset + HEAD_BYTES)
    rest = data[offset + HEAD_BYTES + COMMON_BYTES : end]
    record = Record(kind, incarnation, key, made_at, expires_at, rest)
    return ScannedRecord(offset, HEAD_BYTES + payload_length, record)


def _find_next(data: bytes, offset: int) -> int | None:
    """Where the next readable record begins behind an unreadable one; None if there is none."""
    while (offset := data.find(MAGIC, offset + 1)) >= 0:
        if _decode(data, offset) is not None:
            return offset
    return None
