"""A thread that runs tasks one after the other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from queue import SimpleQueue


class BackgroundTasks:
    """Runs tasks in a separate thread, in the order in which they were added."""

    def __init__(self, name: str) -> None:
        """`name` is the name of the thread."""
        self._queue: SimpleQueue[Callable[[], None] | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def add(self, task: Callable[[], None]) -> None:
        """Run a task after all tasks that were added before. May be called from any thread."""
        self._queue.put(task)

    def stop(self) -> None:
        """End the thread once all tasks that were added before have run."""
        self._queue.put(None)

    def _run(self) -> None:
        while (task := self._queue.get()) is not None:
            task()
