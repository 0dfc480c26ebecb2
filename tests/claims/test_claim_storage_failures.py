"""The claim log on a failing folder, with and without concurrent incarnations."""

from __future__ import annotations

import shutil

import pytest
from claim_helpers import OTHER_KEY, Deployment, FailingFolder, Start

from cairnvane.claims.records import NO_KEY, SEAL, encode

EVERY_APPEND = 1 << 30


def test_an_incarnation_that_is_alone_continues_in_memory_and_writes_later(deployment: Deployment) -> None:
    folder = FailingFolder(deployment.claim_log_folder)
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
    folder = FailingFolder(deployment.claim_log_folder)
    old, new = deployment.start_incarnation(folder), deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    folder.failures = EVERY_APPEND
    assert old.start_run(OTHER_KEY) is Start.NOT_RECORDED
    assert old.claim_log.capacity_wait_us() > 0
    old.end_run(b"result")  # kept in memory, and written once that is possible
    wait_for_result = new.request_result()
    assert new.start_run(OTHER_KEY) is Start.STARTED
    folder.failures = 0
    assert wait_for_result() == b"result"
    assert old.claim_log.capacity_wait_us() == 0


def test_a_claim_whose_failed_write_reached_the_file_is_given_up(deployment: Deployment) -> None:
    """Guards against a claim that never ends: its write reported an error, but the file has all of it."""
    folder = FailingFolder(deployment.claim_log_folder)
    old, new = deployment.start_incarnation(folder), deployment.start_incarnation()
    folder.failures = 1
    folder.written_part = 1.0
    assert old.start_run() is Start.NOT_RECORDED
    assert new.start_run(OTHER_KEY) is Start.STARTED
    assert new.start_run() is Start.CLAIMED_ELSEWHERE
    old.retry_now()
    assert old.claim_log.capacity_wait_us() == 0  # the folder works again, and the claim is given up
    assert new.start_run() is Start.STARTED


def test_a_serving_incarnation_handles_a_segment_of_a_later_format_as_a_failure(
    deployment: Deployment,
) -> None:
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    with old.claim_log._lock:
        old.claim_log._reader.current.file.append(encode(SEAL, 1, NO_KEY, 1, 1))
    (deployment.claim_log_folder / "0000000002.ledger").write_bytes(b"CVL2" + bytes(60))
    assert old.start_run() is Start.NOT_RECORDED
    assert old.claim_log.capacity_wait_us() > 0
    assert new.look_up() is None


@pytest.mark.parametrize("pending_count", [1, 2, 3])
def test_claims_that_a_failing_disk_kept_in_memory_survive_removal_of_the_folder(
    deployment: Deployment, pending_count: int
) -> None:
    """Guards against a lost claim: the first rewritten record was removed instead of the one just written."""
    folder = FailingFolder(deployment.claim_log_folder)
    old = deployment.start_incarnation(folder)
    written = [bytes([1, number]) * 8 for number in range(2)]
    kept_in_memory = [bytes([2, number]) * 8 for number in range(pending_count)]
    for key in written:
        assert old.start_run(key) is Start.STARTED
    folder.failures = 1_000
    for key in kept_in_memory:
        assert old.start_run(key) is Start.STARTED  # it is alone, so it continues in memory
    shutil.rmtree(deployment.claim_log_folder)
    folder.failures = 0
    old.retry_now()
    old.run_housekeeping()
    new = deployment.start_incarnation()
    starts = {key: new.start_run(key) for key in (*written, *kept_in_memory)}
    assert set(starts.values()) == {Start.CLAIMED_ELSEWHERE}, starts
