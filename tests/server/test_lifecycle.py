"""Components start after those that they depend on, and stop before them."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from cairnvane.server import member_setup
from cairnvane.server.lifecycle import Component, ComponentError, Lifecycle, Shutdown

SHUTDOWN = Shutdown(time_left_s=1.0, grace_s=0.5, handover=False)


def test_components_start_in_order_and_stop_in_reverse() -> None:
    calls: list[str] = []
    lifecycle = Lifecycle()
    for name, depends_on in (("one", ()), ("two", ("one",)), ("three", ("one", "two"))):
        lifecycle.add(
            Component(
                name,
                depends_on,
                start=lambda n=name: calls.append(f"start {n}"),  # type: ignore[misc]
                on_shutdown=lambda shutdown, n=name: calls.append(f"shutdown {n}"),  # type: ignore[misc]
                stop=lambda shutdown, n=name: calls.append(f"stop {n} {shutdown.grace_s}"),  # type: ignore[misc]
            )
        )
    lifecycle.add(None)
    lifecycle.start()
    lifecycle.begin_shutdown(SHUTDOWN)
    lifecycle.stop(SHUTDOWN)
    assert calls == [
        "start one",
        "start two",
        "start three",
        "shutdown three",
        "shutdown two",
        "shutdown one",
        "stop three 0.5",
        "stop two 0.5",
        "stop one 0.5",
    ]


@pytest.mark.parametrize(
    ("components", "message"),
    [
        (
            [Component("administration", ("server", "event loop"))],
            "^administration: depends on server, event loop$",
        ),
        ([Component("pool"), Component("pool")], "^pool: added twice$"),
    ],
)
def test_error_names_the_component_that_cannot_be_added(components: list[Component], message: str) -> None:
    lifecycle = Lifecycle()
    with pytest.raises(ComponentError, match=message):
        for component in components:
            lifecycle.add(component)


def test_members_send_the_version_of_the_package() -> None:
    path = Path(__file__).parents[2] / "pyproject.toml"
    assert tomllib.loads(path.read_text())["project"]["version"] == member_setup.VERSION
