"""A server put together from parts: each is made only if it was asked for, starts after what it needs, and
ends before it.

What a part does stands elsewhere; here is only the order. A part that nobody asked for has no line in the
assembly, and nothing of it is imported.
"""

from __future__ import annotations

from collections.abc import Callable


class Shutdown:
    """How this process goes: told to all parts, after the notice to leave."""

    __slots__ = ("grace_s", "handover", "time_left_s")

    def __init__(self, time_left_s: float, grace_s: float, handover: bool) -> None:
        self.time_left_s = time_left_s  # until all must have been answered
        self.grace_s = grace_s  # of that, for which new work may still come
        self.handover = handover  # a later version of the program takes the new connections


def _nothing() -> None:
    return None


def _unmoved(how: Shutdown) -> None:
    return None


class Component:
    """One part of a server. No call waits but `end`, and that no longer than the time that is left."""

    __slots__ = ("depends_on", "name", "on_shutdown", "start", "stop")

    def __init__(
        self,
        name: str,
        depends_on: tuple[str, ...] = (),
        *,
        start: Callable[[], None] = _nothing,
        on_shutdown: Callable[[Shutdown], None] = _unmoved,
        stop: Callable[[Shutdown], None] = _unmoved,
    ) -> None:
        self.name = name
        self.depends_on = depends_on  # parts that are there before it, and outlast it
        self.start = start
        self.on_shutdown = on_shutdown  # the notice to leave has come
        self.stop = stop  # its grace is over


class Lifecycle:
    """Parts in the order in which they start."""

    def __init__(self) -> None:
        self._parts: list[Component] = []

    def add(self, part: Component | None) -> None:
        """One more part, if it was asked for; `ValueError` if what it needs is not there."""
        if part is None:
            return
        known = {one.name for one in self._parts}
        missing = [name for name in part.depends_on if name not in known]
        if missing or part.name in known:
            raise ValueError(f"{part.name}: needs {', '.join(missing)}" if missing else f"{part.name}: twice")
        self._parts.append(part)

    def start(self) -> None:
        """All of them."""
        for part in self._parts:
            part.start()

    def begin_shutdown(self, how: Shutdown) -> None:
        """Tell the last one first."""
        for part in reversed(self._parts):
            part.on_shutdown(how)

    def stop(self, how: Shutdown) -> None:
        """End the last one first."""
        for part in reversed(self._parts):
            part.stop(how)
