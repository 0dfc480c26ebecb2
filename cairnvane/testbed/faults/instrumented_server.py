"""The real program with faults inside its process: `python -m cairnvane.testbed.faults.instrumented_server`.

Environment variables choose the faults. `CAIRNVANE_LAB_KILL` names a step of the store's work and how often
it is passed before the process kills itself, as in `written intent:3`. The process ends by SIGKILL: nothing
is flushed and nobody is notified. `CAIRNVANE_LAB_MUTANT` disables one part of the store, which shows that the
checker detects its absence. `CAIRNVANE_LAB_CLOCK` shifts Unix time by so many seconds. Further faults are
ordered while the program serves: see `FAULTS`. `CAIRNVANE_LAB_RIG` is the process id of the testbed that
started this process, which ends once that is no longer its parent.
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

from ...admission.controller import Controller
from ...admission.dependency_quota import DependencyQuota
from ...admission.unaccounted_load import UnaccountedLoad
from ...claims import ClaimLog
from ...contract.actions import EndReason, Fail
from ...exchange import Request
from ...idempotency import durability
from ...idempotency.durability import DurableKeys
from ...idempotency.durable import TakeoverStore, retention
from ...idempotency.fingerprint import FINGERPRINT_BYTES
from ...idempotency.key_table import KeyTable
from ...idempotency.store import StartedRun, StepObserver
from ...server.action_executor import ActionExecutor
from ...server.cancellations import Cancellations
from ...server.event_loop import EventLoop
from ...server.in_flight import InFlightRequest
from ...server.main import RELOAD_SIGNAL, SHUTDOWN_SIGNALS, main

KILL_VARIABLE = "CAIRNVANE_LAB_KILL"
MUTANT_VARIABLE = "CAIRNVANE_LAB_MUTANT"
CLOCK_VARIABLE = "CAIRNVANE_LAB_CLOCK"
TESTBED_PID_VARIABLE = "CAIRNVANE_LAB_RIG"
# The signal that an order stands in the order file.
ORDER_SIGNAL = signal.SIGUSR1
# What can be ordered, each with a number of seconds. `hold`: all threads stand still, as when one of them
# keeps the interpreter's lock. `busy`: the event loop's thread alone stands still. `clock`: Unix time jumps.
FAULTS = ("hold", "busy", "clock")
# Interval at which the process checks that the testbed is still its parent.
PARENT_CHECK_S = 1.0
_event_loops: list[EventLoop] = []


def order_file(folder: Path, pid: int) -> Path:
    """Where an order for this process stands when the signal arrives."""
    return folder / f"order-{pid}.json"


def kill_at_step(text: str) -> StepObserver:
    """An observer that kills the process at a step: `text` is `<step>:<number of times it passes before>`."""
    step, _, count = text.rpartition(":")
    remaining = int(count)

    def observe(name: str) -> None:
        nonlocal remaining
        if name == step:
            remaining -= 1
            if remaining < 0:
                os.kill(os.getpid(), signal.SIGKILL)

    return observe


def _shift_unix_time(seconds: float) -> None:
    """Shift Unix time by so many seconds more; the monotonic clock is unaffected."""
    time_before = time.time
    time_ns_before = time.time_ns
    time.time = lambda: time_before() + seconds
    time.time_ns = lambda: time_ns_before() + int(seconds * 1e9)


def _execute_orders(testbed_pid: int) -> None:
    """Wait for orders in a thread of its own: a signal handler would only run when the main thread wakes.

    `testbed_pid` is handed over by the testbed itself: it may have been killed before this thread could ask
    for its own parent, and the answer would then be the process that took the testbed's place.
    """
    import ctypes  # imported here, since a process that stands still must not wait for the import

    interpreter = ctypes.PyDLL(None)
    path = order_file(Path(os.environ["TMPDIR"]), os.getpid())
    while True:
        # `sigtimedwait` was seen to return at a shutdown signal too, which the main thread received: there is
        # no order then.
        if signal.sigtimedwait({ORDER_SIGNAL}, PARENT_CHECK_S) is None or not path.exists():
            if os.getppid() != testbed_pid:  # it has ended, and nobody else would end this process
                os._exit(1)
            continue
        fault, seconds = json.loads(path.read_text())
        path.unlink()
        if fault == "clock":
            _shift_unix_time(seconds)
        elif fault == "busy":
            for event_loop in _event_loops:
                event_loop.post(partial(time.sleep, seconds))
        else:
            interpreter.usleep(int(seconds * 1e6))  # called through PyDLL, it keeps the interpreter's lock


def _registering(initialize: Callable[..., None]) -> Callable[..., None]:
    """`EventLoop.__init__` that registers each event loop, for the fault `busy`."""

    def initialize_and_register(self: EventLoop, *args: object, **keywords: object) -> None:
        initialize(self, *args, **keywords)
        _event_loops.append(self)

    return initialize_and_register


def _record_start_without_intent(
    self: TakeoverStore,
    begun: StartedRun,
    then: Callable[[], None],
    other: Callable[[bool], None],
) -> None:
    then()


def _record_end_without_result(
    self: TakeoverStore,
    token: bytes,
    until: int,
    same: bytes,
    result: bytes | None,
    settles: tuple[int, ...],
    then: Callable[[], None],
) -> None:
    self._claim_log.record_never_started(token, until, settles)  # and the segment log gets no result
    then()


def _constant_fingerprint(self: DurableKeys, request: Request) -> bytes:
    return bytes(FINGERPRINT_BYTES)


def _record_start_without_claim(
    self: ClaimLog,
    begun: StartedRun,
    then: Callable[[], None],
    other: Callable[[bool], None],
) -> None:
    then()


def _give_up_on_silence(self: Cancellations, in_flight: InFlightRequest) -> None:
    if self._is_unconfirmed(in_flight):
        self._run_lost(in_flight)


def _answer_nothing_at_deadline(self: ActionExecutor, in_flight: InFlightRequest, action: Fail) -> None:
    if action.reason is not EndReason.DEADLINE:
        _fail(self, in_flight, action)


_fail = ActionExecutor._fail


def _apply_mutant(mutant: str) -> None:
    """Disable what the mutant names: a part of the store, or what guards one of the rules."""
    _apply_rule_mutant(mutant)
    _apply_store_mutant(mutant)


def _apply_rule_mutant(mutant: str) -> None:
    if mutant == "silence-is-an-end":
        Cancellations._end_not_reported = _give_up_on_silence  # type: ignore[method-assign]
        UnaccountedLoad.on_timer = lambda *arguments: None  # type: ignore[method-assign]
    elif mutant == "no-memory-limit":
        Controller._has_memory = lambda *arguments: True  # type: ignore[method-assign]
    elif mutant == "no-call-limit":
        DependencyQuota.has_capacity = lambda *arguments: True  # type: ignore[method-assign]
    elif mutant == "no-answer-at-deadline":
        ActionExecutor._fail = _answer_nothing_at_deadline  # type: ignore[method-assign]
    elif mutant == "no-keys":
        KeyTable.owner = lambda *arguments: None  # type: ignore[method-assign]
        ClaimLog.look_up = lambda *arguments: None  # type: ignore[method-assign]
        ClaimLog.record_start = _record_start_without_claim  # type: ignore[method-assign]


def _apply_store_mutant(mutant: str) -> None:
    if mutant == "no-intents":
        TakeoverStore.record_start = _record_start_without_intent  # type: ignore[method-assign]
    elif mutant == "no-results":
        TakeoverStore.record_end = _record_end_without_result  # type: ignore[method-assign]
        durability.RECENT_RESULTS = 0  # nor does the incarnation itself cache them
    elif mutant == "no-claims":
        ClaimLog.record_start = _record_start_without_claim  # type: ignore[method-assign]
    elif mutant == "no-digests":
        DurableKeys.fingerprint = _constant_fingerprint  # type: ignore[method-assign]


def _start_order_thread() -> None:
    testbed_pid = int(os.environ[TESTBED_PID_VARIABLE])
    threading.Thread(target=_execute_orders, args=(testbed_pid,), name="orders", daemon=True).start()


def run() -> int:
    """Apply the faults of the environment, then run the program; its exit status."""
    _apply_mutant(os.environ.get(MUTANT_VARIABLE, ""))
    # Blocked before any thread starts: a thread that left them unblocked would be ended by the signals that
    # the main thread waits for.
    signal.pthread_sigmask(signal.SIG_BLOCK, {ORDER_SIGNAL, *SHUTDOWN_SIGNALS, RELOAD_SIGNAL})
    EventLoop.__init__ = _registering(EventLoop.__init__)  # type: ignore[method-assign]
    _start_order_thread()
    if shift_s := float(os.environ.get(CLOCK_VARIABLE) or 0):
        _shift_unix_time(shift_s)
    kill = os.environ.get(KILL_VARIABLE, "")
    if kill.startswith("compact"):  # compaction would otherwise wait until space becomes scarce
        retention.COMPACT_ABOVE = 0.0
        retention.COMPACT_DEAD = 0.05
    return main(kill_at_step(kill) if kill else None)


if __name__ == "__main__":
    sys.exit(run())
