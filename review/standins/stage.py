"""Stand-ins for all that a bid server talks to, in one process: worker pool, vault, roster and balancers.

They behave as the operators' pages say, and like sound peers where the pages are silent. Every address is in
127.0.0.0/8. All times of the rules are those of the system's Unix clock. What was sent, answered and run is
kept in `Stage.lines` and written to a file at the end.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TICK_S = 0.004
MAX_OPEN = 32  # open requests of one connection
KEPT_NOTICES = 4_000
# A request may cross the close of a connection by this much; it is then sent again, once.
CROSSING_S = 0.05
# "Every time limit is 50 ms longer."
SOCKET_SLACK_S = 0.05


@dataclass(frozen=True)
class Class:
    """A request class: its settings, its share of the traffic and its work."""

    name: str
    share: float
    work_s: float  # mean
    aim_s: float
    give_up_s: float
    repeat: str
    window_s: float
    calls: int  # calls of one run
    worth: float


@dataclass(eq=False)
class Run:
    """A run in the worker pool."""

    uid: str
    door: Door
    started_at: float
    phases: list[float]  # work that is left: the present phase first; a call stands between two phases
    waiting_call: bytes | None = None  # the body of the call that it waits for
    vault_reply: bytes | None = None  # what the vault replied to that call
    calls: int = 0
    replies: list[bytes] = field(default_factory=list)


@dataclass(eq=False)
class Try:
    """One request as it was written to the bid server."""

    uid: str
    cls: Class
    token: str | None
    body: bytes
    balancer: int
    req_time: float
    written_at: float = 0.0
    over: bool = False
    end: str = ""
    ended_at: float = 0.0
    resent: bool = False
    runs: list[float] = field(default_factory=list)
    results: list[bytes] = field(default_factory=list)
    call_bodies: set[bytes] = field(default_factory=set)
    got_wrong_reply: bool = False
    calls_made: set[bytes] = field(default_factory=set)  # bodies of the calls that the vault carried out


class Stage:
    """The platform of one bid server, and the record of what happened."""

    def __init__(self, classes: list[Class], cores: int, seed: int) -> None:
        self.classes = classes
        self.cores = cores
        self.rng = random.Random(seed)
        self.tries: dict[str, Try] = {}
        self.by_token: dict[str, list[Try]] = {}
        self.runs: dict[str, Run] = {}
        self.lines: list[str] = []
        self.faults: list[str] = []  # what breaks a rule, one line each
        self.counts: Counter[str] = Counter()
        self.began = time.time()
        self.busy = 0.0
        self.vault_took_s = 0.02
        self.processes: list[subprocess.Popen[bytes]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.host = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250)}.{secrets.randbelow(250) + 1}"
        self.tasks: list[asyncio.Task[Any]] = []

    # --- the record

    def log(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.time() - self.began:9.3f} {text}")

    def fault(self, kind: str, text: str) -> None:
        """Record that a rule was broken."""
        self.counts[kind] += 1
        self.faults.append(f"{time.time() - self.began:9.3f} {kind}: {text}")
        self.log(f"BROKEN {kind}: {text}")

    def free_port(self) -> int:
        """A port that is free on this stage's address."""
        with socket.socket() as probe:
            probe.bind((self.host, 0))
            return int(probe.getsockname()[1])

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background until the stage ends."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    # --- the cores

    async def turn_cores(self) -> None:
        """Share the cores among all runs that are not at a call."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            elapsed, last = now - last, now
            working = [run for run in self.runs.values() if run.waiting_call is None]
            share = min(1.0, self.cores / len(working)) if working else 0.0
            self.busy += (min(1.0, len(working) / self.cores) - self.busy) * min(1.0, elapsed / 0.5)
            for run in working:
                run.phases[0] -= elapsed * share
                if run.phases[0] <= 0:
                    run.door.phase_done(run)

    # --- the bid server's processes

    def write_config(self, config: dict[str, Any], label: str) -> Path:
        """Replace the file of the configuration, in one step."""
        path = self.folder / f"config-{label}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        return new.replace(path)

    def start_server(self, config: dict[str, Any], label: str) -> subprocess.Popen[bytes]:
        """Start one process with the command `run` of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.write_config(config, label)
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        keep = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "CAIRN"))}
        environment = keep | {
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        with (self.folder / f"log-{label}.txt").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.log(f"PROCESS {label} started")
        return process

    def end_all(self) -> None:
        """End every process that was started here, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def server_logs(self) -> str:
        """The log lines of all processes."""
        return "".join(
            f"--- {path.name}\n{path.read_text(errors='replace')}"
            for path in sorted(self.folder.glob("log-*"))
        )

    # --- ends of requests

    def end_try(self, attempt: Try, end: str) -> None:
        """A request got its answer, or was given up."""
        if attempt.over:
            return
        attempt.over = True
        attempt.end = end
        attempt.ended_at = time.time()
        self.counts[f"end {end}"] += 1
        if attempt.got_wrong_reply:
            self.counts[f"end {end} after a wrong reply"] += 1
        self.log(f"END {attempt.uid} {end} after {(attempt.ended_at - attempt.req_time) * 1e3:.0f} ms")
        run = self.runs.get(attempt.uid)
        if run is not None and run.waiting_call is not None:
            run.door.end_run(run, "broken_off")

    def check_answer(self, attempt: Try, body: bytes) -> None:
        """An answer 'served' has to carry a result of this request, or of another try of it."""
        siblings = self.by_token.get(attempt.token or "", [attempt])
        if not any(body in sibling.results for sibling in siblings):
            self.fault("lost", f"{attempt.uid} was served with what no run made for it")

    def started(self, attempt: Try) -> None:
        """A run began: check the rule on duplicates."""
        now = time.time()
        for sibling in self.by_token.get(attempt.token or "", []):
            if attempt.cls.repeat != "guarded":
                break
            for _ in sibling.runs:
                if attempt.written_at < sibling.req_time + attempt.cls.window_s:
                    self.fault("duplicate", f"{attempt.uid} ran, and {sibling.uid} of one request before")
        attempt.runs.append(now)
        self.counts["runs"] += 1
        self.log(f"RUN {attempt.uid}")


class Door:
    """One address of the worker pool: it numbers its own notices and tells only of runs begun through it."""

    def __init__(self, stage: Stage, name: str) -> None:
        self.stage = stage
        self.name = name
        self.address = ""
        self.link: asyncio.StreamWriter | None = None
        self.links = 0
        self.position = 0
        self.notices: list[tuple[int, bytes]] = []
        self.started_at = time.monotonic()
        self.server: asyncio.Server | None = None

    async def open(self) -> str:
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, self.stage.host, 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def move(self, old_link_s: float) -> str:
        """Listen at a new address: the old one takes nothing new, and its link is closed after a while.

        Runs and the numbers of notices carry on.
        """
        if self.server is not None:
            self.server.close()
        old_link = self.link

        async def close_old_link() -> None:
            await asyncio.sleep(old_link_s)
            if old_link is not None:
                old_link.close()
                if self.link is old_link:
                    self.link = None

        self.stage.spawn(close_old_link())
        return await self.open()

    def break_link(self) -> None:
        """Reset the present link."""
        if self.link is not None:
            self.link.transport.abort()
            self.link = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                command = json.loads(line)
                if command["action"] == "bind":
                    self._bind(writer, command["pos"])
                elif writer is self.link:
                    self._handle(command)
        writer.close()
        if self.link is writer:
            self.link = None

    def _bind(self, writer: asyncio.StreamWriter, position: int) -> None:
        previous, self.link = self.link, writer
        if previous is not None:
            previous.close()
        self.links += 1
        age_ms = (time.monotonic() - self.started_at) * 1e3
        self._write({"action": "bound", "code": "running", "wall_ms": age_ms})
        for number, line in self.notices:
            if number > position:
                writer.write(line)

    def _write(self, message: dict[str, Any]) -> bytes:
        line = json.dumps(message).encode() + b"\n"
        if self.link is not None:
            self.link.write(line)
        return line

    def _notify(self, message: dict[str, Any]) -> None:
        self.position += 1
        line = self._write(message | {"pos": self.position})
        self.notices.append((self.position, line))
        del self.notices[:-KEPT_NOTICES]

    def _handle(self, command: dict[str, Any]) -> None:
        stage = self.stage
        action, uid = command["action"], command.get("uid", "")
        if action == "poll":
            working = sum(run.waiting_call is None for run in stage.runs.values())
            self._write(
                {"action": "polled", "echo": command["echo"], "meters": [stage.busy, working, 0.2, 20]}
            )
        elif action == "verify":
            self._write({"action": "verified", "echo": command["echo"], "code": "fine"})
        elif action == "spawn":
            self._spawn(uid, command["lane"], base64.b64decode(command["content"]))
        elif action == "suspend":
            run = stage.runs.get(uid)
            if run is not None and run.door is self:
                self.end_run(run, "broken_off")
        elif action == "supply":
            self._supply(uid, base64.b64decode(command["content"]))

    def _spawn(self, uid: str, lane: str, body: bytes) -> None:
        stage = self.stage
        attempt = stage.tries.get(uid)
        if attempt is None or attempt.cls.name != lane or attempt.body != body:
            stage.fault("lost", f"spawn of {uid} with an id, class or body that no request had")
            self._write({"action": "unknown", "code": "spawn", "uid": uid})
            return
        if uid in stage.runs:
            return
        if attempt.over:
            self._notify({"action": "finished", "uid": uid, "code": "late", "wall_ms": 0.0, "content": ""})
            return
        stage.started(attempt)
        cls = attempt.cls
        sigma = 0.6
        work = stage.rng.lognormvariate(-sigma * sigma / 2, sigma) * cls.work_s
        parts = cls.calls + 1
        stage.runs[uid] = Run(uid, self, time.monotonic(), [work / parts] * parts)

    def _supply(self, uid: str, content: bytes) -> None:
        run = self.stage.runs.get(uid)
        if run is None or run.door is not self:
            return
        if run.waiting_call is None:
            self.stage.counts["supply without a waiting run"] += 1
            return
        if content != run.vault_reply:
            made = "nothing yet" if run.vault_reply is None else "another body"
            self.stage.tries[uid].got_wrong_reply = True
            which = "an earlier call" if content in run.replies else "no call"
            self.stage.fault(
                "wrong reply",
                f"call {run.calls} of {uid} got the reply to {which} of this run; of the vault: {made}",
            )
        run.replies.append(content)
        run.waiting_call = None
        run.vault_reply = None

    def phase_done(self, run: Run) -> None:
        """The present phase of a run is over: it calls, or ends."""
        attempt = self.stage.tries[run.uid]
        run.phases.pop(0)
        if not run.phases:
            result = b"result of " + run.uid.encode() + b" " + secrets.token_hex(20).encode()
            attempt.results.append(result)
            if attempt.call_bodies - attempt.calls_made:
                self.stage.counts["runs that ended fine, a call of which never reached the vault"] += 1
                self.stage.log(f"UNMADE a call of {run.uid} {attempt.cls.name} never reached the vault")
            self.end_run(run, "fine", result)
        elif attempt.over:
            self.end_run(run, "broken_off")
        else:
            run.calls += 1
            run.waiting_call = f"call {run.calls} of {run.uid}".encode()
            attempt.call_bodies.add(run.waiting_call)
            self._notify(
                {
                    "action": "blocked",
                    "uid": run.uid,
                    "content": base64.b64encode(run.waiting_call).decode(),
                }
            )

    def end_run(self, run: Run, code: str, result: bytes = b"") -> None:
        """A run is over."""
        del self.stage.runs[run.uid]
        self.stage.log(f"RUN-END {run.uid} {code}")
        self._notify(
            {
                "action": "finished",
                "uid": run.uid,
                "code": code,
                "wall_ms": (time.monotonic() - run.started_at) * 1e3,
                "content": base64.b64encode(result).decode(),
            }
        )


async def read_http(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes] | None:
    """Read one HTTP request: its headers and body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        headers = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return headers, body


class HttpPeer:
    """A peer that speaks HTTP/1.1, at an address that may change."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Listen at a free port; returns the address."""
        self._server = await asyncio.start_server(self._accept, self.stage.host, 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def move(self, old_s: float) -> str:
        """Listen at a new address: the old one takes nothing new, and open connections are closed later."""
        if self._server is not None:
            self._server.close()
        old_writers = set(self._writers)

        async def close_old() -> None:
            await asyncio.sleep(old_s)
            for writer in old_writers:
                writer.close()

        self.stage.spawn(close_old())
        return await self.open()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        await self._serve(reader, writer)
        self._writers.discard(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Vault(HttpPeer):
    """The vault: each call takes `stage.vault_took_s` in the mean and is answered with a body of its own."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stage = self.stage
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (request := await read_http(reader)) is not None:
                headers, body = request
                uid = headers.get("x-ticket", "")
                run = stage.runs.get(uid)
                if run is None or run.waiting_call != body:
                    attempt = stage.tries.get(uid)
                    if attempt is None or body not in attempt.call_bodies:
                        stage.fault("lost", f"a call of {uid} reached the vault with a body that no run gave")
                    writer.write(b"HTTP/1.1 409 Conflict\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                number = run.calls
                stage.counts["calls"] += 1
                stage.tries[uid].calls_made.add(body)
                await asyncio.sleep(stage.vault_took_s * stage.rng.uniform(0.5, 1.5))
                reply = f"reply to call {number} of {uid} ".encode() + secrets.token_hex(8).encode()
                if stage.runs.get(uid) is run and run.calls == number:
                    run.vault_reply = reply
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(reply), reply))
                await writer.drain()
        writer.close()


class Roster(HttpPeer):
    """The roster: it takes every report."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while await read_http(reader) is not None:
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                await writer.drain()
        writer.close()


# --- FastCGI, from the balancer's side


def record(kind: int, number: int, content: bytes) -> bytes:
    """Encode a FastCGI record."""
    return struct.pack(">BBHHBx", 1, kind, number, len(content), 0) + content


def encode_pairs(pairs: dict[str, str]) -> bytes:
    """Encode the parameters of a request; all are shorter than 128 bytes."""
    return b"".join(
        bytes([len(name), len(value)]) + name.encode() + value.encode() for name, value in pairs.items()
    )


def encode_request(attempt: Try, number: int) -> bytes:
    """Encode a whole request."""
    fields = {
        "SCRIPT_NAME": f"/svc/{attempt.cls.name}",
        "REQUEST_METHOD": "POST",
        "HTTP_REQ_ID": attempt.uid,
        "HTTP_REQ_TIME": str(int(attempt.req_time * 1e3)),
        "HTTP_REQ_FROM": str(attempt.balancer),
        "HTTP_REQ_KB": "24.5",
        "HTTP_REQ_RANK": "0.5000",
    }
    if attempt.token is not None:
        fields["HTTP_REQ_TOKEN"] = attempt.token
    return b"".join(
        [
            record(1, number, b"\0\1\1\0\0\0\0\0"),
            record(4, number, encode_pairs(fields)),
            record(4, number, b""),
            record(5, number, attempt.body),
            record(5, number, b""),
        ]
    )


class Connection:
    """One connection of a balancer to the bid server."""

    def __init__(
        self, balancer: Balancer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.balancer = balancer
        self.writer = writer
        self.reader = reader
        self.open: dict[int, Try] = {}
        self.numbers = list(range(MAX_OPEN, 0, -1))
        self.ended = False
        self.served = False
        self.used_at = time.time()
        self.busy_writing = False  # a request is just being written in pieces
        balancer.stage.spawn(self._read())

    def send(self, attempt: Try) -> int:
        """Write a whole request; returns its number."""
        number = self.numbers.pop()
        self.open[number] = attempt
        self.writer.write(encode_request(attempt, number))
        self.used_at = attempt.written_at = time.time()
        return number

    def abort(self, attempt: Try) -> None:
        """Tell the bid server that this request's caller has gone."""
        for number, other in self.open.items():
            if other is attempt and not self.ended:
                self.writer.write(record(2, number, b""))

    async def _read(self) -> None:
        output: dict[int, bytes] = {}
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                header = await self.reader.readexactly(8)
                _, kind, number, length, padding = struct.unpack(">BBHHBx", header)
                content = await self.reader.readexactly(length + padding)
                if kind == 6:
                    output[number] = output.get(number, b"") + content[:length]
                elif kind == 3:
                    self._answered(number, output.pop(number, b""), content[4])
        self.ended = True
        self.writer.close()
        self.balancer.connection_ended(self)

    def _answered(self, number: int, content: bytes, protocol_status: int) -> None:
        stage = self.balancer.stage
        attempt = self.open.pop(number, None)
        self.used_at = time.time()
        if attempt is None:
            stage.fault("duplicate", "an answer to a request that was answered before")
            return
        self.numbers.append(number)
        head, _, body = content.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode("latin-1").split("\r\n") if ": " in line)
        self.balancer.heard(fields)
        status = fields.get("Status", "")[:3]
        if attempt.over:
            return  # it was given up before
        if status == "200":
            self.served = True
            stage.check_answer(attempt, body)
            stage.end_try(attempt, "served")
            return
        is_refused = status in ("429", "503") or protocol_status == 2
        if is_refused and attempt.runs and attempt.cls.repeat != "free":
            stage.fault("duplicate", f"{attempt.uid} was refused after it had run")
        stage.end_try(attempt, "refused" if is_refused else "failed")


class Balancer:
    """A balancer: it opens connections as it needs them, up to 32 requests on each."""

    def __init__(self, stage: Stage, number: int, address: tuple[str, int], heeds: bool) -> None:
        self.stage = stage
        self.number = number
        self.address = address
        self.heeds = heeds
        self.idle_s = 8.0
        self.slack_s = 0.1  # `AnswerSlackUs`
        self.connections: list[Connection] = []
        self.credit: float | None = None
        self.credit_at = 0.0
        self.away_until = 0.0

    def heard(self, fields: dict[str, str]) -> None:
        """Take the advice of an answer."""
        if "Srv-Load" in fields:
            self.credit, self.credit_at = float(fields["Srv-Load"]), time.time()
        if "Srv-Wait-Ms" in fields:
            self.away_until = time.time() + float(fields["Srv-Wait-Ms"]) / 1e3

    def may_send(self) -> bool:
        """Whether the advice of the bid server lets one more request go there."""
        if not self.heeds:
            return True
        now = time.time()
        if now < self.away_until:
            return False
        if self.credit is None or now - self.credit_at > 1.0:
            return True
        is_open = sum(len(connection.open) for connection in self.connections)
        room = self.credit - is_open
        return room >= 1 or (room > 0 and self.stage.rng.random() < room)

    async def connection(self) -> Connection | None:
        """A connection with room, a new one if there is none; None if none can be had."""
        for connection in self.connections:
            if not connection.ended and connection.numbers and not connection.busy_writing:
                return connection
        return await self.new_connection()

    async def new_connection(self) -> Connection | None:
        """Open a connection; None if it is refused."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return None
        connection = Connection(self, reader, writer)
        self.connections.append(connection)
        return connection

    def make_try(self, cls: Class, token: str | None = None, body: bytes | None = None) -> Try:
        """A new request that has just reached the machine."""
        if token is None and cls.repeat == "guarded":
            token = secrets.token_hex(16)
        attempt = Try(
            secrets.token_hex(8),
            cls,
            token,
            body if body is not None else secrets.token_bytes(60),
            self.number,
            time.time(),
        )
        self.stage.tries[attempt.uid] = attempt
        if token is not None:
            self.stage.by_token.setdefault(token, []).append(attempt)
        return attempt

    def note_sent(self, attempt: Try, connection: Connection) -> None:
        """Record that a request was written, and watch its due time."""
        self.stage.counts["sent"] += 1
        self.stage.log(
            f"SENT {attempt.uid} {attempt.cls.name} by balancer {self.number} "
            f"on connection {id(connection) & 0xFFFF:04x} token {attempt.token or '-'}"
        )
        self.stage.spawn(self.watch_due(attempt, connection))

    async def request(self, cls: Class) -> Try | None:
        """Send one request, if the bid server's advice lets it go there."""
        if not self.may_send():
            self.stage.counts["not sent, by advice"] += 1
            return None
        connection = await self.connection()
        if connection is None:
            self.stage.counts["not sent, no connection"] += 1
            return None
        attempt = self.make_try(cls)
        connection.send(attempt)
        self.note_sent(attempt, connection)
        return attempt

    async def watch_due(self, attempt: Try, connection: Connection) -> None:
        """Give a request up that has no answer by its due time, which breaks the rule."""
        due = attempt.req_time + attempt.cls.give_up_s + self.slack_s + SOCKET_SLACK_S
        await asyncio.sleep(max(0.0, due - time.time()))
        if not attempt.over:
            self.stage.fault("lost", f"{attempt.uid} had no answer by its due time")
            self.stage.end_try(attempt, "no answer")
            connection.abort(attempt)

    def connection_ended(self, connection: Connection) -> None:
        """The bid server's side ended a connection: what is open on it has no answer."""
        now = time.time()
        if connection in self.connections:
            self.connections.remove(connection)
        for attempt in list(connection.open.values()):
            if attempt.over:
                continue
            if not attempt.resent and now - attempt.written_at <= CROSSING_S:
                attempt.resent = True
                self.stage.spawn(self._send_again(attempt))
                continue
            age_ms = (now - attempt.written_at) * 1e3
            self.stage.fault(
                "lost",
                f"the connection of {attempt.uid} ended {age_ms:.0f} ms after it was written, with no answer",
            )
            self.stage.end_try(attempt, "connection ended")

    async def _send_again(self, attempt: Try) -> None:
        connection = await self.new_connection()
        if connection is None:
            self.stage.end_try(attempt, "not sent again, refused")
            return
        self.stage.counts["sent again after a crossing"] += 1
        connection.send(attempt)

    async def close_idle(self) -> None:
        """Close connections that were idle for some seconds."""
        while True:
            await asyncio.sleep(0.5)
            for connection in list(self.connections):
                is_idle = not connection.open and not connection.busy_writing
                if is_idle and time.time() - connection.used_at > self.idle_s:
                    self.connections.remove(connection)
                    connection.writer.close()

    async def traffic(self, rate: float, until: float) -> None:
        """Send requests at random moments."""
        stage = self.stage
        weights = [cls.share for cls in stage.classes]
        self.stage.spawn(self.close_idle())
        due = time.time()
        while due < until:
            due += stage.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.time()))
            await self.request(stage.rng.choices(stage.classes, weights)[0])


def settings(
    classes: list[Class],
    cores: int,
    *,
    clients: int,
    fair_calls: float,
    heap_kb: float = 400_000.0,
    run_factor: float = 16.0,
) -> dict[str, Any]:
    """The settings of a deployment of this kind, as the first message of the simulator gives them."""
    return {
        "Charges": {"Connection": 0.0, "Handshake": 0.0, "LateFail": 0.05, "Origin": 0.011, "Waste": 0.03},
        "Classes": [
            {
                "Name": cls.name,
                "OnTimeUs": int(cls.aim_s * 1e6),
                "GiveUpUs": int(cls.give_up_s * 1e6),
                "LateWorth": 0.2 if cls.repeat == "guarded" else 0.0,
                "Repeat": cls.repeat,
                "WindowUs": int(cls.window_s * 1e6),
                "Worth": cls.worth,
            }
            for cls in classes
        ],
        "Clients": {"MarksRetry": False},
        "Extra": {
            "CallsOverUs": 5_000_000,
            "ClassCalls": [cls.calls > 0 for cls in classes],
            "ClassSkipWorth": [0.0] * len(classes),
            "ClientsTotal": clients,
            "Cores": cores,
            "DeepChecks": True,
            "Downstream": "shared",
            "FairCalls": fair_calls,
            "Halt": "drop",
            "HeapKb": heap_kb,
            "HeededUs": 1_000_000,
            "IdleUs": 8_000_000,
            "JustStarted": False,
            "KeyKb": 120.0,
            "LingerUs": 200_000,
            "Meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "PassesDeadline": False,
            "Readiness": False,
            "RunFactor": run_factor,
            "Say": "credit",
            "ShareForUs": 0,
            "TellsGone": True,
        },
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
            "CpuUsPerS": 1_000_000,
            "MaxRetryAfterUs": 1_000_000,
            "RetryAfter": True,
        },
        "Locality": 0,
        "MyNumber": 0,
        "OverShareWorth": 0.1,
        "PeersTotal": 1,
        "Report": {"Fields": [], "How": "silent"},
        "RoundUs": 1_000,
        "ScoreParts": {"Whole": 0.65, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "Tenants": [],
        "Tier": 0,
        "WorthBy": "request",
        "Zones": ["one"],
    }


def call_control(address: tuple[str, int], path: str) -> int:
    """One call to the operators' door; returns the status, 0 if there is no answer."""
    try:
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(1.0)
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
            return int(sock.recv(4_096).split(b" ")[1])
    except (OSError, IndexError, ValueError):
        return 0


async def until_ready(address: tuple[str, int], wait_s: float) -> bool:
    """Ask a process each 0.1 s whether it can serve."""
    deadline = time.time() + wait_s
    loop = asyncio.get_running_loop()
    while time.time() < deadline:
        if await loop.run_in_executor(None, call_control, address, "/-/ready") == 200:
            return True
        await asyncio.sleep(0.1)
    return False


Scenario = Callable[[Stage], Awaitable[int]]


def perform(stage: Stage, scenario: Scenario, record_path: Path) -> int:
    """Perform a scenario on a stage; returns the exit status: 1 broken, 0 held, 2 could not run."""

    async def play() -> int:
        stage.spawn(stage.turn_cores())
        try:
            return await scenario(stage)
        finally:
            for task in stage.tasks:
                task.cancel()

    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # also ends what was started
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    status = 2
    try:
        status = asyncio.run(play())
    except Exception as error:  # whatever it was, the case could not run
        stage.log(f"could not run: {type(error).__name__}: {error}")
    finally:
        logs = stage.server_logs()
        stage.end_all()
        summary = [f"{name}: {count}" for name, count in sorted(stage.counts.items())]
        verdict = {0: "held", 1: "BROKEN", 2: "could not run"}[status]
        text = ["verdict: " + verdict, *summary, "", *stage.faults, "", *stage.lines, "", logs]
        record_path.write_text("\n".join(text) + "\n")
        print("\n".join(["verdict: " + verdict, *summary, *stage.faults[:5]]))
    return status
