"""When each fault begins and ends, and whom it hits: drawn from the scenario and one seed. No I/O.

The same seed gives the same schedule, whatever happens meanwhile; each fault draws from a stream of its own,
so one more fault does not change the others.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from .link_conditions import KINDS
from .link_conditions import Fault as LinkFault
from .scenario import TO_VAULT, Fault, Scenario


@dataclass(frozen=True)
class Step:
    """One thing to do, so many seconds after the load's start."""

    at: float
    number: int  # of its fault
    do: str
    begins: bool  # else what it began is over
    who: str
    links: tuple[tuple[str, str], ...]  # none, if it is done to no link
    fault: Fault

    def told(self) -> dict[str, object]:
        """For the record of events."""
        what: dict[str, object] = {"at": round(self.at, 3), "do": self.do, "begins": self.begins}
        if self.links:
            return what | {"link": list(self.fault.link), "way": self.fault.way}
        return what | {"who": self.who}

    def line(self) -> str:
        """For a person."""
        ends = (end if isinstance(end, str) else "+".join(end) for end in self.fault.link)
        whom = " - ".join(ends) if self.links else self.who or "the load"
        return f"{self.do} {whom}" if self.begins else f"{self.do} {whom} is over"


def on_link(fault: Fault) -> LinkFault:
    """What the link has to know of it."""
    return LinkFault(
        fault.do,
        share=fault.share,
        delay_s=fault.ms / 1e3,
        spread_s=fault.spread_ms / 1e3,
        bytes_a_second=fault.kb_a_second * 1_024,
    )


def _steps(told: Scenario, number: int, seed: int) -> Iterator[Step]:
    fault, rng = told.faults[number], random.Random(f"{seed} fault {number}")
    at = fault.at + rng.uniform(0.0, fault.jitter)
    who = rng.choice(told.names) if fault.who == "any" else fault.who
    if fault.do in TO_VAULT:
        who = "vault"
    links = told.links(fault) if fault.do in KINDS else ()
    yield Step(at, number, fault.do, True, who, links, fault)
    if fault.for_:
        yield Step(at + fault.for_, number, fault.do, False, who, links, fault)


def draw(told: Scenario, seed: int) -> list[Step]:
    """All steps, in their order."""
    steps = [step for number in range(len(told.faults)) for step in _steps(told, number, seed)]
    return sorted(steps, key=lambda step: (step.at, step.number, not step.begins))
