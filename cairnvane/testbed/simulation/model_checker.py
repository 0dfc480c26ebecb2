"""Small worlds of members explored whole: every order of messages, losses, duplicates, restarts and
departures up to a depth, with the real `membership.Member` and nothing left to chance.

A state holds each member as bytes, so that a step copies only whom it touches, and two orders that lead to
the same state are followed once. Each step is held against what must always be so; and from each last state
the world goes on without faults, and must come to rest: all that run see each other, nobody else is there,
and no rumour is told any more.
"""

from __future__ import annotations

import contextlib
import hashlib
import pickle
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any, TypeVar
from unittest import mock

from ...membership import swim
from ...membership.gossip import Rumours
from ...membership.local_health import CHECKS
from ...membership.member_table import Claim, Status, Table
from ...membership.messages import MOST_BYTES, Message, View, seal
from ...membership.swim import Action, Address, Send, SwimMember, Tell

HOST, KEY = "10.0.0.1", b"of the laboratory"
T = TypeVar("T")
# A message that is neither lost nor explored takes so long.
PASS_US = 1_000
# Without faults a world comes to rest within this, however it began; its rumours are told to the end by then.
REST_US = 45_000_000
# Between two looks at whether it has.
LOOK_US = 250_000
# What a path may hold of each kind of fault.
LOSSES, DUPLICATES, RESTARTS, LEAVES = 3, 1, 1, 1


class Still(random.Random):
    """No chance at all: what is drawn is always the same, and so two paths may meet."""

    def random(self) -> float:
        return 0.5

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2

    def shuffle(self, x: Any) -> None:
        return None

    def choice(self, seq: Any) -> Any:
        return seq[0]

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list[Any]:
        return list(population)[:k]

    def randint(self, a: int, b: int) -> int:
        return a

    def __reduce__(self) -> tuple[Any, ...]:
        return Still, ()


@dataclass(frozen=True)
class Letter:
    """A message on its way."""

    to: Address
    life: int
    number: int
    source: Address
    message: Message


@dataclass(frozen=True)
class Spent:
    """Faults that a path has had."""

    losses: int = 0
    duplicates: int = 0
    restarts: int = 0
    leaves: int = 0


@dataclass(frozen=True)
class State:
    """Of the whole world."""

    now: int
    members: tuple[bytes, ...]
    sent: tuple[int, ...]  # messages of each one's present life
    flight: tuple[Letter, ...]
    spent: Spent = Spent()
    # Of each life that was: the highest incarnation that it gave itself, and whether it said that it leaves.
    owned: tuple[tuple[int, int, bool], ...] = ()
    gone: frozenset[int] = frozenset()  # numbers of members that left, and run no more

    @property
    def mark(self) -> bytes:
        """The same for the same state."""
        flight = sorted(repr(letter) for letter in self.flight)
        told = pickle.dumps(
            (self.now, self.members, self.sent, flight, self.spent, sorted(self.owned), sorted(self.gone))
        )
        return hashlib.blake2b(told, digest_size=16).digest()


class Broken(Exception):
    """An invariant does not hold."""


def _at(number: int) -> Address:
    return HOST, number + 1


def _with(some: tuple[T, ...], number: int, one: T) -> tuple[T, ...]:
    return *some[:number], one, *some[number + 1 :]


def load(data: bytes) -> SwimMember:
    """A member out of a state."""
    member: SwimMember = pickle.loads(data)
    return member


