"""Scripted peers on loopback, and a server in this process that talks to them, for tests over sockets.

`world` starts the server. `Balancer`, `PoolPeer`, `VaultPeer` and `RosterPeer` simulate the systems around
it, each with its own connection or `Listener`. `Held` forces the order of two events.
"""

from __future__ import annotations

import base64
import contextlib
import json
import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, ClassVar

import pytest

from cairnvane.idempotency.durability import DurableKeys
from cairnvane.idempotency.store import IdempotencyStore
from cairnvane.net import fastcgi
from cairnvane.net.connection import Connection
from cairnvane.net.server import FastCgiServer
from cairnvane.net.worker_pool import WorkerPool
from cairnvane.server.event_loop import EventLoop
from cairnvane.simulator.settings_reader import read_settings

WAIT_S = 20  # time limit for waiting; only failing tests reach it
RECEIVE_SIZE = 4_096
LARGE_RECEIVE_SIZE = 65_536
LINK_THREAD_NAME = "worker pool link"
TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
WINDOW_US = 8_000_000
PARAMS: dict[str, Any] = {
    "Classes": [
        {"Name": "read", "OnTimeUs": 3_000_000, "GiveUpUs": 9_000_000},
        {
            "Name": "write",
            "OnTimeUs": 3_000_000,
            "GiveUpUs": 9_000_000,
            "Worth": 3.0,
            "Repeat": "guarded",
            "WindowUs": WINDOW_US,
            "LateWorth": 0.2,
        },
    ],
    "Extra": {
        "Cores": 4,
        "HeapKb": 10_000.0,
        "RunFactor": 8.0,
        "KeyKb": 1.0,
        "Halt": "drop",
        "Say": "credit",
        "Downstream": "shared",
        "FairCalls": 8.0,
        "CallsOverUs": 5_000_000,
        "LingerUs": 0,
        "ClientsTotal": 3,
        "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
    },
    "Guarantees": {"TipMultiple": 8.0, "StopSendingWithinUs": 0},
    "Limits": {"MaxRetryAfterUs": 1_000_000},
}


def until(condition: Callable[[], object]) -> None:
    """Poll until a condition holds for which there is no event to wait for."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.001)


def expect_thread_errors(monkeypatch: pytest.MonkeyPatch, *kinds: type[BaseException]) -> None:
    """Allow threads to end by errors of these kinds; any other error still fails the test."""
    report = threading.excepthook

    def report_others(args: threading.ExceptHookArgs) -> None:
        if not issubclass(args.exc_type, kinds):
            report(args)

    monkeypatch.setattr(threading, "excepthook", report_others)


class Held:
    """A wrapper of a function that blocks the first matching call at its start until `go` is set.

    This forces the order of two concurrent events. `meant` selects the calls that match, since threads of an
    earlier test may call the function as well. `reached` is set when a call is blocked.
    """

    overdue: ClassVar[list[str]] = []  # calls that were not released in time; the caller may catch the error

    def __init__(self, function: Callable[..., Any], meant: Callable[..., bool] = lambda *_: True) -> None:
        self._function = function
        self._matches = meant
        self.reached = threading.Event()
        self.go = threading.Event()

    def __call__(self, *args: Any, **named: Any) -> Any:
        if not self.reached.is_set() and self._matches(*args):
            self.reached.set()
            if not self.go.wait(WAIT_S):
                self.overdue.append(repr(self._function))
                raise AssertionError("a blocked call was not released in time")
        return self._function(*args, **named)


class Listener:
    """A listening socket; a script serves each connection in its own thread until the end of the test.

    A script may end by a connection error; any other error fails the test.
    """

    _all: ClassVar[list[Listener]] = []

    def __init__(self, script: Callable[[socket.socket], None]) -> None:
        self._script = script
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._socket.getsockname()
        self._connections: list[tuple[socket.socket, threading.Thread]] = []
        self._accept_thread = threading.Thread(target=self._accept, daemon=True)
        self._accept_thread.start()
        self._all.append(self)

    @classmethod
    def end_all(cls) -> None:
        """End all listeners of this test, so that errors in their scripts are reported for this test."""
        while cls._all:
            cls._all.pop().end()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._socket.accept()
                thread = threading.Thread(target=self._serve, args=(sock,), daemon=True)
                self._connections.append((sock, thread))
                thread.start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(ConnectionError):
            self._script(sock)

    def close(self) -> None:
        """Accept no more connections."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def end(self) -> None:
        """Accept no more connections, shut down the open ones, and wait until all scripts have ended."""
        self.close()
        self._accept_thread.join(WAIT_S)
        assert not self._accept_thread.is_alive()
        for sock, thread in self._connections:
            with contextlib.suppress(OSError):  # the script has closed it
                sock.shutdown(socket.SHUT_RDWR)
            thread.join(WAIT_S)
            assert not thread.is_alive(), "a script did not end after its connection was shut down"


