"""Plans a shutdown: how much time is left until the operators may kill the process."""

from __future__ import annotations

from .. import clock
from ..contract.settings import Settings
from .lifecycle import Shutdown

# The operators may kill a process after the longest client timeout, of which at most this much counts, plus
# the time below, even if `stop_ms` is later.
MAX_COUNTED_CLIENT_TIMEOUT_S = 3.0
EARLIEST_KILL_AFTER_CLIENT_TIMEOUT_S = 0.7
# All requests are answered this long before the process is killed, which leaves time for a delayed thread and
# for the exit.
STOP_MARGIN_S = 0.3
MILLISECONDS_PER_SECOND = 1e3


def plan_shutdown(stop_ms: int, settings: Settings, handover: bool) -> Shutdown:
    """Plan the shutdown of a process that runs with these settings.

    `stop_ms` is the configured time in milliseconds until the kill. The earliest kill applies with and
    without `handover`: whether a successor was found in time says nothing about when the kill comes.
    """
    time_until_kill_s = min(stop_ms / MILLISECONDS_PER_SECOND, _earliest_kill_s(settings))
    time_left_s = max(0.0, time_until_kill_s - STOP_MARGIN_S)
    drain_grace_s = settings.drain_grace / clock.MICROSECONDS_PER_SECOND
    grace_s = 0.0 if handover else min(time_left_s, drain_grace_s)
    return Shutdown(time_left_s, grace_s, handover)


def _earliest_kill_s(settings: Settings) -> float:
    """Seconds from the shutdown signal until the earliest kill."""
    longest_timeout_s = settings.longest_client_timeout / clock.MICROSECONDS_PER_SECOND
    return min(longest_timeout_s, MAX_COUNTED_CLIENT_TIMEOUT_S) + EARLIEST_KILL_AFTER_CLIENT_TIMEOUT_S
