"""Questions to the worker pool that are owed one reply each, within a time."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from .worker_pool_messages import Notice

# Gets the pool's reply, or None when the wait for it has run out.
ReplyHandler = Callable[[Notice | None], None]


@dataclass(slots=True)
class _Question:
    on_reply: ReplyHandler
    timer: threading.Timer


class PendingQuestions:
    """The questions without a reply, by the echo that the reply carries. Safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards the table and the counter
        self._questions: dict[str, _Question] = {}
        self._count = 0

    def add(self, action: str, timeout_s: float, on_reply: ReplyHandler) -> str:
        """Wait for a reply from now on; the echo that it will carry."""
        with self._lock:
            self._count += 1
            echo = f"{action}-{self._count}"
            timer = threading.Timer(timeout_s, self.resolve, (echo, None))
            timer.daemon = True
            self._questions[echo] = _Question(on_reply, timer)
        timer.start()
        return echo

    def resolve(self, echo: str, reply: Notice | None) -> None:
        """Pass on the reply, unless the question has had one."""
        with self._lock:
            question = self._questions.pop(echo, None)
        if question is not None:
            question.timer.cancel()
            question.on_reply(reply)

    def resolve_all(self, action: str, reply: Notice) -> None:
        """Pass on one reply to all questions of an action."""
        for echo in [echo for echo in list(self._questions) if echo.startswith(action)]:
            self.resolve(echo, reply)
