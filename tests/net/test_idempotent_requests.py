"""Requests with an idempotency key: duplicates, their fingerprint, and the retention window of a result."""

from __future__ import annotations

import time
from typing import Any

import pytest
from peers import TOKEN, WINDOW_US, reply, world

from cairnvane import clock

KEYED: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


def test_duplicate_after_the_run_replays_its_result() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, **KEYED)
        w.pool.run(b"once")
        assert balancer.answer()[1].body == b"once"
        balancer.send(2, **KEYED)
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body) == (2, 200, b"once")
        assert w.pool.commands.empty()


@pytest.mark.parametrize("has_ended", [False, True])
def test_same_key_with_another_body_fails_and_leaves_the_original_unaffected(has_ended: bool) -> None:
    """Regression: a duplicate was matched by its key alone and got the result of another request."""
    with world() as w:
        balancer, other_balancer = w.balancer(), w.balancer()
        balancer.send(1, **KEYED)
        uid = w.pool.next("spawn")["uid"]
        if has_ended:
            w.pool.notice("finished", uid, "fine", b"once")
            assert balancer.answer()[1].body == b"once"
        other_balancer.send(2, body=b"another", **KEYED)
        assert other_balancer.answer()[1].status == 500
        balancer.send(3, **KEYED)
        if not has_ended:
            w.pool.notice("finished", uid, "fine", b"once")
            assert balancer.answer()[1].body == b"once"
        assert balancer.answer()[1].body == b"once"
        assert w.pool.commands.empty()


def test_key_of_a_request_unknown_to_the_pool_stays_free() -> None:
    """Regression: the key of a request unknown to the pool was kept, so a later attempt with it failed."""
    with world() as w:
        other_balancer, balancer = w.balancer(), w.balancer()
        other_balancer.send(1, body=b"made up", **KEYED)
        w.pool.tell(action="unknown", code="spawn", uid=w.pool.next("spawn")["uid"])
        assert other_balancer.answer()[1].status == 500
        w.serve(balancer, 2, **KEYED)


def test_request_id_is_compared_without_regard_to_case() -> None:
    with world() as w:
        balancer, other_balancer = w.balancer(), w.balancer()
        balancer.send(1, HTTP_REQ_ID="ab" * 8)
        uid = w.pool.next("spawn")["uid"]
        other_balancer.send(2, HTTP_REQ_ID="AB" * 8, body=b"another")
        assert other_balancer.answer()[1].status == 500
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"


def test_retry_gets_the_result_of_a_run_whose_client_disconnected() -> None:
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        w.pool.next("supply")
        balancer.abort(1)
        assert balancer.answer()[0] == 1
        balancer.send(2, **KEYED)
        w.pool.notice("finished", uid, "fine", b"once")
        assert balancer.answer()[1].body == b"once"
        assert w.pool.commands.empty()


@pytest.mark.parametrize(("code", "status"), [("fine", 200), ("fault", 500)])
def test_concurrent_duplicates_share_one_run(code: str, status: int) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.sock.sendall(balancer.request(1, **KEYED) + balancer.request(2, **KEYED))
        w.pool.run(b"once", code)
        answers = dict(balancer.answer() for _ in range(2))
        assert {number: answer.status for number, answer in answers.items()} == {1: status, 2: status}
        assert w.pool.commands.empty()


def test_rejected_request_leaves_its_key_free() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="1900", **KEYED)
        assert balancer.answer()[1].status == 503
        w.serve(balancer, 2, **KEYED)


@pytest.mark.parametrize(("beyond_us", "runs"), [(-1_000_000, 1), (1_000_000, 2)])
def test_retention_window_counts_from_the_arrival(
    beyond_us: int,
    runs: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """This also holds for an attempt that is read long after its arrival, when the window has ended."""
    with world() as w:
        balancer = w.balancer()
        first_arrival_ms = time.time_ns() // 1_000_000
        w.serve(balancer, 1, **KEYED, HTTP_REQ_TIME=str(first_arrival_ms))
        real_now, elapsed_us = clock.now, WINDOW_US + 2_000_000
        monkeypatch.setattr(clock, "now", lambda: real_now() + elapsed_us)
        arrival_ms = first_arrival_ms - (elapsed_us - WINDOW_US - beyond_us) // 1_000
        balancer.send(2, **KEYED, HTTP_REQ_TIME=str(arrival_ms))
        if runs == 2:
            w.pool.run()
        assert balancer.answer()[1].status == 200
        assert w.pool.commands.empty()
