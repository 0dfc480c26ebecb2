"""The model of a scenario: servers, load, faults with their times, and expectations. No I/O.

`scenario_file` reads it from YAML; `docs/testbed.md` describes the keys, which are the names here.
"""

from __future__ import annotations

import msgspec

# Faults of servers, of the dependency, and of the load.
TO_SERVERS = (
    *("kill", "start", "stop", "leave", "upgrade", "hold", "busy", "clock", "freeze", "heavy"),
    *("reload", "tear", "terminate"),
)
# Faults that silence a server: the others may rightly declare it failed.
SILENCING = ("kill", "stop", "hold")
TO_VAULT = ("slow", "down", "silent", "garble")
TO_LOAD = ("surge",)
# Ends of a link beside a server: `balancers` stands for all of them.
SHARED = ("balancers", "pool", "vault", "roster")
# An end that stands for each server.
ALL = "servers"


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load of all balancers."""

    rate: float = 40.0  # requests a second, of all
    balancers: int = 4
    keyed: float = 0.2  # the share of keyed requests
    tries: int = 8  # attempts of one request, the first one included
    heed: float = 0.5  # the share of balancers that heed retry-after
    wait: float = 3.0  # seconds that a balancer waits for one attempt
    walk: bool = True  # a rejected request is retried at the next server, not at the same one


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine below each server."""

    cores: int = 4
    work_ms: float = 60.0  # work of a request on one core, half before its call and half after it
    memory_kb: float = 200_000.0  # for what is queued and, 16 times as much, what runs
    request_kb: float = 8.0  # of a queued request


class Vault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The dependency that all servers call."""

    slots: int = 32
    call_ms: float = 40.0
    falls_at: float = 5.0  # calls in flight, as a multiple of its slots, at which it breaks down for a second


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault; the names are the keys of the file."""

    do: str
    at: float  # seconds from the load's start
    duration: float = msgspec.field(default=0.0, name="for")
    jitter: float = 0.0  # it begins up to so much later
    every: float = 0.0  # it begins again after each so many seconds, to the load's end; 0: once
    who: str = ""  # a server, `any` (drawn), or `vault`
    link: list[str | list[str]] = []  # two ends, each a name or several
    way: str = "both"  # `there`: from the first end to the second; `back`, or `both`
    times: float = 8.0  # slow, surge, heavy
    by: float = 0.0  # clock: seconds by which Unix time jumps; start: by which it is off from the start
    share: float = 0.3  # drop, duplicate, reorder, garble
    ms: float = 50.0  # delay
    spread_ms: float = 0.0
    kb_a_second: float = 16.0  # cap


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Expectations beside the rules that hold in every scenario."""

    served: float = 0.0  # the least share of requests that is served in time
    back_within: float | None = None  # seconds from the last fault's end until as much is served as before
    tries: float | None = None  # the most attempts a request, over all
    called_dead: int | None = None  # the most failure verdicts on healthy members
    agree_within: float | None = None  # seconds from the load's end until all that are up see each other
    found_within: float | None = None  # seconds until all others that are up know of a kill
    held_up: list[str] = []  # servers that have to log that they stood still
    host_held_up: list[str] = []  # servers that have to log so of their event loop
    sights: dict[str, str] = {}  # partition verdicts that these servers have to reach at some time
    kb_a_second: float | None = None  # the most that a member sends to others, over the whole load
    peak_kb: float | None = None  # the same, in any one second


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario; the names are the keys of the file."""

    name: str
    servers: int = 3
    seconds: float = 12.0
    load: Load = Load()
    server: Servers = Servers()
    vault: Vault = Vault()
    faults: list[Fault] = []
    expect: Expect = Expect()
    members: bool = False  # the servers are members of one cluster, over links of the testbed's own
    operator: str = ""  # the text of an operator's file for every server

    @property
    def names(self) -> list[str]:
        """Names of the servers."""
        return [f"n{number}" for number in range(self.servers)]

    @property
    def upgraded(self) -> set[str]:
        """Servers of which two versions may serve side by side."""
        targets = {fault.who for fault in self.faults if fault.do == "upgrade"}
        return set(self.names) if "any" in targets else targets

    def ends(self, fault: Fault) -> tuple[list[str], list[str]]:
        """The names at both ends of a fault's link."""
        first, second = fault.link
        return self._expand(first), self._expand(second)

    def _expand(self, end: str | list[str]) -> list[str]:
        names = [end] if isinstance(end, str) else end
        return [expanded for name in names for expanded in (self.names if name == ALL else [name])]

    def links(self, fault: Fault) -> tuple[tuple[str, str], ...]:
        """All links that a fault applies to, each once."""
        first, second = self.ends(fault)
        links: dict[frozenset[str], tuple[str, str]] = {}
        for name in first:
            for other in second:
                if name != other:
                    links.setdefault(frozenset((name, other)), (name, other))
        return tuple(links.values())

    def last_end(self) -> float:
        """When the last fault is over, in seconds of the load; 0 without any."""
        return max((fault.at + fault.jitter + fault.duration for fault in self.faults), default=0.0)
