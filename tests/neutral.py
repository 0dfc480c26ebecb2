"""Forms of events, actions and settings that do not depend on what these are called in the code.

The recordings under `tests/data` hold these forms: labels that stand here as literals, and field values by
position. So a recording made by one version can be compared with what another version does, whatever has
been renamed in between.
"""

from __future__ import annotations

from typing import assert_never

from cairnvane import interface as i

Plain = None | bool | int | float | str
Form = list[Plain]

OUTCOMES: dict[i.Outcome, str] = {
    i.Outcome.OK: "ok",
    i.Outcome.ERROR: "error",
    i.Outcome.TIMEOUT: "timeout",
    i.Outcome.BROKEN: "broken",
    i.Outcome.CANCELLED: "cancelled",
    i.Outcome.REJECTED: "rejected",
    i.Outcome.UNREACHED: "unreached",
    i.Outcome.MOOT: "moot",
}
REPEATS: dict[i.Repeat, str] = {
    i.Repeat.SAFE: "safe",
    i.Repeat.KEYED: "keyed",
    i.Repeat.UNSAFE: "unsafe",
}
HALTS: dict[i.HaltMode, str] = {
    i.HaltMode.NONE: "none",
    i.HaltMode.DROP: "drop",
    i.HaltMode.PAUSE: "pause",
}
SIGNALS: dict[i.Signal, str] = {
    i.Signal.NONE: "none",
    i.Signal.LEVEL: "level",
    i.Signal.CREDIT: "credit",
    i.Signal.WEIGHT: "weight",
}
DOWNSTREAMS: dict[i.Downstream, str] = {
    i.Downstream.NONE: "none",
    i.Downstream.SHARED: "shared",
    i.Downstream.TIER: "tier",
}
EVENT_LABELS: dict[type[i.Event], str] = {
    i.Arrival: "arrival",
    i.Kept: "kept",
    i.Adopted: "adopted",
    i.Finished: "finished",
    i.Gone: "gone",
    i.CallNeeded: "call-needed",
    i.CallEnded: "call-ended",
    i.Draining: "draining",
    i.TimerFired: "timer-fired",
}
ACTION_LABELS: dict[type[i.Action], str] = {
    i.Run: "run",
    i.Refuse: "refuse",
    i.Fail: "fail",
    i.Halt: "halt",
    i.Call: "call",
    i.SkipCall: "skip-call",
    i.Remember: "remember",
    i.Forget: "forget",
    i.Reuse: "reuse",
    i.SetHealth: "set-health",
    i.Advertise: "advertise",
    i.CloseIdle: "close-idle",
    i.SetTimer: "set-timer",
    i.Log: "log",
}


def event_form(event: i.Event) -> Form:
    """The event's label and its field values."""
    return [EVENT_LABELS[type(event)], *_event_values(event)]


def _event_values(event: i.Event) -> Form:
    if isinstance(event, i.Arrival):
        return _arrival_values(event)
    if isinstance(event, i.Kept):
        return [event.count, event.life]
    if isinstance(event, i.Adopted):
        return [event.id, event.cls, event.time_left, event.life, event.memory]
    if isinstance(event, i.Finished):
        return [event.id, OUTCOMES[event.outcome], event.took]
    if isinstance(event, i.Gone):
        return [event.id]
    if isinstance(event, i.CallNeeded):
        return [event.id]
    if isinstance(event, i.CallEnded):
        return [event.id, OUTCOMES[event.outcome], event.took]
    if isinstance(event, i.Draining):
        return [event.time_left]
    if isinstance(event, i.TimerFired):
        return [event.token, event.cpu_busy, event.runnable, event.memory_used, event.connections]
    assert_never(event)


def _arrival_values(event: i.Arrival) -> Form:
    return [
        event.id,
        event.cls,
        event.queued,
        event.time_left,
        event.memory,
        event.cost,
        event.caller,
        event.tenant,
        event.again,
        event.repeats,
        event.keep_after,
    ]


def action_form(action: i.Action) -> Form:
    """The action's label and its field values."""
    return [ACTION_LABELS[type(action)], *_action_values(action)]


def _action_values(action: i.Action) -> Form:
    if isinstance(action, i.Refuse):
        return [action.id, action.stay_away, action.no_retry]
    if isinstance(action, i.Call):
        return [action.id, action.timeout]
    if isinstance(action, i.Remember):
        return [action.id, action.life]
    if isinstance(action, i.SetHealth):
        return [action.good, action.stored]
    if isinstance(action, i.Advertise):
        return [action.value]
    if isinstance(action, i.CloseIdle):
        return [action.after]
    if isinstance(action, i.SetTimer):
        return [action.at, action.token]
    if isinstance(action, i.Log):
        return [action.text]
    return [action.id]  # the type checker knows that all others have only this


def class_form(cls: i.RequestClass) -> Form:
    """A class's field values."""
    return [
        cls.name,
        cls.aim,
        cls.patience,
        cls.worth,
        cls.late_worth,
        REPEATS[cls.repeat],
        cls.window,
        cls.skip_worth,
        cls.aim_stretch,
    ]


def settings_form(settings: i.Settings) -> list[Form]:
    """The classes, the tenants, and the other field values of settings."""
    classes = [class_form(cls) for cls in settings.classes]
    tenants: list[Form] = [[tenant.name, tenant.quota] for tenant in settings.tenants]
    return [
        *classes,
        *tenants,
        [
            settings.cores,
            settings.memory,
            settings.over_share_worth,
            settings.peers,
            settings.run_factor,
            settings.key_memory,
            HALTS[settings.halt],
            SIGNALS[settings.signal],
            DOWNSTREAMS[settings.downstream],
            settings.fair_calls,
            settings.calls_window,
            settings.call_linger,
            settings.callers,
            settings.cold,
            settings.cold_from,
            settings.cold_for,
            settings.crowd_multiple,
            settings.drain_grace,
            settings.max_advice,
            settings.round,
        ],
    ]
