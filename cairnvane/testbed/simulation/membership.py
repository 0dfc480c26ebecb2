"""Members in virtual time: the real `membership.Member` in numbers that no machine carries as processes.

Links lose, delay and cut one way or both; members are killed, restarted, and stand still. One seed gives one
history. Beside it stand two baselines on the same links: a plain heartbeat to all, and SWIM without
suspicion.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

from ...membership.member_table import Claim
from ...membership.messages import Message, Nack, seal
from ...membership.swim import Action, Address, Exchange, Options, Send, SwimMember, Tell
from ..parallel import run_cases

SECOND = 1_000_000
KEY = b"of the laboratory"
# One way over a link, drawn between these.
LEAST_US, MOST_US = 200, 1_500
CONTACTS = 3
HOST = "10.0.0.1"


def _at(number: int) -> Address:
    """Where this member is; no port is 0."""
    return HOST, number + 1


class Player(Protocol):
    """One member, as the world sees it."""

    life: int

    def next_at(self) -> int: ...

    def tick(self, now: int) -> list[Action]: ...

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]: ...

    def failed(self, life: int) -> bool: ...

    def sees(self) -> set[int]: ...


class Swim:
    """The real one."""

    def __init__(
        self,
        own: Claim,
        rng: random.Random,
        now: int,
        contacts: list[Address],
        options: Options,
    ) -> None:
        self.member = SwimMember(own, rng, now, contacts=contacts, options=options)
        self.life = own.life
        self.next_at, self.tick, self.handle = self.member.next_at, self.member.tick, self.member.handle

    def failed(self, life: int) -> bool:
        """Whether it takes this one for failed."""
        known = self.member.table.lives.get(life)
        return known is not None and not known.there

    def sees(self) -> set[int]:
        """Those that it takes for alive."""
        return {known.claim.life for known in self.member.there()}


class Heartbeat:
    """The baseline: a word to everybody each period, and whoever says nothing for some of them has failed. It
    is told who is there, so that only the detection is compared."""

    PERIODS = 5

    def __init__(self, own: Claim, period: int, now: int, peers: Callable[[], dict[int, Address]]) -> None:
        self.life, self._period, self._peers = own.life, period, peers
        self._at = now + own.life * 7_919 % period
        self._heard: dict[int, int] = {}

    def next_at(self) -> int:
        return self._at

    def tick(self, now: int) -> list[Action]:
        self._at = now + self._period
        for life in self._peers():
            self._heard.setdefault(life, now)
        return [Send(at, Nack(1, self.life)) for life, at in self._peers().items() if life != self.life]

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]:
        self._heard[life] = now
        return []

    def failed(self, life: int) -> bool:
        silent_since = self._heard.get(life, self._at)
        return life != self.life and self._at - self._period - silent_since > self.PERIODS * self._period

    def sees(self) -> set[int]:
        return {life for life in self._heard if life != self.life and not self.failed(life)}


@dataclass
class World:
    """All members, and what is between them. Times in microseconds."""

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
        self.still: set[int] = set()  # stand still: nothing is done, what comes waits
        self._waiting: dict[int, list[Callable[[], None]]] = {}
        self._timers: dict[int, int] = {}
        self.cut: Callable[[int, int], bool] = lambda source, to: False
        self.bytes = self.messages = self.largest = 0
        self.told: list[tuple[int, int, Tell]] = []

    # --- who is there

    def _peers(self) -> dict[int, Address]:
        return {player.life: _at(number) for number, player in self.players.items()}

    def start(self, number: int, name: str = "", place: str = "") -> Player:
        """A new life at this address."""
        own = Claim(next(self._lives), name or f"n{number}", place or f"p{number}", *_at(number), 0, 0)
        rng = random.Random(f"{self.seed} {own.life}")
        contacts = [_at(one) for one in range(CONTACTS)]
        player: Player = Swim(own, rng, self.now, contacts, self.options)
        if self.baseline:
            player = Heartbeat(own, self.options.period, self.now, self._peers)
        self.players[number] = player
        self.down.discard(number)
        self.still.discard(number)
        self._arm(number)
        return player

    def kill(self, number: int) -> int:
        """It is gone; the life that was."""
        self.down.add(number)
        return self.players[number].life

    def freeze(self, number: int, still: bool) -> None:
        """A SIGSTOP, or its end: what came meanwhile is read then."""
        if still:
            self.still.add(number)
            return
        self.still.discard(number)
        for task in self._waiting.pop(number, []):
            self._push(self.now, task)
        self._arm(number)

    def up(self) -> list[int]:
        """Numbers of those that run."""
        return [number for number in self.players if number not in self.down and number not in self.still]

    def agree(self, among: Sequence[int] | None = None) -> bool:
        """Whether each of these sees all the others, and nobody else."""
        some = self.up() if among is None else list(among)
        lives = {self.players[number].life for number in some}
        return all(self.players[number].sees() == lives - {self.players[number].life} for number in some)

    # --- time

    def _push(self, at: int, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (at, next(self._count), task))

    def _arm(self, number: int) -> None:
        player, token = self.players[number], next(self._count)
        self._timers[number] = token
        self._push(max(self.now, player.next_at()), lambda: self._tick(number, player, token))

    def _tick(self, number: int, player: Player, token: int) -> None:
        if self._timers[number] != token or number in self.down or number in self.still:
            return
        self._do(number, player.tick(self.now))
        self._arm(number)

    def run(self, until: int, enough: Callable[[], bool] | None = None, look: int = 20_000) -> bool:
        """Go on until then, or until this holds; whether it does."""
        next_look = self.now
        while self._agenda and self._agenda[0][0] <= until:
            at, _, task = heapq.heappop(self._agenda)
            if enough is not None and at >= next_look:
                self.now = max(self.now, next_look)
                if enough():
                    self._push(at, task)
                    return True
                next_look = at + look
            self.now = at
            task()
        self.now = until
        return enough is None or enough()

    # --- links

    def _do(self, number: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Tell):
                self.told.append((self.now, number, action))
            elif isinstance(action, Send):
                self._send(number, action)
            elif isinstance(action, Exchange):
                self._exchange(number, action.to[1] - 1)

    def _size(self, life: int, message: Message) -> None:
        size = len(seal(KEY, life, next(self._count), message))
        self.bytes += size
        self.messages += 1
        self.largest = max(self.largest, size)

    def _send(self, number: int, action: Send) -> None:
        life, to = self.players[number].life, action.to[1] - 1
        self._size(life, action.message)
        if self.random.random() < self.loss or self.cut(number, to):
            return
        count = next(self._count) + 1
        self._push(
            self.now + self.random.randint(LEAST_US, MOST_US),
            lambda: self._receive(to, life, count, _at(number), action.message),
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
        """A connection, if both ways are open; a lost piece is sent again by TCP."""
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
            for view in player.member.whole(answer):
                self._size(player.life, view)
                self._do(sink, other.handle(self.now, player.life, 0, _at(source), view))
        self._arm(to)


@dataclass(frozen=True)
class Row:
    """One size, one way, one share of loss, over some seeds."""

    way: str
    members: int
    loss: float
    detect_ms: list[float]  # until all know of a kill; one for each seed, none where not all came to know
    missed: int  # seeds in which not all came to know
    false_failed: int  # verdicts on the living, over all seeds
    hours: float  # of members watched, for that
    bytes_a_second: float  # a member
    messages_a_second: float
    largest: int


@dataclass
class Report:
    """The table."""

    rows: list[Row]

    @property
    def good(self) -> bool:
        """The real one found every kill, and called nobody dead that lived."""
        return all(not row.missed and not row.false_failed for row in self.rows if row.way == "suspicion")

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return {"good": self.good, "rows": [asdict(row) for row in self.rows]}

    def lines(self) -> list[str]:
        """For a terminal."""
        lines = [
            f"{'way':14} {'members':>7} {'loss':>5} {'known to all, ms: median':>25} {'worst':>6} "
            f"{'missed':>6} {'false':>6} {'B/s':>8} {'msg/s':>6} {'largest':>7}"
        ]
        for row in self.rows:
            took = row.detect_ms or [float("nan")]
            lines.append(
                f"{row.way:14} {row.members:7} {row.loss:5.2f} "
                f"{statistics.median(took):25.0f} {max(took):6.0f} {row.missed:6} {row.false_failed:6} "
                f"{row.bytes_a_second:8.0f} {row.messages_a_second:6.1f} {row.largest:7}"
            )
        return lines


# The ways that are compared. Without suspicion, a life that gave no answer has failed; and nobody is asked
# more often where links lose.
WAYS = ("suspicion", "no suspicion", "heartbeat")
# Before the kill all join, and are then watched for false alarms.
JOIN_S, SETTLE_S, WATCH_S, FIND_S = 20, 20, 20, 20


def _one(way: str, members: int, loss: float, seed: int) -> tuple[float | None, int, float, float, int]:
    options = Options(suspicion=1_000, most_tries=2) if way == "no suspicion" else Options()
    world = World(seed, 0.0, options, baseline="heartbeat" if way == "heartbeat" else "")
    for number in range(members):
        world.start(number)
    world.run(JOIN_S * SECOND, world.agree, look=20_000 * max(1, members // 10))
    world.run(world.now + SETTLE_S * SECOND)  # rumours of the joining are over then
    joined = world.now
    world.loss, world.bytes, world.messages = loss, 0, 0
    false, seen = 0, {number: set[int]() for number in range(members)}

    def count() -> bool:
        nonlocal false
        for number, player in world.players.items():
            failed = {other.life for other in world.players.values() if player.failed(other.life)}
            false += len(failed - seen[number])
            seen[number] = failed
        return False

    if way == "heartbeat":
        world.run(joined + WATCH_S * SECOND, count, look=250_000)
    else:  # it tells each verdict itself
        before = len(world.told)
        world.run(joined + WATCH_S * SECOND)
        false = sum("accusers" in told.more for _, _, told in world.told[before:])
    sent, told = world.bytes / members / WATCH_S, world.messages / members / WATCH_S
    life, at = world.kill(members // 2), world.now
    found = world.run(
        at + FIND_S * SECOND, lambda: all(world.players[number].failed(life) for number in world.up())
    )
    return (world.now - at) / 1e3 if found else None, false, sent, told, world.largest


# All join at once; a third is lost at once; one in twenty restarts every two seconds, for so long.
CASES, FLAP_S, FLAP_EVERY_S, FLAP_PART = ("join", "third", "flap"), 20, 2, 20
# Within this all are to agree again.
AGREE_S = 60


@dataclass(frozen=True)
class Case:
    """A hard case at one size, over some seeds."""

    case: str
    members: int
    agree_s: list[float]  # until all that run saw each other and nobody else; one for each seed that did
    missed: int  # seeds that did not
    false_failed: int  # verdicts on the living, over all seeds
    bytes_a_second: float  # a member, until then


def _case(case: str, members: int, seed: int) -> tuple[float | None, int, float]:
    world, look = World(seed), 20_000 * max(1, members // 10)
    for number in range(members):
        world.start(number)
    if case != "join":
        world.run(JOIN_S * SECOND, world.agree, look)
        world.run(world.now + SETTLE_S * SECOND)
    began, told, world.bytes = world.now, len(world.told), 0
    dead: set[str] = set()
    if case == "third":
        dead = {f"{world.kill(number):016x}" for number in range(0, members, 3)}
    while case == "flap" and world.now < began + FLAP_S * SECOND:
        # Whoever comes back speaks from its own address: that is proof, and no verdict on the living.
        some = world.random.sample(range(CONTACTS, members), max(1, members // FLAP_PART))
        dead |= {f"{world.kill(number):016x}" for number in some}
        world.run(world.now + SECOND)
        for number in some:
            world.start(number)
        world.run(world.now + (FLAP_EVERY_S - 1) * SECOND)
    changed = world.now
    agreed = world.run(changed + AGREE_S * SECOND, world.agree, look)
    false = sum(
        one.event == "member.failed" and "accusers" in one.more and one.more["life"] not in dead
        for _, _, one in world.told[told:]
    )
    took = (world.now - began) / SECOND
    return ((world.now - changed) / SECOND if agreed else None, false, world.bytes / members / max(took, 0.1))


@dataclass
class CaseReport:
    """All cases."""

    rows: list[Case]

    @property
    def good(self) -> bool:
        """All agreed again, and nobody that lived was called dead."""
        return not any(row.missed or row.false_failed for row in self.rows)

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return {"good": self.good, "rows": [asdict(row) for row in self.rows]}

    def lines(self) -> list[str]:
        """For a terminal."""
        lines = [
            f"{'case':6} {'members':>7} {'agree again, s: median':>23} {'worst':>6} {'missed':>6} "
            f"{'false':>6} {'B/s':>8}"
        ]
        for row in self.rows:
            took = row.agree_s or [float("nan")]
            lines.append(
                f"{row.case:6} {row.members:7} {statistics.median(took):23.1f} {max(took):6.1f} "
                f"{row.missed:6} {row.false_failed:6} {row.bytes_a_second:8.0f}"
            )
        return [*lines, "good" if self.good else "WRONG"]


def cases(
    sizes: Sequence[int],
    seeds: int,
    some: Sequence[str] = CASES,
    say: Callable[[str], None] = lambda line: None,
) -> CaseReport:
    """The hard cases, on all cores."""
    rows = []
    for (case, members), results in run_cases(
        _case, [(case, members) for members in sizes for case in some], seeds, say
    ):
        took = [one[0] for one in results if one[0] is not None]
        rows.append(
            Case(
                case,
                members,
                took,
                len(results) - len(took),
                sum(one[1] for one in results),
                statistics.mean(one[2] for one in results),
            )
        )
    return CaseReport(rows)


def measure(
    sizes: Sequence[int],
    losses: Sequence[float],
    seeds: int,
    ways: Sequence[str] = WAYS,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """The table, on all cores."""
    rows = []
    all_ = [(way, members, loss) for members in sizes for loss in losses for way in ways]
    for (way, members, loss), results in run_cases(_one, all_, seeds, say):
        took = [one[0] for one in results if one[0] is not None]
        rows.append(
            Row(
                way,
                members,
                loss,
                took,
                len(results) - len(took),
                sum(one[1] for one in results),
                seeds * members * WATCH_S / 3_600,
                statistics.mean(one[2] for one in results),
                statistics.mean(one[3] for one in results),
                max(one[4] for one in results),
            )
        )
    return Report(rows)
