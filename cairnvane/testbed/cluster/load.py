"""Load generator for a cluster: balancers that send and retry requests, and may honor retry-after."""

from __future__ import annotations

import heapq
import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..checkers.duplicate_run_checker import REJECTED_STATUSES, SERVED_STATUSES
from ..stand_ins.balancer import DISCONNECTED, Reply, StandInBalancer
from .nodes import Node
from .scenario import Scenario

KEYED_CLASS = "bid-commit"
NON_KEYED_CLASSES = ("price-view", "bid-update")
NON_KEYED_MIX = (5, 3)
LATENCY_OBJECTIVES_S = {"price-view": 1.4, "bid-update": 2.3, "bid-commit": 2.3}
CLIENT_TIMEOUTS_S = {"price-view": 3.4, "bid-update": 5.8, "bid-commit": 5.8}
PRIORITY_WEIGHTS = {"price-view": 1.0, "bid-update": 2.0, "bid-commit": 3.0}
# Delays before the retry of a rejected attempt and of a disconnected or failed one.
RETRY_AFTER_REJECTION_S = 0.002
RETRY_AFTER_FAILURE_S = 0.02
# Time for which a balancer avoids a server after a disconnect.
AVOID_AFTER_DISCONNECT_S = 1.0
CONNECTIONS_PER_SERVER = 2
# A request is not retried once its age exceeds this multiple of its latency objective.
MAX_LATENESS = 1.2
# Maximum wait of the load generator's thread for a change.
MAX_WAIT_S = 0.05


@dataclass
class Attempt:
    """One attempt of a request, as its balancer saw it."""

    request_id: str
    node: int
    incarnation: int  # the server's line of versions; idempotency keys are kept within one line
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None  # `DISCONNECTED` also after a timeout; None while the attempt is open
    timed_out: bool = False  # the balancer gave up
    unreachable: bool = False  # nothing listened, or no connection had capacity: no server read it
    result: bytes | None = None  # the body of the successful response


