"""Fixtures of the tests of the claim log."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from claim_helpers import Deployment


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.stop()
