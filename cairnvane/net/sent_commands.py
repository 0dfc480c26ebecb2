"""Which of the commands that were sent to the worker pool it has certainly read.

The pool reads the commands of a link in their order. So its reply to a question shows that it has read every
command that was sent before the question on the same link. Without such a reply a command may or may not
have been read when its link ends.
"""

from __future__ import annotations

import threading
from typing import NamedTuple

# Acknowledged links that are remembered; of an older link, no command counts as read.
MAX_REMEMBERED_LINKS = 256
# Questions without a reply that are remembered; a reply to an older one shows nothing.
MAX_REMEMBERED_QUESTIONS = 256


class SentCommand(NamedTuple):
    """Where a command was sent."""

    link: int  # the number of the link; 0 if there was none, so that the pool has certainly not read it
    number: int  # commands are numbered in the order of sending


NOT_SENT = SentCommand(0, 0)
# The command of a run that an earlier incarnation started; its link is less than any of this process.
SENT_BY_EARLIER_INCARNATION = SentCommand(-1, 0)


class ReadCommands:
    """Tracks up to which command the pool has read each link. Thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()  # its lock guards both dictionaries
        self._questions: dict[str, SentCommand] = {}  # without a reply, by the echo that the reply carries
        self._last_read: dict[int, int] = {}  # the number of the last command known to be read, by link

    def question_sent(self, echo: str, question: SentCommand) -> None:
        """Record a question, before its reply can arrive."""
        with self._changed:
            self._questions[echo] = question
            if len(self._questions) > MAX_REMEMBERED_QUESTIONS:
                del self._questions[next(iter(self._questions))]

    def reply_received(self, echo: str) -> None:
        """Record that all commands before the question with this echo have been read."""
        with self._changed:
            question = self._questions.pop(echo, None)
            if question is None:
                return
            self._last_read[question.link] = max(self._last_read.get(question.link, 0), question.number)
            if len(self._last_read) > MAX_REMEMBERED_LINKS:
                del self._last_read[min(self._last_read)]
            self._changed.notify_all()

    def forget_questions(self, before_link: int) -> None:
        """Forget the questions of the links before this one: they get no reply any more."""
        with self._changed:
            self._questions = {
                echo: question for echo, question in self._questions.items() if question.link >= before_link
            }
            self._changed.notify_all()

    def wait_for_reply(self, echo: str, timeout_s: float) -> None:
        """Wait until the question with this echo has its reply or is forgotten. The timeout forgets it."""
        with self._changed:
            self._changed.wait_for(lambda: echo not in self._questions, timeout_s)
            self._questions.pop(echo, None)

    def includes(self, command: SentCommand) -> bool:
        """Whether the pool has certainly read this command."""
        return 0 < command.number <= self._last_read.get(command.link, 0)
