"""Events: what the host reports to the controller. Times are integer microseconds, memory is in kilobytes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended. The last three guarantee that nothing was executed."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    UNREACHED = "unreached"
    NEVER_STARTED = "never_started"


UNEXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NEVER_STARTED)
"""The outcomes that guarantee that nothing was executed."""


@dataclass(slots=True)
class Arrival:
    """A request was read. It is queued until an action changes that, and needs one final response."""

    request_id: int
    class_index: int  # index in `Settings.classes`
    queue_delay: int = 0  # time since it reached the machine
    time_left: int | None = None  # until its client gives up; None: use the client timeout of its class
    memory: float = 0.0  # memory while queued
    cost: int | None = None  # estimated work; None if unknown
    client: int = 0
    tenant: int = 0  # index in `Settings.tenants`; an index out of range means none
    is_retry: bool = False  # a retry or a hedged request, if clients mark these
    duplicate_of: int | None = None  # the remembered request that this duplicates
    storage_delay: int = 0  # keyed: time until its key can be stored; 0: at once


@dataclass(slots=True)
class KeysRestored:
    """Idempotency keys of an earlier incarnation were restored, and occupy memory for `lifetime`."""

    count: int
    lifetime: int


@dataclass(slots=True)
class RunAdopted:
    """A keyed run of an earlier incarnation continues, with its key remembered for `lifetime`.

    No client waits for it except those of duplicates. After `time_left` it is cancelled, like a run whose
    client gives up.
    """

    request_id: int
    class_index: int
    time_left: int
    lifetime: int
    memory: float = 0.0  # memory while queued


@dataclass(slots=True)
class RunFinished:
    """A run or a replay of a result ended.

    With OK or ERROR the host has answered the client, unless a response was sent before.
    """

    request_id: int
    outcome: Outcome
    duration: int = 0


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected: no response is needed."""

    request_id: int


@dataclass(slots=True)
class CallRequested:
    """A running request has reached a call, and waits off the cores for `MakeCall`, `SkipCall` or `Fail`."""

    request_id: int


@dataclass(slots=True)
class CallFinished:
    """A call ended. With OK the request continues by itself, else it waits as after `CallRequested`."""

    request_id: int
    outcome: Outcome
    duration: int = 0


@dataclass(slots=True)
class ConcurrentCalls:
    """The calls of the concurrent incarnations, with which this one shares its dependency quota, changed."""

    incarnations: int  # the number of other incarnations
    calls: int  # that they have in flight, abandoned ones included
    wanted: int  # that they have in flight or wait for
    excess: float = 0.0  # call-microseconds beyond the limit; counts if an incarnation was added


@dataclass(slots=True)
class DrainStarted:
    """The instance will be stopped after `time_left`."""

    time_left: int


@dataclass(slots=True)
class TimerFired:
    """A requested timer is due. Gauges that the host can't read are None."""

    token: int
    cpu_busy: float | None = None  # fraction of the cores that were busy recently
    runnable: float | None = None  # current demand for cores, as a number of tasks
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
    | ConcurrentCalls
    | DrainStarted
    | TimerFired
)
