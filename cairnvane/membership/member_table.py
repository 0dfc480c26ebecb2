"""What is known of each life in the fleet, and which of two claims about it counts. No I/O, no clock.

A *life* is one process, known by a number that it drew at its start. A *member* is a name with all its lives:
one, or two while a new version takes over. So a restart needs no disk: it is a new life, and no rumour about
the one before says anything of it. Within a life, only its owner raises the incarnation.

Claims are ordered, and the greatest counts. Since that is a maximum, the order in which claims arrive, and
how often, makes no difference: all who have heard the same claims know the same.
"""

from __future__ import annotations

import re
from collections import ChainMap
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

# What a member carries for others: so many keys and bytes at the most, whatever a later version adds.
MAX_METADATA_KEYS, MAX_METADATA_BYTES = 24, 256
# Of a claim, in characters; and what no life comes to by refuting once a millisecond for a year.
MOST_NAME, MAX_PLACE_LENGTH, MAX_INCARNATION = 40, 64, 1 << 35
IPV4 = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}")


class Status(IntEnum):
    """What a claim says of a life. Of one incarnation, the later in this order counts."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3  # said by the life itself, and final


class Phase(IntEnum):
    """What a life says of itself while it is alive."""

    JOINING = 0  # it has not heard the whole view yet
    SERVING = 1
    DRAINING = 2
    LEAVING = 3


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What somebody says of a life. `place` is where balancers reach it: the same for two versions of one
    server, another for another server."""

    life: int
    name: str
    place: str
    host: str
    port: int
    status: int
    incarnation: int
    by: int = 0  # the life that suspects it, or found it failed

    @property
    def rank(self) -> tuple[int, int]:
        """Its place in the order of claims about one life."""
        return (1 << 62 if self.status == Status.LEFT else self.incarnation, self.status)

    def saying(self, status: Status, incarnation: int, by: int) -> Claim:
        """The same life, claimed otherwise."""
        return msgspec.structs.replace(self, status=int(status), incarnation=incarnation, by=by)


def is_valid_claim(claim: Claim) -> bool:
    """Whether a claim can be true at all: a mistaken member must not make others send to nowhere, look names
    up, or hand on what fits no datagram."""
    numbers = 0 < claim.port < 1 << 16 and 0 <= claim.incarnation < MAX_INCARNATION
    texts = len(claim.name) <= MOST_NAME and len(claim.place) <= MAX_PLACE_LENGTH
    return numbers and texts and claim.status in tuple(Status) and IPV4.fullmatch(claim.host) is not None


class Info(msgspec.Struct, frozen=True, array_like=True):
    """What a life carries for others: small, and the newest counts. Keys that a later version adds are kept
    and handed on by those that do not know them."""

    life: int
    incarnation: int
    version: int
    metadata: dict[str, Any] = {}

    @property
    def rank(self) -> tuple[int, int]:
        """Its place in the order of what one life has told."""
        return self.incarnation, self.version


def metadata_fits(told: dict[str, Any]) -> bool:
    """Whether this may be carried: few keys, plain values, few bytes."""
    plain = all(isinstance(value, (int, float, str, bool)) for value in told.values())
    return (
        plain and len(told) <= MAX_METADATA_KEYS and len(msgspec.msgpack.encode(told)) <= MAX_METADATA_BYTES
    )


@dataclass(slots=True)
class MemberRecord:
    """All that is known of one life."""

    claim: Claim
    status_since: int  # when it came to its status
    info: Info | None = None
    last_heard_at: int = 0  # when something came from it, by whatever way; 0: never
    accusers: set[int] = field(default_factory=set)  # lives that suspect it, in this incarnation
    decides_suspicion: bool = True  # of a suspicion: whether we are to judge it, or wait for those who do
    final_pings: int = 0  # last probes of a suspect before the verdict
    final_ping_at: int = 0  # when the last of them went out

    @property
    def status(self) -> Status:
        """As claimed."""
        return Status(self.claim.status)

    @property
    def there(self) -> bool:
        """Taken for alive: it counts, and is probed."""
        return self.claim.status <= Status.SUSPECT

    @property
    def phase(self) -> Phase:
        """As it says of itself."""
        told = self.info.metadata.get("phase", Phase.SERVING) if self.info is not None else Phase.JOINING
        return Phase(told) if told in tuple(Phase) else Phase.SERVING


