"""A request as the controller keeps track of it, and the states that it passes through."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..contract.settings import RequestClass
from . import parameters


class State(Enum):
    """Where a request is. Only HELD counts as queue length, only RUNNING as a crowd on the cores."""

    HELD = 0
    REUSING = 1  # waits for the answer of the request it repeats
    RUNNING = 2
    AT_CALL = 3  # left the cores, its call not made
    CALLING = 4


@dataclass(slots=True)
class Job:
    """A request in hand."""

    id: int
    cls: RequestClass
    arrived: int  # at the machine
    due: int
    aim: int  # an answer after this is late, or nobody waits for it
    age: int  # of its first try when this one arrived, as far as it shows
    worth: float  # its class's, less if its tenant is beyond its share
    tenant: int | None  # whose share it takes from
    cost: float | None  # work by the caller's hint
    memory: float  # held
    state: State | None = None
    started: bool = False  # it may have run: no refusal, no second run
    answered: bool = False
    calls: int = parameters.CALL_TRIES  # that may still be made for this need
