"""Segments that are damaged, expired or compacted, files that are no segments, and other formats."""

from __future__ import annotations

import random
from typing import Any

import pytest
from durable_log_driver import (
    BOOTS,
    FINGERPRINT,
    MAX_READ_DELAY_US,
    SECOND_US,
    WINDOW_US,
    Driver,
    check_recovery,
    key,
    run_requests,
    segment,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.claims.states import KeyState
from cairnvane.idempotency.durable import index as key_index
from cairnvane.idempotency.durable import records
from cairnvane.idempotency.durable.errors import FolderError
from cairnvane.idempotency.durable.segment_log import check_folder
from cairnvane.idempotency.durable.storage import segment_name
from cairnvane.testbed.stand_ins.disk import Disk

__all__ = ["segment"]  # also used by the tests of the command line

DAMAGE = st.sampled_from(["cut", "flip", "noise", "zeros", "swap", "insert"])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.randoms(use_true_random=False), DAMAGE)
def test_no_damage_causes_a_crash_or_a_wrong_result(rng: random.Random, kind: str) -> None:
    driver, name, data = segment()
    damaged = bytearray(data)
    position = rng.randrange(len(damaged))
    length = rng.choice([1, 4, 16, 200, 5_000])
    if kind == "cut":
        del damaged[position:]
    elif kind == "flip":
        damaged[position] ^= 1 << rng.randrange(8)
    elif kind == "insert":
        damaged[position:position] = rng.randbytes(length)
    elif kind == "swap":
        other = rng.randrange(len(damaged))
        damaged[position : position + 64], damaged[other : other + 64] = (
            damaged[other : other + 64],
            damaged[position : position + 64],
        )
    else:
        damaged[position : position + length] = rng.randbytes(length) if kind == "noise" else bytes(length)
    try:
        after = Driver(Disk({name: bytes(damaged)}), BOOTS[0], driver.now)
    except FolderError as error:
        assert "newer version" in str(error) or "belongs to" in str(error)
        return
    started = {run.key for run in after.recovered.started_runs}
    assert started <= {key(number) for number in range(1, 13)}
    for number in range(1, 400):
        found = after.index.get(key(number))
        if found is not None:
            assert number in driver.ends
            if key_index.unpack_state(found[0]) is KeyState.FINISHED:
                assert after.log.fetch(found[0], key(number), FINGERPRINT) in (driver.ends[number], None)
    if kind == "cut":  # records that end before the cut are recovered
        for number in driver.ends:
            word = driver.index.get(key(number))
            assert word is not None
            offset = key_index.unpack_location(word[0])[1]
            end = offset + records.END_BYTES + len(driver.ends[number] or b"")
            assert position < end or after.index.get(key(number)) is not None


def test_damage_in_the_middle_is_reported_and_later_records_are_read() -> None:
    disk = Disk()
    driver = Driver(disk)
    run_requests(driver, 1, 40, gap=1)
    name = disk.names()[0]
    data = bytearray(disk.content()[name])
    data[5_000:5_004] = b"\xff\xff\xff\x7f"
    after = Driver(Disk({**disk.content(), name: bytes(data)}), BOOTS[0], driver.now)
    assert len(after.log.report.damaged) == 1
    assert name in after.log.report.damaged[0] and "passed over" in after.log.report.damaged[0]
    assert after.index.get(key(39)) is not None


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "empty"),
        (b"\0" * 500, "empty"),
        (b"#!/bin/sh\n" * 90, "not a segment"),
        (records.MAGIC + b"\x01\0", "cut short"),
        (random.Random(1).randbytes(400_000), "not a segment"),
    ],
    ids=["empty", "zeros", "text", "header cut short", "large noise"],
)
def test_a_file_that_is_no_segment_is_reported_and_left_alone(data: bytes, expected: str) -> None:
    disk = Disk({segment_name(7): data, "notes.txt": b"mine"})
    driver = Driver(disk)
    assert expected in driver.log.report.foreign[0]
    driver.start(1)
    assert disk.content()[segment_name(7)] == data and disk.content()["notes.txt"] == b"mine"
    assert segment_name(8) in disk.names()


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"version": records.VERSION + 1}, "newer version"),
        ({"name": "n2"}, "belongs to the instance 'n2'"),
    ],
    ids=["newer format", "another instance"],
)
def test_a_newer_format_and_another_instances_folder_are_rejected(
    change: dict[str, Any], expected: str
) -> None:
    header = records.encode_header(records.Header(1, BOOTS[0], 0, 0, change.get("name", "n1")))
    if "version" in change:
        header = header[:8] + change["version"].to_bytes(2, "little") + header[10:]
    disk = Disk({segment_name(1): header})
    with pytest.raises(FolderError, match=expected):
        check_folder(disk, "n1")
    with pytest.raises(FolderError, match=expected):
        Driver(disk)
    assert disk.content() == {segment_name(1): header}


def test_an_older_format_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    driver, name, data = segment()
    monkeypatch.setattr(records, "VERSION", records.VERSION + 1)
    assert Driver(Disk({name: data}), BOOTS[0], driver.now).index.get(key(1)) is not None


def test_time_under_another_boot_does_not_expire_a_key() -> None:
    """The monotonic clock restarts with each boot, and the Unix clock, which may be set, is never read."""
    driver, name, data = segment()
    for boot, now, is_stored in [
        (BOOTS[0], driver.now + WINDOW_US - SECOND_US, True),
        (BOOTS[0], driver.now + WINDOW_US + MAX_READ_DELAY_US + SECOND_US, False),
        (BOOTS[1], 1, True),
        (BOOTS[1], driver.now * 50, True),
    ]:
        after = Driver(Disk({name: data}), boot, now)
        assert (after.index.get(key(1)) is not None) is is_stored
    after_expiry = after.now + WINDOW_US + MAX_READ_DELAY_US + SECOND_US
    after.index.expire(after_expiry - MAX_READ_DELAY_US)
    assert after.index.get(key(1)) is None  # it does expire once its window has passed under this boot


def test_expired_segments_are_dropped_and_compaction_keeps_live_records() -> None:
    disk = Disk()
    driver = Driver(disk)
    run_requests(driver, 1, 200, gap=SECOND_US // 10)
    assert len(disk.names()) < 12  # of the 20 s, only the segments within the window remain
    before = driver.log.size
    driver.compact()
    assert driver.log.size < before
    for number in range(190, 200):
        if driver.ends.get(number):
            word = driver.index.get(key(number))
            assert (
                word is not None
                and driver.log.fetch(word[0], key(number), FINGERPRINT) == driver.ends[number]
            )
    check_recovery(driver, disk.content(), BOOTS[0])
