"""Limits the processor time that connections of suspect clients take from all other connections."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

# Bytes that a suspect client's reader receives in one turn: a few requests, so that turns are short.
SUSPECT_READ_BYTES = 4_096
# The pause after a turn, as a multiple of the turn's duration: suspect clients get a quarter of the time.
PAUSE_FACTOR = 3.0
# A turn that was longer, for example because the machine was paused, is followed by this pause at most.
MAX_PAUSE_S = 0.1
# How long a turn waits at most until the requests that it read are handled.
MAX_HANDLING_S = 1.0


class TurnTicket:
    """One connection's place among those that wait for a turn."""

    __slots__ = ("called", "has_turn", "is_cancelled")

    def __init__(self) -> None:
        self.called = threading.Event()  # the turn has come, or the ticket was cancelled
        self.has_turn = False
        self.is_cancelled = False


class SuspectReads:
    """Lets the readers of suspect clients take turns, one at a time, in the order in which they asked.

    A turn lasts until the server has handled what was read in it, so suspect clients never have more than one
    turn's requests queued, however many they are. Turns and pauses alternate.
    """

    def __init__(self, wait_until_handled: Callable[[float], None]) -> None:
        """`wait_until_handled` waits, for at most this many seconds, until all that was read is handled."""
        self._wait_until_handled = wait_until_handled
        self._lock = threading.Lock()  # guards all tickets, and who has or awaits a turn
        self._waiting: deque[TurnTicket] = deque()
        self._is_taken = False  # a turn, or the pause after it, is in progress

    @contextmanager
    def turn(self, ticket: TurnTicket) -> Iterator[None]:
        """Read in this context, once it is the ticket's turn or the ticket was cancelled."""
        if not self._take(ticket):
            yield
            return
        started_at = time.monotonic()
        try:
            yield
            self._wait_until_handled(MAX_HANDLING_S)
            duration = time.monotonic() - started_at
            time.sleep(min(MAX_PAUSE_S, PAUSE_FACTOR * duration))
        finally:
            self._pass_on()

    def cancel(self, ticket: TurnTicket) -> None:
        """Let the reader with this ticket go on at once: its connection has ended."""
        with self._lock:
            ticket.is_cancelled = True
            if ticket in self._waiting:
                self._waiting.remove(ticket)
                ticket.called.set()

    def _take(self, ticket: TurnTicket) -> bool:
        """Wait for the turn of this ticket; False if it was cancelled."""
        with self._lock:
            if ticket.is_cancelled:
                return False
            if not self._is_taken:
                self._is_taken = True
                return True
            ticket.has_turn = False
            ticket.called.clear()
            self._waiting.append(ticket)
        ticket.called.wait()
        return ticket.has_turn

    def _pass_on(self) -> None:
        with self._lock:
            self._is_taken = bool(self._waiting)
            if self._waiting:
                ticket = self._waiting.popleft()
                ticket.has_turn = True
                ticket.called.set()
