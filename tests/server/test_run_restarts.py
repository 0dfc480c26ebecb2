"""Idempotent runs whose reply to a call may have been lost with the pool's link begin again."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from peers import Balancer, World, reply, until, world
from server_helpers import wait_for_event_loop


@contextlib.contextmanager
def stopped_run(*replies: bytes) -> Iterator[tuple[World, Balancer, str]]:
    """A run whose reply may be lost with the first link, and which the pool has just been told to stop.

    The pool answers no question after that command.
    """
    with world(*(reply(200, each) for each in replies)) as harness:
        harness.pool.silent_after = "supply"
        balancer = harness.balancer()
        uid = harness.block(balancer)
        assert harness.pool.next("supply")["content"] == replies[0]
        harness.pool.silent_after = "suspend"
        harness.pool.cut()
        harness.pool.next("bind")
        assert harness.pool.next("suspend")["uid"] == uid
        yield harness, balancer, uid


def test_run_with_a_lost_reply_begins_again_and_is_served() -> None:
    """Guards against a run that waits for its lost reply until its deadline."""
    with stopped_run(b"first", b"second") as (harness, balancer, uid):
        harness.pool.notice("finished", uid, "broken_off")
        assert harness.pool.next("spawn")["uid"] == uid
        harness.pool.notice("blocked", uid, content=b"call")
        assert harness.pool.next("supply")["content"] == b"second"
        harness.end(balancer, uid)
        assert harness.pool.commands.empty()


def test_call_of_a_run_that_is_being_stopped_is_not_made() -> None:
    """Guards against a reply to a run that has begun again: it would be one to a call of the first run."""
    with stopped_run(b"first", b"second") as (harness, balancer, uid):
        harness.pool.notice("blocked", uid, content=b"next call")  # the reply was not lost
        harness.pool.notice("finished", uid, "broken_off")
        assert harness.pool.next("spawn")["uid"] == uid
        assert harness.vault.calls.qsize() == 1
        harness.end(balancer, uid)


def test_run_that_was_not_stopped_makes_its_call() -> None:
    """Guards against a run that hangs: the command to stop has no effect while the cores stand still."""
    with stopped_run(b"first", b"second") as (harness, balancer, uid):
        harness.pool.notice("blocked", uid, content=b"next call")
        in_flight = harness.host._requests.find_uid(uid)
        assert in_flight is not None
        until(lambda: in_flight.withheld_call is not None)
        harness.host.post(lambda: harness.host._runs._restarts._end_unstopped(in_flight))
        assert harness.pool.next("supply")["content"] == b"second"
        harness.end(balancer, uid)


def test_run_that_ends_before_it_is_stopped_is_served() -> None:
    with stopped_run(b"first") as (harness, balancer, uid):
        harness.end(balancer, uid)
        assert harness.pool.commands.empty()


def test_run_whose_client_has_left_does_not_begin_again() -> None:
    with stopped_run(b"first") as (harness, balancer, uid):
        balancer.abort(1)
        assert harness.pool.next("suspend")["uid"] == uid
        assert balancer.answer()[1].status == 0
        harness.pool.notice("finished", uid, "broken_off")
        until(lambda: harness.host._requests.find_uid(uid) is None)
        wait_for_event_loop(harness.host)
        assert harness.pool.commands.empty()
