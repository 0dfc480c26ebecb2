"""Checks the servers' views of each other, read from log lines, against the injected faults. No I/O.

This is the only check that uses what servers report, since their views are its subject. Times are seconds
since the load's start.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ... import log_events
from .scenario import Expect, Scenario

_MEMBER_EVENT = log_events.pattern(log_events.MEMBER_EVENT)
# The event name in the message may start with `member.` too, so the template's prefix may occur twice.
_EVENT_DETAILS = re.compile(
    r"(?:member\.)?(?P<event>[a-z_]+) name=(?P<name>\S+) life=(?P<life>\S+)(?P<more>.*)"
)
_PARTITION_VERDICT = re.compile(r" verdict=(.*?) was=")
# Maximum number of events that are reported as context of failure verdicts on healthy servers.
MAX_EVENTS_SHOWN = 40
# Events by which a server learns that an incarnation has ended.
TERMINAL_EVENTS = ("failed", "left")


class MemberEvent(NamedTuple):
    """A member event parsed from a log line."""

    event: str  # such as `failed` or `suspected`
    member: str
    details: str  # the rest of the line, as ` key=value`


def read_member_event(line: str) -> MemberEvent | None:
    """Parse a log line; None if it is not a member event."""
    message = _MEMBER_EVENT.search(line)
    if message is None:
        return None
    event = _EVENT_DETAILS.match(message[1])
    if event is None:
        return None
    return MemberEvent(event["event"], event["name"], event["more"])


@dataclass(frozen=True)
class Observation:
    """An event that one server logged about a member, possibly itself."""

    at: float
    observer: str
    event: str
    member: str
    details: str

    @property
    def own_verdict(self) -> bool:
        """Whether the observer itself declared the member failed.

        A server's own verdict names the accusers; a verdict received by gossip does not.
        """
        return self.event == "failed" and "accusers=" in self.details

    @property
    def own_suspicion(self) -> bool:
        """Whether the observer itself suspects the member, which did not answer its probe."""
        return self.event == "suspected" and " why=" in self.details


def read_observations(
    observer: str, lines: Sequence[str], line_times: Sequence[float], load_start: float
) -> list[Observation]:
    """The observations of one process; `load_start` is the start of the load on the clock of `line_times`."""
    observations = []
    for at, line in zip(line_times, lines, strict=False):
        if (event := read_member_event(line)) is not None:
            observations.append(
                Observation(at - load_start, observer, event.event, event.member, event.details)
            )
    return observations


@dataclass(frozen=True)
class KilledServer:
    """A killed server, and the servers that were up and reachable at that time and must detect the kill."""

    at: float
    server: str
    observers: frozenset[str]


@dataclass
class Traffic:
    """Traffic on the links between servers, per second, both directions combined."""

    members: int
    bytes_by_second: list[int] = field(default_factory=list)
    datagrams: int = 0

    @property
    def kb_a_second(self) -> float:
        """Mean KB per second and member over the whole load."""
        total_kb = sum(self.bytes_by_second) / 1_024
        return total_kb / max(1, len(self.bytes_by_second)) / self.members

    @property
    def peak_kb(self) -> float:
        """KB per member in the second with the most traffic."""
        return max(self.bytes_by_second, default=0) / 1_024 / self.members

    @property
    def datagrams_a_second(self) -> float:
        """Mean datagrams per second and member over the whole load."""
        return self.datagrams / max(1, len(self.bytes_by_second)) / self.members


def detection_time(killed: KilledServer, observations: Iterable[Observation]) -> float | None:
    """Seconds until all observers had logged the end of a killed server; None if any never did."""
    detected_at: dict[str, float] = {}
    for observation in observations:
        if (
            observation.member == killed.server
            and observation.event in TERMINAL_EVENTS
            and observation.at >= killed.at
            and observation.observer in killed.observers
        ):
            earlier = detected_at.get(observation.observer, observation.at)
            detected_at[observation.observer] = min(earlier, observation.at)
    if set(detected_at) != killed.observers:
        return None
    return max((at - killed.at for at in detected_at.values()), default=0.0)


@dataclass
class Views:
    """The servers' views of each other over one run; the names are the keys of the JSON report."""

    called_dead: int = 0  # servers' own failure verdicts on servers without an injected fault
    suspected: int = 0  # suspicions of such servers
    found_s: list[float] = field(default_factory=list)  # detection time of each killed server
    not_found: int = 0  # killed servers that some observer never detected
    agreed_s: float | None = None  # from the load's end until all views agreed; None: not, or not expected
    kb_a_second: float = 0.0  # sent by a member to others, mean
    peak_kb: float = 0.0
    datagrams_a_second: float = 0.0
    cpu: float = 0.0  # fraction of a core, mean of the processes alive at the load's end

    def line(self) -> str:
        """The report for a terminal."""
        times = ", ".join(f"{seconds:.2f}" for seconds in self.found_s)
        found = f"kills known to all after {times} s; " if times else ""
        agreed = "" if self.agreed_s is None else f"; all agree {self.agreed_s:.1f} s after the load's end"
        return (
            f"  members: {found}{self.not_found} not known to all; verdicts on the living "
            f"{self.called_dead}, suspicions {self.suspected}; {self.kb_a_second:.2f} KB/s and "
            f"{self.datagrams_a_second:.0f} datagrams a second each, at most {self.peak_kb:.1f} KB/s; "
            f"CPU {self.cpu:.4f} of a core{agreed}"
        )


