"""Which entries the list of known failures may contain."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_failures import KnownFailuresError, read_known_failures

HERE = "tests/test_known_failures.py::test_a_missing_list_is_empty"


def test_a_missing_list_is_empty(tmp_path: Path) -> None:
    assert read_known_failures(tmp_path / "none") == {}


def test_causes_are_read_by_test_id(tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text(f"{HERE}: a cause (1)\n\n{HERE}[a]: another (2)\n")
    assert read_known_failures(path) == {HERE: "a cause (1)", f"{HERE}[a]": "another (2)"}


def test_a_case_of_a_review_is_an_entry(tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text("review/1/run.sh: seed 1, a cause [issue 1]\n")
    assert read_known_failures(path) == {"review/1/run.sh": "seed 1, a cause [issue 1]"}


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (HERE, "no cause"),
        ("tests/none.py::test_a: x", "no such test"),
        ("review/99/run.sh: x", "no such test or case"),
        ("review/1/scenario.py: x", "no such test or case"),
        ("tests/test_known_failures.py::test_none: x", "no such test"),
        ("".join(f"{HERE}[{number}]: x\n" for number in range(4)), "4 entries, 3 are allowed"),
    ],
)
def test_an_invalid_list_is_rejected(tmp_path: Path, text: str, problem: str) -> None:
    path = tmp_path / "list"
    path.write_text(text)
    with pytest.raises(KnownFailuresError, match=problem):
        read_known_failures(path)
