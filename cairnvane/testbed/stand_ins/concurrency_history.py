"""Records a count over time, such as runnable runs, and finds its highest mean over a window. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field


@dataclass
class ConcurrencyHistory:
    """A count, recorded at each change. Times are seconds of one monotonic clock."""

    _times: list[float] = field(default_factory=list)
    _counts: list[int] = field(default_factory=list)  # the count from the time with the same index on
    _integrals: list[float] = field(default_factory=list)  # the integral of the count up to that time

    def record(self, at: float, count: int) -> None:
        """Record the count from the time `at` on, which must not precede the last change."""
        if self._counts and self._counts[-1] == count:
            return
        self._integrals.append(self._integral(at))
        self._times.append(at)
        self._counts.append(count)

    def highest_mean(self, window_s: float, until: float) -> float:
        """Highest mean over any window of `window_s` seconds that ends by `until`; 0 without any change."""
        ends = {until}
        for at in self._times:
            ends |= {at, at + window_s}
        integrals = (self._integral(end) - self._integral(end - window_s) for end in ends if end <= until)
        return max(integrals, default=0.0) / window_s

    def _integral(self, until: float) -> float:
        """Integral of the count in seconds, from the first change until this time."""
        index = bisect_right(self._times, until) - 1
        if index < 0:
            return 0.0
        return self._integrals[index] + self._counts[index] * (until - self._times[index])
