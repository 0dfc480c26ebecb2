"""Samples how much of each machine's memory is booked, as the operators count it."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence

from .load import LoadGenerator
from .nodes import RUNNING_MEMORY_FACTOR, Node
from .scenario import Scenario

SAMPLE_INTERVAL_S = 0.02
# A request counts from this time after it was written, or from its run on if that begins sooner.
UNREAD_GRACE_S = 0.1
# What piled up while a process could not read has left its machine so long after that.
CATCH_UP_S = 0.5


class MemoryMonitor:
    """A thread that samples while the load lasts. A request is booked until it is answered or given up."""

    def __init__(self, scenario: Scenario, nodes: Sequence[Node], load: LoadGenerator) -> None:
        self.most_kb = [0.0] * len(nodes)  # by server
        self._request_kb = scenario.server.request_kb
        self._nodes = nodes
        self._load = load
        self._over = threading.Event()
        # By server: the faults that last now, and until when its last one counts.
        self._exempting_faults = [0] * len(nodes)
        self._exempt_until = [0.0] * len(nodes)
        self._thread = threading.Thread(target=self._run, name="memory monitor", daemon=True)

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def exempt(self, number: int, begins: bool) -> None:
        """Take no samples of a server, while it can't read or its link delays what is written to it."""
        self._exempting_faults[number] += 1 if begins else -1
        self._exempt_until[number] = time.monotonic() + CATCH_UP_S

    def _is_exempt(self, number: int) -> bool:
        return self._exempting_faults[number] > 0 or time.monotonic() < self._exempt_until[number]

    def stop(self) -> None:
        """Take no more samples."""
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._over.wait(SAMPLE_INTERVAL_S):
            open_attempts = self._load.open_attempts(self._load.now() - UNREAD_GRACE_S)
            for number, node in enumerate(self._nodes):
                if self._is_exempt(number):
                    continue
                running = node.running
                queued = max(0, open_attempts[number] - running)
                booked_kb = self._request_kb * (queued + RUNNING_MEMORY_FACTOR * running)
                self.most_kb[number] = max(self.most_kb[number], booked_kb)
