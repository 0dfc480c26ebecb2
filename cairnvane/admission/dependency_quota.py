"""The limit on calls in flight to the dependency, adjusted by AIMD on the call time."""

from __future__ import annotations

from ..contract.events import UNEXECUTED_OUTCOMES, CallFinished, ConcurrentCalls
from ..contract.settings import DependencyKind, RetrySemantics, Settings
from . import parameters
from .estimators import CallsInFlight, CallTimes
from .requests import TrackedRequest


class DependencyQuota:
    """Keeps this instance within its share of the calls that the shared dependency can handle.

    The number of calls in flight, abandoned ones included, stays within the quota as a mean over its window:
    an excess must be made up for later. A quota above one call also holds at any time. The limit adapts to
    the call time. Concurrent incarnations share the quota: their calls count like own ones, and each leaves
    the others an equal part of the limit if they have a use for it.
    """

    def __init__(self, settings: Settings, now: int) -> None:
        self._settings = settings
        self._quota: float = parameters.CALLS_PER_CORE * settings.cores
        if settings.dependency is DependencyKind.SHARED:
            self._quota = parameters.DEPENDENCY_SAFETY * settings.dependency_quota
        self.limit = self._quota
        self.times = CallTimes(settings.longest_client_timeout)
        self.in_flight = CallsInFlight(settings.abandoned_call_time)
        self._reduced_at = now
        self._others = ConcurrentCalls(0, 0, 0)

    def advance_time(self, now: int, elapsed: int, calling: int) -> None:
        """Account for the calls that were in flight during the elapsed time."""
        self.in_flight.advance_time(now, elapsed, calling + self._others.calls, self.limit)
        self.times.advance_time(elapsed)

    def record_concurrent_calls(self, event: ConcurrentCalls) -> None:
        """Account for the calls of concurrent incarnations."""
        if event.incarnations > self._others.incarnations:
            # What was in excess before this one could see it has to be made up for by both.
            self.in_flight.excess = max(self.in_flight.excess, event.excess)
        self._others = event

    def _reserved_for_others(self) -> int:
        """The number of calls that concurrent incarnations have in flight, or may make before this one."""
        others = self._others
        equal_part = int(self.limit * others.incarnations / (others.incarnations + 1))
        return max(others.calls, min(others.wanted, equal_part))

    def has_capacity(self, calling: int) -> bool:
        """Whether one more call may be made."""
        calls = self.in_flight.count(calling) + self._reserved_for_others()
        allowed_excess = (1 - parameters.DEPENDENCY_SAFETY) * self.limit * self._settings.dependency_window
        return calls + 1 <= max(1, self.limit) and self.in_flight.excess <= allowed_excess

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
