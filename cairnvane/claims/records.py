"""Encodes and decodes the claim log's records. No I/O.

Several incarnations append to one file, and a write that was cut short may be followed by another
incarnation's record. So each record begins with a magic number and has one checksum over all of it. Where no
record can be read, the next readable one is searched for.
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
HEADER_BYTES = _HEADER.size
_CHECKSUM_OFFSET = len(MAGIC)
_CHECKED_START = 8  # the checksum covers the record from this offset on
_COMMON = struct.Struct("<16sQQ")  # key, time of the record, expiry
COMMON_BYTES = _COMMON.size
FINGERPRINT_BYTES = 16
MAX_REST_BYTES = (1 << 16) - 1 - COMMON_BYTES
# A record of this kind seals its segment: records behind it are ignored. The kinds of all other records are
# the numbers of `Step`.
SEAL = 16
_KINDS = {SEAL, Step.INTENT, Step.RESULT, Step.FAULT, Step.NEVER}
NO_KEY = bytes(16)  # the key of a record that concerns no key


class NewerVersionError(ClaimError, OSError):
    """A segment was written by a program version whose format this one can't read.

    An incarnation that already serves handles this as a failure of the folder: it accepts no new keys.
    """


class Record(NamedTuple):
    """One record. Times are microseconds of the machine's monotonic clock."""

    kind: int
    incarnation: int  # the incarnation that wrote it
    key: bytes  # the idempotency key
    made_at: int
    expires_at: int  # the time when its key expires
    rest: bytes  # of an intent: the fingerprint; of an end: the fingerprint and the result


class ScannedRecord(NamedTuple):
    """A record and its location in the scanned data."""

    offset: int
    length: int
    record: Record


class Scan(NamedTuple):
    """The records found in a piece of a segment."""

    records: list[ScannedRecord]
    used: int  # the number of bytes that need not be read again
    passed_over: int  # how many of these bytes could not be read as a record


def encode(
    kind: int, incarnation: int, key: bytes, made_at: int, expires_at: int, rest: bytes = b""
) -> bytes:
    """Encode a record; raises `RecordTooLongError` (a `ValueError`) if it is too long."""
    if len(rest) > MAX_REST_BYTES:
        raise RecordTooLongError(
            f"record of key {key.hex()}: {len(rest)} bytes, at most {MAX_REST_BYTES} fit"
        )
    payload = _COMMON.pack(key, made_at, expires_at) + rest
    header = _HEADER.pack(MAGIC, 0, len(payload), kind, incarnation)
    checked_header = header[_CHECKED_START:]
    checksum = crc32(payload, crc32(checked_header))
    return header[:_CHECKSUM_OFFSET] + checksum.to_bytes(4, "little") + checked_header + payload


def scan(data: bytes) -> Scan:
    """Return all records of a piece of a segment.

    Unreadable data is passed over only if a readable record follows it. Otherwise it may be a record that is
    still being written.
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
    """Raise `NewerVersionError` if a segment that begins with this data has a later version of the format."""
    name = data[: len(_FORMAT_NAME)]
    version = data[len(_FORMAT_NAME) : len(_FORMAT_NAME) + 1]
    if name == _FORMAT_NAME and version.isdigit() and int(version) > VERSION:
        raise NewerVersionError(f"format {version.decode()}; this one reads up to {VERSION}")


def _decode(data: bytes, offset: int) -> ScannedRecord | None:
    """Return the record that begins at this offset; None if no record can be read there."""
    if len(data) - offset < HEADER_BYTES:
        return None
    magic, checksum, payload_length, kind, incarnation = _HEADER.unpack_from(data, offset)
    end = offset + HEADER_BYTES + payload_length
    if magic != MAGIC or kind not in _KINDS or payload_length < COMMON_BYTES or end > len(data):
        return None
    if checksum != crc32(data[offset + _CHECKED_START : end]):
        return None
    key, made_at, expires_at = _COMMON.unpack_from(data, offset + HEADER_BYTES)
    rest = data[offset + HEADER_BYTES + COMMON_BYTES : end]
    record = Record(kind, incarnation, key, made_at, expires_at, rest)
    return ScannedRecord(offset, HEADER_BYTES + payload_length, record)


def _find_next(data: bytes, offset: int) -> int | None:
    """Return the offset of the next readable record behind this offset; None if there is none."""
    while (offset := data.find(MAGIC, offset + 1)) >= 0:
        if _decode(data, offset) is not None:
            return offset
    return None
