"""Estimates of recent load, most of them decayed. They measure; what follows from it is decided elsewhere."""

from __future__ import annotations

import heapq

from ..contract.events import Arrival, Outcome
from ..contract.settings import RequestClass, Settings
from . import parameters


class DecayedCounts:
    """How often each key was counted recently; every count fades by a fraction at each addition."""

    __slots__ = ("_fade", "counts")

    def __init__(self, samples: int) -> None:
        self._fade = 1 - 1 / samples
        self.counts: dict[float, float] = {}

    def add(self, key: float) -> None:
        """Count `key` once more."""
        for other in self.counts:
            self.counts[other] *= self._fade
        self.counts[key] = self.counts.get(key, 0.0) + 1

    def above(self, key: float) -> float:
        """The sum of the counts of greater keys."""
        return sum(count for other, count in self.counts.items() if other > key)


class ServiceRate:
    """Core time spent, successful runs, their durations and their hinted work, all decayed alike."""

    __slots__ = ("_cores", "core_time", "cost", "duration", "finished", "known_classes")

    def __init__(self, cores: int) -> None:
        self._cores = cores
        self.core_time = 0.0
        self.finished = 0.0
        self.duration = 0.0
        self.cost = 0.0
        self.known_classes: set[str] = set()  # with a successful run

    def pass_time(self, elapsed: int, running: int) -> None:
        """Account for the time that `running` requests kept cores busy, and let the past fade by it."""
        busy = min(running, self._cores)
        fade = max(0.0, 1 - busy / self._cores * elapsed / parameters.SERVICE_RATE_TIME_CONSTANT)
        self.finished *= fade
        self.duration *= fade
        self.cost *= fade
        self.core_time = self.core_time * fade + elapsed * busy

    def record_success(self, class_name: str, duration: int, cost: int | None) -> None:
        """Account for a run that ended well."""
        self.known_classes.add(class_name)
        self.finished += 1
        self.duration += duration
        self.cost += cost or 0.0

    def is_known(self, class_name: str) -> bool:
        """Whether there is an estimate for requests of this class."""
        return class_name in self.known_classes and self.core_time > 0

    def rate(self) -> float:
        """Requests that busy cores finish in a microsecond."""
        return self._cores * self.finished / max(1.0, self.core_time)

    def run_time(self, cost: int | None) -> float:
        """How long a request would run, by recent runs and its hint; 0 if nothing is known."""
        if cost and self.cost:
            return cost * max(self.duration, self.core_time) / self.cost
        return max(self.duration, self.core_time) / self.finished if self.finished else 0.0


class Throughput:
    """Successful runs in the present interval."""

    __slots__ = ("_started_at", "finished")

    def __init__(self, now: int) -> None:
        self.finished = 0
        self._started_at = now

    def next_interval(self, now: int) -> float:
        """The rate of the interval that ends now."""
        rate = self.finished / max(1, now - self._started_at)
        self.finished = 0
        self._started_at = now
        return rate


class WarmUp:
    """The least speed that an instance may have while it warms up."""

    __slots__ = ("_settings", "_started_at")

    def __init__(self, settings: Settings, now: int) -> None:
        self._settings = settings
        self._started_at = now

    def speed(self, now: int) -> float:
        """The speed as a fraction of that of a warm instance."""
        settings = self._settings
        age = now - self._started_at
        if not settings.cold_start or age >= settings.warmup_time:
            return 1.0
        return settings.cold_speed + (1 - settings.cold_speed) * age / settings.warmup_time


class FirstAttemptAge:
    """How long before a request its first attempt was made.

    First attempts are all given the same fraction of the client timeout, a last one what remains of it: that
    shows the age.
    """

    __slots__ = ("_first_fraction",)

    def __init__(self) -> None:
        self._first_fraction = 1.0  # of their client timeout, that first attempts are given

    def estimate(self, event: Arrival, request_class: RequestClass) -> int:
        """The age as far as it shows, else 0."""
        if event.time_left is None:
            return 0
        fraction = (event.time_left + event.queue_delay) / request_class.client_timeout
        if not event.is_retry:
            self._first_fraction = fraction
            return 0
        if abs(fraction - self._first_fraction) < parameters.TIMEOUT_TOLERANCE:
            return 0
        return max(0, int((1 - fraction) * request_class.client_timeout))


