"""Parts start after what they need and end before it; what is not asked for has no place."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from cairnvane.server import member_setup
from cairnvane.server.lifecycle import Component, Lifecycle, Shutdown

HOW = Shutdown(time_left_s=1.0, grace_s=0.5, handover=False)


def test_parts_start_in_order_and_leave_and_end_the_other_way_round() -> None:
    told: list[str] = []
    assembly = Lifecycle()
    for name, needs in (("one", ()), ("two", ("one",)), ("three", ("one", "two"))):
        assembly.add(
            Component(
                name,
                needs,
                start=lambda n=name: told.append(f"start {n}"),  # type: ignore[misc]
                on_shutdown=lambda how, n=name: told.append(f"leave {n}"),  # type: ignore[misc]
                stop=lambda how, n=name: told.append(f"end {n} {how.grace_s}"),  # type: ignore[misc]
            )
        )
    assembly.add(None)
    assembly.start()
    assembly.begin_shutdown(HOW)
    assembly.stop(HOW)
    assert told == [
        "start one",
        "start two",
        "start three",
        "leave three",
        "leave two",
        "leave one",
        "end three 0.5",
        "end two 0.5",
        "end one 0.5",
    ]


@pytest.mark.parametrize(
    ("parts", "told"),
    [
        (
            [Component("administration", ("server", "event loop"))],
            "^administration: depends on server, event loop$",
        ),
        ([Component("pool"), Component("pool")], "^pool: added twice$"),
    ],
)
def test_a_part_without_what_it_needs_is_named(parts: list[Component], told: str) -> None:
    assembly = Lifecycle()
    with pytest.raises(ValueError, match=told):
        for part in parts:
            assembly.add(part)


def test_members_tell_each_other_the_version_that_the_package_has() -> None:
    path = Path(__file__).parents[2] / "pyproject.toml"
    assert tomllib.loads(path.read_text())["project"]["version"] == member_setup.VERSION
