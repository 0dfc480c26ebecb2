"""The timer that is to come: keeps account of it, and decides nothing about requests."""

from __future__ import annotations

from ..contract.actions import SetTimer
from . import parameters


class PendingTimer:
    """Which timer is to come next."""

    __slots__ = ("_is_pending", "due_at")

    def __init__(self, now: int) -> None:
        self.due_at = now
        self._is_pending = False

    def request(self, now: int, due_at: int) -> SetTimer | None:
        """Ask for a timer, unless an earlier one is to come.

        A timer that is due stays pending until it is reported; its gauges make that a little later. Where
        events come faster than that it would be replaced each time, and no timer ever count.
        """
        is_lost = now - self.due_at > parameters.TIMER_LOST_AFTER
        if self._is_pending and due_at >= self.due_at and not is_lost:
            return None
        self.due_at = due_at
        self._is_pending = True
        return SetTimer(due_at)

    def fire(self, now: int) -> bool:
        """A timer was reported; false if it was set for what is over by now, and a later one is to come."""
        if now < self.due_at:
            return False
        self._is_pending = False
        return True
