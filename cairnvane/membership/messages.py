"""The messages between members, as msgpack arrays in authenticated envelopes. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .claims import Claim, Info
from .envelope import EnvelopeError, EnvelopeFault, open_envelope, seal_body

# Small enough for any path to carry without fragmentation; larger datagrams are rejected.
MAX_DATAGRAM_BYTES = 1_400
# Limits of the claims and metadata entries that are piggybacked on one datagram.
MAX_CLAIMS = 6
MAX_METADATA_ENTRIES = 2
# The whole state is sent over TCP in messages of this many members; longer messages are rejected.
MEMBERS_PER_VIEW = 64
MAX_VIEW_BYTES = 1 << 20


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the target for an `Ack`; another instance at the same address does not answer in its place."""

    number: int
    target: int
    claims: list[Claim] = []
    infos: list[Info] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reports that the target is up: the sender itself, or the target of a requested indirect ping."""

    number: int
    target: int
    claims: list[Claim] = []
    infos: list[Info] = []


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for an indirect ping of the target."""

    number: int
    target: int
    claims: list[Claim] = []
    infos: list[Info] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reports that the sender received the request for an indirect ping, but no answer from the target."""

    number: int
    target: int


class View(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A part of the sender's whole state; `answer` asks the receiver to send its own state."""

    answer: bool
    claims: list[Claim] = []
    infos: list[Info] = []


Message = Ping | Ack | Ask | Nack | View


class OpenedMessage(NamedTuple):
    """A decoded message with its sender and number."""

    sender: int  # the sending instance
    number: int
    message: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def seal(key: bytes, sender: int, number: int, message: Message) -> bytes:
    """Encode a message for the wire, in an envelope from this instance with this number."""
    return seal_body(key, sender, number, _ENCODER.encode(message))


def unseal(key: bytes, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> OpenedMessage:
    """Open an envelope and decode its message; raises `EnvelopeError` if either is invalid."""
    envelope = open_envelope(key, data, max_bytes)
    try:
        message = _DECODER.decode(envelope.body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise EnvelopeError(EnvelopeFault.UNREADABLE) from None
    return OpenedMessage(envelope.sender, envelope.number, message)
