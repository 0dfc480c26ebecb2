"""The dependency quota: how many calls may be in flight, by AIMD on the time that they take."""

from __future__ import annotations

from ..contract.events import UNEXECUTED_OUTCOMES, CallFinished
from ..contract.settings import DependencyKind, RetrySemantics, Settings
from . import parameters
from .estimators import CallsInFlight, CallTimes
from .requests import TrackedRequest


class DependencyQuota:
    """Guards against all instances together overloading what they share.

    Calls in flight, abandoned ones too, stay in this instance's quota as a mean over its window (what is
    beyond is a debt) and, above one call, at any time. The limit follows the call time.
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

    def pass_time(self, now: int, elapsed: int, calling: int) -> None:
        """Account for the calls in flight."""
        self.in_flight.pass_time(now, elapsed, calling, self.limit)
        self.times.pass_time(elapsed)

    def has_capacity(self, calling: int) -> bool:
        """Whether one more call may be made."""
        spare = (1 - parameters.DEPENDENCY_SAFETY) * self.limit * self._settings.dependency_window
        return self.in_flight.count(calling) + 1 <= max(1, self.limit) and self.in_flight.excess <= spare

    def timeout(self, request: TrackedRequest, now: int) -> int:
        """After how long the request's call is abandoned."""
        # A quota below one is kept by a single call only if that ends, abandoned time too, within its part.
        longest = int(self._quota * self._settings.dependency_window) - self._settings.abandoned_call_time
        return max(1, min(request.deadline - now, longest, self._lost_after(request)))

    def _lost_after(self, request: TrackedRequest) -> int:
        """Guards against calls that are never answered: each occupies capacity until none is left."""
        if not self.times.typical:
            return request.request_class.client_timeout
        is_idempotent = request.request_class.retry_semantics is RetrySemantics.IDEMPOTENT
        factor = parameters.LOST_CALL_FACTOR * (1 if is_idempotent else parameters.LOST_CALL_EFFECT_FACTOR)
        return max(parameters.LOST_CALL_MINIMUM, int(factor * self.times.typical))

    def record_call(self, now: int, event: CallFinished) -> None:
        """Move the limit by the time that calls take: they pile up where no local queue shows it.

        Far above the best recent time, fewer are made. A call that never ran says nothing of that time.
        """
        if event.outcome not in UNEXECUTED_OUTCOMES:
            self.times.record(event.outcome, event.duration)
        slow = max(parameters.QUICK_CALL_TIME, parameters.SLOW_CALL_FACTOR * self.times.best)
        if not self.times.best or self.times.mean <= slow:
            step = min(1.0, self._quota) / max(1.0, self.limit)
            self.limit = min(self._quota, self.limit + step)
        elif now - self._reduced_at > self.times.mean:
            self._reduce(now)

    def _reduce(self, now: int) -> None:
        floor = parameters.CALL_LIMIT_FLOOR * self._quota
        floor = max(1.0, floor) if self._quota >= 1 else floor
        if self.limit <= floor:  # with so few in flight they are not slowed by us: calls take that long now
            self.times.best = self.times.mean
        self.limit = max(floor, self.limit * parameters.MULTIPLICATIVE_DECREASE)
        self._reduced_at = now
