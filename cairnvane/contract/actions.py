"""Actions: what the controller asks the host to do. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a request was rejected or failed without the end of a run. The values are names of metrics."""

    UNSPECIFIED = "unspecified"
    STORAGE = "storage"  # the start of a keyed run can't be recorded now
    DRAINING = "draining"  # it arrived after the grace of the graceful shutdown
    DEADLINE = "deadline"  # its client waits no longer, or all but
    MEMORY = "memory"  # there is none for its run
    ADMISSION = "admission"  # by the admission probability
    LATE = "late"  # its answer would come after its objective, and earn nothing
    CAPACITY = "capacity"  # late, and there is no place to run it at once
    DEPENDENCY = "dependency"  # its call would wait too long, or can't be made
    ORIGINAL_MEMORY = "original_memory"  # a duplicate, and there is no memory to hold it
    RUN_CANCELLED = "run_cancelled"  # its run ended without a result


@dataclass(slots=True)
class StartRun:
    """Start a queued request or resume a paused one."""

    request_id: int


@dataclass(slots=True)
class Reject:
    """Final response: rejected, with the promise that this attempt never ran."""

    request_id: int
    retry_after: int = 0  # the client is advised to avoid this instance for so long
    no_retry: bool = False  # the client is asked not to retry elsewhere
    reason: EndReason = field(default=EndReason.UNSPECIFIED, compare=False)  # for logs and metrics alone


@dataclass(slots=True)
class Fail:
    """Final response: an error, without any promise."""

    request_id: int
    reason: EndReason = field(default=EndReason.UNSPECIFIED, compare=False)  # for logs and metrics alone


@dataclass(slots=True)
class Cancel:
    """Cancel a running request."""

    request_id: int


@dataclass(slots=True)
class MakeCall:
    """Make the call that a request waits for, and abandon it after `timeout`."""

    request_id: int
    timeout: int


@dataclass(slots=True)
class SkipCall:
    """Continue without the call, for a degraded response."""

    request_id: int


@dataclass(slots=True)
class RememberKey:
    """Enter the request's idempotency key in the table for `lifetime`, so that duplicates are recognised."""

    request_id: int
    lifetime: int


@dataclass(slots=True)
class ForgetKey:
    """Remove the request's idempotency key from the table."""

    request_id: int


@dataclass(slots=True)
class ReplayResult:
    """Answer a queued request with the result of its original request."""

    request_id: int


@dataclass(slots=True)
class SetHealth:
    """Answer health checks accordingly from now on; `cached`: without doing real work."""

    healthy: bool
    cached: bool


@dataclass(slots=True)
class ReportLoad:
    """Send this value with every response from now on; `Settings.load_signal` tells how clients read it."""

    value: float


@dataclass(slots=True)
class CloseIdleConnections:
    """Close connections that were idle for `idle_time`; 0: as late as allowed."""

    idle_time: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or soon after `due_at`."""

    due_at: int
    token: int = 0


@dataclass(slots=True)
class LogMessage:
    """A log line for the operators."""

    message: str


Action = (
    StartRun
    | Reject
    | Fail
    | Cancel
    | MakeCall
    | SkipCall
    | RememberKey
    | ForgetKey
    | ReplayResult
    | SetHealth
    | ReportLoad
    | CloseIdleConnections
    | SetTimer
    | LogMessage
)
