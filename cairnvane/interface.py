"""What passes between a service instance (the host) and its `Controller`.

The host owes the controller:

* one instance of `Controller` for each life of a service instance, made at its start from `Settings`, a
  random seed and the clock; a restart gets a new one, with nothing carried over;
* calls of `handle(now, events)` from one thread, with events in the order in which they happened, as soon
  as they happened (events of one moment may share a call) and whenever a `SetTimer` falls due;
* a monotonic clock in integer microseconds (a step back is read as no time having passed);
* every action carried out, in the order given, before the next call.

It may rely on this: `handle` does no I/O, starts no thread, reads no clock, keeps no reference to the lists
passed in, and gives the same actions for the same settings, seed and events. An event about a request that
is over or was never announced changes nothing. A request on which no action is taken is held.

All times and durations are integer microseconds; memory is in kilobytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What a class of requests allows."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # has an effect; may arrive again within a window and must not run twice
    UNSAFE = "unsafe"  # has an effect; arrives again only when the last try never ran


class HaltMode(Enum):
    """What stopping running work does."""

    NONE = "none"  # it cannot be stopped
    DROP = "drop"  # the work done is lost
    PAUSE = "pause"  # it can be taken up again, and keeps its memory


class Signal(Enum):
    """How callers read the free value that goes out with every answer (`Advertise`)."""

    NONE = "none"
    LEVEL = "level"  # they send nothing of a lower rank
    CREDIT = "credit"  # each has at most so many requests outstanding here
    WEIGHT = "weight"  # the chance, 0 to 1, that they do not skip this instance


class Downstream(Enum):
    """What requests call while they run."""

    NONE = "none"
    SHARED = "shared"  # one dependency under all instances
    TIER = "tier"  # a further tier of instances


class Outcome(Enum):
    """How a run or a call ended. The last three prove that nothing ran."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    UNREACHED = "unreached"
    MOOT = "moot"


class ImpossibleValue(ValueError):
    """A setting that can't be; whoever read it may know it by another name."""

    def __init__(self, name: str, value: object) -> None:
        super().__init__(f"{name}: impossible value {value!r}")
        self.name = name
        self.value = value


def _require(ok: bool, name: str, value: object) -> None:
    if not ok:
        raise ImpossibleValue(name, value)


