"""The administration server: its endpoints, and clients that send nothing, half a request, or never read."""

from __future__ import annotations

import contextlib
import json
import socket
import threading

import pytest
from administration_helpers import administration_server, call
from peers import WAIT_S, world

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.drain_gate import DrainGate
from cairnvane.administration.http_server import MAX_CONNECTIONS, MIN_CONNECTIONS, connection_limit
from cairnvane.exchange import ResponseStatus


def test_endpoints_answer_with_status_and_figures() -> None:
    with administration_server() as (server, readiness, counters):
        counters.request_accepted()
        counters.response_sent("read", ResponseStatus.SERVED)
        counters.run_started("read")
        counters.request_accepted()
        assert call(server.address, "GET", "/-/ready").status == 200
        figures = json.loads(call(server.address, "GET", "/-/metrics").body)
        assert figures["requests"]["read"] == {"served": 1, "refused": 0, "failed": 0, "attempts": 1}
        assert (figures["in_flight"], figures["attempts"]) == (1, 1)
        assert call(server.address, "POST", "/-/drain").status == 200
        assert (
            readiness.drained and call(server.address, "POST", "/-/drain").status == 200
        )  # a second drain is no fault
        assert call(server.address, "POST", "/-/resume").status == 200
        assert not readiness.drained
        wrong = call(server.address, "GET", "/-/drain")
        assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
        assert call(server.address, "GET", "/-/nothing").status == 404
        server.shut_down()  # shut down: no longer ready, and no resume from it
        assert call(server.address, "GET", "/-/ready").status == 503
        assert call(server.address, "POST", "/-/resume").status == 503


def test_not_ready_before_the_pool_is_bound() -> None:
    with administration_server(can_serve=False) as (server, _, _):
        assert call(server.address, "GET", "/-/ready").status == 503


def test_silent_and_partial_clients_time_out_and_block_nobody() -> None:
    """Regression: a silent client held the one thread that serves all connections."""
    with administration_server() as (server, _, _):
        silent = socket.create_connection(server.address)
        half = socket.create_connection(server.address)
        half.sendall(b"GET /-/rea")
        assert call(server.address, "GET", "/-/ready").status == 200
        half.settimeout(WAIT_S)
        assert half.recv(64).startswith(b"HTTP/1.1 408 ")  # answered at its deadline
        silent.settimeout(WAIT_S)
        assert silent.recv(64) == b""  # closed at its deadline, owed nothing
        silent.close()
        half.close()


def test_requests_are_answered_while_silent_clients_hold_every_slot() -> None:
    """Regression: 242 of 269 requests got 503, since a silent connection held its slot for a second.

    With a request timeout beyond the test's own time, no slot comes free by itself.
    """
    with administration_server(most=32, call_wait_s=WAIT_S * 100) as (server, _, _):
        stop = threading.Event()

        def reconnect(partial_request: bytes) -> None:
            while not stop.is_set():
                with contextlib.suppress(OSError), socket.create_connection(server.address, WAIT_S) as sock:
                    sock.sendall(partial_request)
                    sock.settimeout(0.05)  # to see now and then whether the test is over
                    while not stop.is_set():
                        with contextlib.suppress(TimeoutError):
                            if not sock.recv(64):
                                break

        threads = [threading.Thread(target=reconnect, args=(partial,)) for partial in [b"", b"GET /"] * 24]
        for thread in threads:
            thread.start()
        try:
            for _ in range(30):
                assert call(server.address, "GET", "/-/ready").status == 200
        finally:
            stop.set()
            for thread in threads:
                thread.join()


def test_client_that_never_reads_blocks_nobody() -> None:
    with administration_server(most=4) as (server, _, _):
        deaf = [socket.create_connection(server.address) for _ in range(8)]
        for sock in deaf:
            sock.sendall(b"GET /-/metrics HTTP/1.1\r\n\r\n" * 20)  # and sends on after its request
        assert call(server.address, "GET", "/-/ready").status == 200
        for sock in deaf:
            sock.close()


def test_slots_are_half_of_the_own_descriptors() -> None:
    assert [connection_limit(own) for own in (0, 64, 128, 1_000)] == [
        MIN_CONNECTIONS,
        32,
        64,
        MAX_CONNECTIONS,
    ]


@pytest.mark.parametrize(
    "head",
    [
        b"GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"BREW /-/ready HTCPCP/1.0\r\n\r\n",
        b"GET /-/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_invalid_request_is_answered_with_400(head: bytes) -> None:
    with administration_server() as (server, _, _), socket.create_connection(server.address, WAIT_S) as sock:
        sock.sendall(head)
        assert sock.recv(64).startswith(b"HTTP/1.1 400 ")


def test_drain_fails_health_checks_and_serves_on() -> None:
    with world() as w:
        readiness, counters = Readiness(lambda: True), RequestCounters(("read",))
        gate = DrainGate(w.host, readiness, counters)
        w.server.sink, w.server.response_counter = gate, counters
        health = w.balancer()
        health.send(1, path="/status/live", body=b"")
        assert health.answer()[1].status == 200
        readiness.drain()
        health = w.balancer()
        health.send(2, path="/status/live", body=b"")
        assert health.answer()[1].status == 503
        balancer = w.balancer()
        w.serve(balancer, 3)  # requests are still answered
        assert counters.figures()[0]["read"]["served"] == 1 and counters.figures()[1] == 0
        readiness.resume()
        health = w.balancer()
        health.send(4, path="/status/live", body=b"")
        assert health.answer()[1].status == 200
