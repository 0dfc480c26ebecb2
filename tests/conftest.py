"""Fixtures that apply to every test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from known_failures import read_known_failures
from peers import Held, Listener


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests in the list of known failures as expected to fail, and no others."""
    causes = read_known_failures()
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of known failures at the end of each run, so that it is not overlooked."""
    for test_id, cause in read_known_failures().items():
        terminalreporter.write_line(f"KNOWN RED {test_id}: {cause}")


@pytest.fixture(autouse=True)
def peers_end_with_their_test() -> Iterator[None]:
    """End the scripts of a test's peers before the next test, so that their errors fail this test."""
    yield
    Listener.end_all()
    overdue = Held.overdue.copy()
    Held.overdue.clear()
    assert not overdue
