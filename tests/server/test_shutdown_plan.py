"""How much time a shutdown plans for, and that a process in use ends within that time."""

from __future__ import annotations

import signal
import threading
from pathlib import Path
from typing import Any

import pytest
from peers import PARAMS, WAIT_S, Balancer, PoolPeer, until
from server_process import NOWHERE, program, wait_for_log

from cairnvane.claims.incarnations import INCARNATIONS_FOLDER, Incarnations, Liveness
from cairnvane.contract.settings import RequestClass, Settings
from cairnvane.server.shutdown_plan import plan_shutdown

# Longer than the interval between requests, so that a request is always open on the connection.
CLIENT_TIMEOUT_US = 300_000
REQUEST_INTERVAL_S = 0.02
# The platform's time until the kill; far longer than this test may take.
LATE_STOP_MS = 60_000


def settings(*client_timeouts_s: float, drain_grace_s: float = 0.0) -> Settings:
    classes = tuple(
        RequestClass(f"class-{number}", latency_objective=100_000, client_timeout=int(timeout_s * 1e6))
        for number, timeout_s in enumerate(client_timeouts_s)
    )
    return Settings(cores=4, memory=10_000.0, classes=classes, drain_grace=int(drain_grace_s * 1e6))


@pytest.mark.parametrize("handover", [True, False])
@pytest.mark.parametrize(
    ("stop_ms", "client_timeouts_s", "time_left_s"),
    [
        (3_200, (0.85, 1.45), 1.85),  # 0.7 s after the longest timeout, less the margin
        (60_000, (23.2,), 3.4),  # at most 3 s of the timeout count
        (2_000, (23.2,), 1.7),  # `stop_ms` is earlier
        (100, (1.0,), 0.0),
    ],
)
def test_time_left_ends_before_the_earliest_kill(
    handover: bool, stop_ms: int, client_timeouts_s: tuple[float, ...], time_left_s: float
) -> None:
    """Guards against requests lost at a SIGKILL that comes before `stop_ms`."""
    shutdown = plan_shutdown(stop_ms, settings(*client_timeouts_s), handover)
    assert shutdown.time_left_s == pytest.approx(time_left_s)
    assert shutdown.handover is handover


def test_grace_is_part_of_the_time_left_and_none_at_a_handover() -> None:
    short, long = settings(1.0, drain_grace_s=0.5), settings(1.0, drain_grace_s=30.0)
    assert plan_shutdown(60_000, short, handover=False).grace_s == 0.5
    assert plan_shutdown(60_000, long, handover=False).grace_s == pytest.approx(1.4)
    assert plan_shutdown(60_000, long, handover=True).grace_s == 0.0


class BusyBalancer:
    """Sends requests on one connection until the server ends it, without waiting for the answers."""

    def __init__(self, port: int) -> None:
        self.ended = threading.Event()
        self.answered: set[int] = set()
        self._balancer = Balancer(("127.0.0.1", port))
        self._sender = threading.Thread(target=self._send, daemon=True)
        self._sender.start()
        threading.Thread(target=self._read, daemon=True).start()

    def _send(self) -> None:
        number = 0
        while not self.ended.wait(REQUEST_INTERVAL_S):
            number += 1
            try:
                self._balancer.send(number)
            except OSError:
                return

    def _read(self) -> None:
        try:
            while True:
                self.answered.add(self._balancer.answer()[0])
        except (AssertionError, ConnectionError):
            self.ended.set()

    def join(self) -> None:
        assert self.ended.wait(WAIT_S), "the connection in use has not ended"
        self._sender.join(WAIT_S)
        self._balancer.sock.close()


@pytest.mark.parametrize("handover", [True, False])
def test_process_with_a_connection_in_use_ends_before_the_earliest_kill(
    tmp_path: Path, handover: bool
) -> None:
    """Guards against an old process that still answers on a busy connection when it is killed.

    It planned its end by `stop_ms` alone, which is a minute here.
    """
    classes = [{"Name": "read", "OnTimeUs": CLIENT_TIMEOUT_US, "GiveUpUs": CLIENT_TIMEOUT_US}]
    guarantees = PARAMS["Guarantees"] | {"StopSendingWithinUs": LATE_STOP_MS * 1_000}  # requests still run
    settings_file = PARAMS | {"Classes": classes, "Guarantees": guarantees}
    overrides: dict[str, Any] = {"settings": settings_file, "stop_ms": LATE_STOP_MS}
    pools = PoolPeer(), PoolPeer()
    addresses = ["{}:{}".format(*pool.address) for pool in pools]
    with program(tmp_path, addresses[0], NOWHERE, **overrides) as (old, port):
        pools[0].next("bind")
        busy = BusyBalancer(port)
        pools[0].next("spawn")
        if handover:
            with program(tmp_path, addresses[1], NOWHERE, listen=f"127.0.0.1:{port}", **overrides):
                pools[1].next("bind")
                _wait_until_both_are_ready(tmp_path)
                old.send_signal(signal.SIGTERM)
                wait_for_log(old, "hands over")
                busy.join()
        else:
            old.send_signal(signal.SIGTERM)
            busy.join()
        assert old.wait(WAIT_S) == 0
    assert busy.answered >= set(range(1, max(busy.answered) + 1)), "a request before an answered one is lost"


def _wait_until_both_are_ready(tmp_path: Path) -> None:
    incarnations = Incarnations(tmp_path / INCARNATIONS_FOLDER / "n3")
    incarnations.number = 0
    ready = (Liveness.ALIVE, True)
    until(lambda: [incarnations.status(number) for number in incarnations.others()] == [ready, ready])
