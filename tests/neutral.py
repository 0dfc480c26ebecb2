"""Forms of events, actions and settings that do not depend on what these are called in the code.

The recordings under `tests/data` hold these forms: labels that stand here as literals, and field values by
position. So a recording made by one version can be compared with what another version does, whatever has
been renamed in between.
"""

from __future__ import annotations

from typing import assert_never

from cairnvane.contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    LogMessage,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
)
from cairnvane.contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    KeysRestored,
    Outcome,
    RunAdopted,
    RunFinished,
    TimerFired,
)
from cairnvane.contract.settings import (
    CancelMode,
    DependencyKind,
    LoadSignal,
    RequestClass,
    RetrySemantics,
    Settings,
)

Plain = None | bool | int | float | str
Form = list[Plain]

OUTCOMES: dict[Outcome, str] = {
    Outcome.OK: "ok",
    Outcome.ERROR: "error",
    Outcome.TIMEOUT: "timeout",
    Outcome.BROKEN: "broken",
    Outcome.CANCELLED: "cancelled",
    Outcome.REJECTED: "rejected",
    Outcome.UNREACHED: "unreached",
    Outcome.NEVER_STARTED: "moot",
}
REPEATS: dict[RetrySemantics, str] = {
    RetrySemantics.IDEMPOTENT: "safe",
    RetrySemantics.IDEMPOTENCY_KEYED: "keyed",
    RetrySemantics.NON_IDEMPOTENT: "unsafe",
}
HALTS: dict[CancelMode, str] = {
    CancelMode.NONE: "none",
    CancelMode.DISCARD: "drop",
    CancelMode.PAUSE: "pause",
}
SIGNALS: dict[LoadSignal, str] = {
    LoadSignal.NONE: "none",
    LoadSignal.LEVEL: "level",
    LoadSignal.CREDIT: "credit",
    LoadSignal.WEIGHT: "weight",
}
DOWNSTREAMS: dict[DependencyKind, str] = {
    DependencyKind.NONE: "none",
    DependencyKind.SHARED: "shared",
    DependencyKind.TIER: "tier",
}
EVENT_LABELS: dict[type[Event], str] = {
    Arrival: "arrival",
    KeysRestored: "kept",
    RunAdopted: "adopted",
    RunFinished: "finished",
    ClientDisconnected: "gone",
    CallRequested: "call-needed",
    CallFinished: "call-ended",
    DrainStarted: "draining",
    TimerFired: "timer-fired",
}
ACTION_LABELS: dict[type[Action], str] = {
    StartRun: "run",
    Reject: "refuse",
    Fail: "fail",
    Cancel: "halt",
    MakeCall: "call",
    SkipCall: "skip-call",
    RememberKey: "remember",
    ForgetKey: "forget",
    ReplayResult: "reuse",
    SetHealth: "set-health",
    ReportLoad: "advertise",
    CloseIdleConnections: "close-idle",
    SetTimer: "set-timer",
    LogMessage: "log",
}


def event_form(event: Event) -> Form:
    """The event's label and its field values."""
    return [EVENT_LABELS[type(event)], *_event_values(event)]


def _event_values(event: Event) -> Form:
    if isinstance(event, Arrival):
        return _arrival_values(event)
    if isinstance(event, KeysRestored):
        return [event.count, event.lifetime]
    if isinstance(event, RunAdopted):
        return [event.request_id, event.class_index, event.time_left, event.lifetime, event.memory]
    if isinstance(event, RunFinished):
        return [event.request_id, OUTCOMES[event.outcome], event.duration]
    if isinstance(event, ClientDisconnected):
        return [event.request_id]
    if isinstance(event, CallRequested):
        return [event.request_id]
    if isinstance(event, CallFinished):
        return [event.request_id, OUTCOMES[event.outcome], event.duration]
    if isinstance(event, DrainStarted):
        return [event.time_left]
    if isinstance(event, TimerFired):
        return [event.token, event.cpu_busy, event.runnable, event.memory_used, event.connections]
    assert_never(event)


def _arrival_values(event: Arrival) -> Form:
    return [
        event.request_id,
        event.class_index,
        event.queue_delay,
        event.time_left,
        event.memory,
        event.cost,
        event.client,
        event.tenant,
        event.is_retry,
        event.duplicate_of,
        event.storage_delay,
    ]


def action_form(action: Action) -> Form:
    """The action's label and its field values."""
    return [ACTION_LABELS[type(action)], *_action_values(action)]


def _action_values(action: Action) -> Form:
    if isinstance(action, Reject):
        return [action.request_id, action.retry_after, action.no_retry]
    if isinstance(action, MakeCall):
        return [action.request_id, action.timeout]
    if isinstance(action, RememberKey):
        return [action.request_id, action.lifetime]
    if isinstance(action, SetHealth):
        return [action.healthy, action.cached]
    if isinstance(action, ReportLoad):
        return [action.value]
    if isinstance(action, CloseIdleConnections):
        return [action.idle_time]
    if isinstance(action, SetTimer):
        return [action.due_at, action.token]
    if isinstance(action, LogMessage):
        return [action.message]
    return [action.request_id]  # the type checker knows that all others have only this


def class_form(cls: RequestClass) -> Form:
    """A class's field values."""
    return [
        cls.name,
        cls.latency_objective,
        cls.client_timeout,
        cls.priority_weight,
        cls.late_fraction,
        REPEATS[cls.retry_semantics],
        cls.retry_window,
        cls.degraded_fraction,
        cls.objective_per_cost,
    ]


def settings_form(settings: Settings) -> list[Form]:
    """The classes, the tenants, and the other field values of settings."""
    classes = [class_form(cls) for cls in settings.classes]
    tenants: list[Form] = [[tenant.name, tenant.quota] for tenant in settings.tenants]
    return [
        *classes,
        *tenants,
        [
            settings.cores,
            settings.memory,
            settings.over_quota_fraction,
            settings.replicas,
            settings.running_memory_factor,
            settings.key_memory,
            HALTS[settings.cancel_mode],
            SIGNALS[settings.load_signal],
            DOWNSTREAMS[settings.dependency],
            settings.dependency_quota,
            settings.dependency_window,
            settings.abandoned_call_time,
            settings.clients,
            settings.cold_start,
            settings.cold_speed,
            settings.warmup_time,
            settings.max_oversubscription,
            settings.drain_grace,
            settings.max_retry_after,
            settings.min_round_interval,
        ],
    ]
