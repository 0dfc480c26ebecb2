"""Limits the processor time that connections of suspect clients take from all other connections."""

from __future__ import annotations

import threading
import time
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


class SuspectReads:
    """Lets the readers of suspect clients take turns, one at a time.

    A turn lasts until the server has handled what was read in it, so suspect clients never have more than one
    turn's requests queued, however many they are. Turns and pauses alternate.
    """

    def __init__(self, wait_until_handled: Callable[[float], None]) -> None:
        """`wait_until_handled` waits, for at most this many seconds, until all that was read is handled."""
        self._wait_until_handled = wait_until_handled
        self._turn = threading.Lock()  # held during a turn and the pause after it

    @contextmanager
    def turn(self) -> Iterator[None]:
        """Read in this context. Waits for the turns of other readers before, and for the pause after it."""
        with self._turn:
            started_at = time.monotonic()
            yield
            self._wait_until_handled(MAX_HANDLING_S)
            duration = time.monotonic() - started_at
            time.sleep(min(MAX_PAUSE_S, PAUSE_FACTOR * duration))
