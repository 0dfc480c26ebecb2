"""The in-memory index, and recovery into it."""

from __future__ import annotations

import contextlib

import pytest
from durable_log_driver import FINGERPRINT, SECOND_US, Driver, key
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.claims import states
from cairnvane.claims.states import IllegalStepError, KeyState, Step
from cairnvane.idempotency.durable import index as key_index
from cairnvane.idempotency.durable import records
from cairnvane.idempotency.durable.errors import IndexFullError
from cairnvane.idempotency.durable.index import Index
from cairnvane.testbed.stand_ins.disk import Disk


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 900)), max_size=200), st.booleans())
def test_the_index_agrees_with_a_dict(steps: list[tuple[int, int]], wraps: bool) -> None:
    index = Index(64 * key_index.BYTES_PER_ENTRY)
    expected: dict[bytes, tuple[int, int]] = {}  # the word and the end of each key
    if wraps:
        index._head = index._tail = key_index._UINT32_RANGE - 30
    now = 0
    for number, elapsed_ms in steps:
        now += elapsed_ms * 1_000
        word = now // 1_000
        end = now + 5 * SECOND_US
        if index.put(key(number), word, end):
            expected[key(number)] = word, end
        index.expire(now)
        expected = {stored: entry for stored, entry in expected.items() if entry[1] >= now}
        for other in range(41):
            found = index.get(key(other))
            wanted = expected.get(key(other))
            assert (found[0] if found else None) == (wanted[0] if wanted else None)


def test_a_full_index_rejects_keys_and_recovery_reports_it() -> None:
    small = Index(0)
    assert sum(small.put(key(number), 1, SECOND_US) for number in range(100)) == small.capacity == 64
    disk = Disk()
    driver = Driver(disk)
    for number in range(1, 70):
        driver.end(number, None)
    with pytest.raises(IndexFullError, match="more than 64 keys"):
        driver.log.recover(Index(0), driver.now)


STEPS_OF_KEYS = st.sampled_from([step for step in Step if step is not Step.LINK])


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(STEPS_OF_KEYS, st.integers(1, 3))))
def test_recovery_agrees_with_the_state_machine(steps: list[tuple[Step, int]]) -> None:
    driver = Driver(Disk())
    expected: dict[int, KeyState] = {}
    own_parts = {
        Step.INTENT: records.encode_start("0" * 16, FINGERPRINT, 0, 1.0, "write"),
        Step.CALL: records.encode_call(3),
    }
    for step, number in steps:
        driver.write(step, number, own_parts.get(step, records.encode_end(FINGERPRINT, b"")))
        with contextlib.suppress(IllegalStepError):
            expected[number] = states.advance(expected.get(number, KeyState.UNKNOWN), step)
    after = Driver(Disk(driver.disk.content()))
    started = {
        run.key: KeyState.CALLING if run.call_notice else KeyState.INTENDED
        for run in after.recovered.started_runs
    }
    for number in range(1, 4):
        found = after.index.get(key(number))
        indexed = key_index.unpack_state(found[0]) if found else KeyState.UNKNOWN
        recovered = started.get(key(number)) or indexed
        wanted = expected.get(number, KeyState.UNKNOWN)
        assert recovered is (KeyState.UNKNOWN if wanted is KeyState.VOID else wanted)
