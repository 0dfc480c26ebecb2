"""What members say to each other, and the envelope that a stranger can neither open nor play again. No I/O.

msgpack, by msgspec. A datagram is a header, the message, and a keyed hash over both, under one key for the
fleet. The header carries the sender's life and a number that only rises in it: what comes twice is dropped,
and so is what an earlier life said, once that is known to be dead.
"""

from __future__ import annotations

import struct

import msgspec

try:  # as in `digest.py`: what hashlib hands on, without the rest of it
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

from .member_table import Claim, Info

# Below what any path carries in one piece, and what is accepted at all.
MOST_BYTES = 1_400
# How much of it claims and infos may take; a whole view goes over TCP, in pieces of so many lives.
MAX_CLAIMS, MAX_METADATA_ENTRIES, MEMBERS_PER_VIEW = 6, 2, 64
MAX_VIEW_BYTES = 1 << 20
MAGIC, VERSION = b"CVM", 1
_HEAD = struct.Struct("<3sBQQ")  # magic, version, life, number
HASH_BYTES = 16
# A datagram may overtake so many others; what is older counts as played again.
REPLAY_WINDOW = 64


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there? `to` is the life that is meant; another one at its address does not answer for it."""

    number: int
    target: int
    claims: list[Claim] = []
    infos: list[Info] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """I am; or, for a life that was asked for, it is."""

    number: int
    target: int
    claims: list[Claim] = []
    infos: list[Info] = []


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Probe that life for me."""

    number: int
    target: int
    claims: list[Claim] = []
    infos: list[Info] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """I heard you, but not whom you asked for."""

    number: int
    target: int


class View(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All that is known; `answer`: send me yours."""

    answer: bool
    claims: list[Claim] = []
    infos: list[Info] = []


Message = Ping | Ack | Ask | Nack | View
_ENCODE = msgspec.msgpack.Encoder()
_DECODE = msgspec.msgpack.Decoder(Message)


class EnvelopeError(ValueError):
    """Not from a member, or not to be read; the text is a word for the count of such."""


def _hash(key: bytes, data: bytes | memoryview) -> bytes:
    return blake2b(data, key=key, digest_size=HASH_BYTES).digest()


def seal(key: bytes, life: int, number: int, message: Message) -> bytes:
    """For the wire."""
    data = _HEAD.pack(MAGIC, VERSION, life, number) + _ENCODE.encode(message)
    return data + _hash(key, data)


def unseal(key: bytes, data: bytes, most: int = MOST_BYTES) -> tuple[int, int, Message]:
    """The sender's life, its number, and the message; `Bad` if it is none."""
    if len(data) > most:
        raise EnvelopeError("oversized")
    if len(data) < _HEAD.size + HASH_BYTES:
        raise EnvelopeError("torn")
    magic, version, life, number = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise EnvelopeError("stranger")
    if _hash(key, data[:-HASH_BYTES]) != data[-HASH_BYTES:]:
        raise EnvelopeError("stranger")
    if version != VERSION:
        raise EnvelopeError("version")
    try:
        return life, number, _DECODE.decode(data[_HEAD.size : -HASH_BYTES])
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise EnvelopeError("unreadable") from None


class ReplayWindow:
    """Which numbers of one sender have come: the highest, and which of those just below it."""

    __slots__ = ("_high", "_seen")

    def __init__(self) -> None:
        self._high, self._seen = 0, 0

    def accept(self, number: int) -> bool:
        """Whether this one has not come before, as far as that can be told."""
        if number > self._high:
            self._seen = ((self._seen << min(number - self._high, REPLAY_WINDOW)) | 1) & (
                (1 << REPLAY_WINDOW) - 1
            )
            self._high = number
            return True
        back = self._high - number
        if number <= 0 or back >= REPLAY_WINDOW or self._seen >> back & 1:
            return False
        self._seen |= 1 << back
        return True
