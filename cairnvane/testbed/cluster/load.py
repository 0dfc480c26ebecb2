"""Balancers of a fleet: open-loop load, tries that walk on after a refusal, advice that some of them heed."""

from __future__ import annotations

import heapq
import itertools
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..checkers.duplicate_run_checker import REFUSED, SERVED
from ..stand_ins.balancer import Reply, StandInBalancer
from .nodes import Node
from .scenario import Scenario

LANES, MIX_PLAIN = ("price-view", "bid-update", "bid-commit"), (5, 3)
AIMS_S = {"price-view": 1.4, "bid-update": 2.3, "bid-commit": 2.3}
PATIENCE_S = {"price-view": 3.4, "bid-update": 5.8, "bid-commit": 5.8}
WORTH = {"price-view": 1.0, "bid-update": 2.0, "bid-commit": 3.0}
# A try that was turned away goes on after so long; one that broke or failed, after longer.
AGAIN_S, BROKEN_AGAIN_S = 0.002, 0.02
# A balancer that breaks off with a server leaves it alone for so long.
SHUNS_S = 1.0
# Connections of a balancer to one server.
CONNECTIONS = 2
# Callers give a request up when it is late by so much of its aim.
GIVE_UP = 1.2


@dataclass
class Try:
    """One try of a request, as its balancer saw it."""

    uid: str
    node: int
    life: int
    sent: float
    ended: float = 0.0
    status: int | None = None  # 0: its connection ended, or it was given up; None: not over
    given_up: bool = False
    nobody: bool = False  # nobody listened, or no connection had room: it was never read
    result: bytes | None = None  # with which it was served


