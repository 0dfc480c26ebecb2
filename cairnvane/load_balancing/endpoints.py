"""The life of an endpoint: joining, active, draining, gone while calls to it go on, back under its address.

No I/O, no clock. A description says who belongs to a cluster; this says who gets calls, and keeps what a
call is on until it has ended. An address stands for one endpoint within a cluster; a
description that names it twice is refused where it is read.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from .outlier_detection import Outliers, slow_start
from .weighted_choice import Weighted

Address = tuple[str, int]


class Health(Enum):
    """What a description says of an endpoint."""

    HEALTHY = "healthy"  # or unknown, which counts as healthy
    DEGRADED = "degraded"
    UNHEALTHY = "unhealthy"  # or timed out
    DRAINING = "draining"


class Stage(Enum):
    """Where an endpoint is in its life here."""

    JOINING = "joining"  # gets a growing share
    ACTIVE = "active"
    DRAINING = "draining"  # described, and gets nothing new
    LEAVING = "leaving"  # no longer described; calls to it go on


@dataclass(frozen=True, slots=True)
class Described:
    """An endpoint, as a description has it."""

    weight: int = 1
    health: Health = Health.HEALTHY


@dataclass(slots=True)
class Member:
    """An endpoint, as it stands here."""

    described: Described
    joined: int
    stage: Stage
    calls: int = 0  # in flight, of all its time under this address
    since: int = 0  # the number of its life: a call of an earlier one says nothing of this one


@dataclass(frozen=True, slots=True)
class Ticket:
    """A call that has gone out."""

    address: Address
    life: int


class Members:
    """The endpoints of one priority of a cluster."""

    def __init__(self, *, slow_start_us: int = 0, outliers: Outliers[Address] | None = None) -> None:
        self.known: dict[Address, Member] = {}
        self._choice: Weighted[Address] = Weighted()
        self._all: Weighted[Address] = Weighted()  # those too that are unhealthy or ejected, for a panic
        self._window = slow_start_us
        self._outliers = outliers
        self._lives = 0
        self._joining: dict[Address, None] = {}

    def describe(self, now: int, found: Mapping[Address, Described], first: bool = False) -> None:
        """The description has changed. `first`: nothing was known before, so nobody joins what runs
        already."""
        for address in [address for address in self.known if address not in found]:
            self._vanish(address)
        for address, described in found.items():
            member = self.known.get(address)
            if member is None or member.stage is Stage.LEAVING:
                self._join(address, described, now, first)
            elif member.described != described:
                self._change(address, member, described, now)

    def _join(self, address: Address, described: Described, now: int, first: bool) -> None:
        """New, or back under an address on which calls of its earlier life may still go on."""
        calls = self.known[address].calls if address in self.known else 0
        self._lives += 1
        stage = Stage.ACTIVE if first or not self._window else Stage.JOINING
        member = self.known[address] = Member(described, now, stage, calls, self._lives)
        if stage is Stage.JOINING:
            self._joining[address] = None
        self._change(address, member, described, now)

    def _change(self, address: Address, member: Member, described: Described, now: int) -> None:
        was, member.described = member.described, described
        if described.health is Health.DRAINING:
            member.stage = Stage.DRAINING
            self._joining.pop(address, None)
        elif member.stage is Stage.DRAINING:  # taken back into service: as one that joins
            member.stage, member.joined = (Stage.JOINING if self._window else Stage.ACTIVE), now
            if self._window:
                self._joining[address] = None
        elif was.health is Health.UNHEALTHY and described.health is Health.HEALTHY and self._window:
            member.stage, member.joined = Stage.JOINING, now
            self._joining[address] = None
        self._weigh(address, member, now)

    def _vanish(self, address: Address) -> None:
        member = self.known[address]
        self._joining.pop(address, None)
        if self._outliers is not None:
            self._outliers.forget(address)
        member.stage = Stage.LEAVING
        self._weigh(address, member, 0)
        if not member.calls:
            del self.known[address]

    def _weigh(self, address: Address, member: Member, now: int) -> None:
        """Its place in both choices, by all that is known of it."""
        weight: int | None = member.described.weight
        if member.stage is Stage.JOINING:
            weight = slow_start(member.described.weight, now - member.joined, self._window)
        elif member.stage is not Stage.ACTIVE:
            weight = None
        ejected = self._outliers is not None and self._outliers.ejected(address)
        fit = member.described.health is Health.HEALTHY and not ejected
        self._place(self._all, address, member, weight)
        self._place(self._choice, address, member, weight if fit else None)

    def _place(self, tree: Weighted[Address], address: Address, member: Member, weight: int | None) -> None:
        there = address in tree
        if weight is None:
            if there:
                tree.remove(address)
        elif not there or tree.weight(address) != weight:
            tree.put(address, weight)
            if not there:
                tree.begin(address, member.calls)

    def look(self, now: int) -> None:
        """Time has passed: those that join take more, those that were ejected may be back."""
        for address in list(self._joining):
            member = self.known[address]
            if now - member.joined >= self._window:
                member.stage = Stage.ACTIVE
                del self._joining[address]
            self._weigh(address, member, now)
        for address in self._outliers.look(now) if self._outliers is not None else ():
            if address in self.known:
                self._weigh(address, self.known[address], now)

    def choose(self, below: Callable[[int], int], panic: bool = False) -> Address | None:
        """Where the next call goes; None if nobody takes any. In panic all that are described may, but for
        those that drain: they were told to take nothing new."""
        return (self._all if panic else self._choice).choose(below)

    def begin(self, address: Address) -> Ticket:
        """A call goes out."""
        member = self.known[address]
        member.calls += 1
        for tree in (self._choice, self._all):
            if address in tree:
                tree.begin(address)
        return Ticket(address, member.since)

    def end(self, ticket: Ticket, good: bool, now: int) -> None:
        """A call is over. Whoever has vanished meanwhile is forgotten with its last call; what it did in an
        earlier life is not held against it now."""
        member = self.known.get(ticket.address)
        if member is None or not member.calls:
            return
        member.calls -= 1
        self._choice.end(ticket.address)
        self._all.end(ticket.address)
        if member.stage is Stage.LEAVING:
            if not member.calls:
                del self.known[ticket.address]
            return
        if self._outliers is None or ticket.life != member.since:
            return
        if self._outliers.told(ticket.address, good, len(self.known), now):
            self._weigh(ticket.address, member, now)
