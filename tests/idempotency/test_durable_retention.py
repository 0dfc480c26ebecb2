"""Capacity of the durable store, and which notices its records settle."""

from __future__ import annotations

from typing import Any

import pytest
from durable_log_driver import SECOND_US

from cairnvane.idempotency.durable import retention

LOAD = retention.Load(
    ready=True,
    failing=False,
    writing_for=0,
    entries=5,
    max_entries=10,
    first_end=3 * SECOND_US,
    open_keys=2,
    disk=0,
    max_disk_bytes=1 << 20,
    first_drop=2 * SECOND_US,
    queued=0,
    max_queued_bytes=1_000,
)


@pytest.mark.parametrize(
    ("changes", "wait"),
    [
        ({}, 0),
        ({"ready": False}, retention.AWAY_US),
        ({"failing": True}, retention.AWAY_US),
        ({"writing_for": retention.SLOW_US + 1}, retention.AWAY_US),
        ({"queued": 1_001}, retention.BUSY_AWAY_US),
        ({"open_keys": 5}, 3 * SECOND_US),
        ({"open_keys": 5, "first_end": None}, retention.BUSY_AWAY_US),
        ({"disk": 1 << 20}, 2 * SECOND_US),
        ({"disk": (1 << 20) - 3 * retention.KEY_BYTES}, 0),
        ({"disk": (1 << 20) - 3 * retention.KEY_BYTES + 1}, 2 * SECOND_US),
        ({"disk": 1 << 20, "first_drop": None}, retention.AWAY_US),
    ],
)
def test_the_wait_for_capacity_follows_from_the_load(changes: dict[str, Any], wait: int) -> None:
    values = {name: getattr(LOAD, name) for name in LOAD.__slots__}
    assert retention.wait_us(retention.Load(**(values | changes))) == wait


def test_notices_are_sent_again_from_the_first_without_a_record() -> None:
    progress = retention.NoticeProgress(10)
    progress.read(11, pending=False)
    assert progress.pos == 11
    progress.read(12, pending=True)
    progress.read(14, pending=True)
    progress.read(15, pending=False)
    assert progress.pos == 11
    progress.written([0, 12])
    assert progress.pos == 13
    progress.written([14])
    assert progress.pos == 15
