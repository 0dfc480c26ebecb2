"""Pending questions to the worker pool: each gets one reply or a timeout."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from .worker_pool_messages import Notice

# Called with the pool's reply, or None after the timeout.
ReplyHandler = Callable[[Notice | None], None]


@dataclass(slots=True)
class _Question:
    on_reply: ReplyHandler
    timer: threading.Timer


class PendingQuestions:
    """The questions without a reply, by the echo that the reply will carry. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()  # guards the questions and the counter
        self._questions: dict[str, _Question] = {}
        self._count = 0

    def add(self, action: str, timeout_s: float, on_reply: ReplyHandler) -> str:
        """Add a question and start its timeout; returns the echo that the reply will carry."""
        with self._lock:
            self._count += 1
            echo = f"{action}-{self._count}"
            timer = threading.Timer(timeout_s, self.resolve, (echo, None))
            timer.daemon = True
            self._questions[echo] = _Question(on_reply, timer)
        timer.start()
        return echo

    def resolve(self, echo: str, reply: Notice | None) -> None:
        """Pass the reply to the question's handler, unless it had one already."""
        with self._lock:
            question = self._questions.pop(echo, None)
        if question is not None:
            question.timer.cancel()
            question.on_reply(reply)

    def resolve_all(self, action: str, reply: Notice) -> None:
        """Pass one reply to all questions with this action."""
        for echo in [echo for echo in list(self._questions) if echo.startswith(action)]:
            self.resolve(echo, reply)
