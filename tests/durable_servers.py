"""Starts servers one after the other on one durable store, and kills them at named steps."""

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
    """Raised in the writer thread to simulate that the process was killed at this step."""


@dataclass
class Servers:
    """Servers on one folder, one after the other; the worker pool runs on unless it is restarted."""

    disk: Disk = field(default_factory=Disk)
    pool: PoolPeer = field(default_factory=PoolPeer)
    boot: bytes = BOOT
    power: bool = False
    kill_at: tuple[str, int] | None = None  # the name of a step, and how many times it is passed first
    killed: threading.Event = field(default_factory=threading.Event)
    recovering: threading.Event = field(default_factory=threading.Event)
    may_recover: threading.Event = field(default_factory=threading.Event)
    disk_bytes: int = 8 << 20
    entries: int | None = None  # the capacity of the index

    def _step(self, name: str) -> None:
        if name == "recovery":
            self.recovering.set()
            assert self.may_recover.wait(WAIT_S)
        if self.kill_at is not None and self.kill_at[0] == name:
            if self.kill_at[1] == 0:
                self.killed.set()
                raise Killed
            self.kill_at = name, self.kill_at[1] - 1

    @contextlib.contextmanager
    def run(
        self, *replies: bytes, pos: int | None = 0, hold_recovery: bool = False, **extra: Any
    ) -> Iterator[World]:
        """Run a server, which sends no notice when it ends; `hold_recovery` pauses its recovery."""
        (self.may_recover.clear if hold_recovery else self.may_recover.set)()
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


def answer_without_run(server: World, balancer: Balancer, number: int, **fields: Any) -> Answer:
    """The answer to a keyed request or a duplicate that is answered without a run."""
    balancer.send(number, **(KEYED | fields))
    answered, answer = balancer.answer()
    assert answered == number
    return answer


def keyed(number: int) -> dict[str, Any]:
    """The fields of a keyed request whose key is derived from `number`."""
    return {"path": "/svc/write", "HTTP_REQ_TOKEN": f"{number:032x}"}


def runs_with_large_result(pool: PoolPeer, balancer: Balancer) -> bool:
    """Run the keyed request with a large result; False if it is rejected instead."""
    while not pool.commands.qsize():
        if select.select([balancer.sock], [], [], 0.002)[0]:
            return False
    pool.run(b"r" * 4_000)
    return True
