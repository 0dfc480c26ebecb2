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
from typing import Any

import pytest
from peers import TOKEN, WAIT_S, Balancer, PoolPeer, world
from server.test_program import NOWHERE, program

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.connection_slots import (
    EVICTION_GRACE_S,
    MAX_ACCEPTS_PER_S,
    RATE_LIMIT_WINDOW_S,
    REQUEST_TIMEOUT_S,
    ConnectionSlots,
    Phase,
)
from cairnvane.administration.drain_gate import DrainGate
from cairnvane.administration.endpoints import Endpoints
from cairnvane.administration.http_request import (
    MAX_HEAD,
    HttpRequest,
    InvalidHttpRequestError,
    RequestParser,
)
from cairnvane.administration.http_server import LEAST_CALLERS, MOST_CALLERS, AdministrationServer, places
from cairnvane.exchange import ResponseStatus
from cairnvane.net import http


def call(address: tuple[str, int], verb: str, path: str) -> http.Reply:
    """One call, one connection."""
    with socket.create_connection(address, WAIT_S) as sock:
        sock.sendall(http.request(verb, path, address, {}, b""))
        return http.read_reply(sock, time.monotonic() + WAIT_S)


@contextlib.contextmanager
def door(
    can_serve: bool = True,
    most: int = MOST_CALLERS,
    call_wait_s: float = REQUEST_TIMEOUT_S,
) -> Iterator[tuple[AdministrationServer, Readiness, RequestCounters]]:
    duty, tally = Readiness(lambda: can_serve), RequestCounters(("read", "write"))
    opened = AdministrationServer(("127.0.0.1", 0), Endpoints(duty, tally), duty, most, call_wait_s)
    opened.start()
    try:
        yield opened, duty, tally
    finally:
        opened.close()


def test_the_four_calls_say_yes_and_no() -> None:
    with door() as (opened, duty, tally):
        tally.request_accepted()
        tally.response_sent("read", ResponseStatus.SERVED)
        tally.run_started("read")
        tally.request_accepted()
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


def test_staff_are_answered_while_silent_callers_hold_every_place() -> None:
    """Guards: 242 of 269 calls of staff got 503, since a silent connection held a place for its second. With
    a deadline beyond the test's own time, no place comes free by itself."""
    with door(most=32, call_wait_s=WAIT_S * 100) as (opened, _, _):
        stop = threading.Event()

        def come_back(half: bytes) -> None:
            while not stop.is_set():
                with contextlib.suppress(OSError), socket.create_connection(opened.address, WAIT_S) as sock:
                    sock.sendall(half)
                    sock.settimeout(0.05)  # looks now and then whether the test is over
                    while not stop.is_set():
                        with contextlib.suppress(TimeoutError):
                            if not sock.recv(64):
                                break

        threads = [threading.Thread(target=come_back, args=(half,)) for half in [b"", b"GET /"] * 24]
        for thread in threads:
            thread.start()
        try:
            for _ in range(30):
                assert call(opened.address, "GET", "/-/ready").status == 200
        finally:
            stop.set()
            for thread in threads:
                thread.join()


def test_a_caller_that_never_reads_its_answer_keeps_nobody_waiting() -> None:
    with door(most=4) as (opened, _, _):
        deaf = [socket.create_connection(opened.address) for _ in range(8)]
        for sock in deaf:
            sock.sendall(b"GET /-/metrics HTTP/1.1\r\n\r\n" * 20)  # and says more than it may
        assert call(opened.address, "GET", "/-/ready").status == 200
        for sock in deaf:
            sock.close()


def test_who_goes_first_when_all_places_are_taken() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(3)
    for key in ("half", "silent", "answered"):
        assert slots.accept_delay(0.0) == 0.0 and slots.add(key, 0.0) is None
    slots.request_begun("half")
    slots.request_begun("answered")
    slots.answered("answered", 0.0)
    assert slots.add("d", 0.1) == "answered"
    assert slots.add("e", 0.2) == "silent"  # older than d
    slots.request_begun("e")
    assert slots.add("f", 0.3) == "d"
    slots.request_begun("f")
    assert slots.add("g", 0.4) == "half"  # all have said half: the oldest
    assert slots.eviction_candidate(0.45) == "e"
    assert slots.eviction_candidate(0.25) is None  # all have only just come
    assert slots.expire(REQUEST_TIMEOUT_S + 0.25) == [("e", Phase.PARTIAL)]
    assert slots.next_deadline() == pytest.approx(REQUEST_TIMEOUT_S + 0.3)


def test_newcomers_wait_while_all_who_are_there_may_still_speak() -> None:
    """Guards: callers that had said half kept their places, and newcomers were gone within milliseconds."""
    slots: ConnectionSlots[int] = ConnectionSlots(4)
    for key in range(3):
        slots.add(key, 0.0)
        slots.request_begun(key)
    slots.add(3, 1.0)
    assert slots.accept_delay(1.0) == 0.0 and slots.add(4, 1.0) == 0  # not 3, which has only just come
    assert [slots.add(5, 1.0), slots.add(6, 1.0)] == [1, 2]
    assert slots.eviction_candidate(1.0) is None and slots.accept_delay(1.0) > 0
    assert slots.accept_delay(1.0 + EVICTION_GRACE_S) == 0.0 and slots.add(7, 1.0 + EVICTION_GRACE_S) == 3


