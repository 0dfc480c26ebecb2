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
    time_to_first_expiry=3 * SECOND_US,
    open_keys=2,
    disk=0,
    max_disk_bytes=1 << 20,
    time_to_first_drop=2 * SECOND_US,
    queued=0,
    max_queued_bytes=1_000,
)


@pytest.mark.parametrize(
    ("changes", "wait"),
    [
        ({}, 0),
        ({"ready": False}, retention.UNAVAILABLE_RETRY_US),
        ({"failing": True}, retention.UNAVAILABLE_RETRY_US),
        ({"writing_for": retention.SLOW_WRITE_US + 1}, retention.UNAVAILABLE_RETRY_US),
        ({"queued": 1_001}, retention.BUSY_RETRY_US),
        ({"open_keys": 5}, 3 * SECOND_US),
        ({"open_keys": 5, "time_to_first_expiry": None}, retention.BUSY_RETRY_US),
        ({"disk": 1 << 20}, 2 * SECOND_US),
        ({"disk": (1 << 20) - 3 * retention.MAX_KEY_BYTES}, 0),
        ({"disk": (1 << 20) - 3 * retention.MAX_KEY_BYTES + 1}, 2 * SECOND_US),
        ({"disk": 1 << 20, "time_to_first_drop": None}, retention.UNAVAILABLE_RETRY_US),
    ],
)
def test_the_wait_for_capacity_follows_from_the_load(changes: dict[str, Any], wait: int) -> None:
    values = {name: getattr(LOAD, name) for name in LOAD.__slots__}
    assert retention.capacity_wait_us(retention.Load(**(values | changes))) == wait


def test_notices_are_sent_again_from_the_first_without_a_record() -> None:
    progress = retention.NoticeProgress(10)
    progress.notice_read(11, pending=False)
    assert progress.settled_notice == 11
    progress.notice_read(12, pending=True)
    progress.notice_read(14, pending=True)
    progress.notice_read(15, pending=False)
    assert progress.settled_notice == 11
    progress.record_written([0, 12])
    assert progress.settled_notice == 13
    progress.record_written([14])
    assert progress.settled_notice == 15
