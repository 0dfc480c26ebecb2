"""The claim log on a folder that fails, alone and with concurrent incarnations."""

from __future__ import annotations

import shutil

import pytest
from claim_helpers import OTHER_KEY, Deployment, FailingFolder, Start

from cairnvane.claims.records import NO_KEY, SEAL, encode

EVERY_APPEND = 1 << 30


def test_an_incarnation_that_is_alone_goes_on_in_memory_and_writes_later(deployment: Deployment) -> None:
    folder = FailingFolder(deployment.ledger)
    old = deployment.start_incarnation(folder)
    folder.failures = EVERY_APPEND
    assert old.start_run() is Start.STARTED
    assert old.claim_log.capacity_wait_us() == 0
    old.end_run(b"result")
    assert old.fetch_result() == b"result"
    assert old.start_run() is Start.CLAIMED_ELSEWHERE
    folder.failures = 0
    old.retry_now()
    assert old.claim_log.capacity_wait_us() == 0
    assert deployment.start_incarnation().fetch_result() == b"result"


def test_an_incarnation_that_is_not_alone_accepts_no_new_key(deployment: Deployment) -> None:
    folder = FailingFolder(deployment.ledger)
    old, new = deployment.start_incarnation(folder), deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    folder.failures = EVERY_APPEND
    assert old.start_run(OTHER_KEY) is Start.NOT_RECORDED
    assert old.claim_log.capacity_wait_us() > 0
    old.end_run(b"result")  # which is held in memory, and written once that is possible
    wait_for_result = new.request_result()
    assert new.start_run(OTHER_KEY) is Start.STARTED
    folder.failures = 0
    assert wait_for_result() == b"result"
    assert old.claim_log.capacity_wait_us() == 0


def test_a_claim_whose_write_failed_but_came_through_keeps_nobody_waiting(deployment: Deployment) -> None:
    """Guards against a claim without an end: the write failed, though all of it is in the file."""
    folder = FailingFolder(deployment.ledger)
    old, new = deployment.start_incarnation(folder), deployment.start_incarnation()
    folder.failures = 1
    folder.written_part = 1.0
    assert old.start_run() is Start.NOT_RECORDED
    assert new.start_run(OTHER_KEY) is Start.STARTED
    assert new.start_run() is Start.CLAIMED_ELSEWHERE
    old.retry_now()
    assert old.claim_log.capacity_wait_us() == 0  # the folder works again, and the claim is given up
    assert new.start_run() is Start.STARTED


def test_a_segment_of_a_later_format_is_a_failure_to_an_incarnation_that_serves(
    deployment: Deployment,
) -> None:
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    with old.claim_log._lock:
        old.claim_log._reader.current.file.append(encode(SEAL, 1, NO_KEY, 1, 1))
    (deployment.ledger / "0000000002.ledger").write_bytes(b"CVL2" + bytes(60))
    assert old.start_run() is Start.NOT_RECORDED
    assert old.claim_log.capacity_wait_us() > 0
    assert new.look_up() is None


@pytest.mark.parametrize("held_back", [1, 2, 3])
def test_claims_held_back_by_a_failing_disk_survive_the_removal_of_the_folder(
    deployment: Deployment, held_back: int
) -> None:
    """Regression: the first rewritten record was taken for the one just written, and was dropped."""
    folder = FailingFolder(deployment.ledger)
    old = deployment.start_incarnation(folder)
    written = [bytes([1, number]) * 8 for number in range(2)]
    kept_in_memory = [bytes([2, number]) * 8 for number in range(held_back)]
    for key in written:
        assert old.start_run(key) is Start.STARTED
    folder.failures = 1_000
    for key in kept_in_memory:
        assert old.start_run(key) is Start.STARTED  # it is alone: it goes on in memory
    shutil.rmtree(deployment.ledger)
    folder.failures = 0
    old.retry_now()
    old.run_housekeeping()
    new = deployment.start_incarnation()
    starts = {key: new.start_run(key) for key in (*written, *kept_in_memory)}
    assert set(starts.values()) == {Start.CLAIMED_ELSEWHERE}, starts
