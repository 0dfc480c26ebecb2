"""Datagrams that no member sent, or sent before, at a real members' channel: each may cost a count, and no
more. Made from one seed; none of them goes over a socket, whose bound on datagrams a second would keep most
of them out."""

from __future__ import annotations

import itertools
import random
import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import msgspec

from ...membership.member_table import Claim, Info, Status
from ...membership.messages import MOST_BYTES, Ack, Ask, Ping, seal
from ...membership.swim import SwimMember
from ...membership.transport import MemberTransport
from ..stand_ins.sockets import HOST

KEY, OTHER = b"of the laboratory only", b"of somebody else's fleet"
MEMBERS = 12
# Resident memory may grow by so much over all of them: pages that the allocator keeps.
MOST_GROWTH_KB = 4_096


def _lives(rng: random.Random) -> list[Claim]:
    return [
        Claim(rng.getrandbits(63) | 1, f"n{number}", f"p{number}", HOST, 9_000 + number, 0, 0)
        for number in range(1, MEMBERS)
    ]


class Maker:
    """One datagram after the other, of every kind in turn."""

    def __init__(self, rng: random.Random, lives: list[Claim], old: list[bytes]) -> None:
        """`old`: datagrams that the channel has taken already."""
        self._rng, self._lives, self._old = rng, lives, old
        self._numbers = itertools.count(1_000)  # none of which was there before
        self.kinds: dict[str, Callable[[], bytes]] = {
            "noise": lambda: rng.randbytes(rng.randrange(0, 200)),
            "oversized": lambda: rng.randbytes(MOST_BYTES + rng.randrange(1, 100)),
            "torn": self._torn,
            "flipped": self._flipped,
            "another key": self._another_key,
            "replayed": lambda: rng.choice(old),
            "under the key, noise": self._sealed_noise,
            "under the key, wrong types": self._sealed_types,
            "under the key, insane": self._insane,
        }

    def _torn(self) -> bytes:
        whole = self._rng.choice(self._old)
        return whole[: self._rng.randrange(len(whole))]

    def _flipped(self) -> bytes:
        data = bytearray(self._rng.choice(self._old))
        data[self._rng.randrange(len(data))] ^= 1 << self._rng.randrange(8)
        return bytes(data)

    def _another_key(self) -> bytes:
        life = self._rng.choice(self._lives)
        return seal(OTHER, life.life, self._rng.getrandbits(40), Ping(1, life.life, [life]))

    def _enveloped(self, body: bytes) -> bytes:
        """Any body under the right key, as no member writes it."""
        life = self._rng.choice(self._lives).life
        return seal(KEY, life, next(self._numbers), msgspec.Raw(body))  # type: ignore[arg-type]

    def _sealed_noise(self) -> bytes:
        return self._enveloped(self._rng.randbytes(self._rng.randrange(0, 120)))

    def _sealed_types(self) -> bytes:
        rng = self._rng
        parts: list[Any] = [
            rng.randrange(-1, 9),
            "x",
            None,
            -1,
            1 << 63,
            [[]],
            {"a": 1},
            [1, 2, 3],
            0.5,
            b"\0",
        ]
        return self._enveloped(msgspec.msgpack.encode(rng.choices(parts, k=rng.randrange(0, 6))))

    def _insane(self) -> bytes:
        """Claims that can't be true, and what is too much to carry, of those who are there."""
        rng, life = self._rng, self._rng.choice(self._lives)
        wrong: list[dict[str, Any]] = [
            {"host": "name.to.look.up"},
            {"port": 0},
            {"port": 1 << 20},
            {"status": 9},
            {"status": -1},
            {"name": "n" * 99},
            {"place": "p" * 99},
            {"incarnation": -1},
            {"incarnation": 1 << 40},
        ]
        claim = msgspec.structs.replace(life, **({"life": rng.getrandbits(62)} | rng.choice(wrong)))
        info = Info(life.life, 1 << 30, 1 << 30, {f"k{n}": "v" * 20 for n in range(40)})
        kind = rng.choice((Ping, Ack, Ask))
        return seal(KEY, life.life, next(self._numbers), kind(rng.getrandbits(40), 1, [claim], [info]))


@dataclass
class Report:
    """What became of them."""

    datagrams: int
    seed: int
    counts: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    grown_kb: int = 0
    uncounted: int = 0  # that came to no count at all

    @property
    def good(self) -> bool:
        """No exception, nobody changed, no memory kept."""
        return not (self.errors or self.changed or self.uncounted) and self.grown_kb <= MOST_GROWTH_KB

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """For a terminal."""
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        return [
            f"{self.datagrams} datagrams, seed {self.seed}: {counts}; uncounted {self.uncounted}",
            f"memory grew by {self.grown_kb} KB",
            *self.errors[:5],
            *self.changed,
            "good" if self.good else "WRONG",
        ]


def _seen(member: SwimMember) -> dict[int, tuple[Any, ...]]:
    """All that a datagram could change of what is known."""
    return {life: (known.claim, known.info) for life, known in member.table.lives.items()} | {
        0: (member.own, sorted(member.table.up), member.table.count(Status.SUSPECT))
    }


def _kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def fuzz(datagrams: int, seed: int, say: Callable[[str], None] = lambda line: None) -> Report:
    """Let a channel take so many."""
    rng, report = random.Random(seed), Report(datagrams, seed)
    lives = _lives(rng)
    channel = MemberTransport((HOST, 0), KEY, "n0", "p0", [])
    member = channel._member
    old = [
        seal(KEY, one.life, number, Ping(number, member.own.life, [one]))
        for number in range(1, 40)
        for one in lives
    ]
    for data in old:
        channel._take(data, (HOST, 1), MOST_BYTES)
    before, maker, counted = _seen(member), Maker(rng, lives, old), Counter(channel.counts)
    replayed, insane = member.counts.replayed, member.counts.insane
    kinds = list(maker.kinds.items())
    for number in range(datagrams):
        if number == datagrams // 10:
            grown = _kb()  # pools and caches have their size by now
        name, make = kinds[number % len(kinds)]
        data = make()
        try:
            channel._take(data, (HOST, 1), MOST_BYTES)
        except Exception as error:
            report.errors.append(f"{name}, {data[:40].hex()}: {type(error).__name__} {error}")
        if (number + 1) % 100_000 == 0:
            member.tend()
            say(f"{number + 1} datagrams")
    member.tend()
    report.grown_kb = _kb() - grown
    got = channel.counts - counted
    report.uncounted = datagrams - sum(count for kind, count in got.items() if "sent" not in kind)
    report.counts = dict(got) | {
        "of these replayed": member.counts.replayed - replayed,
        "of these insane": member.counts.insane - insane,
    }
    after = _seen(member)
    report.changed = [
        f"life {life} changed: {before.get(life)} to {after.get(life)}"
        for life in sorted(before.keys() | after.keys())
        if before.get(life) != after.get(life)
    ]
    if len(member._numbers) > len(member.table.lives):
        report.changed.append(f"{len(member._numbers)} senders are remembered")
    channel.drop()
    return report
