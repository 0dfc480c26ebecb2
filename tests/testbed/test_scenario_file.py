"""Scenarios of a cluster: reading, validation, and the schedule that is drawn from them."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.config import ConfigurationError
from cairnvane.testbed.cluster import scenario_file
from cairnvane.testbed.cluster.schedule import draw
from cairnvane.testbed.experiments import overload

SCENARIO_HEAD = "name: a\nservers: 3\nseconds: 10\n"

FAULT, MEMBERS = SCENARIO_HEAD + "faults:\n  - ", SCENARIO_HEAD + "members: true\n"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("name: a\nservers: 99\n", "line 2: servers: 99 is not between 1 and 24"),
        ("name: a\nservers: two\n", "line 2: servers: Expected `int`, got `str`"),
        ("name: a\nsecond: 9\n", "unknown field `second`"),
        (SCENARIO_HEAD + "load:\n  rate: 0\n", "line 5: load.rate: 0 is not between 0.1 and 400"),
        (FAULT + "{do: kill, who: n3, at: 1}\n", "line 5: faults[0].who: 'n3' is none of n0, n1, n2"),
        (FAULT + "{do: kill, who: n1, at: 1}\n  - do: kil\n    at: 1\n", "line 6: faults[1].do: 'kil' is"),
        (FAULT + "{do: stop, who: n1, at: 1}\n", "'stop' needs a duration in seconds"),
        (FAULT + "{do: kill, who: n1, at: 1, for: 2}\n", "'kill' is instantaneous"),
        (FAULT + "{do: cut, at: 8, for: 4, link: [n0, vault]}\n", "for: 4 is not between 0 and 2"),
        (FAULT + "{do: cut, at: 1, for: 1, link: [pool, vault]}\n", "at least one end must be a server"),
        (FAULT + "{do: reorder, at: 1, for: 1, link: [n0, pool]}\n", "is only possible between servers"),
        (
            FAULT + "{do: cut, at: 1, for: 1, link: [n0, n1]}\n",
            "links between servers exist only with `members: true`",
        ),
        (SCENARIO_HEAD + "expect: {called_dead: 0}\n", "line 4: expect.called_dead: needs `members: true`"),
        (MEMBERS + "expect: {held_up: [n7]}\n", "line 5: expect.held_up[0]: 'n7' is none of n0, n1, n2"),
        (MEMBERS + "expect: {sights: {n0: alone}}\n", "expect.sights.n0: 'alone' is none of together,"),
        (
            MEMBERS + "faults:\n  - {do: cut, at: 1, for: 1, way: there, link: [n0, servers]}\n",
            "is ambiguous",
        ),
        (
            MEMBERS + "faults:\n  - {do: cut, at: 1, for: 1, link: [n0, [n1, n9]]}\n",
            "faults[0].link[1][1]: 'n9'",
        ),
        (FAULT + "{do: slow, who: vault, at: [1]}\n", "line 5: faults[0].at: Expected `float`"),
        ("name: [\n", "line 2, column 1"),
    ],
)
def test_an_invalid_scenario_is_reported_with_line_and_value(text: str, message: str) -> None:
    with pytest.raises(ConfigurationError) as error:
        scenario_file.parse(text, "file.yaml")
    assert message in str(error.value) and str(error.value).startswith("file.yaml")


def test_a_seed_determines_the_schedule_and_adding_a_fault_changes_no_other_fault() -> None:
    faults = "faults:\n  - {do: kill, who: any, at: 1, jitter: 5}\n"
    with_further_fault = faults + "  - {do: cut, at: 2, for: 1, jitter: 3, link: [n0, vault]}\n"
    one, two = (
        scenario_file.parse(SCENARIO_HEAD + faults, "a"),
        scenario_file.parse(SCENARIO_HEAD + with_further_fault, "a"),
    )
    assert draw(one, 5) == draw(one, 5)
    assert {draw(one, seed)[0].who for seed in range(20)} == {"n0", "n1", "n2"}
    assert draw(one, 5)[0] in draw(two, 5)


def test_a_fault_between_groups_applies_to_each_link_between_them_once() -> None:
    parsed = scenario_file.parse(
        MEMBERS + "faults:\n"
        "  - {do: cut, at: 1, for: 1, link: [n0, [n1, n2]], way: there}\n"
        "  - {do: drop, at: 1, for: 1, link: [servers, servers]}\n"
        "  - {do: cut, at: 1, for: 1, link: [vault, servers]}\n",
        "a",
    )
    links = [parsed.links(fault) for fault in parsed.faults]
    assert links[0] == (("n0", "n1"), ("n0", "n2"))
    assert links[1] == (("n0", "n1"), ("n0", "n2"), ("n1", "n2"))
    assert links[2] == (("vault", "n0"), ("vault", "n1"), ("vault", "n2"))


@pytest.mark.parametrize(
    "path", sorted(scenario_file.shipped().parent.glob("*.yaml")), ids=lambda path: path.stem
)
def test_each_shipped_scenario_is_valid(path: Path) -> None:
    assert draw(scenario_file.load(path), 1)


def test_an_invalid_file_ends_the_command_with_its_line_and_status_2(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    path.write_text("name: a\nservers: 0\n")
    result = CliRunner().invoke(main, ["lab", "fleet", str(path)])
    assert result.exit_code == 2 and f"{path}, line 2: servers: 0 is not between" in result.output
    result = CliRunner().invoke(main, ["lab", "fleet", str(tmp_path / "none.yaml")])
    assert result.exit_code == 2 and "No such file" in result.output


@pytest.mark.parametrize("kind", overload.TROUBLES)
def test_each_overload_fault_ends_before_the_load_does(kind: str) -> None:
    parsed = overload.scenario(kind, 3)
    assert parsed.last_end() <= overload.BEFORE_S + overload.DURING_S and draw(parsed, 1)
