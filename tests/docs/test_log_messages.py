"""The on-call page has every log message of level warning and above, and none that is not in the code."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import cairnvane.log_events

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "cairnvane"
PAGE = ROOT / "docs" / "log-messages.md"
# A collector that finds nothing would agree with an empty page.
LEAST_MESSAGES = 20

# `Logger.exception` writes at level error.
_LEVELS = {
    "info": "info",
    "warning": "warning",
    "error": "error",
    "exception": "error",
    "critical": "critical",
}
# Messages that the page may leave out.
_ROUTINE = "info"
_ROW = re.compile(r"^\| `([\w/]+\.py)` \| (\w+) \| `(.+?)` \| (.*?) \| (.*?) \|$", re.M)


class Message(NamedTuple):
    """A message as a module writes it."""

    path: str
    level: str
    template: str


class Row(NamedTuple):
    """A row of the page."""

    message: Message
    meaning: str
    advice: str


def _template(argument: ast.expr, place: str) -> str:
    """The text of a template, which is a literal or a constant of `log_events`."""
    if isinstance(argument, ast.Constant):
        return str(argument.value)
    assert isinstance(argument, ast.Name), f"{place}: a template that is computed"
    template = getattr(cairnvane.log_events, argument.id)
    assert isinstance(template, str), place
    return template


def _is_logger(node: ast.expr) -> bool:
    return isinstance(node, ast.Name) and node.id in ("logger", "logging")


def _messages_of(source: Path) -> Iterator[Message]:
    path = str(source.relative_to(PACKAGE))
    for node in ast.walk(ast.parse(source.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if not _is_logger(node.func.value):
            continue
        place = f"{path}:{node.lineno}"
        assert node.func.attr != "log", f"{place}: a level that is computed"
        if node.func.attr in _LEVELS:
            yield Message(path, _LEVELS[node.func.attr], _template(node.args[0], place))


def _messages() -> set[Message]:
    """All messages of the server; the testbed's are read by those who run it."""
    sources = [path for path in PACKAGE.rglob("*.py") if "testbed" not in path.parts]
    return {message for source in sources for message in _messages_of(source)}


def _rows() -> list[Row]:
    return [Row(Message(*found[:3]), *found[3:]) for found in _ROW.findall(PAGE.read_text())]


def test_each_message_of_level_warning_and_above_stands_in_the_page() -> None:
    listed = {row.message for row in _rows()}
    needed = {message for message in _messages() if message.level != _ROUTINE}
    assert len(needed) >= LEAST_MESSAGES
    assert sorted(needed - listed) == []


def test_the_page_names_no_message_that_is_gone() -> None:
    listed = {row.message for row in _rows()}
    assert sorted(listed - _messages()) == []


def test_each_row_of_the_page_can_be_read() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    assert len(rows) == len(_rows())


def test_the_rows_are_sorted_by_module_and_routine_ones_come_last() -> None:
    messages = [row.message for row in _rows()]
    places = [(message.level == _ROUTINE, message.path) for message in messages]
    assert places == sorted(places)
    assert len(set(messages)) == len(messages)


def test_each_row_says_what_it_means_and_what_to_do() -> None:
    assert [row.message for row in _rows() if not (row.meaning.strip() and row.advice.strip())] == []
