"""The components of a server: each starts after those that it depends on, and stops before them.

What a component does stands elsewhere; here is only the order. An optional component that is turned off is
not added, and nothing of it is imported.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


class ComponentError(ValueError):
    """A component can't be added; the message names it and the cause."""


@dataclass(frozen=True, slots=True)
class Shutdown:
    """How this process shuts down; passed to all components."""

    time_left_s: float  # until all requests must have been answered
    grace_s: float  # of that, how long new requests may still arrive
    handover: bool  # a later incarnation takes the new connections


def _do_nothing() -> None:
    return None


def _ignore_shutdown(shutdown: Shutdown) -> None:
    return None


@dataclass(frozen=True, slots=True)
class Component:
    """One component of a server. No call blocks but `stop`, and that no longer than the time that is left."""

    name: str
    depends_on: tuple[str, ...] = ()  # components that start before it and stop after it
    start: Callable[[], None] = _do_nothing
    on_shutdown: Callable[[Shutdown], None] = _ignore_shutdown  # the graceful shutdown begins
    stop: Callable[[Shutdown], None] = _ignore_shutdown  # the grace is over


class Lifecycle:
    """Components in the order in which they start."""

    def __init__(self) -> None:
        self._components: list[Component] = []

    def add(self, component: Component | None) -> None:
        """Add a component; None, one that is turned off, changes nothing.

        Raises `ComponentError` if it was added before, or something that it depends on was not.
        """
        if component is None:
            return
        names = {added.name for added in self._components}
        missing = [name for name in component.depends_on if name not in names]
        if missing:
            raise ComponentError(f"{component.name}: depends on {', '.join(missing)}")
        if component.name in names:
            raise ComponentError(f"{component.name}: added twice")
        self._components.append(component)

    def start(self) -> None:
        """Start all components, the first one first."""
        for component in self._components:
            component.start()

    def begin_shutdown(self, shutdown: Shutdown) -> None:
        """Announce the shutdown to all components, the last one first."""
        for component in reversed(self._components):
            component.on_shutdown(shutdown)

    def stop(self, shutdown: Shutdown) -> None:
        """Stop all components, the last one first."""
        for component in reversed(self._components):
            component.stop(shutdown)