class RosterPeer:
    """A service registry that answers each report with the same reply, or never if it is None.

    `reports` holds the complete reports.
    """

    def __init__(self, reply: bytes | None) -> None:
        self.reports: queue.Queue[bytes] = queue.Queue()
        self.stopping = threading.Event()  # set before the server is stopped, which may truncate a report
        self._reply = reply
        self.address = Listener(self._serve).address

    def _serve(self, sock: socket.socket) -> None:
        report = b""
        while not report.endswith(b"}"):
            chunk = sock.recv(RECEIVE_SIZE)
            if not chunk:
                assert self.stopping.is_set(), f"a connection ended within a report: {report!r}"
                return
            report += chunk
        self.reports.put(report)
        if self._reply is None:
            sock.recv(1)  # until the server closes it
        else:
            sock.sendall(self._reply)


class PoolPeer:
    """A worker pool that runs nothing by itself; it answers polls, and `bind` commands if `bound` is set.

    `commands` holds the other commands in order of arrival.
    """

    def __init__(self, bound: bool = True) -> None:
        self.commands: queue.Queue[dict[str, Any]] = queue.Queue()
        self.bound = bound
        self.linked = threading.Event()  # set when the link is bound, after which commands arrive
        self.silent_after: str | None = None  # polls are not answered after a command with this action
        self.started = time.monotonic() - 60
        self._link: socket.socket | None = None
        self._pos = 0
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def _serve(self, sock: socket.socket) -> None:
        self._link = sock
        polls_unanswered = False
        with sock.makefile("rb") as lines:
            for line in lines:
                if not line.endswith(b"\n"):
                    return  # the link was closed in the middle of a command
                command = json.loads(line)
                polls_unanswered = polls_unanswered or command["action"] == self.silent_after
                if command["action"] == "poll":
                    if polls_unanswered:
                        continue
                    self.linked.set()
                    self.tell(action="polled", echo=command["echo"], meters=[0.5, 1.0, 0.1, 2.0])
                    continue
                self.commands.put(command)
                if command["action"] == "bind" and self.bound:
                    age_ms = (time.monotonic() - self.started) * 1e3
                    self.tell(action="bound", code="running", wall_ms=age_ms)

    def tell(self, **message: Any) -> None:
        """Send a message with these fields."""
        assert self._link is not None
        self._link.sendall(json.dumps(message).encode() + b"\n")

    def skip(self, count: int) -> None:
        """Skip `count` notice numbers, which were used by notices from another address."""
        self._pos += count

    def raw(self, data: bytes) -> None:
        """Send raw bytes."""
        assert self._link is not None
        self._link.sendall(data)

    def notice(
        self,
        action: str,
        uid: str,
        code: str = "",
        content: bytes = b"",
        again: bool = False,
    ) -> None:
        """Send a numbered notice; with `again`, reuse the number of the last one."""
        self._pos += not again
        self.tell(
            action=action,
            pos=self._pos,
            uid=uid,
            code=code,
            wall_ms=5,
            content=base64.b64encode(content).decode(),
        )

    def next(self, action: str) -> dict[str, Any]:
        """Wait for the next command, which must have this action; return it with decoded content."""
        command = self.commands.get(timeout=WAIT_S)
        assert command["action"] == action, command
        if "content" in command:
            command["content"] = base64.b64decode(command["content"])
        return command

    def run(self, result: bytes = b"done", code: str = "fine") -> dict[str, Any]:
        """Receive the next `spawn` command, report the end of its run, and return the command."""
        command = self.next("spawn")
        self.notice("finished", command["uid"], code, result if code == "fine" else b"")
        return command

    def restart(self) -> None:
        """Simulate a restart: the pool's age and the notice numbers begin anew."""
        self._pos = 0
        self.started = time.monotonic()

    def cut(self) -> None:
        """Shut the link down if it is open."""
        if self._link is not None:
            with contextlib.suppress(OSError):
                self._link.shutdown(socket.SHUT_RDWR)


class VaultPeer:
    """A vault that answers each call with its next reply, if any is left; `calls` holds the calls."""

    def __init__(self, *replies: bytes) -> None:
        self.calls: queue.Queue[bytes] = queue.Queue()
        self.closed = threading.Event()  # set when the server closes the connection of an unanswered call
        self._replies = list(replies)
        self.address = Listener(self._serve).address

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data or not data.partition(b"\r\n\r\n")[2]:
            chunk = sock.recv(RECEIVE_SIZE)
            if not chunk:
                return  # the call was cancelled before it was sent completely
            data += chunk
        self.calls.put(data)
        if self._replies:
            sock.sendall(self._replies.pop(0))
        else:
            sock.recv(1)
            self.closed.set()


