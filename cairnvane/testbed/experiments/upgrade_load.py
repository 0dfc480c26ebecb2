"""The load of the upgrade experiment: commits that come back, some of them twice at once or forged.

Each request may meet any of the processes that serve, since connections are closed now and then.
"""

from __future__ import annotations

import heapq
import random
import threading
import time

from ..checkers.duplicate_run_checker import SERVED_STATUSES, Commit, DuplicateRunChecker
from ..stand_ins.balancer import DISCONNECTED, Reply, StandInBalancer
from .keyed_workload import CLIENT_TIMEOUT_S, DEADLINE_SLACK_S, KEYED_CLASS, NON_KEYED_CLASS

# Shares of the commits that are sent twice at the same moment, and of the retries that bring another body.
SENT_TWICE = 0.3
FORGED = 0.2
# A commit is retried about so long after it was first sent, each time multiplied by a factor between these.
RETRY_DELAYS_S = (0.05, 0.4, 2.0)
LEAST_DELAY = 0.5
MOST_DELAY = 1.5
RETRY_POLL_S = 0.002
CONNECTIONS = 8
# Interval at which one connection is closed, if it is idle.
CLOSE_INTERVAL_S = 0.02


class UpgradeLoad:
    """Sends commits at a rate, in threads of its own, from `start` until `stop`."""

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
        """Connect to whoever listens at `port`; `rate`: new commits a second; `forge`: send forged ones."""
        self.forged = 0  # attempts with another body under a known key
        self.forged_served = 0
        self.unanswered = 0  # requests that ended without an answer on a second connection too
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
        self._over = threading.Event()
        tasks = (self._send_commits, self._send_retries, self._close_connections)
        self._threads = [threading.Thread(target=task, daemon=True) for task in tasks]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    @property
    def all_sent(self) -> bool:
        """Whether all new commits have been created."""
        return len(self._checker.commits) >= self._commits

    def stop(self) -> None:
        """Tell all threads to end."""
        self._over.set()

    def finish(self) -> None:
        """Wait for the threads to end and for the answers that are missing, then close all connections."""
        for thread in self._threads:
            thread.join()
        self._checker.settle(self._send_attempt, CLIENT_TIMEOUT_S + DEADLINE_SLACK_S)
        self._balancer.close()

    # --- threads

    def _send_commits(self) -> None:
        """Send new commits at the rate until all are created, with a request that is not keyed after each."""
        start = time.monotonic()
        while not self._over.is_set() and not self.all_sent:
            number = len(self._checker.commits)
            wait_s = start + number / self._rate - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            commit = Commit(b"commit %d" % number, self._random.randbytes(16).hex())
            self._checker.add(commit)
            self._send_attempt(commit)
            if self._random.random() < SENT_TWICE:
                self._send_attempt(commit)
            self._schedule_retries(commit)
            body = b"view %d" % self._non_keyed_requests
            self._balancer.send(self._request_id(), NON_KEYED_CLASS, body, None, lambda reply: None)

    def _schedule_retries(self, commit: Commit) -> None:
        now = time.monotonic()
        with self._lock:
            for delay_s in RETRY_DELAYS_S:
                due_at = now + delay_s * self._random.uniform(LEAST_DELAY, MOST_DELAY)
                heapq.heappush(self._retries, (due_at, self._random.getrandbits(62), commit))
            self._non_keyed_requests += 1

    def _send_retries(self) -> None:
        """Retry commits that are due; some of them forged."""
        while not self._over.is_set():
            for commit in self._due_retries():
                if self._forge and self._random.random() < FORGED:
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
        """Close idle connections now and then: their next request may meet another process."""
        while not self._over.wait(CLOSE_INTERVAL_S):
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
        # A request that crossed the close of an idle connection is sent again, once, on a new one.
        if resent:
            with self._lock:
                self.unanswered += 1
        elif not self._over.is_set():
            threading.Thread(target=self._send_attempt, args=(commit, True), daemon=True).start()

    def _send_forged(self, commit: Commit) -> None:
        """Send another body under the commit's key, if the commit was served.

        Before that, whichever body comes first under a key is the request of that key.
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
