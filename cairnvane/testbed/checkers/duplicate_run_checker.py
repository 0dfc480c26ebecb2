"""The judge of keyed requests: what callers were told, against what the pool and the vault saw.

It never asks the server. A commit is known by its body, which no other commit has.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..stand_ins.balancer import Reply
from ..stand_ins.worker_pool import Facts

# Commits without an answer are tried so often at the end, this long after one another.
MOST_AGAIN, AGAIN_S = 20, 0.3
SERVED, REFUSED = (200,), (429, 503)


@dataclass
class Commit:
    """One keyed request, over all its tries."""

    body: bytes
    token: str
    first_sent: float = 0.0
    served: list[bytes] = field(default_factory=list)  # each answer 'served'
    failed: int = 0
    failed_after_served: int = 0
    refused: int = 0
    broken: int = 0  # tries whose connection ended with the server
    open: int = 0  # tries that are owed an answer


@dataclass
class Verdict:
    """What the experiment has shown."""

    commits: int
    tries: int
    runs: int
    second_runs: int
    second_calls: int
    differing: int
    invented: int
    unanswered: int
    lost: int
    refusals: int
    failed: int
    broken_tries: int

    @property
    def good(self) -> bool:
        """All that was promised."""
        wrong = self.second_runs + self.second_calls + self.differing + self.invented
        return wrong + self.unanswered + self.lost == 0


class Judge:
    """Keeps what callers were told. Safe to use from any thread."""

    def __init__(self) -> None:
        self.commits: list[Commit] = []
        self._lock = threading.Lock()
        self.tries = 0

    def add(self, commit: Commit) -> None:
        """One more commit."""
        with self._lock:
            self.commits.append(commit)

    def sent(self, commit: Commit, now: float) -> None:
        """A try goes out."""
        with self._lock:
            self.tries += 1
            commit.open += 1
            commit.first_sent = commit.first_sent or now

    def told(self, commit: Commit, reply: Reply) -> None:
        """A try is over."""
        with self._lock:
            commit.open -= 1
            if reply.status == 0:
                commit.broken += 1
            elif reply.status in SERVED:
                commit.served.append(reply.body)
            elif reply.status in REFUSED:
                commit.refused += 1
            else:
                commit.failed += 1
                commit.failed_after_served += bool(commit.served)

    def settle(self, again: Callable[[Commit], None], wait_s: float) -> None:
        """At the end: wait until no try is owed an answer, `wait_s` at the most, and have those tried once
        more that were refused, or that nobody has read yet."""
        for _ in range(MOST_AGAIN):
            self._answered(wait_s)
            left = [commit for commit in self.commits if not commit.served and not commit.failed]
            if not left:
                return
            for commit in left:
                again(commit)
            time.sleep(AGAIN_S)
        self._answered(wait_s)

    def _answered(self, wait_s: float) -> None:
        end = time.monotonic() + wait_s
        while time.monotonic() < end and any(commit.open for commit in self.commits):
            time.sleep(0.01)

    def verdict(self, pool: Mapping[bytes, Facts], calls: Counter[bytes]) -> Verdict:
        """Against the pool's and the vault's own records."""
        commits = self.commits
        ran = {commit.body: pool.get(commit.body, Facts()) for commit in commits}
        return Verdict(
            commits=len(commits),
            tries=self.tries,
            runs=sum(facts.runs for facts in ran.values()),
            second_runs=sum(max(0, facts.runs - 1) for facts in ran.values()),
            second_calls=sum(max(0, calls[b"call for " + commit.body] - 1) for commit in commits),
            differing=sum(len(set(c.served)) > 1 or c.failed_after_served > 0 for c in commits),
            invented=sum(any(body not in ran[c.body].results for body in c.served) for c in commits),
            unanswered=sum(commit.open for commit in commits),
            lost=sum(not commit.served and not commit.failed for commit in commits),
            refusals=sum(commit.refused for commit in commits),
            failed=sum(c.failed for c in commits),
            broken_tries=sum(commit.broken for commit in commits),
        )