class Table:
    """All lives that are known, the own one not among them.

    What is asked with every message (who is there, who is suspected, who has this address) is kept at hand,
    so that a message costs the same in a fleet of a thousand.
    """

    def __init__(self) -> None:
        self.lives: dict[int, MemberRecord] = {}
        self.version = 0  # rises with each claim that counts, and each life that is forgotten
        self._standing: dict[int, dict[int, MemberRecord]] = {int(status): {} for status in Status}
        self._at: dict[tuple[str, int], dict[int, MemberRecord]] = {}  # of those that are there
        # Taken for alive, by life.
        self.up: ChainMap[int, MemberRecord] = ChainMap(
            self._standing[Status.ALIVE], self._standing[Status.SUSPECT]
        )

    def take(self, claim: Claim, now: int) -> MemberRecord | None:
        """Let a claim count; the life, if that changed anything."""
        known = self.lives.get(claim.life)
        if known is None:
            known = self.lives[claim.life] = MemberRecord(claim, now)
            self._enter(known)
            return known
        if claim.rank <= known.claim.rank:
            return None
        self._withdraw(known)
        if claim.status != known.claim.status:
            known.status_since = now
        if claim.incarnation != known.claim.incarnation or claim.status != Status.SUSPECT:
            known.accusers.clear()
        known.claim = claim
        self._enter(known)
        return known

    def _enter(self, life: MemberRecord) -> None:
        self.version += 1
        claim = life.claim
        self._standing[claim.status][claim.life] = life
        if life.there:
            self._at.setdefault((claim.host, claim.port), {})[claim.life] = life

    def _withdraw(self, life: MemberRecord) -> None:
        claim, where = life.claim, (life.claim.host, life.claim.port)
        del self._standing[claim.status][claim.life]
        if life.there:
            del self._at[where][claim.life]
            if not self._at[where]:
                del self._at[where]

    def drop(self, number: int) -> None:
        """Forget a life."""
        self._withdraw(self.lives.pop(number))
        self.version += 1

    def update_metadata(self, info: Info) -> bool:
        """Let what a life carries count; whether it is news."""
        known = self.lives.get(info.life)
        if known is None or not metadata_fits(info.metadata):
            return False
        if known.info is not None and info.rank <= known.info.rank:
            return False
        known.info = info
        return True

    def up_records(self) -> list[MemberRecord]:
        """Lives that are taken for alive."""
        return [*self._standing[Status.ALIVE].values(), *self._standing[Status.SUSPECT].values()]

    def at(self, where: tuple[str, int]) -> list[MemberRecord]:
        """Lives at this address that are taken for alive."""
        return list(self._at.get(where, {}).values())

    def standing(self, status: Status = Status.FAILED) -> list[MemberRecord]:
        """Lives that stand so."""
        return list(self._standing[status].values())

    def count(self, status: Status) -> int:
        """How many lives stand so."""
        return len(self._standing[status])

    def remove_expired(self, now: int, after: int, most: int) -> list[int]:
        """Tombstones that are older than this, and the oldest beyond so many for a name; their lives. A
        rumour of such a life that still goes round would make it known again, and it would be found failed
        once more."""
        dead = [*self.standing(Status.FAILED), *self.standing(Status.LEFT)]
        over = {life.claim.life for life in dead if now - life.status_since > after}
        by_name: dict[str, list[MemberRecord]] = {}
        for life in dead:
            by_name.setdefault(life.claim.name, []).append(life)
        for some in by_name.values():
            for life in sorted(some, key=lambda one: one.status_since)[:-most]:
                over.add(life.claim.life)
        for number in over:
            self.drop(number)
        return sorted(over)

    def same_name_elsewhere(self, name: str, place: str) -> list[MemberRecord]:
        """Lives under this name that are another server: their balancers reach them elsewhere."""
        return [life for life in self.up_records() if life.claim.name == name and life.claim.place != place]