def _false_verdicts(
    expect: Expect, views: Views, observations: Sequence[Observation], healthy: set[str]
) -> list[str]:
    if expect.called_dead is None or views.called_dead <= expect.called_dead:
        return []
    accused = {
        observation.member
        for observation in observations
        if observation.own_verdict and observation.member in healthy
    }
    context = [
        f"  {observation.at:.2f} s {observation.observer}: {observation.event} "
        f"{observation.member}{observation.details}"
        for observation in observations
        if observation.member in accused or observation.event in ("held_up", "host_held_up")
    ]
    return [
        f"{views.called_dead} verdicts on the living, {expect.called_dead} at most were expected",
        *context[:MAX_EVENTS_SHOWN],
    ]


def _slow_detections(
    expect: Expect, kills: Sequence[KilledServer], times: Sequence[float | None]
) -> list[str]:
    if expect.found_within is None:
        return []
    unmet = []
    for killed, time_s in zip(kills, times, strict=True):
        if time_s is None or time_s > expect.found_within:
            after = "never" if time_s is None else f"after {time_s:.2f} s"
            unmet.append(
                f"the end of {killed.server} at {killed.at:.1f} s was known to all {after}, "
                f"expected within {expect.found_within:g} s"
            )
    return unmet


def _missing_events(expect: Expect, observations: Sequence[Observation]) -> list[str]:
    """Stalls that servers were expected to log about themselves and did not."""
    expected = [("held_up", name) for name in expect.held_up]
    expected += [("host_held_up", name) for name in expect.host_held_up]
    logged = {(observation.event, observation.observer) for observation in observations}
    return [f"{name} never said {event} of itself" for event, name in expected if (event, name) not in logged]


def _missing_partition_verdicts(expect: Expect, observations: Sequence[Observation]) -> list[str]:
    unmet = []
    for name, expected in expect.sights.items():
        verdicts = {
            found[1]
            for observation in observations
            if observation.observer == name
            and observation.event == "sight"
            and (found := _PARTITION_VERDICT.search(observation.details)) is not None
        }
        if expected not in verdicts:
            instead = ", ".join(sorted(verdicts)) or "nothing"
            unmet.append(f"{name} never took itself for {expected}, but for {instead}")
    return unmet


def _excessive_traffic(expect: Expect, views: Views) -> list[str]:
    limits = (
        ("", expect.kb_a_second, views.kb_a_second),
        (" in one second", expect.peak_kb, views.peak_kb),
    )
    return [
        f"{measured:.1f} KB/s a member{period}, {limit:g} at most were expected"
        for period, limit, measured in limits
        if limit is not None and measured > limit
    ]


def check_views(
    scenario: Scenario,
    observations: Sequence[Observation],
    kills: Sequence[KilledServer],
    faulted: set[str],
    traffic: Traffic,
    agreed_s: float | None,
) -> tuple[Views, list[str]]:
    """The servers' views, and the scenario's expectations on them that were not met.

    `faulted`: servers with an injected fault.
    """
    expect = scenario.expect
    healthy = set(scenario.names) - faulted
    times = [detection_time(killed, observations) for killed in kills]
    views = Views(
        called_dead=sum(seen.own_verdict and seen.member in healthy for seen in observations),
        suspected=sum(seen.own_suspicion and seen.member in healthy for seen in observations),
        found_s=[time_s for time_s in times if time_s is not None],
        not_found=times.count(None),
        agreed_s=agreed_s,
        kb_a_second=traffic.kb_a_second,
        peak_kb=traffic.peak_kb,
        datagrams_a_second=traffic.datagrams_a_second,
    )
    unmet = _false_verdicts(expect, views, observations, healthy)
    if expect.agree_within is not None and agreed_s is None:
        unmet.append(f"the servers do not agree within {expect.agree_within:g} s")
    unmet += _slow_detections(expect, kills, times)
    unmet += _missing_events(expect, observations)
    unmet += _missing_partition_verdicts(expect, observations)
    unmet += _excessive_traffic(expect, views)
    return views, unmet
