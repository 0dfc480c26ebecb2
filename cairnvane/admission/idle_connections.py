"""How long idle connections are kept, by whether clients return and whether handshakes delay reading."""

from __future__ import annotations

from ..contract.actions import CloseIdleConnections
from . import parameters
from .estimators import ClientActivity


class IdleConnections:
    """Guards against handshakes that saturate the cores.

    A full connection table costs less, but leaves clients unread. Once cores idle it does so for nothing; if
    all were closed at once the handshakes would come back, so the idle time shrinks slowly.
    """

    def __init__(self, now: int) -> None:
        self.clients = ClientActivity(now)
        self.doublings = 0.0  # of SHORT_IDLE_TIME
        self._idle_time = 0

    def on_timer(self, is_busy: bool) -> CloseIdleConnections | None:
        """The idle time after which connections are closed, if it has changed."""
        step = -parameters.IDLE_DOUBLING_DECREASE
        if is_busy:
            step = float(self.clients.read_delay > parameters.IDLE_READ_DELAY_FRACTION)
        self.doublings = min(parameters.MAXIMUM_IDLE_DOUBLINGS, max(0.0, self.doublings + step))
        most_return = self.clients.returning_fraction >= parameters.MOST_CLIENTS_RETURN
        idle_time = 0 if most_return else parameters.SHORT_IDLE_TIME << int(self.doublings)
        if idle_time == self._idle_time:
            return None
        self._idle_time = idle_time
        return CloseIdleConnections(idle_time)
