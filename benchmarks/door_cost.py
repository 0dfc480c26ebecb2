"""Cost of the administration endpoint: counters on the serving path, and responses under silent clients."""

from __future__ import annotations

import socket
import statistics
import threading
import time

import table

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.endpoints import Endpoints
from cairnvane.administration.http_server import MAX_CONNECTIONS, AdministrationServer
from cairnvane.exchange import ResponseStatus
from cairnvane.net import http

CLASSES = ("price-view", "bid-update", "bid-commit")
ROUNDS = 200_000
CALLS = 300
# Clients that send nothing and reconnect at once when closed: three times as many as there are slots.
SILENT_CLIENTS = 3 * MAX_CONNECTIONS


def counting_cost_us(rounds: int, counters: RequestCounters | None) -> float:
    """Microseconds per request that the server spends on the counters; None: without counters."""
    start = time.perf_counter()
    for number in range(rounds):
        class_name = CLASSES[number % 3]
        if counters is not None:
            counters.request_accepted()
            counters.run_started(class_name)
            counters.response_sent(class_name, ResponseStatus.SERVED)
    return (time.perf_counter() - start) / rounds * 1e6


def request_metrics(address: tuple[str, int], count: int) -> tuple[list[float], int]:
    """Milliseconds from connecting to the end of each /-/metrics response, and the number of failures."""
    durations_ms = []
    failures = 0
    for _ in range(count):
        start = time.perf_counter()
        with socket.create_connection(address, 5) as sock:
            sock.sendall(http.request("GET", "/-/metrics", address, {}, b""))
            failures += http.read_reply(sock, time.monotonic() + 5).status != 200
        durations_ms.append((time.perf_counter() - start) * 1e3)
    return durations_ms, failures


def main() -> None:
    """Measure the cost of the counters and the response times, in one run."""
    without_counters_us = counting_cost_us(ROUNDS, None)
    with_counters_us = counting_cost_us(ROUNDS, RequestCounters(CLASSES))
    table.show(
        "Counting on the serving path, µs per request",
        ("counters", "µs", "relative to off"),
        [
            ("off", without_counters_us, 1.0),
            (
                "on",
                with_counters_us,
                with_counters_us / without_counters_us if without_counters_us else float("inf"),
            ),
        ],
    )
    readiness = Readiness(lambda: True)
    counters = RequestCounters(CLASSES)
    server = AdministrationServer(("127.0.0.1", 0), Endpoints(readiness, counters), readiness)
    server.start()
    rows = []
    undisturbed = request_metrics(server.address, CALLS)
    silent = [socket.create_connection(server.address) for _ in range(SILENT_CLIENTS)]
    stop = threading.Event()

    def reconnect_silent_clients() -> None:  # at once when the server closes a connection at its deadline
        while not stop.is_set():
            for index, sock in enumerate(silent):
                sock.setblocking(False)
                try:
                    if sock.recv(1) == b"":
                        silent[index] = socket.create_connection(server.address)
                except BlockingIOError:
                    pass
            stop.wait(0.005)

    thread = threading.Thread(target=reconnect_silent_clients, daemon=True)
    thread.start()
    disturbed = request_metrics(server.address, CALLS)
    stop.set()
    thread.join()
    for name, (durations_ms, failures) in (
        ("no other clients", undisturbed),
        (f"{SILENT_CLIENTS} silent clients", disturbed),
    ):
        durations_ms.sort()
        percentile_99 = durations_ms[int(len(durations_ms) * 0.99)]
        rows.append((name, statistics.median(durations_ms), percentile_99, durations_ms[-1], failures))
    table.show("/-/metrics, ms from connect to response", ("load", "median", "99th", "max", "not 200"), rows)
    server.close()


if __name__ == "__main__":
    main()