def reply(status: int, body: bytes = b"", unseen: bool = False) -> bytes:
    """A vault's HTTP reply; `unseen` adds the header that states that the call did not run."""
    header = b"X-Refused-Unseen: 1\r\n" if unseen else b""
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, header, len(body), body)


@dataclass
class Answer:
    """A response as read by a balancer."""

    status: int  # 0: the request ended without a response
    headers: dict[str, str]
    body: bytes
    protocol: int  # the protocol status of FastCGI


class ConnectionEndedError(AssertionError):
    """The server has closed a connection on which an answer is expected."""


@dataclass
class Balancer:
    """One connection of a balancer to the server."""

    address: tuple[str, int]
    sock: socket.socket = field(init=False)
    _output: dict[int, bytearray] = field(default_factory=dict)  # by request number
    _unparsed: bytes = b""

    def __post_init__(self) -> None:
        self.sock = socket.create_connection(self.address, WAIT_S)

    def fields(self, number: int, path: str, **more: str) -> dict[str, str]:
        """The parameters of a valid request, updated by `more`; empty ones are omitted."""
        defaults = {
            "SCRIPT_NAME": path,
            "REQUEST_METHOD": "POST",
            "HTTP_REQ_ID": f"{number:016x}",
            "HTTP_REQ_TIME": str(time.time_ns() // 1_000_000),
            "HTTP_REQ_FROM": "0",
            "HTTP_REQ_KB": "20.5",
            "HTTP_REQ_RANK": "0.5",
        }
        return {name: value for name, value in (defaults | more).items() if value}

    def request(self, number: int, path: str = "/svc/read", body: bytes = b"x", **more: str) -> bytes:
        """The FastCGI records of a request; its id is its number unless `more` contains another."""
        params = fastcgi.encode_pairs(self.fields(number, path, **more))
        return b"".join(
            [
                fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0"),
                fastcgi.record(fastcgi.PARAMS, number, params),
                fastcgi.record(fastcgi.PARAMS, number, b""),
                *([fastcgi.record(fastcgi.STDIN, number, body)] if body else []),
                fastcgi.record(fastcgi.STDIN, number, b""),
            ]
        )

    def send(self, number: int, path: str = "/svc/read", body: bytes = b"x", **more: str) -> None:
        """Send a request."""
        self.sock.sendall(self.request(number, path, body, **more))

    def abort(self, number: int) -> None:
        """Abort a request."""
        self.sock.sendall(fastcgi.record(fastcgi.ABORT_REQUEST, number, b""))

    def read(self, count: int) -> bytes:
        """The next bytes, as many as `count`, unparsed."""
        with self.sock.makefile("rb") as stream:
            return stream.read(count)

    def answer(self) -> tuple[int, Answer]:
        """The next answer and the number of its request."""
        while True:
            record = self._next_record()
            if record.kind == fastcgi.STDOUT:
                self._output.setdefault(record.request, bytearray()).extend(record.content)
            elif record.kind == fastcgi.END_REQUEST:
                head, _, body = bytes(self._output.pop(record.request, b"")).partition(b"\r\n\r\n")
                headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if line)
                status = int(headers.get("Status", "0 ").split(" ")[0])
                return record.request, Answer(status, headers, body, record.content[4])

    def _next_record(self) -> fastcgi.Record:
        while True:
            found = fastcgi.read_record(memoryview(self._unparsed), 0, len(self._unparsed))
            if found is not None:
                record, size = found
                self._unparsed = self._unparsed[size:]
                return record
            chunk = self.sock.recv(LARGE_RECEIVE_SIZE)
            if not chunk:
                raise ConnectionEndedError("the server has closed the connection")
            self._unparsed += chunk

    def ended(self) -> bool:
        """Wait until the server closes the connection; discard all data before."""
        with contextlib.suppress(ConnectionResetError):
            while self.sock.recv(LARGE_RECEIVE_SIZE):
                pass
        return True


@dataclass
class ReconnectingBalancer(Balancer):
    """A balancer that opens a new connection where the server has closed an idle one, as the protocol allows.

    A request that crosses such a close is sent again on a new connection, once. The close of a connection
    with another open request remains an error.
    """

    _open_requests: int = 0
    _crossing: bytes | None = None  # a request that was sent on an idle connection and has no answer yet

    def send(self, number: int, path: str = "/svc/read", body: bytes = b"x", **more: str) -> None:
        """Send a request, on a new connection if this one has been closed."""
        data = self.request(number, path, body, **more)
        is_idle = not self._open_requests
        if is_idle and self._is_closed():
            self._reconnect()
        self._crossing = data if is_idle else None
        self._open_requests += 1
        try:
            self.sock.sendall(data)
        except ConnectionError:
            self._send_again()

    def answer(self) -> tuple[int, Answer]:
        """The next answer and the number of its request."""
        try:
            answer = super().answer()
        except (ConnectionError, ConnectionEndedError):
            self._send_again()
            answer = super().answer()
        self._open_requests -= 1
        self._crossing = None
        return answer

    def _is_closed(self) -> bool:
        self.sock.setblocking(False)
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError:
            return True
        finally:
            self.sock.settimeout(WAIT_S)

    def _reconnect(self) -> None:
        self.sock.close()
        self.sock = socket.create_connection(self.address, WAIT_S)

    def _send_again(self) -> None:
        crossing = self._crossing
        self._crossing = None
        if crossing is None:
            raise ConnectionEndedError("the server has closed a connection with an open request")
        self._reconnect()
        self.sock.sendall(crossing)