class ClientActivity:
    """Whether clients return soon, and how long their requests wait unread."""

    __slots__ = ("_pruned_at", "last_seen", "read_delay", "returning_fraction")

    def __init__(self, now: int) -> None:
        self.last_seen: dict[int, int] = {}  # client -> its last arrival
        self.returning_fraction = (
            parameters.MOST_CLIENTS_RETURN
        )  # of arrivals, whose client was here recently
        self.read_delay = 0.0  # the mean fraction of the objective that arrivals waited unread
        self._pruned_at = now

    def record_arrival(self, now: int, client: int, read_delay: float) -> None:
        """Account for an arrival that waited unread for this fraction of its objective."""
        window = parameters.CLIENT_RETURN_TIME
        returned = now - self.last_seen.get(client, now - window) < window
        self.returning_fraction += (returned - self.returning_fraction) / parameters.CLIENT_MEAN_SAMPLES
        self.read_delay += (read_delay - self.read_delay) / parameters.CLIENT_MEAN_SAMPLES
        self.last_seen[client] = now
        if now - self._pruned_at > window:  # numbers of clients are always new: the table must not grow
            self._pruned_at = now
            self.last_seen = {number: seen for number, seen in self.last_seen.items() if now - seen < window}


class FailureRate:
    """The share of recent runs that failed, decayed with each timer."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def record(self, failed: bool) -> None:
        """Account for the end of a run."""
        self.value += (failed - self.value) / parameters.FAILURE_RATE_SAMPLES

    def decay(self) -> None:
        """Let the past fade."""
        self.value *= parameters.FAILURE_RATE_DECAY


class TokenBucket:
    """Tokens that are refilled at a constant rate, up to a depth of at least one."""

    __slots__ = ("_computed_at", "_depth", "_rate", "_tokens")

    def __init__(self, rate: float, burst_time: int, now: int) -> None:
        self._rate = rate  # tokens in a microsecond
        self._depth = max(1.0, rate * burst_time)
        self._tokens = rate * burst_time
        self._computed_at = now

    def take(self, tokens: int, now: int) -> float:
        """The fraction of the bucket that is left after taking these tokens; negative if it is overdrawn."""
        refilled = self._tokens + self._rate * (now - self._computed_at)
        self._tokens = min(self._depth, refilled) - tokens
        self._computed_at = now
        return self._tokens / self._depth


class CallTimes:
    """How long calls to the dependency take."""

    __slots__ = ("_samples", "best", "mean", "typical")

    def __init__(self) -> None:
        self._samples = 0
        self.mean = 0.0
        self.best = 0.0  # the best mean of recent times; 0 until there are enough samples
        self.typical = 0.0  # of successful calls, raised by each loss; 0 until there was one

    def pass_time(self, elapsed: int) -> None:
        """Let the best time fade."""
        self.best *= 1 + elapsed / parameters.BEST_CALL_TIME_CONSTANT

    def record(self, outcome: Outcome, duration: int) -> None:
        """Account for a call that ran."""
        self._samples += 1
        if outcome is Outcome.OK:
            samples = min(parameters.TYPICAL_CALL_SAMPLES, self._samples)
            self.typical += (duration - self.typical) / samples
        elif outcome is Outcome.TIMEOUT:
            self.typical *= parameters.TYPICAL_CALL_INCREASE
            # A call that never ends shows a loss, not slowness: it takes several to count as that.
            if self.best:
                duration = min(duration, int(parameters.TIMED_OUT_CALL_FACTOR * self.best))
        self.mean += (duration - self.mean) / min(parameters.CALL_MEAN_SAMPLES, self._samples)
        if self._samples >= parameters.CALL_MEAN_SAMPLES:
            self.best = min(self.best or self.mean, self.mean)


class CallsInFlight:
    """Calls that occupy the dependency, abandoned ones too, and by how much they exceeded their limit."""

    __slots__ = ("_abandoned_call_time", "_abandoned_until", "excess")

    def __init__(self, abandoned_call_time: int) -> None:
        self.excess = 0.0  # calls beyond the limit x time
        self._abandoned_call_time = abandoned_call_time
        self._abandoned_until: list[int] = []  # a heap

    def pass_time(self, now: int, elapsed: int, calling: int, limit: float) -> None:
        """Account for the calls that were in flight."""
        self.excess = max(0.0, self.excess + (self.count(calling) - limit) * elapsed)
        while self._abandoned_until and self._abandoned_until[0] <= now:
            heapq.heappop(self._abandoned_until)

    def abandon(self, now: int) -> None:
        """Account for a call that may still occupy the dependency, though nobody waits for it."""
        heapq.heappush(self._abandoned_until, now + self._abandoned_call_time)

    def count(self, calling: int) -> int:
        """How many there are, with `calling` not abandoned."""
        return calling + len(self._abandoned_until)
