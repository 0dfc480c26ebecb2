"""`cairnvane lab fuzz`: invalid and replayed datagrams at a real member transport.

A datagram may increase a counter and must change nothing else. All datagrams are generated from one seed.
They are passed to the transport directly, since its limit on datagrams per second would drop most of them.
"""

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
from ...membership.messages import MAX_DATAGRAM_BYTES, Ack, Ask, Ping, seal
from ...membership.swim import SwimMember
from ...membership.transport import MemberTransport
from ..stand_ins.sockets import HOST

KEY = b"of the laboratory only"
OTHER_KEY = b"of somebody else's fleet"
MEMBERS = 12
# Valid pings that the transport receives from each member before the invalid datagrams.
ACCEPTED_PINGS = 39
PROGRESS_DATAGRAMS = 100_000
MAX_ERRORS_SHOWN = 5
# Allowed growth of resident memory over the run: pages that the allocator does not return to the system.
MAX_GROWTH_KB = 4_096


def _member_claims(rng: random.Random) -> list[Claim]:
    return [
        Claim(rng.getrandbits(63) | 1, f"n{number}", f"p{number}", HOST, 9_000 + number, 0, 0)
        for number in range(1, MEMBERS)
    ]


class Generator:
    """Generates invalid and replayed datagrams of every kind."""

    def __init__(self, rng: random.Random, claims: list[Claim], accepted: list[bytes]) -> None:
        """`accepted`: datagrams that the transport has accepted before."""
        self._rng = rng
        self._claims = claims
        self._accepted = accepted
        self._numbers = itertools.count(1_000)  # higher than any number in `accepted`
        self.kinds: dict[str, Callable[[], bytes]] = {
            "noise": lambda: rng.randbytes(rng.randrange(0, 200)),
            "oversized": lambda: rng.randbytes(MAX_DATAGRAM_BYTES + rng.randrange(1, 100)),
            "torn": self._torn,
            "flipped": self._flipped,
            "another key": self._another_key,
            "replayed": lambda: rng.choice(accepted),
            "under the key, noise": self._sealed_noise,
            "under the key, wrong types": self._sealed_types,
            "under the key, insane": self._implausible,
        }

    def _torn(self) -> bytes:
        datagram = self._rng.choice(self._accepted)
        return datagram[: self._rng.randrange(len(datagram))]

    def _flipped(self) -> bytes:
        data = bytearray(self._rng.choice(self._accepted))
        data[self._rng.randrange(len(data))] ^= 1 << self._rng.randrange(8)
        return bytes(data)

    def _another_key(self) -> bytes:
        claim = self._rng.choice(self._claims)
        return seal(
            OTHER_KEY, claim.instance_id, self._rng.getrandbits(40), Ping(1, claim.instance_id, [claim])
        )

    def _sealed(self, body: bytes) -> bytes:
        """A body that no member would send, sealed with the right key."""
        life = self._rng.choice(self._claims).instance_id
        return seal(KEY, life, next(self._numbers), msgspec.Raw(body))  # type: ignore[arg-type]

    def _sealed_noise(self) -> bytes:
        return self._sealed(self._rng.randbytes(self._rng.randrange(0, 120)))

    def _sealed_types(self) -> bytes:
        rng = self._rng
        values: list[Any] = [
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
        return self._sealed(msgspec.msgpack.encode(rng.choices(values, k=rng.randrange(0, 6))))

    def _implausible(self) -> bytes:
        """A message with a claim whose field is out of range, and with information that is too large."""
        rng = self._rng
        member = rng.choice(self._claims)
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
        claim = msgspec.structs.replace(member, **({"instance_id": rng.getrandbits(62)} | rng.choice(wrong)))
        info = Info(member.instance_id, 1 << 30, 1 << 30, {f"k{n}": "v" * 20 for n in range(40)})
        kind = rng.choice((Ping, Ack, Ask))
        return seal(
            KEY, member.instance_id, next(self._numbers), kind(rng.getrandbits(40), 1, [claim], [info])
        )


@dataclass
class Report:
    """Result of the run; the names are the keys of the JSON report."""

    datagrams: int
    seed: int
    counts: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    grown_kb: int = 0
    uncounted: int = 0  # datagrams that increased no counter

    @property
    def good(self) -> bool:
        """Whether no exception, no change of state and no excessive growth of memory was seen."""
        return not (self.errors or self.changed or self.uncounted) and self.grown_kb <= MAX_GROWTH_KB

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        return [
            f"{self.datagrams} datagrams, seed {self.seed}: {counts}; uncounted {self.uncounted}",
            f"memory grew by {self.grown_kb} KB",
            *self.errors[:MAX_ERRORS_SHOWN],
            *self.changed,
            "good" if self.good else "WRONG",
        ]


def _snapshot(member: SwimMember) -> dict[int, tuple[Any, ...]]:
    """The member's state that a datagram could change."""
    return {life: (known.claim, known.info) for life, known in member.table.records.items()} | {
        0: (member.own, sorted(member.table.up), member.table.count(Status.SUSPECT))
    }


def _peak_memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _accepted_pings(member: SwimMember, claims: list[Claim]) -> list[bytes]:
    return [
        seal(KEY, claim.instance_id, number, Ping(number, member.own.instance_id, [claim]))
        for number in range(1, ACCEPTED_PINGS + 1)
        for claim in claims
    ]


def _receive_all(
    transport: MemberTransport,
    generator: Generator,
    report: Report,
    say: Callable[[str], None],
) -> None:
    """Pass all datagrams to the transport, and record errors and the growth of memory in the report."""
    member = transport._member
    kinds = list(generator.kinds.items())
    for number in range(report.datagrams):
        if number == report.datagrams // 10:
            memory_before_kb = _peak_memory_kb()  # pools and caches have reached their size by now
        name, generate = kinds[number % len(kinds)]
        datagram = generate()
        try:
            transport._handle_sealed(datagram, (HOST, 1), MAX_DATAGRAM_BYTES)
        except Exception as error:
            report.errors.append(f"{name}, {datagram[:40].hex()}: {type(error).__name__} {error}")
        if (number + 1) % PROGRESS_DATAGRAMS == 0:
            member.drop_unknown_replay_windows()
            say(f"{number + 1} datagrams")
    member.drop_unknown_replay_windows()
    report.grown_kb = _peak_memory_kb() - memory_before_kb


def _describe_changes(
    member: SwimMember, state_before: dict[int, tuple[Any, ...]], state_after: dict[int, tuple[Any, ...]]
) -> list[str]:
    changes = [
        f"life {life} changed: {state_before.get(life)} to {state_after.get(life)}"
        for life in sorted(state_before.keys() | state_after.keys())
        if state_before.get(life) != state_after.get(life)
    ]
    if len(member._replay_windows) > len(member.table.records):
        changes.append(f"{len(member._replay_windows)} senders are remembered")
    return changes


def fuzz(datagrams: int, seed: int, say: Callable[[str], None] = lambda line: None) -> Report:
    """Pass `datagrams` invalid or replayed datagrams to a member transport, and report their effects."""
    rng = random.Random(seed)
    report = Report(datagrams, seed)
    claims = _member_claims(rng)
    transport = MemberTransport((HOST, 0), KEY, "n0", "p0", [])
    member = transport._member
    accepted = _accepted_pings(member, claims)
    for datagram in accepted:
        transport._handle_sealed(datagram, (HOST, 1), MAX_DATAGRAM_BYTES)
    state_before = _snapshot(member)
    counts_before = Counter(transport.counts)
    replayed_before = member.counts.replayed
    insane_before = member.counts.insane
    _receive_all(transport, Generator(rng, claims, accepted), report, say)
    counts = transport.counts - counts_before
    report.uncounted = datagrams - sum(count for kind, count in counts.items() if "sent" not in kind)
    report.counts = dict(counts) | {
        "of these replayed": member.counts.replayed - replayed_before,
        "of these insane": member.counts.insane - insane_before,
    }
    report.changed = _describe_changes(member, state_before, _snapshot(member))
    transport.drop()
    return report
