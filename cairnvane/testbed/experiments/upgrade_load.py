"""The load of the upgrade experiment: commits and their retries, some sent twice at once, some forged.

Connections are closed at intervals, so that each request may reach any of the serving processes.
"""

from __future__ import annotations

import heapq
import random
import threading
import time

from ..checkers.duplicate_run_checker import SERVED_STATUSES, Commit, DuplicateRunChecker
from ..stand_ins.balancer import DISCONNECTED, Reply, StandInBalancer
from .keyed_workload import CLIENT_TIMEOUT_S, DEADLINE_SLACK_S, KEYED_CLASS, NON_KEYED_CLASS

# Fractions of commits that are sent twice at once, and of retries that carry a different body.
SENT_TWICE_FRACTION = 0.3
FORGED_FRACTION = 0.2
# Delays of a commit's retries after its first attempt; each is multiplied by a random factor.
RETRY_DELAYS_S = (0.05, 0.4, 2.0)
MIN_DELAY_FACTOR = 0.5
MAX_DELAY_FACTOR = 1.5
RETRY_POLL_S = 0.002
CONNECTIONS = 8
# Interval at which one connection is closed, if it is idle.
CLOSE_INTERVAL_S = 0.02


class UpgradeLoad:
    """Sends commits at a given rate from its own threads, between `start` and `stop`."""

    def __init__(
        self,
        port: int,
        checker: DuplicateRunChecker,
        rng: random.Random,
        *,
        seed: int,
        commits: int,
        rate: float,
        forge: bool,
    ) -> None:
        """Connect to `port`; `rate`: new commits per second; `forge`: also send forged retries."""
        self.forged = 0  # attempts with a different body under the key of a served commit
        self.forged_served = 0
        self.unanswered = 0  # requests whose connection was closed without an answer, twice in a row
        self._checker = checker
        self._random = rng
        self._seed = seed
        self._commits = commits
        self._rate = rate
        self._forge = forge
        self._balancer = StandInBalancer(port, links=CONNECTIONS, renew=True)
        self._lock = threading.Lock()  # guards the counts, the retries and the request ids
        self._retries: list[tuple[float, int, Commit]] = []  # due time, random order, commit
        self._request_ids = 0
        self._non_keyed_requests = 0
        self._stopped = threading.Event()
        tasks = (self._send_commits, self._send_retries, self._close_connections)
        self._threads = [threading.Thread(target=task, daemon=True) for task in tasks]

    def start(self) -> None:
        """Start the sending threads."""
        for thread in self._threads:
            thread.start()

    @property
    def all_sent(self) -> bool:
        """Whether all new commits have been created."""
        return len(self._checker.commits) >= self._commits

    def stop(self) -> None:
        """Signal all threads to end."""
        self._stopped.set()

    def finish(self) -> None:
        """Wait for the threads and for outstanding answers, then close all connections."""
        for thread in self._threads:
            thread.join()
        self._checker.settle(self._send_attempt, CLIENT_TIMEOUT_S + DEADLINE_SLACK_S)
        self._balancer.close()

    # --- threads

    def _send_commits(self) -> None:
        """Send all new commits at the configured rate, each followed by a request without a key."""
        start = time.monotonic()
        while not self._stopped.is_set() and not self.all_sent:
            number = len(self._checker.commits)
            wait_s = start + number / self._rate - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            commit = Commit(b"commit %d" % number, self._random.randbytes(16).hex())
            self._checker.add(commit)
            self._send_attempt(commit)
            if self._random.random() < SENT_TWICE_FRACTION:
                self._send_attempt(commit)
            self._schedule_retries(commit)
            body = b"view %d" % self._non_keyed_requests
            self._balancer.send(self._request_id(), NON_KEYED_CLASS, body, None, lambda reply: None)

    def _schedule_retries(self, commit: Commit) -> None:
        now = time.monotonic()
        with self._lock:
            for delay_s in RETRY_DELAYS_S:
                due_at = now + delay_s * self._random.uniform(MIN_DELAY_FACTOR, MAX_DELAY_FACTOR)
                heapq.heappush(self._retries, (due_at, self._random.getrandbits(62), commit))
            self._non_keyed_requests += 1

    def _send_retries(self) -> None:
        """Send the retries that are due; some of them forged."""
        while not self._stopped.is_set():
            for commit in self._due_retries():
                if self._forge and self._random.random() < FORGED_FRACTION:
                    self._send_forged(commit)
                else:
                    self._send_attempt(commit)
            time.sleep(RETRY_POLL_S)

    def _due_retries(self) -> list[Commit]:
        due = []
        with self._lock:
            while self._retries and self._retries[0][0] <= time.monotonic():
                due.append(heapq.heappop(self._retries)[2])
        return due

    def _close_connections(self) -> None:
        """Close idle connections at intervals, so that their next request may reach another process."""
        while not self._stopped.wait(CLOSE_INTERVAL_S):
            self._balancer.close_if_idle(self._random.randrange(CONNECTIONS))

    # --- requests

    def _send_attempt(self, commit: Commit, resent: bool = False) -> None:
        self._checker.record_attempt(commit, time.monotonic())
        self._balancer.send(
            self._request_id(),
            KEYED_CLASS,
            commit.body,
            commit.idempotency_key,
            lambda reply: self._record_reply(commit, reply, resent),
            fresh=resent,
        )

    def _record_reply(self, commit: Commit, reply: Reply, resent: bool) -> None:
        self._checker.record_reply(commit, reply)
        if reply.status != DISCONNECTED:
            return
        # The server may close an idle connection while a request is on its way: the request is resent once.
        if resent:
            with self._lock:
                self.unanswered += 1
        elif not self._stopped.is_set():
            threading.Thread(target=self._send_attempt, args=(commit, True), daemon=True).start()

    def _send_forged(self, commit: Commit) -> None:
        """Send a different body under the commit's key, if the commit was served.

        Before that, the forged request could arrive first and be accepted as the original of the key.
        """
        if not commit.served_bodies:
            return

        def record_forged(reply: Reply) -> None:
            with self._lock:
                self.forged += 1
                self.forged_served += reply.status in SERVED_STATUSES

        body = b"forged " + commit.body
        self._balancer.send(self._request_id(), KEYED_CLASS, body, commit.idempotency_key, record_forged)

    def _request_id(self) -> str:
        with self._lock:
            self._request_ids += 1
            return f"{self._seed % 4_096:03x}{self._request_ids:013x}"
