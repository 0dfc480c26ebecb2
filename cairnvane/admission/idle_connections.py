"""Decides how long idle connections are kept, depending on returning clients and handshake load."""

from __future__ import annotations

from ..contract.actions import CloseIdleConnections
from . import parameters
from .estimators import ClientActivity


class IdleConnections:
    """Limits idle connections without saturating the cores by handshakes.

    Keeping idle connections avoids handshakes, but a full connection table shuts out other clients, which is
    unnecessary once cores are idle. Closing all idle connections at once would bring the handshakes back, so
    the idle time shrinks slowly.
    """

    def __init__(self, now: int) -> None:
        self.clients = ClientActivity(now)
        self.doublings = 0.0  # how often SHORT_IDLE_TIME_US is doubled
        self._idle_time = 0

    def on_timer(self, is_busy: bool) -> CloseIdleConnections | None:
        """Update the idle time after which connections are closed; the action to take if it changed."""
        step = -parameters.IDLE_DOUBLING_DECREASE
        if is_busy:
            step = float(self.clients.read_delay > parameters.IDLE_READ_DELAY_FRACTION)
        self.doublings = min(parameters.MAXIMUM_IDLE_DOUBLINGS, max(0.0, self.doublings + step))
        most_return = self.clients.returning_fraction >= parameters.RETURNING_CLIENTS_MAJORITY
        idle_time = 0 if most_return else parameters.SHORT_IDLE_TIME_US << int(self.doublings)
        if idle_time == self._idle_time:
            return None
        self._idle_time = idle_time
        return CloseIdleConnections(idle_time)
