"""Runs the real program with injected faults: `python -m cairnvane.testbed.faults.instrumented_server`.

Environment variables select the faults. `CAIRNVANE_LAB_KILL` names a step of the store and how often the
process completes it before it kills itself, as in `written intent:3`. It uses SIGKILL, so nothing is flushed
and no peer is notified. `CAIRNVANE_LAB_MUTANT` disables one part of the program, such as a part of the store,
to show that the checker detects its absence. `CAIRNVANE_LAB_CLOCK` shifts Unix time by a number of seconds.
`FAULTS` lists the faults that the testbed can inject while the program serves. `CAIRNVANE_LAB_RIG` is the
process id of the testbed that started this process; the process exits once its parent is another one.
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
# The signal that tells the process to read the order file.
ORDER_SIGNAL = signal.SIGUSR1
# Faults that can be ordered, each with a number of seconds. `hold`: all threads stall, as when one of them
# keeps the interpreter lock. `busy`: only the event loop's thread stalls. `clock`: Unix time jumps.
FAULTS = ("hold", "busy", "clock")
# Interval at which the process checks that the testbed is still its parent.
PARENT_CHECK_S = 1.0
_event_loops: list[EventLoop] = []


def order_file(folder: Path, pid: int) -> Path:
    """The file that contains the order for this process when the signal arrives."""
    return folder / f"order-{pid}.json"


def kill_at_step(text: str) -> StepObserver:
    """An observer that kills the process at a step; `text` is `<step>:<times that it is passed before>`."""
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
    """Shift Unix time by further seconds; the monotonic clock is unaffected."""
    time_before = time.time
    time_ns_before = time.time_ns
    time.time = lambda: time_before() + seconds
    time.time_ns = lambda: time_ns_before() + int(seconds * 1e9)


def _execute_orders(testbed_pid: int) -> None:
    """Wait for orders in a separate thread: a signal handler would run only when the main thread wakes.

    The testbed passes `testbed_pid` itself. If this thread asked for its parent instead, the testbed might
    have been killed before, and the result would be the process that adopted this one.
    """
    import ctypes  # imported before any fault: a stalled process must not wait for the import

    interpreter = ctypes.PyDLL(None)
    path = order_file(Path(os.environ["TMPDIR"]), os.getpid())
    while True:
        # `sigtimedwait` was observed to return at a shutdown signal too, which the main thread received.
        # There is no order file then.
        if signal.sigtimedwait({ORDER_SIGNAL}, PARENT_CHECK_S) is None or not path.exists():
            if os.getppid() != testbed_pid:  # the testbed has exited, and no other process would end this one
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
            interpreter.usleep(int(seconds * 1e6))  # a call through PyDLL keeps the interpreter lock


def _with_registration(initialize: Callable[..., None]) -> Callable[..., None]:
    """Wrap `EventLoop.__init__` so that it registers each event loop, for the fault `busy`."""

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
    self._claim_log.record_never_started(token, until, settles)  # no result is written to the segment log
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
    """Disable the mechanism that the mutant names: a part of the store, or the enforcement of a rule."""
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
        durability.RECENT_RESULTS = 0  # the incarnation does not cache them either
    elif mutant == "no-claims":
        ClaimLog.record_start = _record_start_without_claim  # type: ignore[method-assign]
    elif mutant == "no-digests":
        DurableKeys.fingerprint = _constant_fingerprint  # type: ignore[method-assign]


def _start_order_thread() -> None:
    testbed_pid = int(os.environ[TESTBED_PID_VARIABLE])
    threading.Thread(target=_execute_orders, args=(testbed_pid,), name="orders", daemon=True).start()


def run() -> int:
    """Apply the faults that the environment selects, run the program and return its exit status."""
    _apply_mutant(os.environ.get(MUTANT_VARIABLE, ""))
    # Block the signals before any thread starts: delivered to a thread that does not block them, a signal
    # that the main thread waits for would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {ORDER_SIGNAL, *SHUTDOWN_SIGNALS, RELOAD_SIGNAL})
    EventLoop.__init__ = _with_registration(EventLoop.__init__)  # type: ignore[method-assign]
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
