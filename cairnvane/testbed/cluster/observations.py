"""What the servers' own log lines say of each other, held against what the rig did to them. No I/O.

Only here is a server asked how it sees things: what is judged is that sight itself. Times are seconds of the
load.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ... import log_events
from .scenario import Scenario

# A verdict of a server's own shows its accusers; one that it heard of from another has none to show.
_MEMBER_EVENT = log_events.pattern(log_events.MEMBER_EVENT)
# Member events are named `member.<event>` by the server as well: the prefix of the template may stand twice.
_EVENT_DETAILS = re.compile(
    r"(?:member\.)?(?P<event>[a-z_]+) name=(?P<name>\S+) life=(?P<life>\S+)(?P<more>.*)"
)
_VERDICT = re.compile(r" verdict=(.*?) was=")
# Lines around verdicts that should not have been.
MOST_SHOWN = 40
# By these a server knows that a life is over.
OVER = ("failed", "left")


class MemberEvent(NamedTuple):
    """What one log line says of a member."""

    event: str  # such as `failed` or `suspected`
    member: str
    details: str  # the rest of the line, as ` key=value`


def read_member_event(line: str) -> MemberEvent | None:
    """The member event of a log line; None if the line is no such event."""
    message = _MEMBER_EVENT.search(line)
    if message is None:
        return None
    event = _EVENT_DETAILS.match(message[1])
    if event is None:
        return None
    return MemberEvent(event["event"], event["name"], event["more"])


@dataclass(frozen=True)
class Sighting:
    """One server said this of one life, perhaps its own."""

    at: float
    by: str
    event: str
    name: str
    more: str

    @property
    def own_verdict(self) -> bool:
        """It found this life failed by itself."""
        return self.event == "failed" and "accusers=" in self.more

    @property
    def own_suspicion(self) -> bool:
        """It got no answer from this life itself."""
        return self.event == "suspected" and " why=" in self.more


def read(by: str, lines: Sequence[str], said_at: Sequence[float], begin: float) -> list[Sighting]:
    """The lines of one process; `begin`: the load's, on the clock of `said_at`."""
    found = []
    for at, line in zip(said_at, lines, strict=False):
        if (event := read_member_event(line)) is not None:
            found.append(Sighting(at - begin, by, event.event, event.member, event.details))
    return found


@dataclass(frozen=True)
class Kill:
    """A life that was killed, and who was up and in reach from then until the next thing happened to it."""

    at: float
    who: str
    others: frozenset[str]


@dataclass
class Traffic:
    """What went over the links between servers, second by second, both ways together."""

    members: int
    bytes_by_second: list[int] = field(default_factory=list)
    datagrams: int = 0

    @property
    def kb_a_second(self) -> float:
        """Of one member, over all the time."""
        whole = sum(self.bytes_by_second) / 1_024
        return whole / max(1, len(self.bytes_by_second)) / self.members

    @property
    def peak_kb(self) -> float:
        """Of one member, in the fullest second."""
        return max(self.bytes_by_second, default=0) / 1_024 / self.members

    @property
    def datagrams_a_second(self) -> float:
        """Of one member."""
        return self.datagrams / max(1, len(self.bytes_by_second)) / self.members


def known_after(kill: Kill, said: Iterable[Sighting]) -> float | None:
    """Seconds until all others had said that it is over; None if one never did."""
    first: dict[str, float] = {}
    for one in said:
        if one.name == kill.who and one.event in OVER and one.at >= kill.at and one.by in kill.others:
            first[one.by] = min(first.get(one.by, one.at), one.at)
    if set(first) != kill.others:
        return None
    return max((at - kill.at for at in first.values()), default=0.0)


