"""How many runs wanted a core over time, and the highest mean of that over a window. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field


@dataclass
class Crowding:
    """The number of runnable runs, recorded at each change. Times are seconds of one monotonic clock."""

    _times: list[float] = field(default_factory=list)
    _runnable: list[int] = field(default_factory=list)  # from the time at the same place on
    _sums: list[float] = field(default_factory=list)  # the integral up to that time

    def record(self, at: float, runnable: int) -> None:
        """From `at` on, which is not before the last change, so many runs want a core."""
        if self._runnable and self._runnable[-1] == runnable:
            return
        self._sums.append(self._integral(at))
        self._times.append(at)
        self._runnable.append(runnable)

    def highest_mean(self, window_s: float, until: float) -> float:
        """The highest mean over any `window_s` seconds that end by `until`; 0 before the first change."""
        ends = {until}
        for at in self._times:
            ends |= {at, at + window_s}
        integrals = (self._integral(end) - self._integral(end - window_s) for end in ends if end <= until)
        return max(integrals, default=0.0) / window_s

    def _integral(self, until: float) -> float:
        """Runs times seconds, from the first change until this time."""
        place = bisect_right(self._times, until) - 1
        if place < 0:
            return 0.0
        return self._sums[place] + self._runnable[place] * (until - self._times[place])
