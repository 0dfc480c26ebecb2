"""The administration server: endpoints, and clients that stay silent, send half a request or never read."""

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


def test_endpoints_respond_with_status_and_metrics() -> None:
    with administration_server() as (server, readiness, counters):
        counters.request_accepted()
        counters.response_sent("read", ResponseStatus.SERVED)
        counters.run_started("read")
        counters.request_accepted()
        assert call(server.address, "GET", "/-/ready").status == 200
        metrics = json.loads(call(server.address, "GET", "/-/metrics").body)
        assert metrics["requests"]["read"] == {"served": 1, "refused": 0, "failed": 0, "attempts": 1}
        assert (metrics["in_flight"], metrics["attempts"]) == (1, 1)
        assert call(server.address, "POST", "/-/drain").status == 200
        assert (
            readiness.drained and call(server.address, "POST", "/-/drain").status == 200
        )  # a second drain is not an error
        assert call(server.address, "POST", "/-/resume").status == 200
        assert not readiness.drained
        wrong = call(server.address, "GET", "/-/drain")
        assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
        assert call(server.address, "GET", "/-/nothing").status == 404
        server.shut_down()  # not ready any more, and cannot be resumed
        assert call(server.address, "GET", "/-/ready").status == 503
        assert call(server.address, "POST", "/-/resume").status == 503


def test_not_ready_before_the_pool_is_bound() -> None:
    with administration_server(can_serve=False) as (server, _, _):
        assert call(server.address, "GET", "/-/ready").status == 503


def test_silent_and_partial_clients_time_out_and_do_not_block_others() -> None:
    """Regression: a silent client held the one thread that serves all connections."""
    with administration_server() as (server, _, _):
        silent = socket.create_connection(server.address)
        partial_client = socket.create_connection(server.address)
        partial_client.sendall(b"GET /-/rea")
        assert call(server.address, "GET", "/-/ready").status == 200
        partial_client.settimeout(WAIT_S)
        assert partial_client.recv(64).startswith(b"HTTP/1.1 408 ")  # answered at its deadline
        silent.settimeout(WAIT_S)
        assert silent.recv(64) == b""  # closed at its deadline without a response
        silent.close()
        partial_client.close()


def test_requests_are_answered_while_silent_clients_hold_every_slot() -> None:
    """Regression: 242 of 269 requests got 503, since a silent connection held its slot for a second.

    The request timeout exceeds the duration of the test, so that no slot is freed by a timeout.
    """
    with administration_server(max_connections=32, request_timeout_s=WAIT_S * 100) as (server, _, _):
        stop = threading.Event()

        def reconnect(partial_request: bytes) -> None:
            while not stop.is_set():
                with contextlib.suppress(OSError), socket.create_connection(server.address, WAIT_S) as sock:
                    sock.sendall(partial_request)
                    sock.settimeout(0.05)  # to check periodically whether the test is over
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


def test_client_that_never_reads_does_not_block_others() -> None:
    with administration_server(max_connections=4) as (server, _, _):
        clients = [socket.create_connection(server.address) for _ in range(8)]
        for sock in clients:
            sock.sendall(b"GET /-/metrics HTTP/1.1\r\n\r\n" * 20)  # and more data after the request
        assert call(server.address, "GET", "/-/ready").status == 200
        for sock in clients:
            sock.close()


def test_connection_limit_is_half_of_the_reserved_descriptors() -> None:
    assert [connection_limit(count) for count in (0, 64, 128, 1_000)] == [
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


def test_request_without_a_class_does_not_stay_in_flight() -> None:
    """Regression: its failure was not counted, so the number in flight stayed too high for good."""
    with world() as w:
        counters = RequestCounters(("read",))
        w.server.sink, w.server.response_counter = (
            DrainGate(w.host, Readiness(lambda: True), counters),
            counters,
        )
        balancer = w.balancer()
        balancer.send(1, path="/svc/")
        assert balancer.answer()[1].status == 500
        assert counters.snapshot().in_flight == 0


def test_request_that_is_rejected_for_its_memory_is_counted_once() -> None:
    """Guards against untrue figures: it is refused without having been in flight."""
    with world() as w:
        counters = RequestCounters(("read",))
        w.server.sink, w.server.response_counter = (
            DrainGate(w.host, Readiness(lambda: True), counters),
            counters,
        )
        w.server.request_memory.max_open_requests = 0
        balancer = w.balancer()
        balancer.send(1)
        assert balancer.answer()[1].status == 503
        w.server.request_memory.max_open_requests = 1
        _, uid = w.running(2)
        snapshot = counters.snapshot()
        assert (snapshot.requests["read"]["refused"], snapshot.in_flight) == (1, 1)
        w.pool.notice("finished", uid, "fine", b"done")


def test_drain_fails_health_checks_and_continues_to_serve() -> None:
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
        assert counters.snapshot()[0]["read"]["served"] == 1 and counters.snapshot()[1] == 0
        readiness.resume()
        health = w.balancer()
        health.send(4, path="/status/live", body=b"")
        assert health.answer()[1].status == 200
