"""Events: what the host reports to the controller. Times are integer microseconds, memory is in kilobytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended. The last three prove that nothing was executed."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    UNREACHED = "unreached"
    NEVER_STARTED = "never_started"


UNEXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NEVER_STARTED)
"""The outcomes which prove that nothing was executed."""


@dataclass(slots=True)
class Arrival:
    """A request was read; it stays queued until an action says otherwise, and is owed one final response."""

    request_id: int
    class_index: int  # index in `Settings.classes`
    queue_delay: int = 0  # time since it reached the machine
    time_left: int | None = None  # until its client gives up; None: the timeout of its class applies
    memory: float = 0.0  # memory while queued
    cost: int | None = None  # estimated work, if known
    client: int = 0
    tenant: int = 0  # index in `Settings.tenants`; an index out of range means none
    is_retry: bool = False  # a retry or a hedged request, where clients mark these
    duplicate_of: int | None = None  # the remembered request of which this is a duplicate
    storage_delay: int = 0  # keyed: its key can be stored only after so long; 0: now


@dataclass(slots=True)
class KeysRestored:
    """Idempotency keys of an earlier incarnation are remembered, and occupy memory for `lifetime`."""

    count: int
    lifetime: int


@dataclass(slots=True)
class RunAdopted:
    """A keyed run of an earlier incarnation continues, with its key remembered for `lifetime`.

    Only duplicates wait for it. It is cancelled after `time_left`, like a run whose client gives up.
    """

    request_id: int
    class_index: int
    time_left: int
    lifetime: int
    memory: float = 0.0  # memory while queued


@dataclass(slots=True)
class RunFinished:
    """A `StartRun` or `ReplayResult` ended.

    With OK or ERROR the client has been answered, unless a response was sent before.
    """

    request_id: int
    outcome: Outcome
    duration: int = 0


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits: no response is owed."""

    request_id: int


@dataclass(slots=True)
class CallRequested:
    """A running request has left the cores and waits for `MakeCall`, `SkipCall` or `Fail`."""

    request_id: int


@dataclass(slots=True)
class CallFinished:
    """A call ended. After OK the request continues by itself; else it waits as after `CallRequested`."""

    request_id: int
    outcome: Outcome
    duration: int = 0


@dataclass(slots=True)
class DrainStarted:
    """The instance will be stopped after `time_left`."""

    time_left: int


@dataclass(slots=True)
class TimerFired:
    """A `SetTimer` is due. Gauges that the host cannot read stay None."""

    token: int
    cpu_busy: float | None = None  # fraction of the cores that were busy recently
    runnable: float | None = None  # present demand for cores
    memory_used: float | None = None  # fraction of memory in use
    connections: float | None = None


Event = (
    Arrival
    | KeysRestored
    | RunAdopted
    | RunFinished
    | ClientDisconnected
    | CallRequested
    | CallFinished
    | DrainStarted
    | TimerFired
)
