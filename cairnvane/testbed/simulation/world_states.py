"""States of a small world of members: the members as bytes, messages in flight, and faults so far.

A state holds each member as bytes, so that a step copies only the member that it changes, and two orders of
events that lead to the same state are followed once.
"""

from __future__ import annotations

import hashlib
import pickle
import random
from dataclasses import dataclass
from typing import Any

from ...membership.messages import Message
from ...membership.swim import Address, SwimMember

HOST = "10.0.0.1"
KEY = b"of the laboratory"


class FixedRandom(random.Random):
    """A random generator that always draws the same, so that two paths may lead to the same state."""

    def random(self) -> float:
        """One half."""
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        """The middle of the range."""
        return (a + b) / 2

    def shuffle(self, x: Any) -> None:
        """Leave the order as it is."""

    def choice(self, seq: Any) -> Any:
        """The first one."""
        return seq[0]

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list[Any]:
        """The first ones."""
        return list(population)[:k]

    def randint(self, a: int, b: int) -> int:
        """The least one."""
        return a

    def __reduce__(self) -> tuple[Any, ...]:
        return FixedRandom, ()


@dataclass(frozen=True)
class Envelope:
    """A message in flight."""

    to: Address
    life: int
    number: int
    source: Address
    message: Message


@dataclass(frozen=True)
class FaultCounts:
    """Faults on the path to a state."""

    losses: int = 0
    duplicates: int = 0
    restarts: int = 0
    leaves: int = 0


@dataclass(frozen=True)
class State:
    """A state of the whole world."""

    now: int
    members: tuple[bytes, ...]
    sent: tuple[int, ...]  # number of messages of each member's current incarnation
    in_flight: tuple[Envelope, ...]
    faults: FaultCounts = FaultCounts()
    # Of each process so far: its id, its highest own incarnation number, and whether it announced to leave.
    owned: tuple[tuple[int, int, bool], ...] = ()
    gone: frozenset[int] = frozenset()  # numbers of members that left, and run no more

    @property
    def digest(self) -> bytes:
        """A digest that is equal for equal states."""
        in_flight = sorted(repr(envelope) for envelope in self.in_flight)
        content = (
            self.now,
            self.members,
            self.sent,
            in_flight,
            self.faults,
            sorted(self.owned),
            sorted(self.gone),
        )
        return hashlib.blake2b(pickle.dumps(content), digest_size=16).digest()


def address_of(number: int) -> Address:
    """Where the member with this number listens; no port is 0."""
    return HOST, number + 1


def number_at(address: Address) -> int:
    """The number of the member at an address."""
    return address[1] - 1


def load(data: bytes) -> SwimMember:
    """A member out of a state."""
    member: SwimMember = pickle.loads(data)
    return member
