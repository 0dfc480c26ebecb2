"""Members in virtual time, and the links between them: real ones, or the baseline of a plain heartbeat.

Links lose, delay and cut messages one way or both; members are killed, restarted, and stalled. One seed gives
one history.
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
    """Where this member listens; no port is 0."""
    return HOST, number + 1


class Player(Protocol):
    """One member, as the world uses it."""

    life: int

    def next_at(self) -> int:
        """When it wants its next tick."""

    def tick(self, now: int) -> list[Action]:
        """What it does at this moment."""

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]:
        """What it does with a message of this member."""

    def failed(self, life: int) -> bool:
        """Whether it holds that member for failed."""

    def sees(self) -> set[int]:
        """The other members that it holds for up."""


class Swim:
    """A real member."""

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
        """Whether it declares this process failed."""
        known = self.member.table.records.get(life)
        return known is not None and not known.is_up

    def sees(self) -> set[int]:
        """The processes that it takes for alive."""
        return {known.claim.instance_id for known in self.member.up_members()}


class Heartbeat:
    """The baseline: a message to all each period; a member that is silent for some periods has failed.

    It is given the list of members, so that only the detection is compared.
    """

    PERIODS = 5

    def __init__(self, own: Claim, period: int, now: int, peers: Callable[[], dict[int, Address]]) -> None:
        self.life, self._period, self._peers = own.instance_id, period, peers
        self._at = now + own.instance_id * 7_919 % period
        self._heard: dict[int, int] = {}

    def next_at(self) -> int:
        """When it wants its next tick."""
        return self._at

    def tick(self, now: int) -> list[Action]:
        """What it does at this moment."""
        self._at = now + self._period
        for life in self._peers():
            self._heard.setdefault(life, now)
        return [Send(at, Nack(1, self.life)) for life, at in self._peers().items() if life != self.life]

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]:
        """What it does with a message of this member."""
        self._heard[life] = now
        return []

    def failed(self, life: int) -> bool:
        """Whether it holds that member for failed."""
        silent_since = self._heard.get(life, self._at)
        return life != self.life and self._at - self._period - silent_since > self.PERIODS * self._period

    def sees(self) -> set[int]:
        """The other members that it holds for up."""
        return {life for life in self._heard if life != self.life and not self.failed(life)}


@dataclass
class World:
    """All members and the links between them. Times in microseconds."""

    seed: int
    loss: float = 0.0
    options: Options = field(default_factory=Options)
    baseline: str = ""  # `heartbeat`
    now: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(f"{self.seed} world")
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._count, self._lives = itertools.count(), itertools.count(1_000)
        self.players: dict[int, Player] = {}  # by number
        self.down: set[int] = set()
        self.still: set[int] = set()  # stalled: they do nothing, and messages to them wait
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
        """Kill a member; the id of its process."""
        self.down.add(number)
        return self.players[number].life

    def freeze(self, number: int, still: bool) -> None:
        """Stall a member as by SIGSTOP, or end the stall: messages that came meanwhile are read then."""
        if still:
            self.still.add(number)
            return
        self.still.discard(number)
        for task in self._waiting.pop(number, []):
            self._push(self.now, task)
        self._arm(number)

    def up(self) -> list[int]:
        """Numbers of the members that run."""
        return [number for number in self.players if number not in self.down and number not in self.still]

    def agree(self, among: Sequence[int] | None = None) -> bool:
        """Whether each of these members, or of all that run, sees all the others and nobody else."""
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

    def run(self, until: int, enough: Callable[[], bool] | None = None, look: int = 20_000) -> bool:
        """Run until this time, or until there is `enough`, checked each `look`; whether there is."""
        next_check_at = self.now
        while self._agenda and self._agenda[0][0] <= until:
            at, _, task = heapq.heappop(self._agenda)
            if enough is not None and at >= next_check_at:
                self.now = max(self.now, next_check_at)
                if enough():
                    self._push(at, task)
                    return True
                next_check_at = at + look
            self.now = at
            task()
        self.now = until
        return enough is None or enough()

    # --- links

    def _do(self, number: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, ReportEvent):
                self.told.append((self.now, number, action))
            elif isinstance(action, Send):
                self._send(number, action)
            elif isinstance(action, Exchange):
                self._exchange(number, action.to[1] - 1)

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

    def _exchange(self, number: int, to: int) -> None:
        """Exchange full views over TCP, if both directions are open: losses are retransmitted there."""
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
