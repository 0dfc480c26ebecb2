"""A stand-in worker pool, which runs requests, keeps its notices and records every run for the checkers.

It may outlive the server, like a pool on the same machine, or be restarted with it. A run takes effect as
soon as it begins. According to the protocol, a second `spawn` of a request whose run has ended starts a
second run, unless the request is over: then the pool reports the end `late`, and nothing runs. A run whose
request is over ends at its call. While the cores are frozen, runs make no progress and cancellations have no
effect.
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

from .concurrency_history import ConcurrencyHistory
from .sockets import Listener, shut

# Number of notices that the protocol keeps for a reconnecting link.
MAX_KEPT_NOTICES = 4_000
# Number of cores to which the gauges relate if the pool has no limit on cores.
DEFAULT_GAUGE_CORES = 16


@dataclass(slots=True, eq=False)
class Run:
    """A run in progress."""

    uid: str
    body: bytes
    started_at: float  # on the monotonic clock
    blocked: bool = False  # whether it waits for the result of its call


@dataclass
class RunRecord:
    """The runs of one request, identified by its body. Kept across restarts of the pool, for checkers."""

    runs: int = 0
    results: list[bytes] = field(default_factory=list)
    request_ids: set[str] = field(default_factory=set)  # of the attempts that ran
    runs_by_incarnation: Counter[int] = field(default_factory=Counter)  # by incarnation of this pool


class StandInPool:
    """A worker pool in which each run works for some milliseconds before its call, and again after it.

    Requests whose class is in `calls` make a call. With `cores`, at most that many runs work at a time, and
    the others wait. Any thread may call its methods.
    """

    def __init__(
        self,
        seed: int,
        calls: frozenset[str] = frozenset(),
        work_ms: tuple[float, float] = (1, 8),
        result_bytes: tuple[int, int] = (20, 600),
        cores: int = 0,
    ) -> None:
        """`work_ms` and `result_bytes` are the bounds of the drawn values."""
        self.records: dict[bytes, RunRecord] = {}
        self.max_runnable = 0  # maximum number of runnable runs at a time
        self.runnable_history = ConcurrencyHistory()
        # Whether a request, by its id, has been answered or has timed out, so that no run may begin for it.
        self.is_over: Callable[[str], bool] = lambda uid: False
        self.repeated_spawns = 0  # spawns of runs that were in progress
        self.work_factor = 1.0  # fault: factor on the duration of work that begins
        self.incarnation = 0  # the current one, counted from 1
        self._random = random.Random(seed)
        self._calls = calls
        self._work_ms = work_ms
        self._result_bytes = result_bytes
        self._cores = cores
        self._lock = threading.RLock()  # guards everything below, and the records
        self._changed = threading.Condition(self._lock)
        self._tasks: list[tuple[float, int, Callable[[], None]]] = []  # due time, order, task
        self._scheduled_count = 0
        self._link: socket.socket | None = None
        self._closed = False
        self._frozen_at: float | None = None  # on the monotonic clock
        self._frozen_s = 0.0  # total time frozen, up to the last thaw
        self._begin_incarnation()
        self._listener = Listener(self._serve)
        self.address = self._listener.address
        threading.Thread(target=self._work, name="stand-in pool", daemon=True).start()

    def _begin_incarnation(self) -> None:
        self.incarnation += 1
        self._started_at = time.monotonic()
        self._incarnation_token = object()  # tasks of an earlier incarnation hold a different token
        self._position = 0  # of the last notice
        self._notices: list[tuple[int, bytes]] = []
        self._running: dict[str, Run] = {}
        self._waiting_for_core: list[tuple[Run, Callable[[], None]]] = []
        self._on_cores: set[Run] = set()

    def restart(self) -> None:
        """Discard all runs, restart the notice positions at 1, and report the pool as newly started."""
        with self._lock:
            self._begin_incarnation()
            if self._link is not None:
                shut(self._link)

    def freeze(self) -> None:
        """Freeze the cores: commands are read, but runs make no progress and are not cancelled."""
        with self._lock:
            if self._frozen_at is None:
                self._frozen_at = time.monotonic()

    def thaw(self) -> None:
        """Unfreeze the cores, which continue where they stopped."""
        with self._lock:
            if self._frozen_at is not None:
                self._frozen_s += time.monotonic() - self._frozen_at
                self._frozen_at = None
                self._changed.notify_all()

    def highest_mean_runnable(self, window_s: float) -> float:
        """Highest mean number of runnable runs over any window of `window_s` seconds."""
        with self._lock:
            return self.runnable_history.highest_mean(window_s, time.monotonic())

    @property
    def running(self) -> int:
        """Number of runs, on the cores or waiting for a call."""
        return len(self._running)

    def close(self) -> None:
        """Shut the pool down."""
        self._listener.close()
        with self._lock:
            self._closed = True
            self._changed.notify_all()

    # --- work, in one thread

    def _work_time(self) -> float:
        """The monotonic clock minus the time for which the cores were frozen."""
        now = time.monotonic() if self._frozen_at is None else self._frozen_at
        return now - self._frozen_s

    def _next_due_in(self) -> float | None:
        """Seconds until the next task is due; None while there is no task or the cores are frozen."""
        if not self._tasks or self._frozen_at is not None:
            return None
        return self._tasks[0][0] - self._work_time()

    def _work(self) -> None:
        while True:
            with self._lock:
                while not self._closed and ((wait := self._next_due_in()) is None or wait > 0):
                    self._changed.wait(wait)
                if self._closed:
                    return
                task = heapq.heappop(self._tasks)[2]
                task()

    def _run_half_then(self, run: Run, task: Callable[[], None]) -> None:
        """Work on one half of a run once a core is free, then execute the task."""
        if not self._cores:
            self._schedule(task)
            return
        self._waiting_for_core.append((run, task))
        self._assign_cores()

    def _runnable(self) -> int:
        return len(self._on_cores) + len(self._waiting_for_core)

    def _assign_cores(self) -> None:
        while self._waiting_for_core and len(self._on_cores) < self._cores:
            run, task = self._waiting_for_core.pop(0)
            self._on_cores.add(run)
            self._schedule(lambda run=run, task=task: self._complete_half(run, task))  # type: ignore[misc]
        runnable = self._runnable()
        self.max_runnable = max(self.max_runnable, runnable)
        self.runnable_history.record(time.monotonic(), runnable)

    def _complete_half(self, run: Run, task: Callable[[], None]) -> None:
        if run not in self._on_cores:
            return  # the run was cancelled meanwhile
        self._on_cores.remove(run)
        task()
        self._assign_cores()

    def _leave_cores(self, run: Run) -> None:
        """Release the core of a run, or remove it from the queue for one."""
        self._on_cores.discard(run)
        self._waiting_for_core = [entry for entry in self._waiting_for_core if entry[0] is not run]
        self._assign_cores()

    def _schedule(self, task: Callable[[], None]) -> None:
        """Execute the task after the duration of half a run, unless the pool is restarted meanwhile."""
        token = self._incarnation_token
        self._scheduled_count += 1
        work_s = self._random.uniform(*self._work_ms) / 1e3 * self.work_factor
        due_at = self._work_time() + work_s
        heapq.heappush(
            self._tasks,
            (due_at, self._scheduled_count, lambda: task() if token is self._incarnation_token else None),
        )
        self._changed.notify()

    # --- the link to the server

    def _serve(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as lines:
            for line in lines:
                with self._lock:
                    self._handle(sock, json.loads(line))

    def _handle(self, sock: socket.socket, command: dict[str, Any]) -> None:
        action = command["action"]
        uid = command.get("uid", "")
        self._end_blocked_runs_of_ended_requests()
        if action == "bind":
            self._bind(sock, command["pos"])
        elif sock is not self._link:
            return  # the command is from a link that has been replaced
        elif action == "spawn":
            self._spawn(uid, command["lane"], base64.b64decode(command["content"]))
        elif action == "supply":
            self._supply(uid)
        elif action == "suspend":
            self._cancel(uid)
        elif action == "poll":
            self._report_gauges(command["echo"])

    def _bind(self, sock: socket.socket, position: int) -> None:
        """Use this link, and send the notices after the last position that the server has read."""
        self._link = sock
        age_ms = (time.monotonic() - self._started_at) * 1e3
        self._send(json.dumps({"action": "bound", "code": "running", "wall_ms": age_ms}).encode())
        for notice_position, notice in self._notices:
            if notice_position > position:
                self._send(notice)

    def _report_gauges(self, echo: Any) -> None:
        runnable = self._runnable() if self._cores else len(self._running)
        cpu_busy = min(1, runnable / (self._cores or DEFAULT_GAUGE_CORES))
        gauges = [cpu_busy, runnable, 0.1, 4.0]
        self._send(json.dumps({"action": "polled", "echo": echo, "meters": gauges}).encode())

    def _spawn(self, uid: str, lane: str, body: bytes) -> None:
        if uid in self._running:
            self.repeated_spawns += 1
            return
        if self.is_over(uid):
            self._notify("finished", uid, "late")
            return
        run = Run(uid, body, time.monotonic())
        self._running[uid] = run
        record = self.records.setdefault(body, RunRecord())
        record.runs += 1
        record.request_ids.add(uid)
        record.runs_by_incarnation[self.incarnation] += 1
        self._run_half_then(
            run, lambda: self._request_call(run) if lane in self._calls else self._finish(run)
        )

    def _end_blocked_runs_of_ended_requests(self) -> None:
        """End the runs that wait for a call and whose request is over, even while the cores are frozen."""
        for run in [run for run in self._running.values() if run.blocked and self.is_over(run.uid)]:
            self._terminate(run)

    def _terminate(self, run: Run) -> None:
        del self._running[run.uid]
        self._leave_cores(run)
        self._notify("finished", run.uid, "broken_off", started_at=run.started_at)

    def _cancel(self, uid: str) -> None:
        if self._frozen_at is not None:
            return
        if (run := self._running.get(uid)) is not None:
            self._terminate(run)

    def _supply(self, uid: str) -> None:
        if (run := self._running.get(uid)) is not None and run.blocked:
            run.blocked = False
            self._run_half_then(run, lambda: self._finish(run))

    def _request_call(self, run: Run) -> None:
        if self._running.get(run.uid) is not run:
            return
        if self.is_over(run.uid):
            self._terminate(run)
        else:
            run.blocked = True
            self._notify("blocked", run.uid, content=b"call for " + run.body)

    def _finish(self, run: Run) -> None:
        if self._running.get(run.uid) is not run:
            return
        del self._running[run.uid]
        # Every run has a unique result, so that a second run can't be mistaken for the first.
        result = self._random.randbytes(self._random.randint(*self._result_bytes))
        self.records[run.body].results.append(result)
        self._notify("finished", run.uid, "fine", result, run.started_at)

    def _notify(
        self,
        action: str,
        uid: str,
        code: str = "",
        content: bytes = b"",
        started_at: float | None = None,
    ) -> None:
        self._position += 1
        notice = {
            "action": action,
            "pos": self._position,
            "uid": uid,
            "code": code,
            "wall_ms": (time.monotonic() - started_at) * 1e3 if started_at is not None else 0.0,
            "content": base64.b64encode(content).decode(),
        }
        line = json.dumps(notice).encode()
        self._notices.append((self._position, line))
        del self._notices[:-MAX_KEPT_NOTICES]
        self._send(line)

    def _send(self, line: bytes) -> None:
        if self._link is not None:
            try:
                self._link.sendall(line + b"\n")
            except OSError:
                self._link = None
