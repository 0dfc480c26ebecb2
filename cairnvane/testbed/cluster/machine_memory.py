"""Samples how much of each machine's memory is booked, as the operators count it."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from .load import LoadGenerator
from .nodes import RUNNING_MEMORY_FACTOR, Node
from .scenario import Scenario

SAMPLE_INTERVAL_S = 0.02
# A request counts from this time after it was written, or from its run on if that begins sooner.
UNREAD_GRACE_S = 0.1


class MemoryMonitor:
    """A thread that samples while the load lasts. A request is booked until it is answered or given up."""

    def __init__(self, scenario: Scenario, nodes: Sequence[Node], load: LoadGenerator) -> None:
        self.most_kb = [0.0] * len(nodes)  # by server
        self._request_kb = scenario.server.request_kb
        self._nodes = nodes
        self._load = load
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, name="memory monitor", daemon=True)

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def stop(self) -> None:
        """Take no more samples."""
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._over.wait(SAMPLE_INTERVAL_S):
            open_attempts = self._load.open_attempts(self._load.now() - UNREAD_GRACE_S)
            for number, node in enumerate(self._nodes):
                running = node.running
                queued = max(0, open_attempts[number] - running)
                booked_kb = self._request_kb * (queued + RUNNING_MEMORY_FACTOR * running)
                self.most_kb[number] = max(self.most_kb[number], booked_kb)
