"""The glossary explains each word that the readers of the wire formats put into the code's terms."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "cairnvane"
GLOSSARY = ROOT / "docs" / "glossary.md"

_SETTINGS_KEY = re.compile(r"(?:Extra\.|Guarantees\.|Limits\.)?([A-Z][a-z]+(?:[A-Z][a-z]*)*)")
_REQUEST_PARAMETER = re.compile(r"HTTP_(REQ_[A-Z]+)")
_RESPONSE_HEADER = re.compile(r"(Srv-[A-Za-z-]+): .*", re.S)
_CALL_HEADER = re.compile(r"(x-[a-z-]+)", re.I)


def _texts(path: str) -> set[str]:
    """The string and bytes constants of a module; docstrings are too long to match any pattern."""
    constants = (
        node.value
        for node in ast.walk(ast.parse((PACKAGE / path).read_text()))
        if isinstance(node, ast.Constant)
    )
    return {
        value.decode("latin-1") if isinstance(value, bytes) else value
        for value in constants
        if isinstance(value, bytes | str)
    }


def _words(path: str, pattern: re.Pattern[str]) -> set[str]:
    matches = (pattern.fullmatch(text) for text in _texts(path))
    return {found[1].lower().replace("_", "-") for found in matches if found is not None}


@pytest.mark.parametrize(
    ("path", "pattern", "least"),
    [
        pytest.param("simulator/settings_reader.py", _SETTINGS_KEY, 30, id="settings"),
        pytest.param("net/request_parameters.py", _REQUEST_PARAMETER, 5, id="request parameters"),
        pytest.param("net/request_parameters.py", _RESPONSE_HEADER, 3, id="response headers"),
        pytest.param("net/vault.py", _CALL_HEADER, 3, id="headers of calls"),
    ],
)
def test_each_word_of_the_format_is_explained(path: str, pattern: re.Pattern[str], least: int) -> None:
    words = _words(path, pattern)
    explained = set(re.findall(r"[\w-]+", GLOSSARY.read_text().lower()))
    assert len(words) >= least
    assert sorted(words - explained) == []


def test_each_row_names_a_word_and_a_term() -> None:
    rows = [line.split(" | ") for line in GLOSSARY.read_text().splitlines() if line.startswith("| ")]
    assert len(rows) >= 60
    assert [row for row in rows if len(row) not in (2, 4) or not all(cell.strip("| ") for cell in row)] == []