def _require_number(name: str, value: object, least: float = 0, above: bool = False) -> None:
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    _require(number and least <= value < float("inf"), name, value)  # type: ignore[operator]
    _require(not (above and value == least), name, value)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim: int = 0  # an answer within this long earns its full worth; must be given
    patience: int = 0  # a caller waits no longer than this; must be given
    worth: float = 1.0
    late_worth: float = 0.0  # the share of worth that an answer after the aim still earns
    repeat: Repeat = Repeat.SAFE
    window: int = 0  # keyed: how long after its arrival a request may arrive again
    skip_worth: float = 0.0  # the share of worth earned without the call; 0: the call cannot be skipped
    aim_stretch: float = 0.0  # the aim grows by this multiple of a request's own work

    def __post_init__(self) -> None:
        for name in ("aim", "patience"):
            _require_number(f"classes[{self.name}].{name}", getattr(self, name), above=True)
        for name in ("worth", "late_worth", "window", "skip_worth", "aim_stretch"):
            _require_number(f"classes[{self.name}].{name}", getattr(self, name))
        _require(isinstance(self.repeat, Repeat), f"classes[{self.name}].repeat", self.repeat)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One of those who share the service."""

    name: str
    quota: float  # requests a second, over all instances, within its share

    def __post_init__(self) -> None:
        _require_number(f"tenants[{self.name}].quota", self.quota)


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start."""

    cores: int = 0  # must be given, as must the next two
    memory: float = 0.0
    classes: tuple[RequestClass, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # the share of worth that a request beyond its tenant's share earns
    peers: int = 1  # instances of the service at this start, this one included
    run_factor: float = 1.0  # memory of a running or paused request over that of a held one
    key_memory: float = 0.0  # memory of one remembered key
    halt: HaltMode = HaltMode.NONE
    signal: Signal = Signal.NONE
    downstream: Downstream = Downstream.NONE
    fair_calls: float = 0.0  # shared: this instance's share of the calls that the dependency survives
    calls_window: int = 1_000_000  # the interval over which calls are averaged
    call_linger: int = 0  # how long an abandoned call may stay in the dependency's hands
    callers: int = 1  # callers at this start
    cold: bool = False  # the instance has only just started
    cold_from: float = 1.0  # a cold instance starts at no less than this share of its speed
    cold_for: int = 0  # and is warm after this long at most
    crowd_multiple: float = 2.0  # running requests for each core that a warm instance survives
    drain_grace: int = 0  # requests that arrive later than this after the notice to leave must not run
    max_advice: int = 0  # the longest advice to stay away that callers heed; 0: they heed none
    round: int = 1_000  # the least time between two calls of `handle`

    def __post_init__(self) -> None:
        _require(isinstance(self.cores, int) and self.cores >= 1, "cores", self.cores)
        _require(len(self.classes) > 0, "classes", self.classes)
        _require(isinstance(self.peers, int) and self.peers >= 1, "peers", self.peers)
        for name in ("memory", "run_factor", "calls_window", "round"):
            _require_number(name, getattr(self, name), above=True)
        for name in (
            "over_share_worth",
            "key_memory",
            "fair_calls",
            "call_linger",
            "callers",
            "cold_from",
            "cold_for",
            "drain_grace",
            "max_advice",
        ):
            _require_number(name, getattr(self, name))
        _require_number("crowd_multiple", self.crowd_multiple, least=1)
        _require(self.cold_from <= 1, "cold_from", self.cold_from)
        for name, kind in (("halt", HaltMode), ("signal", Signal), ("downstream", Downstream)):
            _require(isinstance(getattr(self, name), kind), name, getattr(self, name))


# --- events: what the host tells -------------------------------------------------------------------------


@dataclass(slots=True)
class Arrival:
    """A request was read; it is held until an action says otherwise, and is owed one final answer."""

    id: int
    cls: int  # index in `Settings.classes`
    queued: int = 0  # time since it reached the machine
    time_left: int | None = None  # until its caller gives up; None: the class's patience holds
    memory: float = 0.0  # memory while held
    cost: int | None = None  # estimated work, if known
    caller: int = 0
    tenant: int = 0  # index in `Settings.tenants`; none is meant if it lies beyond
    again: bool = False  # a further try or second copy, where callers mark such
    repeats: int | None = None  # the remembered request that this one repeats
    keep_after: int = 0  # keyed: its key could be kept only after so long; 0: now


@dataclass(slots=True)
class Kept:
    """Keys of an earlier life are remembered, and take their memory for `life`."""

    count: int
    life: int


@dataclass(slots=True)
class Adopted:
    """A keyed run of an earlier life goes on, its key remembered for `life`. Nobody waits for it but repeats;
    it is stopped after `time_left`, as one whose caller gives up."""

    id: int
    cls: int
    time_left: int
    life: int
    memory: float = 0.0  # memory while held


@dataclass(slots=True)
class Finished:
    """A `Run` or `Reuse` ended. OK and ERROR have answered the caller, unless an answer was given before."""

    id: int
    outcome: Outcome
    took: int = 0


@dataclass(slots=True)
class Gone:
    """The caller no longer waits: no answer is owed."""

    id: int


@dataclass(slots=True)
class CallNeeded:
    """A running request has left the cores and waits for `Call`, `SkipCall` or `Fail`."""

    id: int


@dataclass(slots=True)
class CallEnded:
    """A call ended. After OK the request runs on by itself; else it waits as after `CallNeeded`."""

    id: int
    outcome: Outcome
    took: int = 0


@dataclass(slots=True)
class Draining:
    """The instance will be stopped after `time_left`."""

    time_left: int


@dataclass(slots=True)
class TimerFired:
    """A `SetTimer` fell due. Gauges that the host cannot read stay None."""

    token: int
    cpu_busy: float | None = None  # share of the cores busy of late
    runnable: float | None = None  # all present demand for a core
    memory_used: float | None = None  # share of memory in use
    connections: float | None = None


Event = Arrival | Kept | Adopted | Finished | Gone | CallNeeded | CallEnded | Draining | TimerFired


# --- actions: what the controller wants done -------------------------------------------------------------


@dataclass(slots=True)
class Run:
    """Start a held request or resume a paused one."""

    id: int


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, with the promise that this try never ran."""

    id: int
    stay_away: int = 0  # the caller is advised to avoid this instance for so long
    no_retry: bool = False  # the caller is asked not to try elsewhere


@dataclass(slots=True)
class Fail:
    """Final answer: an error, with no promise attached."""

    id: int


@dataclass(slots=True)
class Halt:
    """Stop a running request."""

    id: int


@dataclass(slots=True)
class Call:
    """Make the call that a request waits for, and abandon it after `timeout`."""

    id: int
    timeout: int


@dataclass(slots=True)
class SkipCall:
    """Go on without the call, for a poorer answer."""

    id: int


@dataclass(slots=True)
class Remember:
    """Enter the request's key in the table for `life`, so that repeats are recognised."""

    id: int
    life: int


@dataclass(slots=True)
class Forget:
    """Take the request's key out of the table."""

    id: int


@dataclass(slots=True)
class Reuse:
    """Answer a held request from the outcome of the one that it repeats."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """Answer health checks so from now on; `stored`: without doing real work."""

    good: bool
    stored: bool


@dataclass(slots=True)
class Advertise:
    """Send this free value with every answer from now on; `Settings.signal` says how callers read it."""

    value: float


@dataclass(slots=True)
class CloseIdle:
    """Close connections that carried nothing for `after`; 0: as late as allowed."""

    after: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or soon after `at`."""

    at: int
    token: int = 0


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Run
    | Refuse
    | Fail
    | Halt
    | Call
    | SkipCall
    | Remember
    | Forget
    | Reuse
    | SetHealth
    | Advertise
    | CloseIdle
    | SetTimer
    | Log
)
