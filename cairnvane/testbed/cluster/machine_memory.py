"""Samples the booked memory of each machine, by the operators' way of counting."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence

from .load import LoadGenerator
from .nodes import RUNNING_MEMORY_FACTOR, Node
from .scenario import Scenario

SAMPLE_INTERVAL_S = 0.02
# A request is counted once this time has passed since it was written, or earlier if its run begins earlier.
UNREAD_GRACE_S = 0.1
# Time after which the backlog from a period in which a process could not read has been worked off.
CATCH_UP_S = 0.5


class MemoryMonitor:
    """Samples in a thread during the load. A request is booked until it is answered or times out."""

    def __init__(self, scenario: Scenario, nodes: Sequence[Node], load: LoadGenerator) -> None:
        self.most_kb = [0.0] * len(nodes)  # by server
        self._request_kb = scenario.server.request_kb
        self._nodes = nodes
        self._load = load
        self._stopped = threading.Event()
        # By server: the number of active faults that exempt it, and the time until which it is exempt after
        # them.
        self._exempting_faults = [0] * len(nodes)
        self._exempt_until = [0.0] * len(nodes)
        self._thread = threading.Thread(target=self._run, name="memory monitor", daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def exempt(self, number: int, begins: bool) -> None:
        """Begin or end a period without samples: the server can't read, or its link delays its input."""
        self._exempting_faults[number] += 1 if begins else -1
        self._exempt_until[number] = time.monotonic() + CATCH_UP_S

    def _is_exempt(self, number: int) -> bool:
        return self._exempting_faults[number] > 0 or time.monotonic() < self._exempt_until[number]

    def stop(self) -> None:
        """Stop sampling."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            open_attempts = self._load.open_attempts(self._load.now() - UNREAD_GRACE_S)
            for number, node in enumerate(self._nodes):
                if self._is_exempt(number):
                    continue
                running = node.running
                queued = max(0, open_attempts[number] - running)
                booked_kb = self._request_kb * (queued + RUNNING_MEMORY_FACTOR * running)
                self.most_kb[number] = max(self.most_kb[number], booked_kb)