@dataclass
class Asked:
    """One request, over all its tries. Times are seconds of the load."""

    body: bytes
    lane: str
    born: float
    token: str | None
    balancer: int
    tries: list[Try] = field(default_factory=list)
    served_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Served within its aim."""
        return self.served_at is not None and self.served_at - self.born <= AIMS_S[self.lane]


class Callers:
    """All balancers; one thread makes requests and later tries, others hear the answers."""

    def __init__(self, told: Scenario, seed: int, nodes: Sequence[Node]) -> None:
        self._told, self._nodes = told, nodes
        self._random = random.Random(f"{seed} load")
        self.asked: list[Asked] = []
        self.surge = 1.0
        self._links: dict[tuple[int, int], StandInBalancer] = {}
        self._away: dict[tuple[int, int], float] = {}  # as advised
        self._shunned: dict[tuple[int, int], float] = {}  # by a balancer's own sight
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count(1)
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._over = False
        self.start = 0.0  # of the load, on the monotonic clock
        self.lag_s = 0.0  # the most that a request went out behind its time

    def now(self) -> float:
        """Seconds since the load's start."""
        return time.monotonic() - self.start

    def play(self) -> None:
        """The whole load, in the caller's thread; returns at its end."""
        self.start = time.monotonic()
        at, end = 0.0, self._told.seconds
        while at < end:
            at += self._random.expovariate(self._told.load.rate * self.surge)
            self._until(at)
            self.lag_s = max(self.lag_s, self.now() - at)
            self._request(at)
        self._until(end)

    def settle(self, seconds: float) -> None:
        """Wait for what is owed, so long at the most; nothing is tried again."""
        self._over = True
        self._until(self.now() + seconds, self._all_over)

    def _all_over(self) -> bool:
        return all(tried.status is not None for one in self.asked for tried in one.tries)

    def _until(self, at: float, enough: Callable[[], bool] = lambda: False) -> None:
        """Make the tries that fall due until then."""
        while True:
            with self._lock:
                now = self.now()
                if now >= at or enough():
                    return
                if not self._agenda or self._agenda[0][0] > now:
                    wait = min(at, self._agenda[0][0] if self._agenda else at) - now
                    self._changed.wait(min(wait, 0.05))
                    continue
                task = heapq.heappop(self._agenda)[2]
            task()

    def _request(self, born: float) -> None:
        rng = self._random
        keyed = rng.random() < self._told.load.keyed
        lane = LANES[2] if keyed else rng.choices(LANES[:2], MIX_PLAIN)[0]
        token = rng.randbytes(16).hex() if keyed else None
        body = b"%s %d" % (lane.encode(), len(self.asked))
        one = Asked(body, lane, born, token, rng.randrange(self._told.load.balancers))
        self.asked.append(one)
        self._try(one, rng.randrange(len(self._nodes)))

    def _try(self, one: Asked, first: int) -> None:
        """At this server, or at the next one that is not to be stayed away from."""
        heeds = one.balancer < self._told.load.balancers * self._told.load.heed
        now, count = self.now(), len(self._nodes)
        numbers = [(first + step) % count for step in range(count)]
        number = next(
            (
                n
                for n in numbers
                if self._shunned.get((one.balancer, n), 0.0) <= now
                and not (heeds and self._away.get((one.balancer, n), 0.0) > now)
            ),
            numbers[0],
        )
        node = self._nodes[number]
        uid = f"{next(self._count):016x}"
        made = Try(uid, number, node.line, now)
        one.tries.append(made)
        nobody = Reply(0, b"", 0, 0.0)
        if (balancer := self._balancer(one.balancer, number)) is None:
            return self._told_of(one, made, nobody, ran=False)
        give_up = balancer.send(
            uid, one.lane, one.body, one.token, lambda reply: self._told_of(one, made, reply), wait=False
        )
        if give_up is None:
            return self._told_of(one, made, nobody, ran=False)
        with self._lock:
            self._push(now + self._told.load.wait, lambda: self._overdue(one, made, give_up))

    def _push(self, at: float, task: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (at, next(self._count), task))

    def _overdue(self, one: Asked, made: Try, give_up: Callable[[], None]) -> None:
        """The balancer waits no longer for this try."""
        if made.status is None:
            made.given_up = True
            give_up()
            self._told_of(one, made, Reply(0, b"", 0, 0.0))

    def _balancer(self, balancer: int, number: int) -> StandInBalancer | None:
        """Its connections to this server; None while nobody listens there."""
        if not self._nodes[number].up:
            return None
        found = self._links.get((balancer, number))
        if found is None:
            try:
                found = self._links[balancer, number] = StandInBalancer(
                    self._nodes[number].port, links=CONNECTIONS, renew=True
                )
            except OSError:
                return None
        return found

    def _told_of(self, one: Asked, made: Try, reply: Reply, ran: bool = True) -> None:
        """In a reader's thread: the end of a try. `ran` False: nobody listened, which proves that it did
        not."""
        now = self.now()
        with self._lock:
            if made.status is not None:
                return
            made.ended, made.status, made.nobody = now, reply.status, not ran
            if reply.status == 0:
                self._shunned[one.balancer, made.node] = now + SHUNS_S
            if reply.status in SERVED:
                made.result = reply.body
                one.served_at = one.served_at if one.served_at is not None else now
            refused = reply.status in REFUSED
            if refused:
                self._away[one.balancer, made.node] = now + reply.wait_ms / 1e3
            # Nothing proves that a keyed request which failed or broke off did not run: it goes back there.
            stays = one.token is not None and not refused and ran
            done = reply.status in SERVED or (reply.status not in (0, *REFUSED))
            late = now - one.born > AIMS_S[one.lane] * GIVE_UP
            if self._over or done or late or len(one.tries) >= self._told.load.tries:
                self._changed.notify()
                return
            onward = made.node if stays or not self._told.load.walk else made.node + 1
            again = now + (AGAIN_S if refused else BROKEN_AGAIN_S)
            self._push(again, lambda: self._try(one, onward))
            self._changed.notify()

    def close(self) -> None:
        """Hang up."""
        for balancer in self._links.values():
            balancer.close()
