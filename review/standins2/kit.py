"""Stand-ins for the platform of one bid server, for the cases 6 to 10: pool, vault, roster and balancers.

All of them run in one asyncio loop. The machine knows every request that was written to its bid server, so
that its worker pool can tell an unknown request from one that is over. The program under test is started with
the command `run` of the deploy file, from the root of the repository.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
KEPT_NOTICES = 4_000
MAX_OPEN = 32
# Connections that a balancer keeps which also opens new ones now and then.
MAX_KEPT_LINKS = 4
# A case that takes longer could not run.
LONGEST_S = 112.0
# The last lines of the program's log that go into the record.
LOG_LINES = 30


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def settings(**extra: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the example of the wire page, with some keys replaced."""
    values: dict[str, Any] = {
        "Charges": {"Connection": 0.0, "Handshake": 0.0, "LateFail": 0.05, "Origin": 0.011, "Waste": 0.03},
        "Classes": [
            _class("price-view", 3_400_000, 1_400_000, 1.0, 0.0, "free", 5_000_000),
            _class("bid-update", 5_800_000, 2_300_000, 2.0, 0.0, "free", 5_000_000),
            _class("bid-commit", 5_800_000, 2_300_000, 3.0, 0.2, "guarded", 17_364_000),
        ],
        "Clients": {"MarksRetry": False},
        "Extra": {
            "CallsOverUs": 5_000_000,
            "ClassCalls": [True, False, True],
            "ClassSkipWorth": [0.0, 0.0, 0.0],
            "ClientsTotal": 3,
            "Cores": 6,
            "DeepChecks": True,
            "Downstream": "shared",
            "FairCalls": 7.5,
            "Halt": "drop",
            "HeapKb": 96_744.0,
            "HeededUs": 1_000_000,
            "IdleUs": 15_000_000,
            "JustStarted": False,
            "KeyKb": 184.5,
            "LingerUs": 200_000,
            "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "PassesDeadline": False,
            "Readiness": False,
            "RunFactor": 16.0,
            "Say": "credit",
            "ShareForUs": 0,
            "TellsGone": True,
        }
        | extra,
        "Family": "server",
        "Guarantees": {
            "AnswerSlackUs": 100_000,
            "ColdFrom": 0.27,
            "ColdUs": 16_000_000,
            "OverloadForUs": 1_500_000,
            "StopSendingWithinUs": 2_500_000,
            "TipMultiple": 8.0,
        },
        "Layers": ["bid-servers"],
        "Limits": {
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 62_854,
            "MaxRetryAfterUs": 1_000_000,
            "RetryAfter": True,
        },
        "Locality": 0,
        "MyNumber": 0,
        "OverShareWorth": 0.1,
        "PeersTotal": 1,
        "Report": {"Fields": [], "How": "silent"},
        "RoundUs": 2_000,
        "Tenants": [],
        "Tier": 0,
        "WorthBy": "request",
        "Zones": ["bayanzurkh"],
    }
    return values


def _class(
    name: str, give_up: int, on_time: int, worth: float, late: float, repeat: str, window: int
) -> dict[str, Any]:
    return {
        "GiveUpUs": give_up,
        "LateWorth": late,
        "Name": name,
        "OnTimeUs": on_time,
        "Repeat": repeat,
        "WindowUs": window,
        "Worth": worth,
    }


class Record:
    """The file `record.txt` of a case: a line for each event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        """Write one event."""
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one event and print it."""
        self.line(text)
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(eq=False)
class Known:
    """A request that was written to the bid server."""

    uid: str
    lane: str
    body: bytes
    token: str | None
    req_ms: int
    over: bool = False
    runs: int = 0


@dataclass(eq=False)
class Run:
    """A run in a worker pool."""

    known: Known
    started: float
    blocked: bool = False
    supplied: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


class Machine:
    """What the machine of one bid server knows: the requests that came, and their runs."""

    def __init__(self, record: Record, cores: int = 6) -> None:
        self.record = record
        self.cores = cores
        self.known: dict[str, Known] = {}
        self.runs_by_token: dict[str, list[tuple[str, float]]] = {}
        self.pools: list[Pool] = []
        self.results: dict[str, set[bytes]] = {}  # by uid
        self.on_core = 0

    def results_of(self, known: Known) -> set[bytes]:
        """Return the results that any try of this request may be served with."""
        found = set(self.results.get(known.uid, set()))
        if known.token is not None:
            for uid, _ in self.runs_by_token.get(known.token, []):
                found |= self.results.get(uid, set())
        return found

    def gauges(self) -> list[float]:
        """Return the gauges, in the order of the settings."""
        return [min(1.0, self.on_core / self.cores), float(self.on_core), 0.1, 4.0]


