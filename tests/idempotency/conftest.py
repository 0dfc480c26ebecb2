"""Fixtures for the tests of stored results."""

from __future__ import annotations

import pytest
from durable_servers import Killed
from peers import expect_thread_errors

from cairnvane.idempotency import durability
from cairnvane.testbed.stand_ins.disk import PowerCut


@pytest.fixture
def killed_writers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allow kills of the writer thread, and answer duplicates only from the store."""
    expect_thread_errors(monkeypatch, Killed, PowerCut)
    monkeypatch.setattr(durability, "RECENT_RESULTS", 0)
