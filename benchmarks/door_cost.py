"""What the operators' door costs: counting on the serving path beside no counting, and the door's answer with
callers that say nothing beside one without them."""

from __future__ import annotations

import socket
import statistics
import threading
import time

import table

from cairnvane.administration import Readiness, RequestCounters
from cairnvane.administration.endpoints import Endpoints
from cairnvane.administration.http_server import MOST_CALLERS, AdministrationServer
from cairnvane.exchange import ResponseStatus
from cairnvane.net import http

CLASSES = ("price-view", "bid-update", "bid-commit")
ROUNDS = 200_000
CALLS = 300
# Callers that say nothing, each back at once when it is closed: all places are theirs, three times over.
SILENT = 3 * MOST_CALLERS


def counting(rounds: int, tally: RequestCounters | None) -> float:
    """Microseconds a request for what the front does with the door on (taken, attempted, ended), or off."""
    start = time.perf_counter()
    for number in range(rounds):
        lane = CLASSES[number % 3]
        if tally is not None:
            tally.request_accepted()
            tally.run_started(lane)
            tally.response_sent(lane, ResponseStatus.SERVED)
    return (time.perf_counter() - start) / rounds * 1e6


def answers(address: tuple[str, int], count: int) -> tuple[list[float], int]:
    """Milliseconds from connect to the whole answer of /-/metrics, and how many were not 200."""
    took, no = [], 0
    for _ in range(count):
        start = time.perf_counter()
        with socket.create_connection(address, 5) as sock:
            sock.sendall(http.request("GET", "/-/metrics", address, {}, b""))
            no += http.read_reply(sock, time.monotonic() + 5).status != 200
        took.append((time.perf_counter() - start) * 1e3)
    return took, no


def main() -> None:
    plain, counted = counting(ROUNDS, None), counting(ROUNDS, RequestCounters(CLASSES))
    table.show(
        "Counting on the serving path, µs a request",
        ("door", "µs", "beside off"),
        [("off", plain, 1.0), ("on", counted, counted / plain if plain else float("inf"))],
    )
    duty = Readiness(lambda: True)
    tally = RequestCounters(CLASSES)
    door = AdministrationServer(("127.0.0.1", 0), Endpoints(duty, tally), duty)
    door.start()
    rows = []
    quiet = answers(door.address, CALLS)
    silent = [socket.create_connection(door.address) for _ in range(SILENT)]
    stop = threading.Event()

    def keep_silent() -> None:  # each closed at its deadline comes back at once
        while not stop.is_set():
            for at, sock in enumerate(silent):
                sock.setblocking(False)
                try:
                    if sock.recv(1) == b"":
                        silent[at] = socket.create_connection(door.address)
                except BlockingIOError:
                    pass
            stop.wait(0.005)

    thread = threading.Thread(target=keep_silent, daemon=True)
    thread.start()
    crowded = answers(door.address, CALLS)
    stop.set()
    thread.join()
    for name, (took, no) in (("no other callers", quiet), (f"{SILENT} callers saying nothing", crowded)):
        took.sort()
        rows.append((name, statistics.median(took), took[int(len(took) * 0.99)], took[-1], no))
    table.show("/-/metrics, ms from connect to answer", ("beside", "median", "99th", "most", "not 200"), rows)
    door.close()


if __name__ == "__main__":
    main()
