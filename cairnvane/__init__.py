"""cairnvane: admission and scheduling for servers behind balancers that nobody here controls.

`Controller` decides; `cairnvane.interface` holds all that passes between it and its host.
"""

from .admission.controller import Controller
from .contract.actions import (
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
from .contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    Outcome,
    RunFinished,
    TimerFired,
)
from .contract.settings import (
    CancelMode,
    DependencyKind,
    LoadSignal,
    RequestClass,
    RetrySemantics,
    Settings,
    Tenant,
)

__all__ = [
    "Action",
    "ReportLoad",
    "Arrival",
    "MakeCall",
    "CallFinished",
    "CallRequested",
    "CloseIdleConnections",
    "Controller",
    "DependencyKind",
    "DrainStarted",
    "Event",
    "Fail",
    "RunFinished",
    "ForgetKey",
    "ClientDisconnected",
    "Cancel",
    "CancelMode",
    "LogMessage",
    "Outcome",
    "Reject",
    "RememberKey",
    "RetrySemantics",
    "RequestClass",
    "ReplayResult",
    "StartRun",
    "SetHealth",
    "SetTimer",
    "Settings",
    "LoadSignal",
    "SkipCall",
    "Tenant",
    "TimerFired",
]
