"""cairnvane: admission and scheduling for servers behind balancers that nobody here controls.

`Controller` decides; `cairnvane.interface` holds all that passes between it and its host.
"""

from .control import Controller
from .interface import (
    Action, Advertise, Arrival, Call, CallEnded, CallNeeded, CloseIdle, Downstream, Draining, Event, Fail,
    Finished, Forget, Gone, Halt, HaltMode, Log, Outcome, Refuse, Remember, Repeat, RequestClass, Reuse,
    Run, SetHealth, Settings, SetTimer, Signal, SkipCall, Tenant, TimerFired,
)

__all__ = [
    "Action", "Advertise", "Arrival", "Call", "CallEnded", "CallNeeded", "CloseIdle", "Controller",
    "Downstream", "Draining", "Event", "Fail", "Finished", "Forget", "Gone", "Halt", "HaltMode", "Log",
    "Outcome", "Refuse", "Remember", "Repeat", "RequestClass", "Reuse", "Run", "SetHealth", "SetTimer",
    "Settings", "Signal", "SkipCall", "Tenant", "TimerFired",
]
