"""A scenario: who is there, what goes wrong and when, and what must hold. YAML, checked; no I/O but one read.

Messages name the file, the line, the key and the value. `docs/fleet-lab.md` has the words.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from ...config import ConfigurationError
from ...membership.partition_detector import Verdict as SightVerdict
from .link_conditions import KINDS, ONLY_UDP

# A desk's machine carries so many servers, each with stand-ins of its own, and one rig process all their
# load.
MOST_SERVERS, MOST_SECONDS, MOST_RATE = 24, 7_200.0, 400.0
# What can be done to servers, to the vault, and to the load.
TO_SERVERS = ("kill", "start", "stop", "leave", "upgrade", "hold", "busy", "clock")
# Of these, what makes a server deaf and dumb: it may be called dead with right.
SILENCING = ("kill", "stop", "hold")
TO_VAULT, TO_LOAD = ("slow", "down", "silent"), ("surge",)
# Between two of whom a link is: `balancers` stands for all of them, and `servers` for each server.
SHARED, ALL = ("balancers", "pool", "vault", "roster"), "servers"
# What a scenario may state of the servers' views of each other.
ASKED_OF_MEMBERS = (
    "called_dead",
    "agree_within",
    "found_within",
    "held_up",
    "host_held_up",
    "sights",
    "kb_a_second",
    "peak_kb",
)
_SPAN = ("stop", "hold", "busy", *TO_VAULT, *TO_LOAD, *KINDS)


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the balancers bring."""

    rate: float = 40.0  # first tries a second, of all
    balancers: int = 4
    keyed: float = 0.2  # the share of `bid-commit`
    tries: int = 8  # of one request, the first one among them
    heed: float = 0.5  # the share of balancers that heed advice
    wait: float = 3.0  # seconds that a balancer waits for one try
    walk: bool = True  # a refused request goes to the next server, not to the same one


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine below each server."""

    cores: int = 4
    work_ms: float = 60.0  # of a core, half before the call and half behind it


class Vault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all servers call."""

    slots: int = 32
    call_ms: float = 40.0
    falls_at: float = 5.0  # times its slots in hand, and it refuses everybody for a second


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One thing that goes wrong."""

    do: str
    at: float  # seconds from the load's start
    for_: float = msgspec.field(default=0.0, name="for")
    jitter: float = 0.0  # it comes up to so much later
    who: str = ""  # a server, `any` (drawn), or `vault`
    link: list[str | list[str]] = []  # each end a name, or several
    way: str = "both"  # `there` from the first of the link to the second, `back`, or `both`
    times: float = 8.0  # slow, surge
    by: float = 0.0  # clock: seconds that Unix time jumps; start: that it is off from the first
    share: float = 0.3  # drop, duplicate, reorder
    ms: float = 50.0  # delay
    spread_ms: float = 0.0
    kb_a_second: float = 16.0  # cap


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the scenario states beside the four rules."""

    served: float = 0.0  # the least share of requests
    back_within: float | None = None  # seconds from the last fault's end until as much is served as before
    tries: float | None = None  # the most tries a request, over all
    called_dead: int | None = None  # the most verdicts on members that nobody killed, stopped or let leave
    agree_within: float | None = None  # seconds from the load's end until all that are up see each other
    found_within: float | None = None  # seconds until all others that are up know of a kill
    held_up: list[str] = []  # servers that said of themselves that they stood still
    host_held_up: list[str] = []  # servers that said so of their host thread
    sights: dict[str, str] = {}  # what these servers took their place for, at some time
    kb_a_second: float | None = None  # the most that a member sends to others, over the whole load
    peak_kb: float | None = None  # the same, in any one second


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All of it."""

    name: str
    servers: int = 3
    seconds: float = 12.0
    load: Load = Load()
    server: Servers = Servers()
    vault: Vault = Vault()
    faults: list[Fault] = []
    expect: Expect = Expect()
    members: bool = False  # the servers know each other, over links of the rig's own
    operator: str = ""  # the text of an operator's file for every server

    @property
    def names(self) -> list[str]:
        """Of the servers."""
        return [f"n{number}" for number in range(self.servers)]

    @property
    def upgraded(self) -> set[str]:
        """Servers of which two versions may serve side by side."""
        some = {fault.who for fault in self.faults if fault.do == "upgrade"}
        return set(self.names) if "any" in some else some

    def ends(self, fault: Fault) -> tuple[list[str], list[str]]:
        """Who stands at both ends of a fault's link."""
        first, second = ([end] if isinstance(end, str) else end for end in fault.link)
        return (
            [name for one in first for name in (self.names if one == ALL else [one])],
            [name for one in second for name in (self.names if one == ALL else [one])],
        )

    def links(self, fault: Fault) -> tuple[tuple[str, str], ...]:
        """All links that a fault is put on, each once."""
        first, second = self.ends(fault)
        found: dict[frozenset[str], tuple[str, str]] = {}
        for one in first:
            for other in second:
                if one != other:
                    found.setdefault(frozenset((one, other)), (one, other))
        return tuple(found.values())

    def last_end(self) -> float:
        """When the last fault is over; 0 without any."""
        return max((fault.at + fault.jitter + fault.for_ for fault in self.faults), default=0.0)


