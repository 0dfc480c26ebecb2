"""What members say about each other and about themselves, and which of two statements counts.

An *instance* is one process, known by a number that it drew at its start. A *member* is a name with all its
instances: one, or two while a new version takes over. So a restart needs no disk: it is a new instance, and
no gossip about the one before says anything of it. Within an instance, only its owner raises the incarnation.

Claims are ordered, and the greatest counts. Since that is a maximum, the order in which claims arrive, and
how often, makes no difference: all who have received the same claims have the same state.
"""

from __future__ import annotations

import re
from enum import IntEnum
from typing import Any

import msgspec

# Limits of a member's metadata, whatever a later version adds.
MAX_METADATA_KEYS = 24
MAX_METADATA_BYTES = 256
# Limits of a claim's texts, in characters.
MAX_NAME_LENGTH = 40
MAX_PLACE_LENGTH = 64
# No instance comes to this by refuting once a millisecond for a year.
MAX_INCARNATION = 1 << 35
IPV4 = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}")
MAX_PORT = (1 << 16) - 1
# Ranks above every incarnation: leaving is final.
_LEFT_RANK = 1 << 62


class Status(IntEnum):
    """What a claim says of an instance. Within one incarnation, the later in this order counts."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3  # claimed by the instance itself, and final


class Phase(IntEnum):
    """What an instance publishes about itself while it is alive."""

    JOINING = 0  # it has not received the whole state yet
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What somebody states of an instance.

    `place` is where balancers reach it: the same for two versions of one server, another for another server.
    """

    life: int
    name: str
    place: str
    host: str
    port: int
    status: int
    incarnation: int
    by: int = 0  # the instance that suspects it, or declared it failed

    @property
    def rank(self) -> tuple[int, int]:
        """Its position in the order of claims about one instance."""
        left = self.status == Status.LEFT
        return (_LEFT_RANK if left else self.incarnation, self.status)

    def with_status(self, status: Status, incarnation: int, by: int) -> Claim:
        """The same instance with another status, incarnation and accuser."""
        return msgspec.structs.replace(self, status=int(status), incarnation=incarnation, by=by)


class Info(msgspec.Struct, frozen=True, array_like=True):
    """The metadata that an instance publishes: small, and the newest version counts.

    Keys that a later version of the program adds are kept and passed on by those that do not know them.
    """

    life: int
    incarnation: int
    version: int
    metadata: dict[str, Any] = {}

    @property
    def rank(self) -> tuple[int, int]:
        """Its position in the order of one instance's metadata."""
        return self.incarnation, self.version


def is_valid_claim(claim: Claim) -> bool:
    """Whether a claim can be true at all.

    Guards against a faulty member that makes others send to nowhere, resolve names, or pass on what fits no
    datagram.
    """
    valid_numbers = 0 < claim.port <= MAX_PORT and 0 <= claim.incarnation < MAX_INCARNATION
    valid_texts = len(claim.name) <= MAX_NAME_LENGTH and len(claim.place) <= MAX_PLACE_LENGTH
    valid_status = claim.status in tuple(Status)
    return valid_numbers and valid_texts and valid_status and IPV4.fullmatch(claim.host) is not None


def metadata_fits(metadata: dict[str, Any]) -> bool:
    """Whether metadata may be published: few keys, plain values, few bytes."""
    is_plain = all(isinstance(value, (int, float, str, bool)) for value in metadata.values())
    if not is_plain or len(metadata) > MAX_METADATA_KEYS:
        return False
    return len(msgspec.msgpack.encode(metadata)) <= MAX_METADATA_BYTES