@dataclass
class ClientRequest:
    """One request with all its attempts. Times are seconds since the load's start."""

    body: bytes
    request_class: str
    created_at: float
    idempotency_key: str | None
    balancer: int
    attempts: list[Attempt] = field(default_factory=list)
    served_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether it was served within its latency objective."""
        return (
            self.served_at is not None
            and self.served_at - self.created_at <= LATENCY_OBJECTIVES_S[self.request_class]
        )


def _disconnected() -> Reply:
    return Reply(DISCONNECTED, b"", 0, 0.0)


class LoadGenerator:
    """All balancers: one thread creates requests and sends retries, other threads receive the replies."""

    def __init__(self, scenario: Scenario, seed: int, nodes: Sequence[Node]) -> None:
        self.requests: list[ClientRequest] = []
        self.rate_factor = 1.0  # changed by the fault `surge`
        self.start = 0.0  # start of the load, on the monotonic clock
        self.max_lag_s = 0.0  # maximum delay of a request behind its scheduled time
        self._scenario = scenario
        self._nodes = nodes
        self._random = random.Random(f"{seed} load")
        self._count = itertools.count(1)  # numbers request ids, and tasks in their order
        self._lock = threading.Lock()  # guards the fields below and all requests and attempts
        self._changed = threading.Condition(self._lock)
        self._tasks: list[tuple[float, int, Callable[[], None]]] = []  # due time, order, task
        self._is_settling = False
        # Connections by balancer and server.
        self._balancers: dict[tuple[int, int], StandInBalancer] = {}
        self._ended_request_ids: set[str] = set()  # of the attempts that have ended
        self._open: dict[str, Attempt] = {}  # open attempts by request id
        # By balancer and server: until when the server asked for a wait, and until when the balancer
        # avoids the server after a disconnect.
        self._retry_after: dict[tuple[int, int], float] = {}
        self._avoid_until: dict[tuple[int, int], float] = {}

    def now(self) -> float:
        """Seconds since the load's start."""
        return time.monotonic() - self.start

    def run(self) -> None:
        """Generate the whole load in the caller's thread, and return at its end."""
        self.start = time.monotonic()
        created_at = 0.0
        end = self._scenario.seconds
        while created_at < end:
            created_at += self._random.expovariate(self._scenario.load.rate * self.rate_factor)
            self._run_tasks_until(created_at)
            self.max_lag_s = max(self.max_lag_s, self.now() - created_at)
            self._create_request(created_at)
        self._run_tasks_until(end)

    def is_over(self, request_id: str) -> bool:
        """Whether the attempt with this id has been answered or has timed out."""
        return request_id in self._ended_request_ids

    def open_attempts(self, sent_before: float) -> Counter[int]:
        """Number of open attempts by server that were sent before this time, in seconds of the load."""
        with self._lock:
            return Counter(attempt.node for attempt in self._open.values() if attempt.sent_at < sent_before)

    def settle(self, seconds: float) -> None:
        """Wait up to `seconds` for all attempts to end, without further retries."""
        self._is_settling = True
        self._run_tasks_until(self.now() + seconds, self._all_ended)

    def _all_ended(self) -> bool:
        return all(attempt.status is not None for request in self.requests for attempt in request.attempts)

    def _run_tasks_until(self, end: float, is_done: Callable[[], bool] = lambda: False) -> None:
        """Run due tasks until the time `end` or until `is_done` returns true."""
        while True:
            with self._lock:
                now = self.now()
                if now >= end or is_done():
                    return
                if not self._tasks or self._tasks[0][0] > now:
                    next_at = min(end, self._tasks[0][0] if self._tasks else end)
                    self._changed.wait(min(next_at - now, MAX_WAIT_S))
                    continue
                task = heapq.heappop(self._tasks)[2]
            task()

    def _schedule(self, due_at: float, task: Callable[[], None]) -> None:
        heapq.heappush(self._tasks, (due_at, next(self._count), task))

    # --- requests

    def _create_request(self, created_at: float) -> None:
        rng = self._random
        keyed = rng.random() < self._scenario.load.keyed
        request_class = KEYED_CLASS if keyed else rng.choices(NON_KEYED_CLASSES, NON_KEYED_MIX)[0]
        idempotency_key = rng.randbytes(16).hex() if keyed else None
        body = b"%s %d" % (request_class.encode(), len(self.requests))
        balancer = rng.randrange(self._scenario.load.balancers)
        request = ClientRequest(body, request_class, created_at, idempotency_key, balancer)
        self.requests.append(request)
        self._send_attempt(request, rng.randrange(len(self._nodes)))

    def _send_attempt(self, request: ClientRequest, preferred: int) -> None:
        """Send an attempt to the preferred server, or to the next one that the balancer does not avoid."""
        now = self.now()
        number = self._choose_server(request.balancer, preferred, now)
        request_id = f"{next(self._count):016x}"
        attempt = Attempt(request_id, number, self._nodes[number].version_line, now)
        request.attempts.append(attempt)
        with self._lock:
            self._open[request_id] = attempt
        balancer = self._connected_balancer(request.balancer, number)
        if balancer is None:
            self._end_attempt(request, attempt, _disconnected(), reached=False)
            return
        abort = balancer.send(
            request_id,
            request.request_class,
            request.body,
            request.idempotency_key,
            lambda reply: self._end_attempt(request, attempt, reply),
            wait=False,
        )
        if abort is None:
            self._end_attempt(request, attempt, _disconnected(), reached=False)
            return
        with self._lock:
            self._schedule(now + self._scenario.load.wait, lambda: self._time_out(request, attempt, abort))

    def _choose_server(self, balancer: int, preferred: int, now: float) -> int:
        """The first server from the preferred one on that is not avoided; the preferred one if all are."""
        honors_retry_after = balancer < self._scenario.load.balancers * self._scenario.load.heed
        for step in range(len(self._nodes)):
            number = (preferred + step) % len(self._nodes)
            avoided = self._avoid_until.get((balancer, number), 0.0) > now
            must_wait = honors_retry_after and self._retry_after.get((balancer, number), 0.0) > now
            if not avoided and not must_wait:
                return number
        return preferred % len(self._nodes)

    def _connected_balancer(self, balancer: int, number: int) -> StandInBalancer | None:
        """The connections of a balancer to a server; None while nothing listens there."""
        if not self._nodes[number].up:
            return None
        connected = self._balancers.get((balancer, number))
        if connected is None:
            try:
                connected = StandInBalancer(
                    self._nodes[number].port,
                    links=CONNECTIONS_PER_SERVER,
                    renew=True,
                    memory_kb=self._scenario.server.request_kb,
                )
            except OSError:
                return None
            self._balancers[balancer, number] = connected
        return connected

    def _time_out(self, request: ClientRequest, attempt: Attempt, abort: Callable[[], None]) -> None:
        """Abort an attempt that has not ended within the balancer's timeout."""
        if attempt.status is None:
            attempt.timed_out = True
            abort()
            self._end_attempt(request, attempt, _disconnected())

    # --- replies

    def _end_attempt(
        self, request: ClientRequest, attempt: Attempt, reply: Reply, reached: bool = True
    ) -> None:
        """Record the end of an attempt and schedule a retry; called in a reader's thread.

        `reached` is False if nothing listened, which proves that the attempt did not run.
        """
        now = self.now()
        with self._lock:
            if attempt.status is not None:
                return
            self._record_end(request, attempt, reply, reached, now)
            if self._may_retry(request, reply.status, now):
                self._schedule_retry(request, attempt, reached, now)
            self._changed.notify()

    def _record_end(
        self, request: ClientRequest, attempt: Attempt, reply: Reply, reached: bool, now: float
    ) -> None:
        attempt.ended_at = now
        attempt.status = reply.status
        self._ended_request_ids.add(attempt.request_id)
        self._open.pop(attempt.request_id, None)
        attempt.unreachable = not reached
        if reply.status == DISCONNECTED:
            self._avoid_until[request.balancer, attempt.node] = now + AVOID_AFTER_DISCONNECT_S
        if reply.status in SERVED_STATUSES:
            attempt.result = reply.body
            request.served_at = request.served_at if request.served_at is not None else now
        if reply.status in REJECTED_STATUSES:
            self._retry_after[request.balancer, attempt.node] = now + reply.retry_after_ms / 1e3

    def _may_retry(self, request: ClientRequest, status: int, now: float) -> bool:
        final = status not in (DISCONNECTED, *REJECTED_STATUSES)
        late = now - request.created_at > LATENCY_OBJECTIVES_S[request.request_class] * MAX_LATENESS
        exhausted = len(request.attempts) >= self._scenario.load.tries
        return not (self._is_settling or final or late or exhausted)

    def _schedule_retry(self, request: ClientRequest, attempt: Attempt, reached: bool, now: float) -> None:
        rejected = attempt.status in REJECTED_STATUSES
        # A keyed request that failed or was disconnected may have run: it is retried at the same server.
        same_server = request.idempotency_key is not None and not rejected and reached
        preferred = attempt.node if same_server or not self._scenario.load.walk else attempt.node + 1
        delay_s = RETRY_AFTER_REJECTION_S if rejected else RETRY_AFTER_FAILURE_S
        self._schedule(now + delay_s, lambda: self._send_attempt(request, preferred))

    def close(self) -> None:
        """Close all connections."""
        for balancer in self._balancers.values():
            balancer.close()