@dataclass
class Views:
    """The servers' views of each other, over one play."""

    called_dead: int = 0  # verdicts of a server's own on servers that nothing was done to
    suspected: int = 0  # suspicions of such
    found_s: list[float] = field(default_factory=list)  # until all knew of each kill
    not_found: int = 0  # kills that one never came to know of
    agreed_s: float | None = None  # from the load's end until all saw each other; None: not, or not asked
    kb_a_second: float = 0.0  # a member's, to others
    peak_kb: float = 0.0
    datagrams_a_second: float = 0.0
    cpu: float = 0.0  # of a core, a process, in the mean of those alive at the load's end

    def line(self) -> str:
        """For a terminal."""
        times = ", ".join(f"{seconds:.2f}" for seconds in self.found_s)
        found = f"kills known to all after {times} s; " if times else ""
        agreed = "" if self.agreed_s is None else f"; all agree {self.agreed_s:.1f} s after the load's end"
        return (
            f"  members: {found}{self.not_found} not known to all; verdicts on the living "
            f"{self.called_dead}, suspicions {self.suspected}; {self.kb_a_second:.2f} KB/s and "
            f"{self.datagrams_a_second:.0f} datagrams a second each, at most {self.peak_kb:.1f} KB/s; "
            f"CPU {self.cpu:.4f} of a core{agreed}"
        )


def judge(
    told: Scenario,
    said: Sequence[Sighting],
    kills: Sequence[Kill],
    hurt: set[str],
    traffic: Traffic,
    agreed_s: float | None,
) -> tuple[Views, list[str]]:
    """The views, and the statements of the scenario on them that do not hold. `hurt`: servers that something
    was done to by the scenario's will."""
    wants, unhurt = told.expect, set(told.names) - hurt
    views = Views(
        called_dead=sum(one.own_verdict and one.name in unhurt for one in said),
        suspected=sum(one.own_suspicion and one.name in unhurt for one in said),
        agreed_s=agreed_s,
        kb_a_second=traffic.kb_a_second,
        peak_kb=traffic.peak_kb,
        datagrams_a_second=traffic.datagrams_a_second,
    )
    short = []
    took = [known_after(kill, said) for kill in kills]
    views.found_s, views.not_found = [one for one in took if one is not None], took.count(None)
    if wants.called_dead is not None and views.called_dead > wants.called_dead:
        short.append(f"{views.called_dead} verdicts on the living, {wants.called_dead} at most were expected")
        accused = {one.name for one in said if one.own_verdict and one.name in unhurt}
        short += [
            f"  {one.at:.2f} s {one.by}: {one.event} {one.name}{one.more}"
            for one in said
            if one.name in accused or one.event in ("held_up", "host_held_up")
        ][:MOST_SHOWN]
    if wants.agree_within is not None and agreed_s is None:
        short.append(f"the servers do not agree within {wants.agree_within:g} s")
    if wants.found_within is not None:
        for kill, one in zip(kills, took, strict=True):
            if one is None or one > wants.found_within:
                after = "never" if one is None else f"after {one:.2f} s"
                short.append(
                    f"the end of {kill.who} at {kill.at:.1f} s was known to all {after}, "
                    f"expected within {wants.found_within:g} s"
                )
    for event, names in (("held_up", wants.held_up), ("host_held_up", wants.host_held_up)):
        for name in names:
            if not any(one.by == name and one.event == event for one in said):
                short.append(f"{name} never said {event} of itself")
    for name, sight in wants.sights.items():
        took_for = {
            found[1]
            for one in said
            if one.by == name and one.event == "sight" and (found := _VERDICT.search(one.more)) is not None
        }
        if sight not in took_for:
            instead = ", ".join(sorted(took_for)) or "nothing"
            short.append(f"{name} never took itself for {sight}, but for {instead}")
    for what, limit, got in (
        ("", wants.kb_a_second, views.kb_a_second),
        (" in one second", wants.peak_kb, views.peak_kb),
    ):
        if limit is not None and got > limit:
            short.append(f"{got:.1f} KB/s a member{what}, {limit:g} at most were expected")
    return views, short
