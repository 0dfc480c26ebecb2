"""Estimators of recent load, most of them with exponential decay. They measure and decide nothing."""

from __future__ import annotations

import heapq

from ..contract.events import Arrival, Outcome
from ..contract.settings import RequestClass, Settings
from . import parameters


class DecayedCounts:
    """Counts of recent keys; each addition reduces all counts by a constant factor."""

    __slots__ = ("_decay", "counts")

    def __init__(self, samples: int) -> None:
        self._decay = 1 - 1 / samples
        self.counts: dict[float, float] = {}

    def add(self, key: float) -> None:
        """Decay all counts and add one to the count of `key`."""
        for other in self.counts:
            self.counts[other] *= self._decay
        self.counts[key] = self.counts.get(key, 0.0) + 1

    def sum_above(self, key: float) -> float:
        """The sum of the counts of all keys greater than `key`."""
        return sum(count for other, count in self.counts.items() if other > key)


class ServiceRate:
    """Core time spent, and number, duration and estimated cost of successful runs, all decayed equally."""

    __slots__ = ("_cores", "core_time", "cost", "duration", "finished", "known_classes")

    def __init__(self, cores: int) -> None:
        self._cores = cores
        self.core_time = 0.0
        self.finished = 0.0
        self.duration = 0.0
        self.cost = 0.0
        self.known_classes: set[str] = set()  # classes with at least one successful run

    def advance_time(self, elapsed: int, running: int) -> None:
        """Account for the core time of `running` requests, and decay all sums in proportion to it."""
        busy = min(running, self._cores)
        decay = max(0.0, 1 - busy / self._cores * elapsed / parameters.SERVICE_RATE_TIME_CONSTANT_US)
        self.finished *= decay
        self.duration *= decay
        self.cost *= decay
        self.core_time = self.core_time * decay + elapsed * busy

    def record_success(self, class_name: str, duration: int, cost: int | None) -> None:
        """Account for a successful run."""
        self.known_classes.add(class_name)
        self.finished += 1
        self.duration += duration
        self.cost += cost or 0.0

    def is_known(self, class_name: str) -> bool:
        """Whether the run time of this class can be estimated."""
        return class_name in self.known_classes and self.core_time > 0

    def rate(self) -> float:
        """Requests per microsecond that the cores finish when all are busy."""
        return self._cores * self.finished / max(1.0, self.core_time)

    def run_time(self, cost: int | None) -> float:
        """The expected run time of a request with this estimated cost; 0 if nothing is known."""
        if cost and self.cost:
            return cost * max(self.duration, self.core_time) / self.cost
        return max(self.duration, self.core_time) / self.finished if self.finished else 0.0


class Throughput:
    """Counts successful runs in the current interval."""

    __slots__ = ("_started_at", "finished")

    def __init__(self, now: int) -> None:
        self.finished = 0
        self._started_at = now

    def next_interval(self, now: int) -> float:
        """End the current interval and return its rate; start the next one."""
        rate = self.finished / max(1, now - self._started_at)
        self.finished = 0
        self._started_at = now
        return rate


class WarmUp:
    """The lowest speed that an instance may have during its warm-up."""

    __slots__ = ("_settings", "_started_at")

    def __init__(self, settings: Settings, now: int) -> None:
        self._settings = settings
        self._started_at = now

    def speed(self, now: int) -> float:
        """The lowest speed at this time, as a fraction of the speed of a warm instance."""
        settings = self._settings
        age = now - self._started_at
        if not settings.cold_start or age >= settings.warmup_time:
            return 1.0
        return settings.cold_speed + (1 - settings.cold_speed) * age / settings.warmup_time


class FirstAttemptAge:
    """Estimates how long before a request its first attempt was made.

    All first attempts get the same fraction of the client timeout, while a last attempt gets what remains of
    the timeout. The difference between the two shows the age.
    """

    __slots__ = ("_first_attempt_fraction",)

    def __init__(self) -> None:
        self._first_attempt_fraction = 1.0  # of the client timeout, as given to first attempts

    def estimate(self, event: Arrival, request_class: RequestClass) -> int:
        """The time since the first attempt; 0 if it can't be determined."""
        if event.time_left is None:
            return 0
        fraction = (event.time_left + event.queue_delay) / request_class.client_timeout
        if not event.is_retry:
            self._first_attempt_fraction = fraction
            return 0
        if abs(fraction - self._first_attempt_fraction) < parameters.TIMEOUT_TOLERANCE:
            return 0
        return max(0, int((1 - fraction) * request_class.client_timeout))


