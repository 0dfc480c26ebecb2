"""The authenticated envelope of a message between members. No I/O.

An envelope consists of a header, the body, and a keyed hash over both; all members of the cluster share the
key. The header contains the sending instance and a message number that each instance only increases, so that
replays are detected.
"""

from __future__ import annotations

import struct
from enum import Enum
from typing import NamedTuple

try:  # as in `idempotency/fingerprint.py`: the same function as hashlib's, without importing hashlib
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

MAGIC = b"CVM"
VERSION = 1
HASH_BYTES = 16
# Datagrams may arrive out of order by fewer than this many numbers; older ones count as replayed.
REPLAY_WINDOW = 64
_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1
_HEADER = struct.Struct("<3sBQQ")  # magic, version, instance, number


class EnvelopeFault(Enum):
    """Why an envelope was rejected; the values are the names of the counters."""

    OVERSIZED = "oversized"
    TORN = "torn"  # shorter than an empty message
    STRANGER = "stranger"  # not sealed under our key
    VERSION = "version"
    UNREADABLE = "unreadable"  # sealed under our key, but the body is not a valid message


class MembershipError(Exception):
    """Base class of the errors of this package."""


class EnvelopeError(MembershipError, ValueError):
    """Data is not from a member or can't be decoded; the error text is the name of the counter."""

    def __init__(self, fault: EnvelopeFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class Envelope(NamedTuple):
    """The verified contents of an envelope."""

    sender: int  # the sending instance
    number: int
    body: bytes


def keyed_hash(key: bytes, data: bytes | memoryview) -> bytes:
    """The hash that proves knowledge of the key."""
    return blake2b(data, key=key, digest_size=HASH_BYTES).digest()


def seal_body(key: bytes, sender: int, number: int, body: bytes) -> bytes:
    """Encode an envelope with this body."""
    data = _HEADER.pack(MAGIC, VERSION, sender, number) + body
    return data + keyed_hash(key, data)


def open_envelope(key: bytes, data: bytes, max_bytes: int) -> Envelope:
    """Verify and open an envelope; raises `EnvelopeError` if it is not valid under our key."""
    if len(data) > max_bytes:
        raise EnvelopeError(EnvelopeFault.OVERSIZED)
    if len(data) < _HEADER.size + HASH_BYTES:
        raise EnvelopeError(EnvelopeFault.TORN)
    magic, version, sender, number = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise EnvelopeError(EnvelopeFault.STRANGER)
    if keyed_hash(key, data[:-HASH_BYTES]) != data[-HASH_BYTES:]:
        raise EnvelopeError(EnvelopeFault.STRANGER)
    if version != VERSION:
        raise EnvelopeError(EnvelopeFault.VERSION)
    return Envelope(sender, number, data[_HEADER.size : -HASH_BYTES])


class ReplayWindow:
    """Received message numbers of one sender: the highest, and a bitmap of those just below it."""

    __slots__ = ("_highest", "_seen_bits")

    def __init__(self) -> None:
        self._highest = 0
        self._seen_bits = 0

    def accept(self, number: int) -> bool:
        """Record a number; False if it was received before or is older than the window."""
        if number > self._highest:
            shift = min(number - self._highest, REPLAY_WINDOW)
            self._seen_bits = ((self._seen_bits << shift) | 1) & _WINDOW_MASK
            self._highest = number
            return True
        distance = self._highest - number
        if number <= 0 or distance >= REPLAY_WINDOW or self._seen_bits >> distance & 1:
            return False
        self._seen_bits |= 1 << distance
        return True
