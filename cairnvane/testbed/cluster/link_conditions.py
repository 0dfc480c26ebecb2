"""What a link does to what passes it. No I/O, no clock: time and chance are handed in.

A link has two directions, each with conditions of its own. On TCP nothing may be lost within a stream, so a
piece that is dropped comes later, as if it had been sent again; duplicates and a changed order exist on UDP
alone.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

# A lost segment is sent again after so long at the least, and after twice as long each further time.
RESEND_S, RESENDS = 0.2, 6
# Out of order: a datagram is held back by so much beyond its delay.
REORDER_S = 0.02


@dataclass(frozen=True)
class Fault:
    """One fault of a link, in one direction."""

    kind: str  # of `KINDS`
    share: float = 1.0  # drop, duplicate, reorder: of the pieces
    delay_s: float = 0.0
    spread_s: float = 0.0
    bytes_a_second: float = 0.0  # cap


# `cut`: nothing passes until it heals. `stall`: what comes is taken, and never passed on. `reset`:
# connections end.
KINDS = ("drop", "delay", "duplicate", "reorder", "cap", "cut", "stall", "reset")
# On TCP these change nothing that the two ends could see.
ONLY_UDP = ("duplicate", "reorder")


@dataclass
class Direction:
    """One way of a link: its faults, and what they make of each piece of data."""

    random: random.Random
    faults: dict[int, Fault] = field(default_factory=dict)  # by the number of the event that brought them
    lost: bool = False  # a stream lost a part to a stall, and can't go on
    _free_at: float = 0.0  # when what was capped has passed
    _last_at: float = 0.0  # when the last piece arrives: streams keep their order

    def blocked(self) -> bool:
        """Nothing passes for now."""
        return any(fault.kind == "cut" for fault in self.faults.values())

    def swallows(self) -> bool:
        """What comes is taken, and lost."""
        return any(fault.kind == "stall" for fault in self.faults.values())

    def resets(self) -> bool:
        """Connections end."""
        return any(fault.kind == "reset" for fault in self.faults.values())

    def _delay_s(self, size: int, now: float) -> float:
        delay = 0.0
        for fault in self.faults.values():
            if fault.kind == "delay":
                delay += max(0.0, fault.delay_s + self.random.uniform(-fault.spread_s, fault.spread_s))
            elif fault.kind == "cap":
                self._free_at = max(self._free_at, now) + size / fault.bytes_a_second
                delay += self._free_at - now
        return delay

    def _hits(self, kind: str) -> bool:
        shares = [fault.share for fault in self.faults.values() if fault.kind == kind]
        return any(self.random.random() < share for share in shares)

    def stream(self, size: int, now: float) -> float:
        """After how many seconds this piece of a stream arrives; never before an earlier one."""
        delay, resend = self._delay_s(size, now), RESEND_S
        for _ in range(RESENDS):
            if not self._hits("drop"):
                break
            delay += resend
            resend *= 2
        self._last_at = max(self._last_at, now + delay)
        return self._last_at - now

    def datagram(self, size: int, now: float) -> list[float]:
        """After how many seconds each copy of this datagram arrives; none if it is lost."""
        if self.blocked() or self.swallows() or self._hits("drop"):
            return []
        copies = 2 if self._hits("duplicate") else 1
        held = REORDER_S * self.random.random() if self._hits("reorder") else 0.0
        return [self._delay_s(size, now) + held for _ in range(copies)]
