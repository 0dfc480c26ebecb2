"""cairnvane: admission control and scheduling for servers behind third-party balancers.

`Controller` makes the decisions; `cairnvane.contract` defines the interface between it and its host.
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
    "Arrival",
    "CallFinished",
    "CallRequested",
    "Cancel",
    "CancelMode",
    "ClientDisconnected",
    "CloseIdleConnections",
    "Controller",
    "DependencyKind",
    "DrainStarted",
    "Event",
    "Fail",
    "ForgetKey",
    "LoadSignal",
    "LogMessage",
    "MakeCall",
    "Outcome",
    "Reject",
    "RememberKey",
    "ReplayResult",
    "ReportLoad",
    "RequestClass",
    "RetrySemantics",
    "RunFinished",
    "SetHealth",
    "SetTimer",
    "Settings",
    "SkipCall",
    "StartRun",
    "Tenant",
    "TimerFired",
]
