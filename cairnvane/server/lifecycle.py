"""The components of a server: each starts after those that it depends on, and stops before them.

This module defines only the order; the components are defined in their own modules. An optional component
that is disabled is not added, and its modules are not imported.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


class ComponentError(ValueError):
    """A component can't be added; the message has its name and the cause."""


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The parameters of this process's shutdown, passed to all components."""

    time_left_s: float  # time until all requests must have been answered
    grace_s: float  # the first part of that time, in which new requests may still arrive
    handover: bool  # a later incarnation accepts the new connections


def _do_nothing() -> None:
    return None


def _ignore_shutdown(shutdown: Shutdown) -> None:
    return None


@dataclass(frozen=True, slots=True)
class Component:
    """One component of a server. Only `stop` may block, for at most the time that is left."""

    name: str
    depends_on: tuple[str, ...] = ()  # components that start before it and stop after it
    start: Callable[[], None] = _do_nothing
    on_shutdown: Callable[[Shutdown], None] = _ignore_shutdown  # called when the graceful shutdown begins
    stop: Callable[[Shutdown], None] = _ignore_shutdown  # called when the grace period has ended


class Lifecycle:
    """Starts components in the order in which they were added, and stops them in reverse."""

    def __init__(self) -> None:
        self._components: list[Component] = []

    def add(self, component: Component | None) -> None:
        """Add a component; None stands for a disabled one and is ignored.

        Raises `ComponentError` if it was already added, or if a component that it depends on was not.
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
        """Start all components in the order in which they were added."""
        for component in self._components:
            component.start()

    def begin_shutdown(self, shutdown: Shutdown) -> None:
        """Announce the shutdown to all components, in reverse order."""
        for component in reversed(self._components):
            component.on_shutdown(shutdown)

    def stop(self, shutdown: Shutdown) -> None:
        """Stop all components, in reverse order."""
        for component in reversed(self._components):
            component.stop(shutdown)
