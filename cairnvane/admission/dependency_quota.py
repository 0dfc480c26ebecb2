"""The limit on calls in flight to the dependency, adjusted by AIMD on the call time."""

from __future__ import annotations

from ..contract.events import UNEXECUTED_OUTCOMES, CallFinished
from ..contract.settings import DependencyKind, RetrySemantics, Settings
from . import parameters
from .estimators import CallsInFlight, CallTimes
from .requests import TrackedRequest


class DependencyQuota:
    """Keeps this instance within its share of the calls that the shared dependency can handle.

    The number of calls in flight, abandoned ones included, stays within the quota as a mean over its window:
    an excess must be made up for later. A quota above one call also holds at any time. The limit adapts to
    the call time.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        self._settings = settings
        self._quota: float = parameters.CALLS_PER_CORE * settings.cores
        if settings.dependency is DependencyKind.SHARED:
            self._quota = parameters.DEPENDENCY_SAFETY * settings.dependency_quota
        self.limit = self._quota
        self.times = CallTimes()
        self.in_flight = CallsInFlight(settings.abandoned_call_time)
        self._reduced_at = now

    def advance_time(self, now: int, elapsed: int, calling: int) -> None:
        """Account for the calls that were in flight during the elapsed time."""
        self.in_flight.advance_time(now, elapsed, calling, self.limit)
        self.times.advance_time(elapsed)

    def has_capacity(self, calling: int) -> bool:
        """Whether one more call may be made."""
        allowed_excess = (1 - parameters.DEPENDENCY_SAFETY) * self.limit * self._settings.dependency_window
        return (
            self.in_flight.count(calling) + 1 <= max(1, self.limit)
            and self.in_flight.excess <= allowed_excess
        )

    def timeout(self, request: TrackedRequest, now: int) -> int:
        """The time after which the request's call is abandoned."""
        # A quota below one call holds for a single call only if the call, including the time for which it
        # occupies the dependency once abandoned, fits into the quota's fraction of the window.
        quota_timeout = (
            int(self._quota * self._settings.dependency_window) - self._settings.abandoned_call_time
        )
        return max(1, min(request.deadline - now, quota_timeout, self._lost_call_timeout(request)))

    def _lost_call_timeout(self, request: TrackedRequest) -> int:
        """The time after which a call is considered lost. Unanswered calls would use up all capacity."""
        if not self.times.typical:
            return request.request_class.client_timeout
        is_idempotent = request.request_class.retry_semantics is RetrySemantics.IDEMPOTENT
        factor = parameters.LOST_CALL_FACTOR * (
            1 if is_idempotent else parameters.LOST_EFFECTFUL_CALL_MULTIPLIER
        )
        return max(parameters.LOST_CALL_MINIMUM_US, int(factor * self.times.typical))

    def record_call(self, now: int, event: CallFinished) -> None:
        """Adjust the limit by the call time, since no local queue shows calls piling up at the dependency.

        The limit falls while calls take far longer than the best recent time. A call that never ran is no
        sample of the call time.
        """
        if event.outcome not in UNEXECUTED_OUTCOMES:
            self.times.record(event.outcome, event.duration)
        slow_call_time = max(parameters.SLOW_CALL_MINIMUM_US, parameters.SLOW_CALL_FACTOR * self.times.best)
        if not self.times.best or self.times.mean <= slow_call_time:
            step = min(1.0, self._quota) / max(1.0, self.limit)
            self.limit = min(self._quota, self.limit + step)
        elif now - self._reduced_at > self.times.mean:
            self._reduce(now)

    def _reduce(self, now: int) -> None:
        floor = parameters.CALL_LIMIT_FLOOR * self._quota
        floor = max(1.0, floor) if self._quota >= 1 else floor
        if self.limit <= floor:  # too few calls to slow each other: this is the normal call time now
            self.times.best = self.times.mean
        self.limit = max(floor, self.limit * parameters.MULTIPLICATIVE_DECREASE)
        self._reduced_at = now
