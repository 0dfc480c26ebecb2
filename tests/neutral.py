"""Serialised forms of events, actions and settings that do not depend on the names in the code.

The recordings under `tests/data` hold these forms: labels, which are literals of this module, and field
values by position. So recordings stay comparable between versions even if classes or fields are renamed.
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
    ConcurrentCalls,
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

Scalar = None | bool | int | float | str
Form = list[Scalar]

OUTCOME_LABELS: dict[Outcome, str] = {
    Outcome.OK: "ok",
    Outcome.ERROR: "error",
    Outcome.TIMEOUT: "timeout",
    Outcome.BROKEN: "broken",
    Outcome.CANCELLED: "cancelled",
    Outcome.REJECTED: "rejected",
    Outcome.UNREACHED: "unreached",
    Outcome.NEVER_STARTED: "moot",
}
RETRY_SEMANTICS_LABELS: dict[RetrySemantics, str] = {
    RetrySemantics.IDEMPOTENT: "safe",
    RetrySemantics.IDEMPOTENCY_KEYED: "keyed",
    RetrySemantics.NON_IDEMPOTENT: "unsafe",
}
CANCEL_MODE_LABELS: dict[CancelMode, str] = {
    CancelMode.NONE: "none",
    CancelMode.DISCARD: "drop",
    CancelMode.PAUSE: "pause",
}
LOAD_SIGNAL_LABELS: dict[LoadSignal, str] = {
    LoadSignal.NONE: "none",
    LoadSignal.LEVEL: "level",
    LoadSignal.CREDIT: "credit",
    LoadSignal.WEIGHT: "weight",
}
DEPENDENCY_LABELS: dict[DependencyKind, str] = {
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
    ConcurrentCalls: "calls-elsewhere",
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
    """Return the event's label and field values."""
    return [EVENT_LABELS[type(event)], *_event_values(event)]


def _event_values(event: Event) -> Form:
    if isinstance(event, Arrival):
        return _arrival_values(event)
    if isinstance(event, KeysRestored):
        return [event.count, event.lifetime]
    if isinstance(event, RunAdopted):
        return [event.request_id, event.class_index, event.time_left, event.lifetime, event.memory]
    if isinstance(event, RunFinished):
        return [event.request_id, OUTCOME_LABELS[event.outcome], event.duration]
    if isinstance(event, ClientDisconnected):
        return [event.request_id]
    if isinstance(event, CallRequested):
        return [event.request_id]
    if isinstance(event, CallFinished):
        return [event.request_id, OUTCOME_LABELS[event.outcome], event.duration]
    if isinstance(event, ConcurrentCalls):
        return [event.incarnations, event.calls, event.wanted, event.excess]
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
    """Return the action's label and field values."""
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
    return [action.request_id]  # the only field of all other actions


def class_form(request_class: RequestClass) -> Form:
    """Return the field values of a request class."""
    return [
        request_class.name,
        request_class.latency_objective,
        request_class.client_timeout,
        request_class.priority_weight,
        request_class.late_fraction,
        RETRY_SEMANTICS_LABELS[request_class.retry_semantics],
        request_class.retry_window,
        request_class.degraded_fraction,
        request_class.objective_per_cost,
    ]


def settings_form(settings: Settings) -> list[Form]:
    """Return the forms of the classes and tenants, and the other field values of the settings."""
    classes = [class_form(request_class) for request_class in settings.classes]
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
            CANCEL_MODE_LABELS[settings.cancel_mode],
            LOAD_SIGNAL_LABELS[settings.load_signal],
            DEPENDENCY_LABELS[settings.dependency],
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
