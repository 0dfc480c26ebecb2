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

from cairnvane.exchange import HealthCheck, Request, RequestSink
from cairnvane.net import connection, fastcgi
from cairnvane.net.read_buffers import BUFFER_SIZE
from cairnvane.net.request_memory import MEBIBYTE
from cairnvane.net.server import FastCgiServer
from cairnvane.net.suspect_reads import SuspectReads, TurnTicket


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


def _request(number: int) -> bytes:
    """The records of a request."""
    params = {
        "SCRIPT_NAME": "/svc/read",
        "HTTP_REQ_ID": f"{number:016x}",
        "HTTP_REQ_TIME": "0",
        "HTTP_REQ_FROM": "0",
        "HTTP_REQ_KB": "20.5",
    }
    parts = (BEGIN, *(fastcgi.record(kind, 1, data) for kind, data in _contents(params)))
    return b"".join(parts)


def _contents(params: dict[str, str]) -> list[tuple[int, bytes]]:
    return [
        (fastcgi.PARAMS, fastcgi.encode_pairs(params)),
        (fastcgi.PARAMS, b""),
        (fastcgi.STDIN, b""),
    ]


_TAKEN_BACK = _request(0xF00D) + ABORT

# The data of each flood, and whether its client reads. A client reconnects when its connection is closed.
FLOODS = {
    "records without a request": (fastcgi.record(fastcgi.STDIN, 7, b"") * 1_000, True),
    "management records that are not read": (fastcgi.record(50, 0, b"") * 1_000, False),
    "begun and aborted requests": ((BEGIN + ABORT) * 500, True),
    "more requests than allowed": (
        b"".join(BEGIN[:2] + number.to_bytes(2, "big") + BEGIN[4:] for number in range(1, 600)),
        True,
    ),
    "requests that are taken back at once": (_TAKEN_BACK * 100, True),
    "garbage": (b"GET / HTTP/1.1\r\n\r\n" * 100, True),
    "an oversized record": (fastcgi.record(fastcgi.PARAMS, 1, bytes(60_000)), True),
    "half a record": (BEGIN[:5], True),
}


def _peak_kb(pid: int) -> int:
    """The most memory that a process has had, in KiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))


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
        assert _peak_kb(process.pid) < 64 * 1_024
        balancer.send(1, HTTP_REQ_ID="a" * 16)
        uid = pool.next("spawn")["uid"]
        process.send_signal(signal.SIGTERM)
        pool.notice("finished", uid, "fine", b"last")
        assert balancer.answer()[1].body == b"last"
        assert process.wait(WAIT_S) == 0
        stopped.set()
        for each in floods:
            each.join(WAIT_S)


class UnhandledRequests(RequestSink):
    """Counts the requests that were passed and not handled yet; nothing is handled until somebody waits."""

    def __init__(self) -> None:
        self.most = 0
        self._count = 0
        self._lock = threading.Lock()

    def request_arrived(self, request: Request) -> None:
        with self._lock:
            self._count += 1
            self.most = max(self.most, self._count)

    def client_disconnected(self, request: Request) -> None:
        """Counted as a part of its request."""

    def health_check_arrived(self, check: HealthCheck) -> None:
        raise AssertionError("no health check was sent")

    def wait_until_handled(self, timeout_s: float) -> None:
        with self._lock:
            self._count = 0


def test_requests_that_are_taken_back_at_once_never_pile_up_before_the_event_loop() -> None:
    """Guards against clients that abort at once: their requests filled the event loop's queue."""
    clients, requests_each = 4, 400
    most_in_one_read = BUFFER_SIZE // len(_TAKEN_BACK) + 1
    most_before_suspicion = 2 * connection.MAX_OPEN_REQUESTS + most_in_one_read
    sink = UnhandledRequests()
    server = FastCgiServer(("127.0.0.1", 0), sink, clients)
    server.start()

    def take_back_all() -> None:
        client = Balancer(server.address)
        in_thread(lambda: client.sock.sendall(_TAKEN_BACK * requests_each))
        for _ in range(requests_each):
            assert client.answer()[1].status == 0

    floods = [in_thread(take_back_all) for _ in range(clients)]
    for each in floods:
        each.join(WAIT_S)
        assert not each.is_alive()
    server.retire(WAIT_S)
    assert sink.most <= clients * most_before_suspicion + most_in_one_read


HALF_REQUEST_BYTES = 8_000
HALF_REQUESTS = b"".join(
    fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0")
    + fastcgi.record(fastcgi.PARAMS, number, bytes(HALF_REQUEST_BYTES))
    for number in range(1, connection.MAX_OPEN_REQUESTS + 1)
)
MANAGEMENT_QUERY = fastcgi.record(fastcgi.GET_VALUES, 0, b"")


def test_half_requests_of_many_clients_keep_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against a crash by memory: nothing bounded the sum of the requests that were being received."""
    memory_mb, clients = 48, 160
    assert clients * len(HALF_REQUESTS) > 0.8 * memory_mb * MEBIBYTE
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1_024}
    with program(tmp_path, NOWHERE, NOWHERE, limits=limits) as (process, port):
        assert process.stderr is not None
        in_thread(process.stderr.read)
        sockets = []
        for _ in range(clients):
            sock = socket.create_connection(("127.0.0.1", port), WAIT_S)
            sockets.append(sock)
            with contextlib.suppress(ConnectionError):  # the server may end it
                sock.sendall(HALF_REQUESTS + MANAGEMENT_QUERY)
                sock.recv(1)  # the reply to the query, or to a request that was failed
        assert _peak_kb(process.pid) < memory_mb * 1_024
        for sock in sockets:
            sock.close()


def test_requests_over_the_memory_limit_are_rejected_without_having_run() -> None:
    """Guards against a crash by memory: nothing bounded the sum of the requests that awaited an answer."""
    sink = UnhandledRequests()
    server = FastCgiServer(("127.0.0.1", 0), sink, 1, memory_bytes=MEBIBYTE)
    server.start()
    balancer = Balancer(server.address)
    accepted = server.request_memory.max_open_requests
    for number in range(1, accepted + 2):
        balancer.send(number)
    rejected, answer = balancer.answer()
    assert (rejected, answer.status) == (accepted + 1, 503)
    assert sink.most == accepted
    balancer.abort(1)
    assert balancer.answer()[0] == 1
    balancer.send(accepted + 2)
    until(lambda: sink.most == accepted + 1)
    server.retire(0)


def test_reader_of_an_ended_connection_does_not_wait_for_its_turn() -> None:
    """Guards against refused connections: hundreds that had ended held their places until their turn."""
    reads = SuspectReads(lambda timeout_s: None)
    ticket = TurnTicket()
    with reads.turn(TurnTicket()):

        def wait_for_turn() -> None:
            with reads.turn(ticket):
                pass

        reader = in_thread(wait_for_turn)
        until(lambda: ticket in reads._waiting)
        reads.cancel(ticket)
        reader.join(WAIT_S)
        assert not reader.is_alive()


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
