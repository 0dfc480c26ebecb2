"""Duplicates of keyed requests: how long a key is remembered, and originals that never run."""

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
    assert table.expire(100) == []  # an attempt that arrived in time may be read as much later
    assert table.expire(1_000_100) == [7]


@pytest.mark.parametrize("cause", ["disconnected", "late", "unknown"])
def test_duplicate_of_a_request_that_never_runs_is_run_itself(cause: str) -> None:
    """Guards against a needless failure: it failed with its original, though neither had run."""
    with world(Cores=1) as w:
        balancer = w.balancer()
        keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
        if cause == "disconnected":  # while it is queued, as the core is busy
            balancer.send(9)
            uid = w.pool.next("spawn")["uid"]
        balancer.send(1, **keyed)
        first = w.pool.next("spawn")["uid"] if cause != "disconnected" else ""
        balancer.send(2, **keyed)
        until(lambda: any(in_flight.waiting_duplicates for in_flight in w.host._requests.all()))
        if cause == "disconnected":
            balancer.abort(1)
            assert balancer.answer()[0] == 1
            w.pool.notice("finished", uid, "fine", b"done")
            assert balancer.answer()[0] == 9
        elif cause == "late":
            w.pool.notice("finished", first, "late")
            assert balancer.answer()[1].status == 500
        else:
            w.pool.tell(action="unknown", code="spawn", uid=first)
            assert balancer.answer()[1].status == 500
        assert w.pool.run(b"once")["uid"] == f"{2:016x}"
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body) == (2, 200, b"once")


def test_key_lifetime_counts_from_a_time_stamp_in_the_future(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an early expiry: the lifetime counted from when the attempt was read."""
    with world() as w:
        balancer = w.balancer()
        stamp = str(time.time_ns() // 1_000_000 + 1_500)
        w.serve(balancer, 1, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=stamp)
        expires_at = w.host._duplicates._keys._entries[TOKEN].expires_at
        assert expires_at >= time.monotonic_ns() // 1_000 + WINDOW_US + 1_000_000


@pytest.mark.parametrize(
    ("beyond_us", "runs"), [(-1, 1), (1_000_000, 2)], ids=["before the expiry", "after the expiry"]
)
def test_key_that_expires_during_the_run_admits_later_attempts_anew(
    beyond_us: int,
    runs: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt before the expiry is a duplicate of the running one; an attempt after it is run itself."""
    monkeypatch.setitem(PARAMS, "Classes", [class_settings("write", "guarded", WindowUs=1_000_000)])
    with world() as w:
        balancer = w.balancer()
        stamp = time.time_ns() // 1_000_000
        balancer.send(1, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=str(stamp))
        first = w.pool.next("spawn")["uid"]
        real, later = clock.now, 3_000_000
        monkeypatch.setattr(clock, "now", lambda: real() + later)
        second = stamp - (later - 1_000_000 - beyond_us) // 1_000
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=str(second))
        if runs == 2:
            w.pool.run(b"again")
            assert balancer.answer()[1].body == b"again"
        w.pool.notice("finished", first, "fine", b"once")
        assert balancer.answer()[1].body == b"once"
        if runs == 1:
            assert balancer.answer()[1].body == b"once"
        assert w.pool.commands.empty()