@dataclass
class World:
    """A server in this process and its peers."""

    pool: PoolPeer
    vault: VaultPeer
    server: FastCgiServer
    host: EventLoop
    balancers: list[Balancer] = field(default_factory=list)  # referenced, since unreferenced sockets close

    @property
    def connection(self) -> Connection:
        """The server's side of the only balancer connection."""
        until(lambda: len(self.server._connections) == 1)
        return next(iter(self.server._connections))

    def balancer(self) -> Balancer:
        """Open a new balancer connection."""
        self.balancers.append(Balancer(self.server.address))
        return self.balancers[-1]

    def serve(self, balancer: Balancer, number: int, **fields: Any) -> Answer:
        """Send a request, let the pool run it, and return its response, which must have status 200."""
        balancer.send(number, **fields)
        self.pool.run()
        answered_number, answer = balancer.answer()
        assert (answered_number, answer.status) == (number, 200)
        return answer

    def running(self, number: int = 1, **fields: Any) -> tuple[Balancer, str]:
        """Open a connection, send a request that starts to run, and return the connection and the uid."""
        balancer = self.balancer()
        balancer.send(number, **fields)
        return balancer, self.pool.next("spawn")["uid"]

    def end(self, balancer: Balancer, uid: str, body: bytes = b"done") -> None:
        """Report the successful end of a run, and check its response."""
        self.pool.notice("finished", uid, "fine", body)
        assert balancer.answer()[1].body == body

    def block(self, balancer: Balancer, **fields: Any) -> str:
        """Send request number 1, let its run ask for a call to the vault, and return its uid."""
        balancer.send(1, **fields)
        uid: str = self.pool.next("spawn")["uid"]
        self.pool.notice("blocked", uid, content=b"call")
        return uid


def _end_link(pool: WorkerPool, before: set[threading.Thread]) -> None:
    """End the pool's link, which the server itself never does, and wait for its threads.

    Only threads that are not in `before` are awaited. One that continues could affect or fail a later test.
    """
    link = pool._link
    with link._lock:
        link._address_changes += 1
        newest_writer = link._newest_writer
    if newest_writer is not None:
        newest_writer.abort()
    for thread in set(threading.enumerate()) - before:
        if thread.name == LINK_THREAD_NAME:
            thread.join(WAIT_S)
            assert not thread.is_alive(), "a thread of the pool's link did not end"


@contextlib.contextmanager
def world(
    *replies: bytes,
    bound: bool = True,
    most: int = 16,
    keeper: IdempotencyStore | None = None,
    peer: PoolPeer | None = None,
    pos: int | None = 0,
    **extra: Any,
) -> Iterator[World]:
    """Run a server.

    `replies` are the replies of the vault, `extra` overrides entries of the settings' `Extra`, and `keeper`
    is the store that makes idempotency keys durable. With a store, `peer` may be the pool of an earlier
    incarnation. `pos` is the notice number of the expected `bind` command (None: don't wait for it).
    """
    settings, gauges = read_settings(json.dumps(PARAMS | {"Extra": PARAMS["Extra"] | extra}))
    pool = peer or PoolPeer(bound)
    vault = VaultPeer(*replies)
    pool.linked.clear()
    host = EventLoop(settings, gauges, seed=1)
    threads_before = set(threading.enumerate())
    link = WorkerPool(pool.address, host)
    server = FastCgiServer(("127.0.0.1", 0), host, most)
    durable_keys = DurableKeys(keeper, settings) if keeper is not None else None
    host.connect(server, link, vault.address, durable_keys)
    thread = threading.Thread(target=host.serve, daemon=True)
    thread.start()
    if durable_keys is not None:
        durable_keys.start(host, link, lambda why: None)
    else:
        link.start()
    server.start()
    if pos is not None:
        assert pool.next("bind")["pos"] == pos
        assert pool.linked.wait(WAIT_S if bound else 0) is bound
    try:
        yield World(pool, vault, server, host)
    finally:
        server.retire(0)
        host.stop()
        thread.join(WAIT_S)
        pool.cut()  # so that commands of this server don't reach the next one
        _end_link(link, threads_before)
