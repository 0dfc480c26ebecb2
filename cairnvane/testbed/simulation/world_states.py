"""States of a small cluster: the members, the messages in flight, and the faults so far.

A state holds each member as pickled bytes, so that a step copies only the member that it changes, and equal
states reached by different orders of events are recognized and explored once.
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
    """A random generator with constant results, so that different paths can lead to the same state."""

    def random(self) -> float:
        """Always 0.5."""
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        """Always the middle of the range."""
        return (a + b) / 2

    def shuffle(self, x: Any) -> None:
        """Leave the order as it is."""

    def choice(self, seq: Any) -> Any:
        """Always the first item."""
        return seq[0]

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list[Any]:
        """Always the first `k` items."""
        return list(population)[:k]

    def randint(self, a: int, b: int) -> int:
        """Always the lower bound."""
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
    """Numbers of faults on the path to a state."""

    losses: int = 0
    duplicates: int = 0
    restarts: int = 0
    leaves: int = 0


@dataclass(frozen=True)
class State:
    """A state of the whole cluster."""

    now: int
    members: tuple[bytes, ...]
    sent: tuple[int, ...]  # number of messages sent by each member's current process
    in_flight: tuple[Envelope, ...]
    faults: FaultCounts = FaultCounts()
    # For each process so far: its id, its own highest incarnation number, and whether it has left.
    owned: tuple[tuple[int, int, bool], ...] = ()
    gone: frozenset[int] = frozenset()  # numbers of the members that have left and ended

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
    """The address of the member with this number; ports begin at 1, since 0 is not valid."""
    return HOST, number + 1


def number_at(address: Address) -> int:
    """The number of the member at an address."""
    return address[1] - 1


def load(data: bytes) -> SwimMember:
    """Restore a member from its bytes in a state."""
    member: SwimMember = pickle.loads(data)
    return member
