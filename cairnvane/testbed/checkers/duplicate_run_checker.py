"""Checks keyed requests for duplicate runs by comparing responses with the records of pool and dependency.

The server is never queried. A keyed request is called a commit here and is identified by its unique body.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..stand_ins.balancer import DISCONNECTED, Reply
from ..stand_ins.worker_pool import RunRecord

# Number and interval of the final retries of commits without an answer.
MAX_FINAL_RETRIES = 20
FINAL_RETRY_INTERVAL_S = 0.3
ANSWER_POLL_S = 0.01
SERVED_STATUSES = (200,)
REJECTED_STATUSES = (429, 503)


@dataclass
class Commit:
    """One keyed request, over all its attempts."""

    body: bytes
    idempotency_key: str
    first_sent_at: float = 0.0  # monotonic time; 0: not sent yet
    served_bodies: list[bytes] = field(default_factory=list)  # bodies of its successful responses
    failed: int = 0
    failed_after_served: int = 0
    rejected: int = 0
    broken: int = 0  # attempts whose connection ended without an answer
    in_flight: int = 0  # attempts without an answer so far


@dataclass
class Verdict:
    """Counts over all commits; field names are keys of the JSON report."""

    commits: int
    tries: int
    runs: int
    second_runs: int
    second_calls: int
    differing: int  # commits whose responses differ
    invented: int  # commits with a response that no run produced
    unanswered: int  # attempts without an answer
    lost: int  # commits without any answer
    refusals: int
    failed: int
    broken_tries: int

    @property
    def good(self) -> bool:
        """Whether all guarantees held."""
        violations = self.second_runs + self.second_calls + self.differing + self.invented
        return violations + self.unanswered + self.lost == 0


class DuplicateRunChecker:
    """Records the responses to clients. Its methods may be called from any thread."""

    def __init__(self) -> None:
        self.commits: list[Commit] = []
        self.attempts = 0
        self._lock = threading.Lock()  # guards the commits and all their fields

    def add(self, commit: Commit) -> None:
        """Register a commit before its first attempt."""
        with self._lock:
            self.commits.append(commit)

    def record_attempt(self, commit: Commit, now: float) -> None:
        """Record that an attempt is being sent."""
        with self._lock:
            self.attempts += 1
            commit.in_flight += 1
            commit.first_sent_at = commit.first_sent_at or now

    def record_reply(self, commit: Commit, reply: Reply) -> None:
        """Record the outcome of an attempt."""
        with self._lock:
            commit.in_flight -= 1
            if reply.status == DISCONNECTED:
                commit.broken += 1
            elif reply.status in SERVED_STATUSES:
                commit.served_bodies.append(reply.body)
            elif reply.status in REJECTED_STATUSES:
                commit.rejected += 1
            else:
                commit.failed += 1
                commit.failed_after_served += bool(commit.served_bodies)

    def settle(self, retry: Callable[[Commit], None], wait_s: float) -> None:
        """Wait until all attempts are answered, up to `wait_s` in each round of retries.

        Commits that were neither served nor failed are retried: they were rejected, or no server read them.
        """
        for _ in range(MAX_FINAL_RETRIES):
            self._await_answers(wait_s)
            open_commits = [
                commit for commit in self.commits if not commit.served_bodies and not commit.failed
            ]
            if not open_commits:
                return
            for commit in open_commits:
                retry(commit)
            time.sleep(FINAL_RETRY_INTERVAL_S)
        self._await_answers(wait_s)

    def _await_answers(self, wait_s: float) -> None:
        deadline = time.monotonic() + wait_s
        while time.monotonic() < deadline and any(commit.in_flight for commit in self.commits):
            time.sleep(ANSWER_POLL_S)

    def verdict(self, pool: Mapping[bytes, RunRecord], calls: Counter[bytes]) -> Verdict:
        """Compare the responses with the pool's runs and the dependency's calls, both by request body."""
        commits = self.commits
        records = {commit.body: pool.get(commit.body, RunRecord()) for commit in commits}
        return Verdict(
            commits=len(commits),
            tries=self.attempts,
            runs=sum(record.runs for record in records.values()),
            second_runs=sum(max(0, record.runs - 1) for record in records.values()),
            second_calls=sum(max(0, calls[b"call for " + commit.body] - 1) for commit in commits),
            differing=sum(_responses_differ(commit) for commit in commits),
            invented=sum(_is_invented(commit, records[commit.body]) for commit in commits),
            unanswered=sum(commit.in_flight for commit in commits),
            lost=sum(not commit.served_bodies and not commit.failed for commit in commits),
            refusals=sum(commit.rejected for commit in commits),
            failed=sum(commit.failed for commit in commits),
            broken_tries=sum(commit.broken for commit in commits),
        )


def _responses_differ(commit: Commit) -> bool:
    return len(set(commit.served_bodies)) > 1 or commit.failed_after_served > 0


def _is_invented(commit: Commit, record: RunRecord) -> bool:
    """Whether a response carries a result that no run produced."""
    return any(body not in record.results for body in commit.served_bodies)
