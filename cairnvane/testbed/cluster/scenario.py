"""The model of a scenario: servers, load, faults with their times, and expectations. No I/O.

`scenario_file` reads it from YAML; `docs/testbed.md` describes the keys, which are the names here.
"""

from __future__ import annotations

import msgspec

# Faults of servers, of the dependency, and of the load.
SERVER_FAULTS = (
    *("kill", "start", "stop", "leave", "upgrade", "hold", "busy", "clock", "freeze", "heavy"),
    *("reload", "tear", "terminate"),
)
# Faults that silence a server, so that the others correctly declare it failed.
SILENCING_FAULTS = ("kill", "stop", "hold")
DEPENDENCY_FAULTS = ("slow", "down", "silent", "garble")
LOAD_FAULTS = ("surge",)
# Link ends other than servers; `balancers` stands for all balancers.
NON_SERVER_ENDS = ("balancers", "pool", "vault", "roster")
# A link end that stands for every server.
ALL_SERVERS = "servers"


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load of all balancers."""

    rate: float = 40.0  # requests per second of all balancers
    balancers: int = 4
    keyed: float = 0.2  # share of keyed requests
    tries: int = 8  # maximum number of attempts of one request, including the first
    heed: float = 0.5  # share of balancers that honor Retry-After
    wait: float = 3.0  # seconds that a balancer waits for one attempt
    walk: bool = True  # whether a rejected request is retried at the next server instead of the same one


class Servers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine that each server runs on."""

    cores: int = 4
    work_ms: float = 60.0  # work of a request on one core, half before its call and half after it
    memory_kb: float = 200_000.0  # for queued requests, and running ones, which need 16 times as much
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
    jitter: float = 0.0  # maximum random delay of its beginning
    every: float = 0.0  # interval at which it is repeated until the load's end; 0: not repeated
    who: str = ""  # a server, `any` (drawn), or `vault`
    link: list[str | list[str]] = []  # the two ends, each one name or several
    way: str = "both"  # `there`: from the first end to the second; `back`, or `both`
    times: float = 8.0  # slow, surge, heavy: the factor
    by: float = 0.0  # clock: seconds by which Unix time jumps; start: its offset from the start
    share: float = 0.3  # drop, duplicate, reorder, garble: the affected fraction
    ms: float = 50.0  # delay
    spread_ms: float = 0.0
    kb_a_second: float = 16.0  # cap


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Expectations in addition to the rules that hold in every scenario."""

    served: float = 0.0  # minimum share of requests served in time
    back_within: float | None = None  # maximum seconds from the last fault's end until service has recovered
    tries: float | None = None  # maximum mean number of attempts per request
    called_dead: int | None = None  # maximum number of failure verdicts on healthy members
    agree_within: float | None = (
        None  # maximum seconds from load end until all running servers see each other
    )
    found_within: float | None = None  # maximum seconds until all other running servers know of a kill
    held_up: list[str] = []  # servers that must log that their process was stalled
    host_held_up: list[str] = []  # servers that must log that their event loop was stalled
    sights: dict[str, str] = {}  # partition verdict that each of these servers must reach at some time
    kb_a_second: float | None = None  # maximum mean traffic that a member sends to others over the whole load
    peak_kb: float | None = None  # maximum traffic in any one second


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
    members: bool = False  # the servers are members of one cluster, connected through the testbed's links
    operator: str = ""  # text of the operator's file of every server

    @property
    def names(self) -> list[str]:
        """Names of the servers."""
        return [f"n{number}" for number in range(self.servers)]

    @property
    def upgraded(self) -> set[str]:
        """Servers whose versions may serve side by side during an upgrade."""
        targets = {fault.who for fault in self.faults if fault.do == "upgrade"}
        return set(self.names) if "any" in targets else targets

    def ends(self, fault: Fault) -> tuple[list[str], list[str]]:
        """The names at both ends of a fault's link."""
        first, second = fault.link
        return self._expand(first), self._expand(second)

    def _expand(self, end: str | list[str]) -> list[str]:
        names = [end] if isinstance(end, str) else end
        return [expanded for name in names for expanded in (self.names if name == ALL_SERVERS else [name])]

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
        """When the last fault has ended, in seconds of the load; 0 without faults."""
        return max((fault.at + fault.jitter + fault.duration for fault in self.faults), default=0.0)
