"""A stand-in worker pool: it runs what it is told, keeps its notices, and remembers every run for the judge.

It outlives the server, as a pool on the same machine may, or is restarted with it. A run has its effect as
soon as it begins; a second `spawn` of what has ended is a second run, as the protocol has it.
"""

from __future__ import annotations

import base64
import heapq
import json
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .sockets import Listener, shut

# As many notices as the protocol keeps for a link that comes back.
NOTICES = 4_000


@dataclass(slots=True)
class Run:
    """A run in hand."""

    uid: str
    body: bytes
    began: float
    blocked: bool = False


@dataclass
class Facts:
    """What the pool knows of one request, by its body. It outlasts the pool's restarts: it is the judge's."""

    runs: int = 0
    results: list[bytes] = field(default_factory=list)
    uids: set[str] = field(default_factory=set)  # of the tries that ran
    by_life: Counter[int] = field(default_factory=Counter)  # runs in each life of this pool


class StandInPool:
    """Runs last a few milliseconds, in each of the two parts before and behind a call. Requests whose lane is
    in `calls` ask for a call first. With `cores`, no more parts than these are worked on at a time."""

    def __init__(
        self,
        seed: int,
        calls: frozenset[str] = frozenset(),
        work_ms: tuple[float, float] = (1, 8),
        result_bytes: tuple[int, int] = (20, 600),
        cores: int = 0,
    ) -> None:
        self.facts: dict[bytes, Facts] = {}
        self._random = random.Random(seed)
        self._calls, self._work_ms, self._result_bytes = calls, work_ms, result_bytes
        self._cores = cores
        self.most_crowded = 0  # the most runs that wanted a core at a time
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._link: socket.socket | None = None
        self._closed = False
        self.lives = 0  # the one that it is in
        self._forget()
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        threading.Thread(target=self._work, daemon=True).start()

    def _forget(self) -> None:
        self.lives += 1
        self._started = time.monotonic()
        self._life = object()
        self._pos = 0
        self._notices: list[tuple[int, bytes]] = []
        self._running: dict[str, Run] = {}
        self._line: list[Callable[[], None]] = []  # parts that wait for a core
        self._busy = 0

    def restart(self) -> None:
        """All runs are gone, notices count from 1, and it says that it has only just started."""
        with self._lock:
            self._forget()
            if self._link is not None:
                shut(self._link)

    def close(self) -> None:
        """The end of the experiment."""
        self._listener.close()
        with self._lock:
            self._closed = True
            self._changed.notify_all()

    # --- its work, in one thread

    def _work(self) -> None:
        while True:
            with self._lock:
                while not self._closed and (not self._agenda or self._agenda[0][0] > time.monotonic()):
                    wait = self._agenda[0][0] - time.monotonic() if self._agenda else None
                    self._changed.wait(wait)
                if self._closed:
                    return
                task = heapq.heappop(self._agenda)[2]
                task()

    def _later(self, task: Callable[[], None]) -> None:
        """Work on a part, then the task."""
        if not self._cores:
            return self._work_on(task)
        self._line.append(task)
        self.most_crowded = max(self.most_crowded, self._busy + len(self._line))
        self._next()

    def _next(self) -> None:
        while self._line and self._busy < self._cores:
            self._busy += 1
            task = self._line.pop(0)
            self._work_on(lambda task=task: self._worked(task))  # type: ignore[misc]

    def _worked(self, task: Callable[[], None]) -> None:
        self._busy -= 1
        task()
        self._next()

    def _work_on(self, task: Callable[[], None]) -> None:
        life = self._life
        self._count += 1
        at = time.monotonic() + self._random.uniform(*self._work_ms) / 1e3
        heapq.heappush(self._agenda, (at, self._count, lambda: task() if life is self._life else None))
        self._changed.notify()

    # --- the link

    def _serve(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as lines:
            for line in lines:
                with self._lock:
                    self._take(sock, json.loads(line))

    def _take(self, sock: socket.socket, command: dict[str, Any]) -> None:
        action, uid = command["action"], command.get("uid", "")
        if action == "bind":
            self._link = sock
            age_ms = (time.monotonic() - self._started) * 1e3
            self._tell(json.dumps({"action": "bound", "code": "running", "wall_ms": age_ms}).encode())
            for pos, notice in self._notices:
                if pos > command["pos"]:
                    self._tell(notice)
        elif sock is not self._link:
            return  # of a link that has been replaced
        elif action == "spawn":
            self._spawn(uid, command["lane"], base64.b64decode(command["content"]))
        elif action == "supply":
            self._supply(uid)
        elif action == "suspend":
            if (run := self._running.pop(uid, None)) is not None:
                self._notice("finished", uid, "broken_off", began=run.began)
        elif action == "poll":
            busy = self._busy + len(self._line) if self._cores else len(self._running)
            meters = [min(1, busy / (self._cores or 16)), busy, 0.1, 4.0]
            told = {"action": "polled", "echo": command["echo"], "meters": meters}
            self._tell(json.dumps(told).encode())

    def _spawn(self, uid: str, lane: str, body: bytes) -> None:
        if uid in self._running:
            return
        run = self._running[uid] = Run(uid, body, time.monotonic())
        facts = self.facts.setdefault(body, Facts())
        facts.runs += 1
        facts.uids.add(uid)
        facts.by_life[self.lives] += 1
        self._later(lambda: self._block(run) if lane in self._calls else self._finish(run))

    def _supply(self, uid: str) -> None:
        if (run := self._running.get(uid)) is not None and run.blocked:
            run.blocked = False
            self._later(lambda: self._finish(run))

    def _block(self, run: Run) -> None:
        if self._running.get(run.uid) is run:
            run.blocked = True
            self._notice("blocked", run.uid, content=b"call for " + run.body)

    def _finish(self, run: Run) -> None:
        if self._running.get(run.uid) is not run:
            return
        del self._running[run.uid]
        # Every run has a result of its own: a second run can't be mistaken for the first.
        result = self._random.randbytes(self._random.randint(*self._result_bytes))
        self.facts[run.body].results.append(result)
        self._notice("finished", run.uid, "fine", result, run.began)

    def _notice(
        self,
        action: str,
        uid: str,
        code: str = "",
        content: bytes = b"",
        began: float | None = None,
    ) -> None:
        self._pos += 1
        text = base64.b64encode(content).decode()
        took_ms = (time.monotonic() - began) * 1e3 if began is not None else 0.0
        told = {
            "action": action,
            "pos": self._pos,
            "uid": uid,
            "code": code,
            "wall_ms": took_ms,
            "content": text,
        }
        line = json.dumps(told).encode()
        self._notices.append((self._pos, line))
        del self._notices[:-NOTICES]
        self._tell(line)

    def _tell(self, line: bytes) -> None:
        if self._link is not None:
            try:
                self._link.sendall(line + b"\n")
            except OSError:
                self._link = None
