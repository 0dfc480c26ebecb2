"""Segments of the claim log: sealing, deletion, removal of the folder, and damage."""

from __future__ import annotations

import contextlib
import random
import shutil

import pytest
from claim_helpers import KEY, MAX_READ_DELAY_US, OTHER_KEY, Deployment, Start

from cairnvane import clock
from cairnvane.claims import segment_writer
from cairnvane.claims.incarnations import Liveness
from cairnvane.claims.storage import OsFolder
from cairnvane.idempotency.store import KeyConflictError, StoredEntry


def test_an_idle_incarnation_catches_up_after_segments_were_sealed_and_deleted(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writes into a segment that other incarnations have sealed and deleted meanwhile."""
    monkeypatch.setattr(segment_writer, "SEGMENT_BYTES", 2_000)
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    stale_segment = old.claim_log._reader.current
    for number in range(100):
        key = number.to_bytes(16, "little")
        assert new.start_run(key, expires_at=clock.now() + 1) is Start.STARTED
        new.end_run(b"r" * 100, key)
    with new.claim_log._lock:
        new.claim_log._table._max_read_delay = -MAX_READ_DELAY_US  # all keys so far have expired
        new.run_housekeeping()
    remaining = OsFolder(deployment.claim_log_folder).segment_numbers()
    assert remaining and remaining[0] > 5
    assert old.claim_log._reader.current is stale_segment  # it has read nothing meanwhile
    assert new.start_run() is Start.STARTED
    assert old.start_run() is Start.CLAIMED_ELSEWHERE
    assert old.claim_log._reader.current.number == remaining[-1]


def test_a_removed_folder_is_created_again_with_all_valid_claims(deployment: Deployment) -> None:
    old = deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    assert old.start_run(OTHER_KEY) is Start.STARTED
    old.end_run(b"result")
    shutil.rmtree(deployment.path)
    assert old.look_up() == StoredEntry(KEY, True)
    assert old.fetch_result() == b"result"
    old.run_housekeeping()
    new = deployment.start_incarnation()
    assert new.incarnations.liveness(old.incarnations.number) is Liveness.ALIVE
    assert new.fetch_result() == b"result"
    assert new.start_run(OTHER_KEY) is Start.CLAIMED_ELSEWHERE


def test_no_key_is_accepted_beyond_the_size_limit(deployment: Deployment) -> None:
    incarnation = deployment.start_incarnation()
    incarnation.claim_log._max_bytes = 500
    assert incarnation.claim_log.capacity_wait_us() == 0
    assert incarnation.start_run() is Start.STARTED
    incarnation.end_run(b"r" * 600)
    assert incarnation.claim_log.capacity_wait_us() > 0


@pytest.mark.parametrize("seed", range(4))
def test_damage_never_leads_to_a_wrong_result(deployment: Deployment, seed: int) -> None:
    """Changes bytes, writes zeros and adds a foreign file: records may be lost, but results never differ."""
    rng = random.Random(seed)
    old = deployment.start_incarnation()
    results = {number.to_bytes(16, "little"): rng.randbytes(200) for number in range(40)}
    for key, result in results.items():
        assert old.start_run(key) is Start.STARTED
        old.end_run(result, key)
    old.kill()
    segment = deployment.claim_log_folder / "0000000001.ledger"
    data = bytearray(segment.read_bytes())
    for _ in range(5):
        start, length = rng.randrange(len(data)), rng.choice([1, 1, 50])
        data[start : start + length] = bytes(length) if rng.random() < 0.5 else rng.randbytes(length)
    segment.write_bytes(data)
    (deployment.claim_log_folder / "notes.txt").write_text("not a segment")
    new = deployment.start_incarnation()
    intact_results = 0
    for key, result in results.items():
        with contextlib.suppress(KeyConflictError):  # its claim is damaged, including the fingerprint
            entry = new.look_up(key=key)
            if entry is not None and entry.has_result:
                fetched = new.fetch_result(key)
                assert fetched in (None, result)
                intact_results += fetched == result
    assert intact_results >= 20