class World:
    """How one state leads to others."""

    def __init__(self, members: int) -> None:
        self.count = members

    # --- beginnings

    def _new(self, number: int, life: int, now: int) -> SwimMember:
        claim = Claim(life, f"n{number}", f"p{number}", *_at(number), 0, 0)
        return SwimMember(claim, Still(), now, contacts=[_at(one) for one in range(self.count)])

    def joined(self) -> State:
        """All know each other, and nothing is on its way."""
        members = [self._new(number, 100 + number, 0) for number in range(self.count)]
        state = State(
            0,
            tuple(pickle.dumps(one) for one in members),
            (0,) * self.count,
            (),
            owned=tuple((one.own.life, 0, False) for one in members),
        )
        return self.rest(state, REST_US)

    def restarted(self) -> State:
        """The last one was killed and started again: its first words are on their way."""
        state = self._restart(self.joined(), self.count - 1)
        state = replace(state, spent=Spent())
        while not state.flight:
            state = self._tick(state)
        return state

    def suspected(self) -> State:
        """The first one suspects the second, and nobody has heard of it yet."""
        state = self.joined()
        for _ in range(200):
            if any(load(state.members[0]).table.standing(Status.SUSPECT)):
                return replace(state, flight=())
            state = self._tick(state)
            lost = tuple(one for one in state.flight if _at(1) not in (one.to, one.source))
            state = replace(state, flight=lost)
            while state.flight:
                state = self._deliver(state, 0)
                state = replace(
                    state, flight=tuple(one for one in state.flight if _at(1) not in (one.to, one.source))
                )
        raise AssertionError("no suspicion")

    def cut(self) -> State:
        """The first half was cut off from the others until both sides found each other failed."""
        state, few = self.joined(), {_at(number) for number in range(self.count // 2)}
        over = state.now + 15_000_000
        while state.now < over:
            state = self._tick(state)
            while state.flight:
                letter = state.flight[0]
                crosses = (letter.to in few) is not (letter.source in few)
                state = self._drop(state, 0) if crosses else self._deliver(state, 0)
        return state

    # --- steps

    def _letters(self, member: SwimMember, sent: int, actions: Sequence[Action]) -> list[Letter]:
        """What it sends, after so many messages before."""
        out: list[Letter] = []
        source = member.own.host, member.own.port
        for action in actions:
            if isinstance(action, Tell):
                continue
            messages: list[Message] = [action.message] if isinstance(action, Send) else [*member.whole(True)]
            for message in messages:
                letter = Letter(action.to, member.own.life, sent + len(out) + 1, source, message)
                if not isinstance(message, View):
                    size = len(seal(KEY, letter.life, letter.number, message))
                    if size > MOST_BYTES:
                        raise Broken(f"a datagram of {size} bytes")
                out.append(letter)
        return out

    def _handle(
        self,
        member: SwimMember,
        now: int,
        letter: Letter,
        sent: int,
    ) -> tuple[list[Action], list[Letter]]:
        """What it does, and sends; a view that asks for one is answered."""
        out = member.handle(now, letter.life, letter.number, letter.source, letter.message)
        more = self._letters(member, sent, out)
        if isinstance(letter.message, View) and letter.message.answer:
            more += [
                Letter(letter.source, member.own.life, sent + len(more) + number, letter.to, view)
                for number, view in enumerate(member.whole(False), start=1)
            ]
        return out, more

    def _became(
        self,
        state: State,
        number: int,
        member: SwimMember,
        out: Sequence[Action],
        letters: Sequence[Letter],
    ) -> State:
        """The state with this member as it is now; what must always be so is held against it."""
        before = load(state.members[number])
        owned = {life: (incarnation, left) for life, incarnation, left in state.owned}
        highest, left = owned.get(member.own.life, (0, False))
        if member.own.incarnation < highest and member.own.status != Status.LEFT:
            raise Broken(f"n{number} takes its own incarnation back")
        owned[member.own.life] = (
            max(highest, member.own.incarnation),
            left or member.own.status == Status.LEFT,
        )
        _hold(number, before, member, out, owned)
        sent = state.sent[number] + len(letters)
        return replace(
            state,
            members=_with(state.members, number, pickle.dumps(member)),
            sent=_with(state.sent, number, sent),
            flight=(*state.flight, *letters),
            owned=tuple((life, *told) for life, told in sorted(owned.items())),
        )

    def _running(self, state: State) -> list[int]:
        return [number for number in range(self.count) if number not in state.gone]

    def _tick(self, state: State) -> State:
        """Time goes on until the next one has something to do."""
        at, number = min((load(state.members[number]).next_at(), number) for number in self._running(state))
        state = replace(state, now=max(state.now, at))
        member = load(state.members[number])
        out = member.tick(state.now)
        return self._became(state, number, member, out, self._letters(member, state.sent[number], out))

    def _drop(self, state: State, which: int) -> State:
        return replace(state, flight=(*state.flight[:which], *state.flight[which + 1 :]))

    def _deliver(self, state: State, which: int, keep: bool = False) -> State:
        letter = state.flight[which]
        left = state if keep else self._drop(state, which)
        number = letter.to[1] - 1
        if number in state.gone or not 0 <= number < self.count:
            return left
        member = load(state.members[number])
        out, letters = self._handle(member, state.now, letter, state.sent[number])
        return self._became(left, number, member, out, letters)

    def _restart(self, state: State, number: int) -> State:
        life = max(one[0] for one in state.owned) + 100
        member = self._new(number, life, state.now)
        spent = replace(state.spent, restarts=state.spent.restarts + 1)
        return replace(
            state,
            members=_with(state.members, number, pickle.dumps(member)),
            spent=spent,
            sent=_with(state.sent, number, 0),
            owned=(*state.owned, (life, 0, False)),
        )

    def _leave(self, state: State, number: int) -> State:
        member = load(state.members[number])
        out = member.leave(state.now)
        letters = self._letters(member, state.sent[number], out)
        after = self._became(state, number, member, out, letters)
        spent = replace(state.spent, leaves=state.spent.leaves + 1)
        return replace(after, spent=spent, gone=state.gone | {number})

    def steps(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        """Whatever may happen next, by a name."""
        spent, seen = state.spent, set()
        for which, letter in enumerate(state.flight):
            told = repr((letter.to, letter.life, letter.message))
            if told in seen:
                continue
            seen.add(told)
            name = f"{type(letter.message).__name__} {letter.source[1] - 1}>{letter.to[1] - 1}"
            yield f"deliver {name}", lambda which=which: self._deliver(state, which)  # type: ignore[misc]
            if spent.losses < LOSSES:
                lost = replace(spent, losses=spent.losses + 1)
                yield (
                    f"lose {name}",
                    lambda which=which, lost=lost: replace(  # type: ignore[misc]
                        self._drop(state, which), spent=lost
                    ),
                )
            if spent.duplicates < DUPLICATES:
                more = replace(spent, duplicates=spent.duplicates + 1)
                yield (
                    f"double {name}",
                    lambda which=which, more=more: replace(  # type: ignore[misc]
                        self._deliver(state, which, keep=True), spent=more
                    ),
                )
        yield "time", lambda: self._tick(state)
        for number in self._running(state):
            if spent.restarts < RESTARTS:
                yield f"restart {number}", lambda number=number: self._restart(state, number)  # type: ignore[misc]
            if spent.leaves < LEAVES:
                yield f"leave {number}", lambda number=number: self._leave(state, number)  # type: ignore[misc]

    # --- the end

    def rest(self, state: State, within: int, enough: bool = False) -> State:
        """Go on without faults: each message arrives after `PASS_US`, in its order. With `enough`, until all
        has come to rest."""
        look_at = state.now + LOOK_US
        over, due = state.now + within, [(state.now + PASS_US, letter) for letter in state.flight]
        members = {number: load(state.members[number]) for number in self._running(state)}
        state, now, sent = replace(state, flight=()), state.now, list(state.sent)
        while True:
            at, number = min((member.next_at(), number) for number, member in members.items())
            if due and due[0][0] <= at:
                now, letter = due.pop(0)
                number = letter.to[1] - 1
                if number not in members:
                    continue
                _, letters = self._handle(members[number], now, letter, sent[number])
            else:
                if at > over or (enough and at > look_at and not _restless(members)):
                    break
                look_at = max(look_at, at - at % LOOK_US + LOOK_US)
                now, member = max(now, at), members[number]
                suspects = _suspects(member)
                out = member.tick(now)
                _judged(number, suspects, member, out)
                letters = self._letters(member, sent[number], out)
            sent[number] += len(letters)
            due += [(now + PASS_US, letter) for letter in letters]
        owned = {life: (incarnation, left) for life, incarnation, left in state.owned}
        for member in members.values():
            highest, left = owned.get(member.own.life, (0, False))
            owned[member.own.life] = max(highest, member.own.incarnation), left
        every = tuple(
            pickle.dumps(members[number]) if number in members else state.members[number]
            for number in range(self.count)
        )
        return replace(
            state,
            now=now,
            members=every,
            sent=tuple(sent),
            owned=tuple((life, *told) for life, told in sorted(owned.items())),
        )

    def at_rest(self, state: State) -> None:
        """`Broken` if a world without faults does not come to rest."""
        members = {
            number: load(data)
            for number, data in enumerate(self.rest(state, REST_US, True).members)
            if number not in state.gone
        }
        if why := _restless(members):
            raise Broken(why)


def _restless(members: dict[int, SwimMember]) -> str:
    """Why these have not come to rest; empty if they have."""
    lives = {member.own.life for member in members.values()}
    for number, member in members.items():
        sees = set(member.table.up)
        if sees != lives - {member.own.life}:
            missing, ghosts = sorted(lives - sees - {member.own.life}), sorted(sees - lives)
            return f"at rest n{number} misses {missing}, and sees {ghosts} for nothing"
        if member.table.count(Status.SUSPECT) or len(member._rumours):
            suspects, rumours = member.table.count(Status.SUSPECT), len(member._rumours)
            return f"at rest n{number} still suspects {suspects}, and tells {rumours} rumours"
    return ""


def _suspects(member: SwimMember) -> dict[int, Address]:
    """Where those are that it suspects."""
    return {
        life.claim.life: (life.claim.host, life.claim.port) for life in member.table.standing(Status.SUSPECT)
    }


def _judged(number: int, suspects: dict[int, Address], member: SwimMember, out: Sequence[Action]) -> None:
    """No verdict on a suspect without last probes, unless another life speaks from its address."""
    for action in out:
        if isinstance(action, Tell) and action.event == "member.failed" and "probed" in action.more:
            life = int(action.more["life"], 16)
            if life in suspects and action.more["probed"] < CHECKS and not member.table.at(suspects[life]):
                raise Broken(f"n{number} fails {life} without last probes")


def _hold(
    number: int,
    before: SwimMember,
    member: SwimMember,
    out: Sequence[Action],
    owned: dict[int, tuple[int, bool]],
) -> None:
    """What must always be so, of one member after one step."""
    for life, known in before.table.lives.items():
        after = member.table.lives.get(life)
        if after is not None and after.claim.rank < known.claim.rank:
            raise Broken(f"n{number} takes a claim on {life} back")
    for life, known in member.table.lives.items():
        highest, left = owned.get(life, (0, False))
        if known.claim.incarnation > highest:
            raise Broken(f"n{number} knows an incarnation of {life} that this never gave itself")
        if known.status is Status.LEFT and not left:
            raise Broken(f"n{number} takes {life} for one that has left, and it has not said so")
    _judged(number, _suspects(before), member, out)
    if len(member._rumours) > len(member.table.lives) + 1:
        raise Broken(f"n{number} tells more rumours than there are lives")


# What is taken out of the decisions, for a run that must find something.
def _mutants() -> dict[str, Callable[[], Any]]:
    def refute_as_before(self: SwimMember, claim: Claim) -> None:
        if claim.status != Status.ALIVE:
            self._rumours.add(self.own)

    def take_any(self: Table, claim: Claim, now: int) -> Any:
        if (known := self.lives.get(claim.life)) is not None:
            self._withdraw(known)
            known.claim = claim
            self._enter(known)
            return known
        return None

    def keep_telling(self: Rumours, most: int, members: int, first: int | None = None) -> list[Claim]:
        return [claim for some in self._levels for claim in some.values()][:most]

    def suspect_higher(self: Claim, status: Status, incarnation: int, by: int) -> Claim:
        import msgspec

        return msgspec.structs.replace(self, status=int(status), incarnation=incarnation + 1, by=by)

    def nobody(*args: object) -> None:
        return None

    return {
        "no-refutation": lambda: mock.patch.object(SwimMember, "_told_of_us", nobody),
        "refutes-as-before": lambda: mock.patch.object(SwimMember, "_told_of_us", refute_as_before),
        "no-second-look": lambda: mock.patch.object(SwimMember, "_revisit", nobody),
        "any-claim-counts": lambda: mock.patch.object(Table, "take", take_any),
        "others-raise-incarnations": lambda: mock.patch.object(Claim, "saying", suspect_higher),
        "rumours-for-ever": lambda: mock.patch.object(Rumours, "pick", keep_telling),
        "no-last-probes": lambda: mock.patch.object(swim, "checks", lambda doubt, tries: 0),
    }


MUTANTS = _mutants()
BEGINNINGS = ("joined", "suspected", "cut", "restarted")


@dataclass
class Report:
    """What was explored."""

    members: int
    depth: int
    mutant: str
    states: dict[str, int] = field(default_factory=dict)  # by beginning
    ends: dict[str, int] = field(default_factory=dict)
    cut_short: bool = False
    broken: str = ""
    path: list[str] = field(default_factory=list)  # that leads there

    @property
    def good(self) -> bool:
        """Nothing was broken; with a mutant, something was."""
        return bool(self.broken) is bool(self.mutant)

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """For a terminal."""
        some = [
            f"{self.members} members, {self.depth} steps from {name}: {count} states, "
            f"{self.ends[name]} ends all came to rest"
            for name, count in self.states.items()
        ]
        if self.broken:
            some += [f"BROKEN: {self.broken}", *(f"  {step}" for step in self.path)]
        return [
            *some,
            *(["cut short: not all was seen"] if self.cut_short else []),
            "good" if self.good else "WRONG",
        ]


def _walk(
    world: World,
    begin: State,
    path: list[str],
    depth: int,
    most: int,
) -> tuple[int, int, str, list[str], bool]:
    """States, ends, what is broken and the way there, and whether it was cut short."""
    seen: dict[bytes, int] = {}
    stack, ends, way = [(begin, path)], 0, path
    while stack:
        state, way = stack.pop()
        mark = state.mark
        if seen.get(mark, depth + 1) <= len(way):
            continue
        seen[mark] = len(way)
        if len(seen) > most:
            return len(seen), ends, "", [], True
        try:
            if len(way) >= depth:
                ends += 1
                world.at_rest(state)
                continue
            before = way
            for name, step in world.steps(state):
                way = [*before, name]
                stack.append((step(), way))
        except Broken as error:
            return len(seen), ends, str(error), way, False
    return len(seen), ends, "", [], False


def _part(
    members: int,
    begin: State,
    path: list[str],
    depth: int,
    most: int,
    mutant: str,
) -> tuple[int, int, str, list[str], bool]:
    """One worker's share: what follows from this state, to which the path led."""
    with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return _walk(World(members), begin, path, depth, most)


def _shares(world: World, begin: State, depth: int) -> list[tuple[State, list[str]]]:
    """All states after two steps, or fewer of a short path: a share for one worker each. `Broken` with the
    path if one can't be reached."""
    shares = [(begin, list[str]())]
    for _ in range(min(2, depth - 1)):
        after = []
        for state, path in shares:
            for name, step in world.steps(state):
                try:
                    after.append((step(), [*path, name]))
                except Broken as error:
                    raise Broken(str(error), [*path, name]) from None
        shares = after
    return shares


# States of one worker's share.
MOST_STATES = 200_000


def explore(
    members: int,
    depth: int,
    *,
    beginnings: Sequence[str] = BEGINNINGS,
    mutant: str = "",
    most: int = MOST_STATES,
    workers: int | None = None,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """All worlds of so many members and steps; `most`: states for one worker's share."""
    from concurrent.futures import ProcessPoolExecutor

    report, world = Report(members, depth, mutant), World(members)
    with ProcessPoolExecutor(workers) as pool:
        for beginning in beginnings:
            begin: State = getattr(world, beginning)()
            report.states[beginning] = report.ends[beginning] = 0
            try:
                with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
                    shares = _shares(world, begin, depth)
            except Broken as error:
                report.broken, report.path = error.args[0], [f"from {beginning}", *error.args[1]]
                break
            got = [pool.submit(_part, members, state, path, depth, most, mutant) for state, path in shares]
            for one in got:
                states, ends, broken, path, short = one.result()
                report.states[beginning] += states
                report.ends[beginning] += ends
                report.cut_short |= short
                if broken and not report.broken:
                    report.broken, report.path = broken, [f"from {beginning}", *path]
            say(f"{beginning}: {report.states[beginning]} states")
            if report.broken:
                break
    return report
