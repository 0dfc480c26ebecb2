"""Lines for the operators, on standard error: plain ones, unless a sink for structured ones is handed in."""

from __future__ import annotations

import sys
from collections.abc import Callable

Sink = Callable[[str, str], None]


def _plain(part: str, text: str) -> None:
    sys.stderr.write(f"{part}: {text}\n")
    sys.stderr.flush()


_sink: Sink = _plain


def say(part: str, text: str) -> None:
    """One line in one write, so that lines of several threads never mix."""
    _sink(part, text)


def use(sink: Sink | None) -> None:
    """Send lines there from now on; None: to standard error, plain."""
    global _sink
    _sink = sink or _plain
