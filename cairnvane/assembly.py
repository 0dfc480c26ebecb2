"""A server put together from parts: each is made only if it was asked for, starts after what it needs, and
ends before it.

What a part does stands elsewhere; here is only the order. A part that nobody asked for has no line in the
assembly, and nothing of it is imported.
"""

from __future__ import annotations

from collections.abc import Callable


class Leave:
    """How this process goes: told to all parts, after the notice to leave."""

    __slots__ = ("grace_s", "handover", "time_left_s")

    def __init__(self, time_left_s: float, grace_s: float, handover: bool) -> None:
        self.time_left_s = time_left_s  # until all must have been answered
        self.grace_s = grace_s  # of that, for which new work may still come
        self.handover = handover  # a later version of the program takes the new connections


def _nothing() -> None:
    return None


def _unmoved(how: Leave) -> None:
    return None


class Part:
    """One part of a server. No call waits but `end`, and that no longer than the time that is left."""

    __slots__ = ("end", "leave", "name", "needs", "start")

    def __init__(
        self,
        name: str,
        needs: tuple[str, ...] = (),
        *,
        start: Callable[[], None] = _nothing,
        leave: Callable[[Leave], None] = _unmoved,
        end: Callable[[Leave], None] = _unmoved,
    ) -> None:
        self.name = name
        self.needs = needs  # parts that are there before it, and outlast it
        self.start = start
        self.leave = leave  # the notice to leave has come
        self.end = end  # its grace is over


class Assembly:
    """Parts in the order in which they start."""

    def __init__(self) -> None:
        self._parts: list[Part] = []

    def add(self, part: Part | None) -> None:
        """One more part, if it was asked for; `ValueError` if what it needs is not there."""
        if part is None:
            return
        known = {one.name for one in self._parts}
        missing = [name for name in part.needs if name not in known]
        if missing or part.name in known:
            raise ValueError(f"{part.name}: needs {', '.join(missing)}" if missing else f"{part.name}: twice")
        self._parts.append(part)

    def start(self) -> None:
        """All of them."""
        for part in self._parts:
            part.start()

    def leave(self, how: Leave) -> None:
        """Tell the last one first."""
        for part in reversed(self._parts):
            part.leave(how)

    def end(self, how: Leave) -> None:
        """End the last one first."""
        for part in reversed(self._parts):
            part.end(how)
