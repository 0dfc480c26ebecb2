"""Floods by faulty or hostile clients: other clients still get their responses, and limits are kept."""

from __future__ import annotations

import contextlib
import signal
import socket
import threading
from pathlib import Path

from peers import WAIT_S, Balancer, PoolPeer, until, world
from server_helpers import ABORT, BEGIN, in_thread
from server_process import NOWHERE, program

from cairnvane.net import connection, fastcgi


def test_records_of_ended_requests_are_tolerated_up_to_the_limit() -> None:
    with world() as harness:
        balancer = harness.balancer()
        for number in range(1, 4):
            balancer.sock.sendall(ABORT * (connection.MAX_STRAY_RECORDS - 1))
            harness.serve(balancer, number)


def _reader(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(65_536):
            pass


# The data of each flood, and whether its client reads. A client reconnects when its connection is closed.
FLOODS = {
    "records without a request": (fastcgi.record(fastcgi.STDIN, 7, b"") * 1_000, True),
    "management records that are not read": (fastcgi.record(50, 0, b"") * 1_000, False),
    "begun and aborted requests": ((BEGIN + ABORT) * 500, True),
    "more requests than allowed": (
        b"".join(BEGIN[:2] + number.to_bytes(2, "big") + BEGIN[4:] for number in range(1, 600)),
        True,
    ),
    "garbage": (b"GET / HTTP/1.1\r\n\r\n" * 100, True),
    "an oversized record": (fastcgi.record(fastcgi.PARAMS, 1, bytes(60_000)), True),
    "half a record": (BEGIN[:5], True),
}


def test_server_under_floods_answers_drains_and_keeps_its_memory_limit(tmp_path: Path) -> None:
    """Each flood runs on three connections while a balancer is served and the program shuts down."""
    stopped = threading.Event()

    def flood(address: tuple[str, int], data: bytes, reads: bool) -> None:
        while not stopped.is_set():
            with contextlib.suppress(OSError), socket.create_connection(address, 1) as sock:
                if reads:
                    in_thread(lambda: _reader(sock))
                while not stopped.wait(0.001):  # leaves this process time for its own balancer
                    sock.sendall(data)

    pool = PoolPeer()
    with program(tmp_path, f"127.0.0.1:{pool.address[1]}", NOWHERE, stop_ms=5_000) as (process, port):
        assert process.stderr is not None
        in_thread(process.stderr.read)  # a full log pipe would block the server's exit
        floods = [
            threading.Thread(target=flood, args=(("127.0.0.1", port), *data_and_reads), daemon=True)
            for data_and_reads in FLOODS.values()
            for _ in range(3)
        ]
        balancer = Balancer(("127.0.0.1", port))
        pool.next("bind")
        for each in floods:
            each.start()
        for number in range(1, 101):
            balancer.send(number % 32 + 1, HTTP_REQ_ID=f"{number:016x}")
            pool.run(b"done")
            assert balancer.answer()[1].body == b"done"
        status = Path(f"/proc/{process.pid}/status").read_text()
        peak_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        assert peak_kb < 64 * 1_024
        balancer.send(1, HTTP_REQ_ID="a" * 16)
        uid = pool.next("spawn")["uid"]
        process.send_signal(signal.SIGTERM)
        pool.notice("finished", uid, "fine", b"last")
        assert balancer.answer()[1].body == b"last"
        assert process.wait(WAIT_S) == 0
        stopped.set()
        for each in floods:
            each.join(WAIT_S)


def test_concurrent_deep_health_checks_share_one_check_of_the_pool() -> None:
    """Guards against a flood: each check cost the pool CPU time, and this process a timer thread."""
    with world() as harness:
        balancer = harness.balancer()
        for number in range(1, 20):
            balancer.send(number, "/status/live", b"", QUERY_STRING="real=1")
        echo = harness.pool.next("verify")["echo"]
        until(lambda: len(harness.host._health._waiting) == 19)
        harness.pool.tell(action="verified", echo=echo, code="fine")
        assert [balancer.answer()[1].status for _ in range(19)] == [200] * 19
        harness.serve(balancer, 21)  # its `spawn` must be the pool's next command
        balancer.send(20, "/status/live", b"", QUERY_STRING="real=1")
        harness.pool.tell(action="verified", echo=harness.pool.next("verify")["echo"], code="fault")
        assert balancer.answer()[1].status == 503