class ClientActivity:
    """Tracks whether clients return soon, and how long their requests wait unread."""

    __slots__ = ("_pruned_at", "last_seen", "read_delay", "returning_fraction")

    def __init__(self, now: int) -> None:
        self.last_seen: dict[int, int] = {}  # client -> time of its last arrival
        # Fraction of arrivals whose client sent a request recently.
        self.returning_fraction = parameters.RETURNING_CLIENTS_MAJORITY
        self.read_delay = 0.0  # mean time that arrivals waited unread, as a fraction of the objective
        self._pruned_at = now

    def record_arrival(self, now: int, client: int, read_delay: float) -> None:
        """Account for an arrival that waited unread for this fraction of its objective."""
        return_window = parameters.CLIENT_RETURN_TIME_US
        returned = now - self.last_seen.get(client, now - return_window) < return_window
        self.returning_fraction += (returned - self.returning_fraction) / parameters.CLIENT_MEAN_SAMPLES
        self.read_delay += (read_delay - self.read_delay) / parameters.CLIENT_MEAN_SAMPLES
        self.last_seen[client] = now
        if now - self._pruned_at > return_window:  # clients get new numbers: bounds the table
            self._pruned_at = now
            self.last_seen = {
                number: seen_at for number, seen_at in self.last_seen.items() if now - seen_at < return_window
            }


class FailureRate:
    """The fraction of recent runs that failed, decayed at each timer."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def record(self, failed: bool) -> None:
        """Account for the end of a run."""
        self.value += (failed - self.value) / parameters.FAILURE_RATE_SAMPLES

    def decay(self) -> None:
        """Reduce the rate by one timer's decay."""
        self.value *= parameters.FAILURE_RATE_DECAY


class TokenBucket:
    """A token bucket, refilled at a constant rate up to a capacity of at least one token."""

    __slots__ = ("_computed_at", "_depth", "_rate", "_tokens")

    def __init__(self, rate: float, burst_time: int, now: int) -> None:
        self._rate = rate  # tokens per microsecond
        self._depth = max(1.0, rate * burst_time)
        self._tokens = rate * burst_time
        self._computed_at = now

    def consume(self, tokens: int, now: int) -> float:
        """Remove tokens and return the fraction of the bucket that is left; negative if overdrawn."""
        refilled = self._tokens + self._rate * (now - self._computed_at)
        self._tokens = min(self._depth, refilled) - tokens
        self._computed_at = now
        return self._tokens / self._depth


class CallTimes:
    """Estimates of the time that calls to the dependency take.

    No estimate exceeds `max_call_time`: no call lasts longer, since no client waits longer.
    """

    __slots__ = ("_max_call_time", "_samples", "best", "mean", "typical")

    def __init__(self, max_call_time: int) -> None:
        self._max_call_time = max_call_time
        self._samples = 0
        self.mean = 0.0
        self.best = 0.0  # lowest recent mean, rising with time; 0 until there are enough samples
        self.typical = 0.0  # mean of successful calls, raised by each timeout; 0 before the first success

    def advance_time(self, elapsed: int) -> None:
        """Let the best time rise slowly, so that an old one is forgotten."""
        risen = self.best * (1 + elapsed / parameters.BEST_CALL_TIME_CONSTANT_US)
        self.best = min(risen, self._max_call_time)

    def record(self, outcome: Outcome, duration: int) -> None:
        """Account for a call that may have run."""
        self._samples += 1
        if outcome is Outcome.OK:
            samples = min(parameters.TYPICAL_CALL_SAMPLES, self._samples)
            self.typical += (duration - self.typical) / samples
        elif outcome is Outcome.TIMEOUT:
            raised = self.typical * parameters.TYPICAL_CALL_INCREASE
            self.typical = min(raised, self._max_call_time)
            # One unanswered call means a loss, not a slow dependency: only several raise the mean enough.
            if self.best:
                duration = min(duration, int(parameters.TIMED_OUT_CALL_FACTOR * self.best))
        self.mean += (duration - self.mean) / min(parameters.CALL_MEAN_SAMPLES, self._samples)
        if self._samples >= parameters.CALL_MEAN_SAMPLES:
            self.best = min(self.best or self.mean, self.mean)


class CallsInFlight:
    """Calls that occupy the dependency, abandoned ones included, and their excess over the limit."""

    __slots__ = ("_abandoned_call_time", "_abandoned_until", "excess")

    def __init__(self, abandoned_call_time: int) -> None:
        self.excess = 0.0  # calls beyond the limit, integrated over time (call-microseconds)
        self._abandoned_call_time = abandoned_call_time
        self._abandoned_until: list[int] = []  # a heap of times

    def advance_time(self, now: int, elapsed: int, calling: int, limit: float) -> None:
        """Account for the calls in flight during the elapsed time."""
        self.excess = max(0.0, self.excess + (self.count(calling) - limit) * elapsed)
        while self._abandoned_until and self._abandoned_until[0] <= now:
            heapq.heappop(self._abandoned_until)

    def abandon(self, now: int) -> None:
        """Account for an abandoned call, which may still occupy the dependency for some time."""
        heapq.heappush(self._abandoned_until, now + self._abandoned_call_time)

    @property
    def abandoned(self) -> int:
        """The number of abandoned calls that may still occupy the dependency."""
        return len(self._abandoned_until)

    @property
    def last_abandoned_until(self) -> int:
        """The time after which no call abandoned so far occupies the dependency."""
        return max(self._abandoned_until, default=0)

    def count(self, calling: int) -> int:
        """The number of calls in flight: `calling` active ones and the abandoned ones."""
        return calling + len(self._abandoned_until)
