"""The real program with faults inside its process: `python -m cairnvane.testbed.faults.instrumented_server`.

CAIRNVANE_LAB_KILL names the point and how often it is passed before, as in `written intent:3`. SIGKILL is
what ends it, from within: nothing is flushed and no one is told. CAIRNVANE_LAB_MUTANT takes a part of the
keeper out, to show that the judge sees what comes of it. CAIRNVANE_LAB_CLOCK sets its Unix time off by so
many seconds. Further faults come by order, while it serves: see `FAULTS`. CAIRNVANE_LAB_RIG is the process id
of the rig that started it: it ends when that is no longer its parent.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from ...claims import ClaimLog
from ...exchange import Request
from ...idempotency import durability
from ...idempotency.durability import DurableKeys
from ...idempotency.durable import TakeoverStore, retention
from ...idempotency.fingerprint import FINGERPRINT_BYTES
from ...idempotency.store import StartedRun
from ...server.event_loop import EventLoop
from ...server.main import LEAVE, RELOAD, main

KILL, MUTANT = "CAIRNVANE_LAB_KILL", "CAIRNVANE_LAB_MUTANT"
MUTANTS = ("no-intents", "no-results")
CLOCK, ORDER = "CAIRNVANE_LAB_CLOCK", signal.SIGUSR1
RIG = "CAIRNVANE_LAB_RIG"
# By order, for or by so many seconds: all threads stand still, as one that holds the interpreter makes them;
# the host thread alone does; Unix time jumps.
FAULTS = ("hold", "busy", "clock")
_hosts: list[EventLoop] = []
# Whether the rig is still there is looked at so often.
LOOK_S = 1.0


def order_file(folder: Path, pid: int) -> Path:
    """Where the order stands when the signal comes."""
    return folder / f"order-{pid}.json"


def _shift(seconds: float) -> None:
    """Unix time is off by so much more; the monotonic clock is not."""
    before, before_ns = time.time, time.time_ns
    time.time = lambda: before() + seconds
    time.time_ns = lambda: before_ns() + int(seconds * 1e9)


def _obey(rig: int) -> None:
    """A thread of its own waits for orders: a handler would run only when the main thread wakes. `rig` is the
    rig's process id as the rig told it: the rig may have been killed before this thread could ask for its own
    parent, and the answer would then be the process that took its place."""
    import ctypes  # what stands still then must not wait for it

    interpreter, path = ctypes.PyDLL(None), order_file(Path(os.environ["TMPDIR"]), os.getpid())
    while True:
        # It was seen to return at a notice to leave too, which the main thread got: no order stands then.
        if signal.sigtimedwait({ORDER}, LOOK_S) is None or not path.exists():
            if os.getppid() != rig:  # it was ended: nobody else would end this process
                os._exit(1)
            continue
        what, seconds = json.loads(path.read_text())
        path.unlink()
        if what == "clock":
            _shift(seconds)
        elif what == "busy":
            for host in _hosts:
                host.post(partial(time.sleep, seconds))
        else:
            interpreter.usleep(int(seconds * 1e6))  # which does not let go of the interpreter


def _known(make: Callable[..., None]) -> Callable[..., None]:
    def remember(self: EventLoop, *args: object, **more: object) -> None:
        make(self, *args, **more)
        _hosts.append(self)

    return remember


def killer(text: str) -> Callable[[str], None]:
    """Ends the process when a point has been passed often enough."""
    point, _, count = text.rpartition(":")
    left = int(count)

    def passed(name: str) -> None:
        nonlocal left
        if name == point:
            left -= 1
            if left < 0:
                os.kill(os.getpid(), signal.SIGKILL)

    return passed


def _no_intents(
    self: TakeoverStore,
    begun: StartedRun,
    then: Callable[[], None],
    other: Callable[[bool], None],
) -> None:
    then()


def _no_results(
    self: TakeoverStore,
    token: bytes,
    until: int,
    same: bytes,
    result: bytes | None,
    settles: tuple[int, ...],
    then: Callable[[], None],
) -> None:
    self._ledger.record_never_started(token, until, settles)  # and the log hears of no end
    then()


def _no_digests(self: DurableKeys, request: Request) -> bytes:
    return bytes(FINGERPRINT_BYTES)


def _no_claims(
    self: ClaimLog,
    begun: StartedRun,
    then: Callable[[], None],
    other: Callable[[bool], None],
) -> None:
    then()


if __name__ == "__main__":
    mutant = os.environ.get(MUTANT, "")
    if mutant == "no-intents":
        TakeoverStore.record_start = _no_intents  # type: ignore[method-assign]
    elif mutant == "no-results":
        TakeoverStore.record_end = _no_results  # type: ignore[method-assign]
        durability.RECENT_RESULTS = 0  # nor does the life itself remember them
    elif mutant == "no-claims":
        ClaimLog.record_start = _no_claims  # type: ignore[method-assign]
    elif mutant == "no-digests":
        DurableKeys.fingerprint = _no_digests  # type: ignore[method-assign]
    # Before any thread: one that left them open would be ended by what the main thread waits for.
    signal.pthread_sigmask(signal.SIG_BLOCK, {ORDER, *LEAVE, RELOAD})
    EventLoop.__init__ = _known(EventLoop.__init__)  # type: ignore[method-assign]
    threading.Thread(target=_obey, args=(int(os.environ[RIG]),), name="orders", daemon=True).start()
    if shift := float(os.environ.get(CLOCK) or 0):
        _shift(shift)
    told = os.environ.get(KILL, "")
    if told.startswith("compact"):  # which would else wait for space to become scarce
        retention.COMPACT_ABOVE, retention.COMPACT_DEAD = 0.0, 0.05
    sys.exit(main(killer(told) if told else None))