_PATH = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.S)


def _lines(node: yaml.Node | None, path: str = "") -> dict[str, int]:
    """The line of each value, by its path as in `.faults[2].at`."""
    found = {} if node is None else {path: node.start_mark.line + 1}
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            found |= _lines(value, f"{path}.{key.value}")
            found[f"{path}.{key.value}"] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for number, value in enumerate(node.value):
            found |= _lines(value, f"{path}[{number}]")
    return found


class _Check:
    """Complaints about one file."""

    def __init__(self, name: str, lines: dict[str, int]) -> None:
        self._name, self._lines = name, lines

    def error(self, path: str, what: str) -> ConfigurationError:
        """An error at a path; the line is that of the nearest thing that stands in the file."""
        near = path
        while near not in self._lines and near:
            near = near[: max(near.rfind("."), near.rfind("["), 0)]
        line = self._lines.get(near, 1)
        key = path.lstrip(".")
        return ConfigurationError(f"{self._name}, line {line}: {key + ': ' if key else ''}{what}")

    def between(self, path: str, value: float, least: float, most: float) -> None:
        """A number within its bounds."""
        if not least <= value <= most:
            raise self.error(path, f"{value:g} is not between {least:g} and {most:g}")

    def one_of(self, path: str, value: str, known: tuple[str, ...] | list[str]) -> None:
        """A word that exists."""
        if value not in known:
            raise self.error(path, f"{value!r} is none of {', '.join(known)}")


def _check_link(check: _Check, told: Scenario, fault: Fault, path: str) -> None:
    if len(fault.link) != 2:
        raise check.error(f"{path}.link", f"{fault.do!r} needs the two ends of a link")
    for number, end in enumerate(fault.link):
        some = (
            [(f"{path}.link[{number}]", end)]
            if isinstance(end, str)
            else [(f"{path}.link[{number}][{place}]", name) for place, name in enumerate(end)]
        )
        for where, name in some:
            check.one_of(where, name, [*told.names, ALL, *SHARED])
    first, second = told.ends(fault)
    outside = [bool(set(names) & set(SHARED)) for names in (first, second)]
    if all(outside) or not told.links(fault):
        raise check.error(f"{path}.link", "one end at the least is a server, and the other is another")
    if fault.way != "both" and set(first) & set(second):
        raise check.error(f"{path}.way", f"{fault.way!r} says nothing where a server stands at both ends")
    if not any(outside) and not told.members:
        raise check.error(f"{path}.link", "there is a link between servers only with `members: true`")
    if fault.do in ONLY_UDP and any(outside):
        raise check.error(f"{path}.do", f"{fault.do!r} exists between servers alone, which speak UDP")


def _check_members(check: _Check, told: Scenario) -> None:
    wants = told.expect
    asks = {name: getattr(wants, name) for name in ASKED_OF_MEMBERS}
    for key, value in asks.items():
        if value not in (None, [], {}) and not told.members:
            raise check.error(f".expect.{key}", "needs `members: true`")
    for key in ("held_up", "host_held_up"):
        for number, name in enumerate(asks[key]):
            check.one_of(f".expect.{key}[{number}]", name, told.names)
    for name, sight in wants.sights.items():
        check.one_of(f".expect.sights.{name}", name, told.names)
        check.one_of(f".expect.sights.{name}", sight, [verdict.value for verdict in SightVerdict])


