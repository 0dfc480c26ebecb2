"""Draws the times and the target server of each fault from the scenario and a seed. No I/O.

The schedule depends only on the scenario and the seed. Each fault has its own random stream, so that adding a
fault does not change the others.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from .link_conditions import LINK_FAULT_KINDS, LinkFault
from .scenario import DEPENDENCY_FAULTS, Fault, Scenario


@dataclass(frozen=True)
class Step:
    """The beginning or the end of a fault, at a time in seconds of the load."""

    at: float
    number: int  # index of its fault in the scenario
    do: str
    begins: bool  # else the fault ends
    who: str
    links: tuple[tuple[str, str], ...]  # empty unless it is a fault of links
    fault: Fault

    def as_json(self) -> dict[str, object]:
        """The step for the event log."""
        step: dict[str, object] = {"at": round(self.at, 3), "do": self.do, "begins": self.begins}
        if self.links:
            return step | {"link": list(self.fault.link), "way": self.fault.way}
        return step | {"who": self.who}

    def line(self) -> str:
        """The step for a terminal."""
        ends = (end if isinstance(end, str) else "+".join(end) for end in self.fault.link)
        target = " - ".join(ends) if self.links else self.who or "the load"
        return f"{self.do} {target}" if self.begins else f"{self.do} {target} is over"


def link_fault(fault: Fault) -> LinkFault:
    """Convert a fault of the scenario to a link fault."""
    return LinkFault(
        fault.do,
        share=fault.share,
        delay_s=fault.ms / 1e3,
        spread_s=fault.spread_ms / 1e3,
        bytes_a_second=fault.kb_a_second * 1_024,
    )


def _steps(scenario: Scenario, number: int, seed: int) -> Iterator[Step]:
    fault = scenario.faults[number]
    rng = random.Random(f"{seed} fault {number}")
    links = scenario.links(fault) if fault.do in LINK_FAULT_KINDS else ()
    for begins_at in _begin_times(scenario, fault):
        at = begins_at + rng.uniform(0.0, fault.jitter)
        target = rng.choice(scenario.names) if fault.who == "any" else fault.who
        if fault.do in DEPENDENCY_FAULTS:
            target = "vault"
        yield Step(at, number, fault.do, True, target, links, fault)
        if fault.duration:
            yield Step(at + fault.duration, number, fault.do, False, target, links, fault)


def _begin_times(scenario: Scenario, fault: Fault) -> Iterator[float]:
    """The times at which the fault begins, without jitter; each repetition ends before the load does."""
    yield fault.at
    if not fault.every:
        return
    begins_at = fault.at + fault.every
    while begins_at + fault.jitter + fault.duration < scenario.seconds:
        yield begins_at
        begins_at += fault.every


def draw(scenario: Scenario, seed: int) -> list[Step]:
    """All steps, ordered by time."""
    steps = [step for number in range(len(scenario.faults)) for step in _steps(scenario, number, seed)]
    return sorted(steps, key=lambda step: (step.at, step.number, not step.begins))
