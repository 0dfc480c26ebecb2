"""Duplicates of keyed requests: lifetime of a key, and duplicates whose original never runs."""

from __future__ import annotations

import time
from typing import Any

import pytest
from peers import PARAMS, TOKEN, WINDOW_US, until, world
from server_helpers import class_settings

from cairnvane import clock
from cairnvane.idempotency.key_table import KeyTable


def test_key_expires_at_the_end_of_its_lifetime_to_the_microsecond() -> None:
    table = KeyTable(read_delay=1_000_000)
    table.insert("token", 7, 100)
    assert (table.owner("token", 99), table.owner("token", 100)) == (7, None)
    assert table.expire(100) == []  # an attempt that arrived before may be read up to `read_delay` later
    assert table.expire(1_000_100) == [7]


@pytest.mark.parametrize("cause", ["disconnected", "late", "unknown"])
def test_duplicate_of_a_request_that_never_runs_is_run_itself(cause: str) -> None:
    """Guards against a needless failure: the duplicate failed with its original, though neither had run."""
    with world(Cores=1) as harness:
        balancer = harness.balancer()
        keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
        if cause == "disconnected":  # request 1 disconnects while it is queued behind request 9
            balancer.send(9)
            blocking_uid = harness.pool.next("spawn")["uid"]
        balancer.send(1, **keyed)
        original_uid = harness.pool.next("spawn")["uid"] if cause != "disconnected" else ""
        balancer.send(2, **keyed)
        until(lambda: any(in_flight.waiting_duplicates for in_flight in harness.host._requests.all()))
        if cause == "disconnected":
            balancer.abort(1)
            assert balancer.answer()[0] == 1
            harness.pool.notice("finished", blocking_uid, "fine", b"done")
            assert balancer.answer()[0] == 9
        elif cause == "late":
            harness.pool.notice("finished", original_uid, "late")
            assert balancer.answer()[1].status == 500
        else:
            harness.pool.tell(action="unknown", code="spawn", uid=original_uid)
            assert balancer.answer()[1].status == 500
        assert harness.pool.run(b"once")["uid"] == f"{2:016x}"
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body) == (2, 200, b"once")


def test_key_lifetime_counts_from_a_time_stamp_in_the_future(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against early expiry: the lifetime was counted from the time when the attempt was read."""
    with world() as harness:
        balancer = harness.balancer()
        stamp = str(time.time_ns() // 1_000_000 + 1_500)
        harness.serve(balancer, 1, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=stamp)
        expires_at = harness.host._duplicates._keys._entries[TOKEN].expires_at
        assert expires_at >= time.monotonic_ns() // 1_000 + WINDOW_US + 1_000_000


@pytest.mark.parametrize(
    ("after_expiry_us", "runs"), [(-1, 1), (1_000_000, 2)], ids=["before the expiry", "after the expiry"]
)
def test_attempt_after_its_key_expired_during_the_run_is_run_again(
    after_expiry_us: int,
    runs: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt before the expiry is a duplicate of the running request; one after it is run itself."""
    monkeypatch.setitem(PARAMS, "Classes", [class_settings("write", "guarded", WindowUs=1_000_000)])
    with world() as harness:
        balancer = harness.balancer()
        first_unix_ms = time.time_ns() // 1_000_000
        balancer.send(1, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=str(first_unix_ms))
        first_uid = harness.pool.next("spawn")["uid"]
        real_now, shift_us = clock.now, 3_000_000
        monkeypatch.setattr(clock, "now", lambda: real_now() + shift_us)
        second_unix_ms = first_unix_ms - (shift_us - 1_000_000 - after_expiry_us) // 1_000
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=str(second_unix_ms))
        if runs == 2:
            harness.pool.run(b"again")
            assert balancer.answer()[1].body == b"again"
        harness.pool.notice("finished", first_uid, "fine", b"once")
        assert balancer.answer()[1].body == b"once"
        if runs == 1:
            assert balancer.answer()[1].body == b"once"
        assert harness.pool.commands.empty()