def _check_fault(check: _Check, told: Scenario, number: int) -> None:
    fault, path = told.faults[number], f".faults[{number}]"
    check.one_of(f"{path}.do", fault.do, [*TO_SERVERS, *TO_VAULT, *TO_LOAD, *KINDS])
    check.between(f"{path}.at", fault.at, 0.0, told.seconds)
    check.between(f"{path}.for", fault.for_, 0.0, told.seconds - fault.at)
    check.between(f"{path}.jitter", fault.jitter, 0.0, told.seconds - fault.at - fault.for_)
    check.between(f"{path}.share", fault.share, 0.0, 1.0)
    check.between(f"{path}.times", fault.times, 0.1, 1_000.0)
    check.between(f"{path}.kb_a_second", fault.kb_a_second, 0.1, 1e6)
    check.one_of(f"{path}.way", fault.way, ("there", "back", "both"))
    if fault.do in _SPAN and not fault.for_:
        raise check.error(f"{path}.for", f"{fault.do!r} needs to say for how many seconds")
    if fault.do not in _SPAN and fault.for_:
        raise check.error(f"{path}.for", f"{fault.do!r} happens at once and lasts for no time")
    if fault.do in KINDS:
        _check_link(check, told, fault, path)
    elif fault.by and fault.do not in ("clock", "start"):
        raise check.error(f"{path}.by", f"{fault.do!r} sets no clock")
    elif fault.do == "clock" and not fault.by:
        raise check.error(f"{path}.by", "'clock' needs to say by how many seconds")
    elif fault.link:
        raise check.error(f"{path}.link", f"{fault.do!r} is done to no link")
    elif fault.do in TO_SERVERS:
        check.one_of(f"{path}.who", fault.who, [*told.names, "any"])
    elif fault.do in TO_VAULT:
        check.one_of(f"{path}.who", fault.who or "vault", ["vault"])


def parse(text: str, name: str) -> Scenario:
    """Read and check; `ConfigError` names the line and the value."""
    try:
        lines = _lines(yaml.compose(text, Loader=yaml.SafeLoader))
        tree: Any = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ConfigurationError(f"{name}: {' '.join(str(error).split())}") from None
    check = _Check(name, lines)
    try:
        told = msgspec.convert({} if tree is None else tree, type=Scenario, strict=True)
    except msgspec.ValidationError as error:
        found = _PATH.match(str(error))
        assert found is not None
        raise check.error(found["path"] or "", found["what"]) from None
    check.between(".servers", told.servers, 1, MOST_SERVERS)
    check.between(".seconds", told.seconds, 1.0, MOST_SECONDS)
    check.between(".load.rate", told.load.rate, 0.1, MOST_RATE)
    check.between(".load.balancers", told.load.balancers, 1, 64)
    check.between(".load.tries", told.load.tries, 1, 64)
    check.between(".load.wait", told.load.wait, 0.05, 60.0)
    shares = {"load.keyed": told.load.keyed, "load.heed": told.load.heed, "expect.served": told.expect.served}
    for key, value in shares.items():
        check.between(f".{key}", value, 0.0, 1.0)
    check.between(".server.cores", told.server.cores, 1, 64)
    check.between(".server.work_ms", told.server.work_ms, 1.0, 10_000.0)
    check.between(".vault.slots", told.vault.slots, 1, 10_000)
    check.between(".vault.call_ms", told.vault.call_ms, 0.1, 10_000.0)
    check.between(".vault.falls_at", told.vault.falls_at, 1.0, 1_000.0)
    _check_members(check, told)
    for number in range(len(told.faults)):
        _check_fault(check, told, number)
    return told


def load(path: Path) -> Scenario:
    """Read and check a file; `ConfigError` names what is wrong with it."""
    try:
        return parse(path.read_text(), str(path))
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigurationError(f"{path}: not UTF-8") from None


def shipped() -> Path:
    """The short one that is played where none is named."""
    return Path(__file__).parent / "scenarios" / "first.yaml"