def test_newcomers_are_paced_only_while_no_place_is_free() -> None:
    slots: ConnectionSlots[int] = ConnectionSlots(1_000)
    for key in range(1_000):
        assert slots.accept_delay(0.0) == 0.0
        slots.add(key, 0.0)
    came = 1_000
    while slots.accept_delay(10.0) == 0.0:
        assert slots.add(came, 10.0) == came - 1_000
        came += 1
    assert came - 1_000 == MAX_ACCEPTS_PER_S * RATE_LIMIT_WINDOW_S
    assert slots.accept_delay(11.0) == 0.0  # a second later, some may come again


def test_places_are_half_of_the_process_own_descriptors() -> None:
    assert [places(own) for own in (0, 64, 128, 1_000)] == [LEAST_CALLERS, 32, 64, MOST_CALLERS]


@pytest.mark.parametrize("piece", [1, 3, 1_000])
def test_a_call_is_read_in_pieces_of_any_size(piece: int) -> None:
    data = b"POST /-/drain?x HTTP/1.1\r\nContent-Length: 5\r\nA:b\r\n\r\nhello"
    head = RequestParser()
    assert not head.has_begun
    told = [head.feed(data[at : at + piece]) for at in range(0, len(data), piece)]
    assert head.has_begun and told[-1] == HttpRequest("POST", "/-/drain?x") and not any(told[:-1])


def test_a_head_without_end_is_refused() -> None:
    head = RequestParser()
    with pytest.raises(InvalidHttpRequestError) as error:
        for _ in range(MAX_HEAD + 1):
            assert head.feed(b"x") is None
    assert error.value.status == 431


@pytest.mark.parametrize(
    "head",
    [
        b"GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"BREW /-/ready HTCPCP/1.0\r\n\r\n",
        b"GET /-/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_a_call_that_can_not_be_read_is_told_so(head: bytes) -> None:
    with door() as (opened, _, _), socket.create_connection(opened.address, WAIT_S) as sock:
        sock.sendall(head)
        assert sock.recv(64).startswith(b"HTTP/1.1 400 ")


def test_a_drain_by_call_makes_health_bad_and_serves_on() -> None:
    with world() as there:
        duty, tally = Readiness(lambda: True), RequestCounters(("read",))
        gate = DrainGate(there.host, duty, tally)
        there.server.sink, there.server.response_counter = gate, tally
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


def test_a_later_version_listens_beside_this_one_and_takes_over(tmp_path: Path) -> None:
    """Guards: the second process could not listen where the first one did, and exited with 2."""
    pools = PoolPeer(), PoolPeer()
    old_door, new_door = (("127.0.0.1", _free()) for _ in range(2))
    with program(tmp_path, _at(pools[0]), NOWHERE, control=_at(old_door)) as (old, port):
        pools[0].next("bind")
        assert _ready(old_door)
        balancer = Balancer(("127.0.0.1", port))  # before the new one listens: the old one's
        with program(tmp_path, _at(pools[1]), NOWHERE, control=_at(new_door), listen=f"127.0.0.1:{port}") as (
            new,
            same,
        ):
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
    """Asked until the door says yes: the pool has seen `bind` a moment before its answer is read here."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        with contextlib.suppress(ConnectionError):
            if call(address, "GET", "/-/ready").status == 200:
                return True
    return False


def test_a_commit_of_the_old_version_is_known_to_the_new_one(tmp_path: Path) -> None:
    """Two real processes at one address: the result is handed on, another body fails, and a run whose process
    was killed is failed at once, all without a second run."""
    keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
    other: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN[::-1]}
    pools = PoolPeer(), PoolPeer()
    with program(tmp_path, _at(pools[0]), NOWHERE) as (old, port):
        pools[0].next("bind")
        before = Balancer(("127.0.0.1", port))
        before.send(1, **keyed)
        pools[0].run(b"done")
        assert before.answer()[1].body == b"done"
        before.send(2, **other)
        pools[0].next("spawn")
        held = Balancer(("127.0.0.1", port))
        held.send(3)
        pools[0].next("spawn")
        with program(tmp_path, _at(pools[1]), NOWHERE, listen=f"127.0.0.1:{port}") as (_, _):
            pools[1].next("bind")
            old.kill()
            old.wait()
            after = Balancer(("127.0.0.1", port))
            after.send(4, **keyed)
            assert after.answer()[1].body == b"done"
            after.send(5, body=b"another body", **keyed)
            assert after.answer()[1].status == 500
            after.send(6, **other)  # nobody will ever know how it ended
            assert after.answer()[1].status == 500
            after.send(7)
            assert pools[1].next("spawn")["uid"] == f"{7:016x}"  # the only one
