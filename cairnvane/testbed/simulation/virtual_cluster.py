"""Members in virtual time and the links between them; members are real ones, or a heartbeat baseline.

Links lose and delay messages, or drop all of them in one or both directions. Members are killed, restarted
and stalled. A run is determined by its seed.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ...membership.member_table import Claim
from ...membership.messages import Message, Nack, seal
from ...membership.swim import Action, Address, Exchange, Options, ReportEvent, Send, SwimMember

SECOND = 1_000_000
KEY = b"of the laboratory"
# Bounds of the delay of a message.
LEAST_DELAY_US = 200
MOST_DELAY_US = 1_500
CONTACTS = 3
HOST = "10.0.0.1"


def _address_of(number: int) -> Address:
    """The address of this member; ports begin at 1, since 0 is not valid."""
    return HOST, number + 1


class Player(Protocol):
    """The interface of a member to the simulation."""

    life: int

    def next_at(self) -> int:
        """The time of its next tick."""

    def tick(self, now: int) -> list[Action]:
        """Run its timers; return its actions."""

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]:
        """Handle a message of process `life`; return the resulting actions."""

    def failed(self, life: int) -> bool:
        """Whether it has declared that process failed."""

    def sees(self) -> set[int]:
        """The other processes that it considers alive."""


class Swim:
    """A member that runs the real protocol."""

    def __init__(
        self,
        own: Claim,
        rng: random.Random,
        now: int,
        contacts: list[Address],
        options: Options,
    ) -> None:
        self.member = SwimMember(own, rng, now, contacts=contacts, options=options)
        self.life = own.instance_id
        self.next_at, self.tick, self.handle = self.member.next_at, self.member.tick, self.member.handle

    def failed(self, life: int) -> bool:
        """Whether it has declared this process failed."""
        known = self.member.table.records.get(life)
        return known is not None and not known.is_up

    def sees(self) -> set[int]:
        """The processes that it considers alive."""
        return {known.claim.instance_id for known in self.member.up_members()}


class Heartbeat:
    """The baseline sends a message to all members each period; `PERIODS` silent periods mean failure.

    It is given the list of members, so that only failure detection is compared.
    """

    PERIODS = 5

    def __init__(self, own: Claim, period: int, now: int, peers: Callable[[], dict[int, Address]]) -> None:
        self.life, self._period, self._peers = own.instance_id, period, peers
        self._next_at = now + own.instance_id * 7_919 % period
        self._last_message_at: dict[int, int] = {}

    def next_at(self) -> int:
        """The time of its next tick."""
        return self._next_at

    def tick(self, now: int) -> list[Action]:
        """Run its timers; return its actions."""
        self._next_at = now + self._period
        for life in self._peers():
            self._last_message_at.setdefault(life, now)
        return [Send(at, Nack(1, self.life)) for life, at in self._peers().items() if life != self.life]

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]:
        """Handle a message of process `life`; return the resulting actions."""
        self._last_message_at[life] = now
        return []

    def failed(self, life: int) -> bool:
        """Whether it has declared that process failed."""
        silent_since = self._last_message_at.get(life, self._next_at)
        return life != self.life and self._next_at - self._period - silent_since > self.PERIODS * self._period

    def sees(self) -> set[int]:
        """The other processes that it considers alive."""
        return {life for life in self._last_message_at if life != self.life and not self.failed(life)}


@dataclass
class World:
    """All members and the links between them. Times are in microseconds."""

    seed: int
    loss: float = 0.0
    options: Options = field(default_factory=Options)
    baseline: str = ""  # `heartbeat`, or empty for the real protocol
    now: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(f"{self.seed} world")
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._count, self._lives = itertools.count(), itertools.count(1_000)
        self.players: dict[int, Player] = {}  # by member number
        self.down: set[int] = set()
        self.still: set[int] = set()  # numbers of stalled members, for which messages are queued
        self._waiting: dict[int, list[Callable[[], None]]] = {}
        self._timers: dict[int, int] = {}
        self.cut: Callable[[int, int], bool] = lambda source, to: False
        self.bytes = self.messages = self.largest = 0
        self.told: list[tuple[int, int, ReportEvent]] = []

    # --- members

    def _peers(self) -> dict[int, Address]:
        return {player.life: _address_of(number) for number, player in self.players.items()}

    def start(self, number: int, name: str = "", place: str = "") -> Player:
        """Start a new process at this member's address."""
        own = Claim(
            next(self._lives), name or f"n{number}", place or f"p{number}", *_address_of(number), 0, 0
        )
        rng = random.Random(f"{self.seed} {own.instance_id}")
        contacts = [_address_of(contact) for contact in range(CONTACTS)]
        player: Player = Swim(own, rng, self.now, contacts, self.options)
        if self.baseline:
            player = Heartbeat(own, self.options.period, self.now, self._peers)
        self.players[number] = player
        self.down.discard(number)
        self.still.discard(number)
        self._arm(number)
        return player

    def kill(self, number: int) -> int:
        """Kill a member, and return the id of its process."""
        self.down.add(number)
        return self.players[number].life

    def freeze(self, number: int, still: bool) -> None:
        """Stall a member as by SIGSTOP, or let it continue and read the messages queued in the meantime."""
        if still:
            self.still.add(number)
            return
        self.still.discard(number)
        for task in self._waiting.pop(number, []):
            self._push(self.now, task)
        self._arm(number)

    def up(self) -> list[int]:
        """Numbers of the running members."""
        return [number for number in self.players if number not in self.down and number not in self.still]

    def agree(self, among: Sequence[int] | None = None) -> bool:
        """Whether each of these members (by default all running ones) sees exactly the others."""
        numbers = self.up() if among is None else list(among)
        lives = {self.players[number].life for number in numbers}
        return all(self.players[number].sees() == lives - {self.players[number].life} for number in numbers)

    # --- time

    def _push(self, at: int, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (at, next(self._count), task))

    def _arm(self, number: int) -> None:
        player = self.players[number]
        token = next(self._count)
        self._timers[number] = token
        self._push(max(self.now, player.next_at()), lambda: self._tick(number, player, token))

    def _tick(self, number: int, player: Player, token: int) -> None:
        if self._timers[number] != token or number in self.down or number in self.still:
            return
        self._do(number, player.tick(self.now))
        self._arm(number)

    def run(
        self, until: int, condition: Callable[[], bool] | None = None, check_interval_us: int = 20_000
    ) -> bool:
        """Run until this time, or until the condition holds at one of its checks; return whether it holds."""
        next_check_at = self.now
        while self._agenda and self._agenda[0][0] <= until:
            at, _, task = heapq.heappop(self._agenda)
            if condition is not None and at >= next_check_at:
                self.now = max(self.now, next_check_at)
                if condition():
                    self._push(at, task)
                    return True
                next_check_at = at + check_interval_us
            self.now = at
            task()
        self.now = until
        return condition is None or condition()

    # --- links

    def _do(self, number: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, ReportEvent):
                self.told.append((self.now, number, action))
            elif isinstance(action, Send):
                self._send(number, action)
            elif isinstance(action, Exchange):
                self._exchange_views(number, action.to[1] - 1)

    def _count_message(self, life: int, message: Message) -> None:
        size = len(seal(KEY, life, next(self._count), message))
        self.bytes += size
        self.messages += 1
        self.largest = max(self.largest, size)

    def _send(self, number: int, action: Send) -> None:
        life = self.players[number].life
        to = action.to[1] - 1
        self._count_message(life, action.message)
        if self.random.random() < self.loss or self.cut(number, to):
            return
        count = next(self._count) + 1
        self._push(
            self.now + self.random.randint(LEAST_DELAY_US, MOST_DELAY_US),
            lambda: self._receive(to, life, count, _address_of(number), action.message),
        )

    def _receive(self, number: int, life: int, count: int, source: Address, message: Message) -> None:
        if number in self.down or number not in self.players:
            return
        if number in self.still:
            self._waiting.setdefault(number, []).append(
                lambda: self._receive(number, life, count, source, message)
            )
            return
        self._do(number, self.players[number].handle(self.now, life, count, source, message))
        self._arm(number)

    def _exchange_views(self, number: int, to: int) -> None:
        """Exchange full views over TCP if both directions are open; TCP retransmits losses."""
        if (
            to in self.down
            or to in self.still
            or to not in self.players
            or self.cut(number, to)
            or self.cut(to, number)
        ):
            return
        for source, sink, answer in ((number, to, True), (to, number, False)):
            player, other = self.players[source], self.players[sink]
            assert isinstance(player, Swim)
            for view in player.member.state_messages(answer):
                self._count_message(player.life, view)
                self._do(sink, other.handle(self.now, player.life, 0, _address_of(source), view))
        self._arm(to)
