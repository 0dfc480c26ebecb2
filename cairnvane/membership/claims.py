"""Claims and metadata that members publish about themselves and each other, and their order of precedence.

An *instance* is one process, identified by a random number that it draws at its start. A *member* is a name
with all its instances: one, or two while a new version takes over. A restart therefore needs no state on
disk: the restarted process is a new instance, and gossip about the previous one does not apply to it. Only
the instance itself raises its incarnation.

Claims are totally ordered, and the greatest one takes effect. Since merging is a maximum, it does not matter
in which order or how often claims arrive: members that have received the same claims have the same state.
"""

from __future__ import annotations

import re
from enum import IntEnum
from typing import Any

import msgspec

# Limits of a member's metadata, which also bind later versions of the program.
MAX_METADATA_KEYS = 24
MAX_METADATA_BYTES = 256
# Limits of a claim's texts, in characters.
MAX_NAME_LENGTH = 40
MAX_PLACE_LENGTH = 64
# An instance that refutes a claim every millisecond for a year does not reach this incarnation.
MAX_INCARNATION = 1 << 35
IPV4 = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}")
MAX_PORT = (1 << 16) - 1
# Ranks above every incarnation, because leaving is final.
_LEFT_RANK = 1 << 62


class Status(IntEnum):
    """Status that a claim gives an instance. Within one incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3  # claimed by the instance itself, and final


class Phase(IntEnum):
    """Lifecycle phase that an instance publishes about itself while it is alive."""

    JOINING = 0  # it has not received the whole state yet
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A statement of one member about the status of an instance.

    `place` is the address at which balancers reach the server. Two versions of one server have the same
    place; different servers have different places.
    """

    instance_id: int
    name: str
    place: str
    host: str
    port: int
    status: int
    incarnation: int
    by: int = 0  # the instance that suspects this one or declared it failed

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key among the claims about one instance."""
        left = self.status == Status.LEFT
        return (_LEFT_RANK if left else self.incarnation, self.status)

    def with_status(self, status: Status, incarnation: int, by: int) -> Claim:
        """A claim about the same instance with another status, incarnation and accuser."""
        return msgspec.structs.replace(self, status=int(status), incarnation=incarnation, by=by)


class Info(msgspec.Struct, frozen=True, array_like=True):
    """The size-limited metadata that an instance publishes; the newest version takes effect.

    Members keep and forward keys that they do not know, which a later version of the program may add.
    """

    instance_id: int
    incarnation: int
    version: int
    metadata: dict[str, Any] = {}

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key among the versions of one instance's metadata."""
        return self.incarnation, self.version


def is_valid_claim(claim: Claim) -> bool:
    """Whether the fields of a claim are within their limits.

    Prevents a faulty member from making others send to invalid addresses, resolve host names, or forward
    claims that fit no datagram.
    """
    valid_numbers = 0 < claim.port <= MAX_PORT and 0 <= claim.incarnation < MAX_INCARNATION
    valid_texts = len(claim.name) <= MAX_NAME_LENGTH and len(claim.place) <= MAX_PLACE_LENGTH
    valid_status = claim.status in tuple(Status)
    return valid_numbers and valid_texts and valid_status and IPV4.fullmatch(claim.host) is not None


def metadata_fits(metadata: dict[str, Any]) -> bool:
    """Whether metadata may be published: only plain values, within the limits of keys and bytes."""
    is_plain = all(isinstance(value, (int, float, str, bool)) for value in metadata.values())
    if not is_plain or len(metadata) > MAX_METADATA_KEYS:
        return False
    return len(msgspec.msgpack.encode(metadata)) <= MAX_METADATA_BYTES
