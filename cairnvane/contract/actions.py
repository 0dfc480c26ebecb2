"""Actions: what the controller asks the host to do. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EndReason(Enum):
    """Why a request was rejected or failed other than by the end of its run. The values label metrics."""

    UNSPECIFIED = "unspecified"
    STORAGE = "storage"  # the idempotency key can't be stored now
    DRAINING = "draining"  # it arrived after the drain grace
    DEADLINE = "deadline"  # its deadline has passed or is about to
    MEMORY = "memory"  # not enough memory for its run
    ADMISSION = "admission"  # rejected by the admission probability
    LATE = "late"  # its answer would miss the objective and earn nothing
    CAPACITY = "capacity"  # late, and it can't run at once
    DEPENDENCY = "dependency"  # its call would wait too long or can't be made
    ORIGINAL_MEMORY = "original_memory"  # a duplicate, and there is no memory for it to wait
    RUN_CANCELLED = "run_cancelled"  # its run ended without a result


@dataclass(slots=True)
class StartRun:
    """Start a queued request or resume a paused one."""

    request_id: int


@dataclass(slots=True)
class Reject:
    """Final response: a rejection, which guarantees that this attempt never ran."""

    request_id: int
    retry_after: int = 0  # for how long the client should avoid this instance
    no_retry: bool = False  # the client is asked not to retry elsewhere
    reason: EndReason = field(default=EndReason.UNSPECIFIED, compare=False)  # for logs and metrics alone


@dataclass(slots=True)
class Fail:
    """Final response: an error. The attempt may or may not have run."""

    request_id: int
    reason: EndReason = field(default=EndReason.UNSPECIFIED, compare=False)  # for logs and metrics alone


@dataclass(slots=True)
class Cancel:
    """Cancel a running request."""

    request_id: int


@dataclass(slots=True)
class MakeCall:
    """Make the call that a request waits for; abandon it after `timeout`."""

    request_id: int
    timeout: int


@dataclass(slots=True)
class SkipCall:
    """Continue the request without its call, which gives a degraded response."""

    request_id: int


@dataclass(slots=True)
class RememberKey:
    """Remember the request's idempotency key for `lifetime`, so that duplicates are recognised."""

    request_id: int
    lifetime: int


@dataclass(slots=True)
class ForgetKey:
    """Remove the request's idempotency key from the remembered ones."""

    request_id: int


@dataclass(slots=True)
class ReplayResult:
    """Answer a queued request with the result of its original request."""

    request_id: int


@dataclass(slots=True)
class SetHealth:
    """Answer health checks with this status from now on; if `cached`, without doing real work."""

    healthy: bool
    cached: bool


@dataclass(slots=True)
class ReportLoad:
    """Send this value with every response from now on; `Settings.load_signal` defines its meaning."""

    value: float


@dataclass(slots=True)
class CloseIdleConnections:
    """Close connections that were idle for `idle_time`; 0 keeps them as long as allowed."""

    idle_time: int


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` event at or soon after `due_at`."""

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
