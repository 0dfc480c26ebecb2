"""The claim log: one of several incarnations runs a request, and all others get its result."""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest
from claim_helpers import (
    FINGERPRINT,
    FORGED_FINGERPRINT,
    KEY,
    MAX_READ_DELAY_US,
    Deployment,
    Killed,
    KillingFolder,
    Start,
)
from peers import world

from cairnvane import clock
from cairnvane.claims.incarnations import HEARTBEAT_TIMEOUT_US, Liveness
from cairnvane.idempotency import durability
from cairnvane.idempotency.store import KeyConflictError, StoredEntry

# Aliases that tests/idempotency imports from this module.
SAME = FINGERPRINT
UNREAD = MAX_READ_DELAY_US
Steps = KillingFolder
__all__ = ["SAME", "UNREAD", "Killed", "Steps"]


@pytest.mark.parametrize("result", [b"", b"r" * 4_096, None], ids=["empty", "4 KiB", "failed"])
def test_a_duplicate_in_another_incarnation_gets_the_result(
    deployment: Deployment, result: bytes | None
) -> None:
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    assert old.look_up() is None
    assert old.start_run() is Start.STARTED
    assert new.look_up() == StoredEntry(KEY, True)  # True, since the run may still produce a result
    wait_for_result = new.request_result()
    old.end_run(result)
    assert wait_for_result() == result
    assert new.look_up() == StoredEntry(KEY, result is not None)
    latest = deployment.start_incarnation()  # it reads the log from the beginning
    assert latest.start_run() is Start.CLAIMED_ELSEWHERE
    assert latest.fetch_result() == result


def test_recent_results_are_replayed_from_memory_and_older_ones_from_the_log(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(durability, "RECENT_RESULTS", 2)
    claim_log = deployment.start_incarnation().claim_log
    fetched: list[bytes] = []
    fetch_result = claim_log.fetch_result

    def counted_fetch(key: bytes, fingerprint: bytes, then: Callable[[bytes | None], None]) -> None:
        fetched.append(key)
        fetch_result(key, fingerprint, then)

    monkeypatch.setattr(claim_log, "fetch_result", counted_fetch)
    keys = [f"{number:032x}" for number in range(3)]
    with world(keeper=claim_log) as server:
        balancer = server.balancer()
        originals = [
            server.serve(balancer, number, path="/svc/write", HTTP_REQ_TOKEN=key).body
            for number, key in enumerate(keys, 1)
        ]
        replays = []
        for number, key in enumerate(keys, 4):
            balancer.send(number, path="/svc/write", HTTP_REQ_TOKEN=key)
            replays.append(balancer.answer()[1].body)
        balancer.send(7, path="/svc/write", HTTP_REQ_TOKEN=keys[2], body=b"forged")
        assert balancer.answer()[1].status == 500
        assert replays == originals and server.pool.commands.empty()
    assert fetched == [bytes.fromhex(keys[0])]


def test_a_forged_duplicate_is_recognized_by_its_fingerprint(deployment: Deployment) -> None:
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    with pytest.raises(KeyConflictError, match=KEY.hex()):
        new.look_up(FORGED_FINGERPRINT)
    assert new.start_run(fingerprint=FORGED_FINGERPRINT) is Start.CLAIMED_ELSEWHERE
    assert new.fetch_result(fingerprint=FORGED_FINGERPRINT) is None  # without waiting for the end
    old.end_run(b"result")
    assert new.fetch_result(fingerprint=FORGED_FINGERPRINT) is None


def test_a_claim_that_was_given_up_can_be_made_again(deployment: Deployment) -> None:
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    old.give_up_run()
    assert new.look_up() is None
    assert new.start_run() is Start.STARTED
    assert old.start_run() is Start.CLAIMED_ELSEWHERE


def test_a_run_of_a_dead_incarnation_fails_at_once_and_never_runs_again(deployment: Deployment) -> None:
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    wait_for_result = new.request_result()
    old.kill()
    assert wait_for_result() is None
    assert new.start_run() is Start.CLAIMED_ELSEWHERE
    assert deployment.start_incarnation().fetch_result() is None


def test_duplicates_wait_for_a_run_of_a_stopped_incarnation(
    deployment: Deployment,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second run while the old process is stopped between its claim and its `spawn`."""
    old, new = deployment.start_incarnation(), deployment.start_incarnation()
    assert old.start_run() is Start.STARTED
    later = clock.now() + HEARTBEAT_TIMEOUT_US + 1_000_000
    monkeypatch.setattr(clock, "now", lambda: later)
    assert new.incarnations.liveness(old.incarnations.number) is Liveness.STOPPED
    assert new.start_run() is Start.CLAIMED_ELSEWHERE
    wait_for_result = new.request_result()
    monkeypatch.undo()
    old.end_run(b"after all")
    assert wait_for_result() == b"after all"


def test_exactly_one_of_several_simultaneous_claims_is_valid(deployment: Deployment) -> None:
    incarnations = [deployment.start_incarnation() for _ in range(3)]
    barrier = threading.Barrier(len(incarnations))
    keys = [number.to_bytes(16, "little") for number in range(2_000)]
    outcomes: dict[int, list[Start]] = {}

    def claim_all(index: int) -> None:
        barrier.wait()
        outcomes[index] = [incarnations[index].start_run(key) for key in keys]

    threads = [threading.Thread(target=claim_all, args=(index,)) for index in range(len(incarnations))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    starts_by_key = zip(*outcomes.values(), strict=True)
    assert {starts.count(Start.STARTED) for starts in starts_by_key} == {1}
    assert [len(starts) for starts in outcomes.values()] == [len(keys)] * len(incarnations)
