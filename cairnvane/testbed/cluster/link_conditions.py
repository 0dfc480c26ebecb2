"""Decides whether and when data on a link arrives. No I/O: the caller passes time and randomness.

A link has two directions, each with its own faults. A TCP stream must not lose data, so a dropped piece
arrives later, as if it had been retransmitted; duplicates and reordering exist on UDP only.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

# A lost piece is retransmitted after this time, which doubles with each further loss.
RETRANSMIT_S = 0.2
MAX_RETRANSMITS = 6
# A reordered datagram is held back by up to this time beyond its delay.
MAX_REORDER_DELAY_S = 0.02


@dataclass(frozen=True)
class LinkFault:
    """One fault of a link, in one direction."""

    kind: str  # one of `LINK_FAULT_KINDS`
    share: float = 1.0  # drop, duplicate, reorder: the fraction of pieces affected
    delay_s: float = 0.0
    spread_s: float = 0.0
    bytes_a_second: float = 0.0  # cap


# `cut`: data is delayed until the fault ends. `stall`: data is accepted and discarded. `reset`: connections
# are reset.
LINK_FAULT_KINDS = ("drop", "delay", "duplicate", "reorder", "cap", "cut", "stall", "reset")
# TCP hides these from both ends.
UDP_ONLY_KINDS = ("duplicate", "reorder")


@dataclass
class Direction:
    """One direction of a link: its faults and their effect on each piece of data."""

    random: random.Random
    faults: dict[int, LinkFault] = field(default_factory=dict)  # by the number of the scenario's fault
    stream_broken: bool = False  # a stall discarded data of a stream, which has to be reset
    _capacity_free_at: float = 0.0  # when all data so far has passed the bandwidth cap
    _last_arrival_at: float = 0.0  # of the last piece: streams keep their order

    def _has_fault(self, kind: str) -> bool:
        return any(fault.kind == kind for fault in self.faults.values())

    def blocked(self) -> bool:
        """Whether all data is delayed."""
        return self._has_fault("cut")

    def discards(self) -> bool:
        """Whether data is accepted and discarded."""
        return self._has_fault("stall")

    def resets(self) -> bool:
        """Whether connections are reset."""
        return self._has_fault("reset")

    def _delay_s(self, size: int, now: float) -> float:
        delay = 0.0
        for fault in self.faults.values():
            if fault.kind == "delay":
                delay += max(0.0, fault.delay_s + self.random.uniform(-fault.spread_s, fault.spread_s))
            elif fault.kind == "cap":
                starts_at = max(self._capacity_free_at, now)
                self._capacity_free_at = starts_at + size / fault.bytes_a_second
                delay += self._capacity_free_at - now
        return delay

    def _is_affected_by(self, kind: str) -> bool:
        shares = [fault.share for fault in self.faults.values() if fault.kind == kind]
        return any(self.random.random() < share for share in shares)

    def stream_delay(self, size: int, now: float) -> float:
        """Seconds until this piece of a stream arrives, never before an earlier piece."""
        delay = self._delay_s(size, now)
        retransmit_s = RETRANSMIT_S
        for _ in range(MAX_RETRANSMITS):
            if not self._is_affected_by("drop"):
                break
            delay += retransmit_s
            retransmit_s *= 2
        self._last_arrival_at = max(self._last_arrival_at, now + delay)
        return self._last_arrival_at - now

    def datagram_delays(self, size: int, now: float) -> list[float]:
        """Seconds until each copy of this datagram arrives; empty if it is lost."""
        if self.blocked() or self.discards() or self._is_affected_by("drop"):
            return []
        copies = 2 if self._is_affected_by("duplicate") else 1
        reorder_s = MAX_REORDER_DELAY_S * self.random.random() if self._is_affected_by("reorder") else 0.0
        return [self._delay_s(size, now) + reorder_s for _ in range(copies)]
