"""The operators' door: its calls, its sockets against callers that say nothing, a drain by call, and a
later version of the program that takes over on the same address."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from peers import WAIT_S, Balancer, PoolPeer, world
from test_program import NOWHERE, program

from cairnvane.door import Duty, Tally
from cairnvane.door.calls import Calls
from cairnvane.door.gate import Gate
from cairnvane.door.heir import Heirs
from cairnvane.door.listener import CALL_WAIT_S, MOST_CALLS, Door
from cairnvane.exchange import Verdict
from cairnvane.net import http


def call(address: tuple[str, int], verb: str, path: str) -> http.Reply:
    """One call, one connection."""
    with socket.create_connection(address, WAIT_S) as sock:
        sock.sendall(http.request(verb, path, address, {}, b""))
        return http.read_reply(sock, time.monotonic() + WAIT_S)


@contextlib.contextmanager
def door(can_serve: bool = True, call_wait_s: float = CALL_WAIT_S) -> Iterator[tuple[Door, Duty, Tally]]:
    duty, tally = Duty(lambda: can_serve), Tally(("read", "write"))
    opened = Door(("127.0.0.1", 0), Calls(duty, tally), duty, call_wait_s)
    opened.start()
    try:
        yield opened, duty, tally
    finally:
        opened.close()


def test_the_four_calls_say_yes_and_no() -> None:
    with door() as (opened, duty, tally):
        tally.taken()
        tally.ended("read", Verdict.SERVED)
        tally.attempted("read")
        tally.taken()
        assert call(opened.address, "GET", "/-/ready").status == 200
        figures = json.loads(call(opened.address, "GET", "/-/metrics").body)
        assert figures["requests"]["read"] == {"served": 1, "refused": 0, "failed": 0, "attempts": 1}
        assert (figures["in_flight"], figures["attempts"]) == (1, 1)
        assert call(opened.address, "POST", "/-/drain").status == 200
        assert duty.drained and call(opened.address, "POST", "/-/drain").status == 200  # no fault twice
        assert call(opened.address, "POST", "/-/resume").status == 200
        assert not duty.drained
        wrong = call(opened.address, "GET", "/-/drain")
        assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
        assert call(opened.address, "GET", "/-/nothing").status == 404
        opened.leave()  # the notice to leave: no longer ready, and no resume from it
        assert call(opened.address, "GET", "/-/ready").status == 503
        assert call(opened.address, "POST", "/-/resume").status == 503


def test_not_ready_before_the_pool_is_up() -> None:
    with door(can_serve=False) as (opened, _, _):
        assert call(opened.address, "GET", "/-/ready").status == 503


def test_callers_who_say_nothing_or_half_keep_nobody_waiting() -> None:
    """Guards: one thread for all calls, which a silent caller would hold until it gave up."""
    with door() as (opened, _, _):
        silent = socket.create_connection(opened.address)
        half = socket.create_connection(opened.address)
        half.sendall(b"GET /-/rea")
        assert call(opened.address, "GET", "/-/ready").status == 200
        half.settimeout(WAIT_S)
        assert half.recv(64).startswith(b"HTTP/1.1 408 ")  # told at its deadline
        silent.settimeout(WAIT_S)
        assert silent.recv(64) == b""  # closed at its deadline, owed nothing
        silent.close()
        half.close()


def test_more_callers_than_places_are_told_no_at_once() -> None:
    # Places are taken in the order of `accept`, and none comes free before its caller's deadline: with one
    # beyond the test's own time, the next caller finds all taken.
    with door(call_wait_s=WAIT_S * 100) as (opened, _, _):
        held = [socket.create_connection(opened.address) for _ in range(MOST_CALLS)]
        reply = call(opened.address, "GET", "/-/ready")
        assert reply.status == 503
        for sock in held:
            sock.close()


@pytest.mark.parametrize("head", [b"GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                                  b"BREW /-/ready HTCPCP/1.0\r\n\r\n",
                                  b"GET /-/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"])
def test_a_call_that_can_not_be_read_is_told_so(head: bytes) -> None:
    with door() as (opened, _, _), socket.create_connection(opened.address, WAIT_S) as sock:
        sock.sendall(head)
        assert sock.recv(64).startswith(b"HTTP/1.1 400 ")


def test_a_drain_by_call_makes_health_bad_and_serves_on() -> None:
    with world() as there:
        duty, tally = Duty(lambda: True), Tally(("read",))
        gate = Gate(there.host, duty, tally)
        there.server.intake, there.server.meter = gate, tally
        health = there.balancer()
        health.send(1, path="/status/live", body=b"")
        assert health.answer()[1].status == 200
        duty.drain()
        health = there.balancer()
        health.send(2, path="/status/live", body=b"")
        assert health.answer()[1].status == 503
        balancer = there.balancer()
        there.serve(balancer, 3)  # what still comes is answered as ever
        assert tally.figures()[0]["read"]["served"] == 1 and tally.figures()[1] == 0
        duty.resume()
        health = there.balancer()
        health.send(4, path="/status/live", body=b"")
        assert health.answer()[1].status == 200


def test_only_a_later_mark_is_a_heir(tmp_path: Path) -> None:
    ready = threading.Event()
    ready.set()
    earlier = Heirs("n3", tmp_path)
    earlier.mark(ready)
    me = Heirs("n3", tmp_path)
    me.mark(ready)
    assert not me.later()  # its own, and one of a process before it
    assert not Heirs("n4", tmp_path).later()  # another name's
    assert earlier.later()
    me.clear()
    assert not earlier.later()


def test_a_later_version_listens_beside_this_one_and_takes_over(tmp_path: Path) -> None:
    """Guards: the second process could not listen where the first one did, and exited with 2."""
    pools = PoolPeer(), PoolPeer()
    old_door, new_door = (("127.0.0.1", _free()) for _ in range(2))
    with program(tmp_path, _at(pools[0]), NOWHERE, control=_at(old_door)) as (old, port):
        pools[0].next("bind")
        assert _ready(old_door)
        balancer = Balancer(("127.0.0.1", port))  # before the new one listens: the old one's
        with program(tmp_path, _at(pools[1]), NOWHERE, control=_at(new_door),
                     listen=f"127.0.0.1:{port}") as (new, same):
            assert same == port
            pools[1].next("bind")
            assert _ready(new_door)
            balancer.send(1)
            uid = pools[0].next("spawn")["uid"]
            old.send_signal(signal.SIGTERM)
            assert old.stderr is not None
            while "hands over" not in old.stderr.readline():
                pass
            assert call(old_door, "GET", "/-/ready").status == 503
            pools[0].notice("finished", uid, "fine", b"done")
            assert balancer.answer()[1].body == b"done"  # what it had is answered
            assert balancer.ended()
            assert old.wait(WAIT_S) == 0
            for number in range(2, 5):  # and the new one serves the same address
                late = Balancer(("127.0.0.1", port))
                late.send(number)
                pools[1].run(b"new")
                assert late.answer()[1].body == b"new"
            assert new.poll() is None


def _free() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def _at(where: PoolPeer | tuple[str, int]) -> str:
    host, port = where.address if isinstance(where, PoolPeer) else where
    return f"{host}:{port}"


def _ready(address: tuple[str, int]) -> bool:
    """Asked until the door answers; yes or no."""
    while True:
        with contextlib.suppress(ConnectionError):
            return call(address, "GET", "/-/ready").status == 200
