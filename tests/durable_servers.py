"""One server after the other on one durable store, with kills at named steps."""

from __future__ import annotations

import contextlib
import select
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from peers import TOKEN, WAIT_S, Answer, Balancer, PoolPeer, World, world

from cairnvane.idempotency.durable import DurableStore
from cairnvane.idempotency.durable.index import BYTES_PER_ENTRY, Index
from cairnvane.testbed.stand_ins.disk import Disk

BOOT = b"a" * 16
OTHER_BOOT = b"b" * 16
KEYED: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


class Killed(BaseException):
    """The process has ended at this step, as far as its writer thread knows."""


@dataclass
class Servers:
    """One server after the other on one folder; the worker pool outlives them unless it is restarted."""

    disk: Disk = field(default_factory=Disk)
    pool: PoolPeer = field(default_factory=PoolPeer)
    boot: bytes = BOOT
    power: bool = False
    kill_at: tuple[str, int] | None = None  # a named step, and how often it is passed before
    killed: threading.Event = field(default_factory=threading.Event)
    recovering: threading.Event = field(default_factory=threading.Event)
    go_on: threading.Event = field(default_factory=threading.Event)
    disk_bytes: int = 8 << 20
    entries: int | None = None  # the capacity of the index

    def _step(self, name: str) -> None:
        if name == "recovery":
            self.recovering.set()
            assert self.go_on.wait(WAIT_S)
        if self.kill_at is not None and self.kill_at[0] == name:
            if self.kill_at[1] == 0:
                self.killed.set()
                raise Killed
            self.kill_at = name, self.kill_at[1] - 1

    @contextlib.contextmanager
    def run(self, *replies: bytes, pos: int | None = 0, hold: bool = False, **extra: Any) -> Iterator[World]:
        """A server from its start to its end, of which it notifies nobody; `hold` stops its recovery."""
        (self.go_on.clear if hold else self.go_on.set)()
        self.killed.clear()
        store = DurableStore(
            self.disk,
            "n1",
            self.boot,
            power=self.power,
            disk_bytes=self.disk_bytes,
            memory_bytes=1 << 20,
            max_read_delay_us=9_000_000,
            step_observer=self._step,
        )
        if self.entries is not None:
            store._state.index = Index(self.entries * BYTES_PER_ENTRY)
        with world(*replies, keeper=store, peer=self.pool, pos=pos, **extra) as server:
            yield server
            self.kill_at = None
        store.close()


def served(server: World, balancer: Balancer, number: int, **fields: Any) -> Answer:
    """The answer to a keyed request, or a duplicate, that needs no run."""
    balancer.send(number, **(KEYED | fields))
    answered, answer = balancer.answer()
    assert answered == number
    return answer


def keyed(number: int) -> dict[str, Any]:
    """The fields of a keyed request with a key of its own."""
    return {"path": "/svc/write", "HTTP_REQ_TOKEN": f"{number:032x}"}


def runs_with_large_result(pool: PoolPeer, balancer: Balancer) -> bool:
    """Whether the keyed request is run, with a large result, rather than rejected."""
    while not pool.commands.qsize():
        if select.select([balancer.sock], [], [], 0.002)[0]:
            return False
    pool.run(b"r" * 4_000)
    return True