class Pool:
    """A worker pool's address: it numbers its own notices, and tells only of runs that began through it."""

    def __init__(
        self,
        machine: Machine,
        name: str,
        work: Callable[[Known], tuple[float, float]],
        calls: frozenset[str] = frozenset({"price-view", "bid-commit"}),
    ) -> None:
        """`work` gives the seconds of work of a run before its call and after it."""
        self.machine = machine
        self.name = name
        self.port = 0
        self._work = work
        self._calls = calls
        self._started = time.monotonic()
        self._position = 0
        self._notices: list[tuple[int, bytes]] = []
        self._link: asyncio.StreamWriter | None = None
        self.running: dict[str, Run] = {}
        machine.pools.append(self)

    async def start(self, port: int = 0) -> Pool:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 20)
        self.port = int(server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                self._handle(json.loads(line), writer)
        with contextlib.suppress(OSError):
            writer.close()

    def _handle(self, command: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        action = command["action"]
        uid = command.get("uid", "")
        if action == "bind":
            self._link = writer
            age_ms = (time.monotonic() - self._started) * 1e3
            self._send({"action": "bound", "code": "running", "wall_ms": age_ms})
            for position, line in self._notices:
                if position > command["pos"]:
                    writer.write(line)
        elif writer is not self._link:
            return
        elif action == "spawn":
            self._spawn(uid, command["lane"], base64.b64decode(command["content"]))
        elif action == "supply":
            run = self.running.get(uid)
            if run is not None and run.blocked:
                run.blocked = False
                run.supplied.set()
        elif action == "suspend":
            if uid in self.running:
                self._break_off(self.running[uid])
        elif action == "poll":
            self._send({"action": "polled", "echo": command["echo"], "meters": self.machine.gauges()})
        elif action == "verify":
            self._send({"action": "verified", "echo": command["echo"], "code": "fine"})

    def _spawn(self, uid: str, lane: str, body: bytes) -> None:
        known = self.machine.known.get(uid)
        self.machine.record.line(f"pool {self.name} spawn {uid} {lane}")
        if known is None or (known.lane, known.body) != (lane, body):
            self._send({"action": "unknown", "code": "spawn", "uid": uid})
            return
        if uid in self.running:
            return
        if known.over:
            self._notify("finished", uid, "late")
            return
        known.runs += 1
        if known.token is not None:
            began = self.machine.runs_by_token.setdefault(known.token, [])
            began.append((uid, time.time()))
        run = Run(known, time.monotonic())
        self.running[uid] = run
        self.machine.record.line(f"pool {self.name} runs {uid} token {known.token}")
        run.task = asyncio.create_task(self._run(run))

    async def _run(self, run: Run) -> None:
        known = run.known
        before, after = self._work(known)
        await self._on_core(before)
        if known.lane in self._calls:
            if known.over:
                self._break_off(run)
                return
            run.blocked = True
            self._notify("blocked", known.uid, content=b"call for " + known.body)
            await run.supplied.wait()
            await self._on_core(after)
        result = random.randbytes(24).hex().encode()
        self.machine.results.setdefault(known.uid, set()).add(result)
        self._end(run, "fine", result)

    async def _on_core(self, seconds: float) -> None:
        self.machine.on_core += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.machine.on_core -= 1

    def _break_off(self, run: Run) -> None:
        if run.task is not None and run.task is not asyncio.current_task():
            run.task.cancel()
        self._end(run, "broken_off", b"")

    def _end(self, run: Run, code: str, result: bytes) -> None:
        if self.running.pop(run.known.uid, None) is None:
            return
        self.machine.record.line(f"pool {self.name} ends {run.known.uid} {code}")
        self._notify("finished", run.known.uid, code, result, (time.monotonic() - run.started) * 1e3)

    def request_over(self, uid: str) -> None:
        """End the run of a request that is over, if it waits for its call."""
        run = self.running.get(uid)
        if run is not None and run.blocked:
            self._break_off(run)

    def _notify(self, action: str, uid: str, code: str = "", content: bytes = b"", ms: float = 0.0) -> None:
        self._position += 1
        notice = {
            "action": action,
            "pos": self._position,
            "uid": uid,
            "code": code,
            "wall_ms": ms,
            "content": base64.b64encode(content).decode(),
        }
        self._notices.append((self._position, self._send(notice)))
        del self._notices[:-KEPT_NOTICES]

    def _send(self, message: dict[str, Any]) -> bytes:
        line = json.dumps(message).encode() + b"\n"
        if self._link is not None and not self._link.is_closing():
            self._link.write(line)
        return line


async def read_http(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    """Read one HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:]
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Vault:
    """A vault that answers each call after some seconds."""

    def __init__(self, record: Record, seconds: Callable[[str], float]) -> None:
        """`seconds` gives the duration of the call for a request."""
        self.reply = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbalance"
        self.total = 0
        self._record = record
        self._seconds = seconds
        self.port = 0
        self.calls: dict[str, int] = {}

    def answer(self) -> bytes:
        """Return the reply to the next call."""
        return self.reply

    async def start(self, port: int = 0) -> Vault:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, port)
        self.port = int(server.sockets[0].getsockname()[1])
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                headers, _ = await read_http(reader)
                uid = headers.get("x-ticket", "")
                self.calls[uid] = self.calls.get(uid, 0) + 1
                self._record.line(f"vault call {uid}")
                self.total += 1
                reply = self.answer()
                await asyncio.sleep(self._seconds(uid))
                writer.write(reply)
        with contextlib.suppress(OSError):
            writer.close()


async def start_roster() -> int:
    """Start a roster that takes every report; returns its port."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await read_http(reader)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        with contextlib.suppress(OSError):
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    return int(server.sockets[0].getsockname()[1])


# --- balancers


def fcgi(kind: int, number: int, content: bytes) -> bytes:
    """Encode one FastCGI record."""
    return struct.pack(">BBHHBx", 1, kind, number, len(content), 0) + content


def fcgi_pairs(values: dict[str, str]) -> bytes:
    """Encode parameters; each name and value is shorter than 128 bytes."""
    return b"".join(
        bytes([len(name), len(value)]) + name.encode() + value.encode() for name, value in values.items()
    )


def fcgi_request(number: int, params: dict[str, str], body: bytes) -> bytes:
    """Encode one whole request."""
    return (
        fcgi(BEGIN, number, b"\0\1\1\0\0\0\0\0")
        + fcgi(PARAMS, number, fcgi_pairs(params))
        + fcgi(PARAMS, number, b"")
        + (fcgi(STDIN, number, body) if body else b"")
        + fcgi(STDIN, number, b"")
    )


@dataclass(eq=False)
class Answer:
    """What a try ended with; status 0: the connection ended with no whole answer."""

    status: int
    body: bytes = b""
    after_s: float = 0.0
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(eq=False)
class Try:
    """One try of a request."""

    known: Known
    number: int
    sent: float
    answer: asyncio.Future[Answer]


class Link:
    """One connection of a balancer."""

    def __init__(self, machine: Machine, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._machine = machine
        self._reader = reader
        self.writer = writer
        self._free = list(range(1, MAX_OPEN + 1))
        self.open: dict[int, Try] = {}
        self.ended = False
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, machine: Machine, port: int) -> Link:
        """Open a connection."""
        return cls(machine, *await asyncio.open_connection(HOST, port))

    def send(self, lane: str, body: bytes, token: str | None = None, kb: float = 24.5) -> Try:
        """Send a new try; `answer` of it is set when it has ended."""
        number = self._free.pop()
        now_ms = time.time_ns() // 1_000_000
        known = Known(random.randbytes(8).hex(), lane, body, token, now_ms)
        params = {
            "SCRIPT_NAME": f"/svc/{lane}",
            "REQUEST_METHOD": "POST",
            "HTTP_REQ_ID": known.uid,
            "HTTP_REQ_TIME": str(now_ms),
            "HTTP_REQ_FROM": "1",
            "HTTP_REQ_KB": f"{kb:g}",
            "HTTP_REQ_RANK": "0.5000",
        }
        if token is not None:
            params["HTTP_REQ_TOKEN"] = token
        self._machine.known[known.uid] = known
        attempt = Try(known, number, time.monotonic(), asyncio.get_running_loop().create_future())
        self.open[number] = attempt
        self._machine.record.line(f"sent {known.uid} {lane} token {token}")
        self.writer.write(fcgi_request(number, params, body))
        return attempt

    def check(self) -> Try:
        """Send a health check."""
        number = self._free.pop()
        known = Known("health", "", b"", None, 0)
        attempt = Try(known, number, time.monotonic(), asyncio.get_running_loop().create_future())
        self.open[number] = attempt
        self.writer.write(fcgi_request(number, {"SCRIPT_NAME": "/status/live", "REQUEST_METHOD": "GET"}, b""))
        return attempt

    def abort(self, attempt: Try) -> None:
        """Tell the bid server that nobody waits for this try any more."""
        if self.open.get(attempt.number) is attempt:
            self._machine.record.line(f"abort {attempt.known.uid}")
            self.writer.write(fcgi(ABORT, attempt.number, b""))
            self.over(attempt.known)

    def over(self, known: Known) -> None:
        """Mark a request as over."""
        known.over = True
        for pool in self._machine.pools:
            pool.request_over(known.uid)

    async def _read(self) -> None:
        output: dict[int, bytearray] = {}
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, kind, number, length, padding = struct.unpack(">BBHHBx", await self._reader.readexactly(8))
                content = await self._reader.readexactly(length + padding)
                if kind == STDOUT:
                    output.setdefault(number, bytearray()).extend(content[:length])
                elif kind == END:
                    protocol_status = content[4]
                    self._end(number, bytes(output.pop(number, b"")), protocol_status)
        self.ended = True
        for attempt in list(self.open.values()):
            self._finish(attempt, Answer(0))
        self.open.clear()
        self.writer.close()

    def _end(self, number: int, content: bytes, protocol_status: int) -> None:
        attempt = self.open.pop(number, None)
        self._free.append(number)
        if attempt is None:
            return
        head, _, body = content.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines if ": " in line)
        status = int(fields.get("Status", "500").split(" ")[0])
        if protocol_status:
            status = 503
        self._finish(attempt, Answer(status, body, 0.0, fields))

    def _finish(self, attempt: Try, answer: Answer) -> None:
        answer.after_s = time.monotonic() - attempt.sent
        self._machine.record.line(
            f"answer {attempt.known.uid} status {answer.status} after {answer.after_s:.3f}"
        )
        self.over(attempt.known)
        if not attempt.answer.done():
            attempt.answer.set_result(answer)


class Balancer:
    """A balancer that opens connections as it needs them, and gives a try up at the end of its time."""

    def __init__(
        self, machine: Machine, port: int, classes: list[dict[str, Any]], fresh: float = 0.0
    ) -> None:
        """`classes` are those of the settings; `fresh` is the share of tries on connections of their own.

        Such a connection is used on until it has no open request, and is then closed.
        """
        self._machine = machine
        self._port = port
        self._fresh = fresh
        self._give_up = {entry["Name"]: entry["GiveUpUs"] / 1e6 for entry in classes}
        self._links: list[Link] = []
        self.tries: list[Try] = []
        self.late: list[Try] = []
        self._watches: set[asyncio.Task[None]] = set()

    async def send(self, lane: str, body: bytes, token: str | None = None) -> None:
        """Send a try on a connection that has room, else on a new one."""
        self._links = [link for link in self._links if not link.ended]
        if self._fresh:
            for link in self._links[:-MAX_KEPT_LINKS]:
                if not link.open:
                    link.writer.close()
        free = [link for link in self._links if len(link.open) < MAX_OPEN and not link.writer.is_closing()]
        if not free or random.random() < self._fresh:
            try:
                link = await Link.connect(self._machine, self._port)
            except OSError:
                return  # a refused connection: nothing ran, and the bid server has nothing
            self._links.append(link)
            free = [link]
        link = random.choice(free)
        attempt = link.send(lane, body, token)
        self.tries.append(attempt)
        watch = asyncio.create_task(self._watch(link, attempt))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)

    async def _watch(self, link: Link, attempt: Try) -> None:
        """Count a try that has no final answer in its time: 100 ms of slack, and 50 ms on sockets."""
        done, _ = await asyncio.wait([attempt.answer], timeout=self._give_up[attempt.known.lane] + 0.15)
        if done and attempt.answer.result().status:
            return
        self.late.append(attempt)
        self._machine.record.line(f"no final answer in its time: {attempt.known.uid} {attempt.known.lane}")
        link.abort(attempt)

    async def settle(self) -> None:
        """Wait until each try has its answer, or its time is over."""
        while self._watches:
            await asyncio.sleep(0.1)

    def summary(self) -> dict[str, int]:
        """Count the answers."""
        counts: dict[str, int] = {}
        for attempt in self.tries:
            status = attempt.answer.result().status if attempt.answer.done() else "none"
            counts[str(status)] = counts.get(str(status), 0) + 1
        return counts


class Lag:
    """Measures how late this process itself is, so that a busy test machine is not blamed on the server."""

    def __init__(self) -> None:
        self.worst = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            start = time.monotonic()
            await asyncio.sleep(0.02)
            self.worst = max(self.worst, time.monotonic() - start - 0.02)


def mixed_lane() -> tuple[str, str | None]:
    """Draw a class by the shares of the site, and a token where the class has one."""
    lane = random.choices(["price-view", "bid-update", "bid-commit"], [52, 31, 17])[0]
    return lane, random.randbytes(16).hex() if lane == "bid-commit" else None


def memory_mb(pid: int) -> float:
    """Return the memory of a process that is its own (not of files), in MiB."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


# --- the program


class Program:
    """One process of the bid server, started with the deploy file's `run`."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, control: int) -> None:
        self.process = process
        self.port = port
        self.control = control

    @property
    def pid(self) -> int:
        """The process id, which `exec` in the command keeps."""
        return self.process.pid

    def signal(self, number: int) -> None:
        """Send a signal, if the process has not ended."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Site:
    """One bid server's name, address and folder; starts processes of the program for it."""

    def __init__(self, folder: Path, record: Record, **config: Any) -> None:
        """`config` are keys of the configuration besides addresses."""
        self.folder = folder
        self._record = record
        self._log = folder / "server.log"
        self._config = config
        self.port = free_port()
        self._count = 0
        self.programs: list[Program] = []

    def write(self, path: Path, pool: int, vault: int, roster: int, control: int) -> None:
        """Write a configuration file."""
        config = {
            "name": "n3",
            "listen": f"{HOST}:{self.port}",
            "pool": f"{HOST}:{pool}",
            "roster": f"{HOST}:{roster}",
            "vault": f"{HOST}:{vault}",
            "seed": random.randbytes(8).hex(),
            "stop_ms": 3_200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "control": f"{HOST}:{control}",
        } | self._config
        path.write_text(json.dumps(config))

    async def start(self, pool: int, vault: int, roster: int, operator: Path | None = None) -> Program:
        """Start a process; returns once its administration endpoint says yes."""
        control = free_port()
        self._count += 1
        path = self.folder / f"config-{self._count}.json"
        self.write(path, pool, vault, roster, control)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        own = ("LB_", "CAIRN", "PYTHON")
        environment = {name: value for name, value in os.environ.items() if not name.startswith(own)}
        environment |= {"LB_CONFIG": str(path), "TMPDIR": str(self.folder)}
        if operator is not None:
            environment["CAIRNVANE_OPERATOR"] = str(operator)
        with self._log.open("a") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        program = Program(process, self.port, control)
        self.programs.append(program)
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline and process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if (await call(control, "GET", "/-/ready"))[0] == 200:
                    return program
            await asyncio.sleep(0.05)
        raise CannotRunError("the program did not become ready")

    async def end(self) -> None:
        """End all processes."""
        for program in self.programs:
            if program.process.returncode is None:
                await program.kill()
        if self._log.exists():
            for line in self._log.read_text().splitlines()[-LOG_LINES:]:
                self._record.line(f"server log: {line}")


class CannotRunError(Exception):
    """The case could not run."""


async def call(port: int, method: str, path: str, wait_s: float = 2.0) -> tuple[int, bytes]:
    """Make one call of the administration endpoint."""

    async def exchange() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            data = await reader.read()
        finally:
            writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        parts = head.split(b" ")
        return (int(parts[1]) if len(parts) > 1 else 0), body

    return await asyncio.wait_for(exchange(), wait_s)


async def _as_coroutine(case: Awaitable[bool]) -> bool:
    return await case


def run_case(folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> int:
    """Run a case; returns the exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # so that all processes are ended
    record = Record(folder / "record.txt")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # readers that still wait at the end
    try:
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
            held = asyncio.run(
                asyncio.wait_for(_as_coroutine(case(record, Path(temporary), trouble)), LONGEST_S)
            )
    except (CannotRunError, OSError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        return 2
    finally:
        record.close()
    return 0 if held else 1
