"""Fixtures that apply to every test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from peers import Held, Listener


@pytest.fixture(autouse=True)
def peers_end_with_their_test() -> Iterator[None]:
    """End the scripts of a test's peers before the next test begins: their errors are this test's."""
    yield
    Listener.end_all()
    overdue = Held.overdue.copy()
    Held.overdue.clear()
    assert not overdue
