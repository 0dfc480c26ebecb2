"""The server's event loop: one thread with one task queue, between the network and the controller.

Other threads put tasks into the queue. The loop's thread runs them, reports the resulting events to the
controller, and executes all of its actions before the next events are reported. This module makes no
admission decisions.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING

from .. import clock
from ..admission.controller import Controller
from ..contract.events import (
    CallFinished,
    DrainStarted,
    Event,
    Outcome,
    RunAdopted,
    TimerFired,
)
from ..contract.settings import CancelMode, Settings
from ..exchange import HealthCheck, Request, ResponseStatus
from ..idempotency.key_table import KeyTable
from ..idempotency.store import StartedRun
from ..net.server import FastCgiServer
from ..net.worker_pool import RUN_CANCELLED, RUN_FAILED, RUN_NEVER_STARTED, RUN_SUCCEEDED, WorkerPool
from .action_executor import ActionExecutor
from .arrivals import Arrivals
from .duplicates import Duplicates
from .executions import Executions
from .health_checks import HealthResponder
from .in_flight import InFlightRequest, InFlightTable, adopted_run
from .load_snapshot import LoadSnapshot, take_snapshot
from .responder import Responder
from .runs import Runs
from .shared_calls import SharedCalls, usage_of
from .timers import ControllerTimers

if TYPE_CHECKING:  # imported only if the operator enables durable keys
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)

# Tasks that may follow the first one before `handle` is called. The limit bounds the delay of the first task.
MAX_BATCHED_TASKS = 32


class EventLoop:
    """One incarnation of a server: reports events to the controller and executes its actions."""

    def __init__(self, settings: Settings, gauges: tuple[str | None, ...], seed: int) -> None:
        self._settings = settings
        self._gauges = gauges
        self._controller = Controller(settings, seed, clock.now())
        self._tasks: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self._events: list[Event] = []  # not yet reported to the controller
        self._follow_up_events: list[Event] = []  # caused by actions; reported in the next round
        self._requests = InFlightTable()
        self._responder = Responder()
        self.load = LoadSnapshot()  # replaced, not modified, at each timer, so that any thread may read it
        self._is_stopped = False
        self._shared_calls: SharedCalls | None = None

    def connect(
        self,
        server: FastCgiServer,
        pool: WorkerPool,
        vault: tuple[str, int],
        durable_keys: DurableKeys | None = None,
        shared_calls: SharedCalls | None = None,
    ) -> None:
        """Build the parts that execute actions; called once, before `serve`.

        `durable_keys` is None if keys are kept only in the memory of this process, `shared_calls` if there
        can't be concurrent incarnations.
        """
        self._shared_calls = shared_calls
        self._pool = pool
        self._durable_keys = durable_keys
        self.executions = self._make_executions(pool, vault)
        self._duplicates = Duplicates(
            self._requests,
            # A duplicate that arrived before its key expired may be read later, by up to the client timeout.
            KeyTable(self._settings.longest_client_timeout),
            durable_keys,
            self._responder,
            notify_next=self._follow_up,
            retry_arrival=lambda request: self.post(lambda: self._arrivals.handle_arrival(request)),
        )
        self._runs = Runs(
            self._requests,
            self.executions,
            self._duplicates,
            self._responder,
            durable_keys,
            notify=self.notify,
        )
        self._arrivals = Arrivals(
            self._settings,
            self._requests,
            self._duplicates,
            self._responder,
            durable_keys,
            notify=self.notify,
            handle_events=self._handle,
        )
        self._health = HealthResponder(pool, lambda: self.reported_load)
        self._actions = ActionExecutor(
            self._requests,
            self.executions,
            self._duplicates,
            self._responder,
            self._health,
            ControllerTimers(pool, self._gauges, self._timer_fired),
            server,
            durable_keys,
            run_never_started=self.run_never_started,
        )
        self._close_idle = self._actions.close_idle_connections

    def _make_executions(self, pool: WorkerPool, vault: tuple[str, int]) -> Executions:
        return Executions(
            pool,
            vault,
            self.post,
            self._settings.cancel_mode is not CancelMode.NONE,
            self._settings.abandoned_call_time,
            run_lost=lambda in_flight: self._runs.end(in_flight.request.uid, RUN_CANCELLED),
            call_ended=lambda in_flight, outcome, duration: self.notify(
                CallFinished(in_flight.request_id, outcome, duration)
            ),
        )

    @property
    def reported_load(self) -> float | None:
        """The load signal sent with every response; None before the controller's first report."""
        return self._responder.reported_load

    @reported_load.setter
    def reported_load(self, value: float | None) -> None:
        self._responder.reported_load = value

    def move_vault(self, vault: tuple[str, int]) -> None:
        """Set the vault's address for new calls; calls in progress continue at the previous address."""
        self.executions.vault = vault

    # --- the task queue; these methods may be called from any thread

    def post(self, task: Callable[[], None]) -> None:
        """Run a task in the event loop's thread."""
        self._tasks.put(task)

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._tasks.put(lambda: self._arrivals.handle_arrival(request))

    def client_disconnected(self, request: Request) -> None:
        """The client of a request has disconnected."""
        self._tasks.put(lambda: self._runs.handle_disconnect(request))

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""
        self._tasks.put(lambda: self._health.check(check))

    def wait_until_handled(self, timeout_s: float) -> None:
        """Wait, for at most `timeout_s` seconds, until all tasks that were queued before have been run."""
        handled = threading.Event()
        self._tasks.put(handled.set)
        handled.wait(timeout_s)

    def finished(self, uid: str, code: str, duration_us: int, result: bytes, position: int) -> None:
        """A run has ended, according to the pool's notice at this position."""
        self._tasks.put(lambda: self._runs.end(uid, code, duration_us, result, position))

    def unknown(self, uid: str) -> None:
        """The pool does not know this request. It will never run, and no notice of its end will come."""
        self._tasks.put(lambda: self._runs.end_unknown(uid))

    def blocked(self, uid: str, body: bytes, position: int) -> None:
        """A run waits for a call with this body, according to the pool's notice at this position."""
        self._tasks.put(lambda: self._runs.request_call(uid, body, position))

    def replaced(self, last_link: int) -> None:
        """The pool was replaced by a new one, which has none of the runs; `last_link` led to the old one."""
        self._tasks.put(lambda: self._runs.fail_lost_runs(last_link))

    def linked(self, link: int) -> None:
        """The pool's link with this number is up, and the missed notices have been replayed."""
        self._tasks.put(lambda: self._runs.resend_lost_commands(link))

    def drain(self, time_left_us: int) -> None:
        """Start a drain: the server will be stopped after this time."""
        self._tasks.put(lambda: self._start_drain(time_left_us))

    def stop(self) -> None:
        """End the event loop's thread."""
        self._tasks.put(self._stop)

    # --- in the event loop's thread

    def serve(self) -> None:
        """Run the queued tasks in order until stopped.

        Tasks that are queued at the same time share one call of `handle`, because its fixed cost dominates
        under load.
        """
        self._handle()
        while not self._is_stopped:
            self._tasks.get()()
            for _ in range(MAX_BATCHED_TASKS):
                try:
                    self._tasks.get_nowait()()
                except Empty:
                    break
            self._handle()

    def _stop(self) -> None:
        self._is_stopped = True

    def notify(self, event: Event) -> None:
        """Queue an event for the controller's next call; only in the event loop's thread."""
        self._events.append(event)

    def _follow_up(self, event: Event) -> None:
        """Queue an event that an action caused, for the controller to handle after all current actions."""
        self._follow_up_events.append(event)

    def _handle(self, not_before: int = 0) -> None:
        """Report the events to the controller and execute its actions; the only caller of `handle`."""
        while True:
            self._duplicates.expire_keys()
            events = self._events
            self._events = []
            now = max(clock.now(), not_before)
            if self._shared_calls is not None and (event := self._shared_calls.read(now)) is not None:
                events.append(event)
            actions = self._controller.handle(now, events)
            if self._shared_calls is not None:
                self._shared_calls.publish(usage_of(self._controller))
            for action in actions:
                self._actions.execute(action)
            if self._durable_keys is not None:
                self._durable_keys.settle_recorded()
            if not self._follow_up_events:
                return
            self._events += self._follow_up_events  # after those that actions have caused by `notify`
            self._follow_up_events = []

    def _timer_fired(self, event: TimerFired, due_at: int) -> None:
        """Report a timer as of its due time or later; may be called from any thread.

        The controller takes a timer that is reported before its due time for one that it has replaced.
        """
        self.post(lambda: self._handle_timer(event, due_at))

    def _handle_timer(self, event: TimerFired, due_at: int) -> None:
        self.notify(event)
        self._handle(due_at)
        self.load = take_snapshot(
            self._controller,
            self.executions,
            event,
            dict(self._actions.ended_without_run),
            self._tasks.qsize(),
        )

    def _start_drain(self, time_left_us: int) -> None:
        if self._durable_keys is not None:
            self._durable_keys.drain(time_left_us)
        self.notify(DrainStarted(time_left_us))

    # --- for durable keys; see `idempotency.request_owner.RequestOwner`

    def start_run(self, in_flight: InFlightRequest) -> None:
        """Have the pool run a request whose start is recorded; may be called from any thread."""
        self.executions.start(in_flight)

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome) -> None:
        """Answer the duplicates that wait for a request, which has ended and will not run again."""
        self._duplicates.complete_waiting(in_flight, outcome)

    def retry_arrival(self, request: Request) -> None:
        """Handle the arrival of a request that was deferred."""
        self._arrivals.handle_arrival(request)

    def respond(
        self,
        request: Request,
        status: ResponseStatus,
        body: bytes = b"",
        away_ms: int = 0,
    ) -> None:
        """Give a request its final response, unless it has one; may be called from any thread."""
        self._responder.respond(request, status, body, away_ms)

    def run_never_started(self, in_flight: InFlightRequest) -> None:
        """End a request whose run was requested and provably never started."""
        self._runs.end(in_flight.request.uid, RUN_NEVER_STARTED)

    def run_ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        """End a request that another incarnation ran, with this result; None if the run failed."""
        code = RUN_FAILED if result is None else RUN_SUCCEEDED
        self._runs.end(in_flight.request.uid, code, 0, result or b"")

    def release(self, in_flight: InFlightRequest) -> None:
        """Leave the duplicates of this request to the durable store, and drop its key from memory."""
        self._duplicates.release(in_flight)

    def adopt_run(self, started_run: StartedRun, class_index: int, time_left: int) -> InFlightRequest:
        """Take over a run of an earlier incarnation. Its result is only sent to duplicates."""
        now = clock.now()
        request_class = self._settings.classes[class_index]
        in_flight = adopted_run(started_run, self._requests.next_id(), request_class, now)
        self._requests.add(in_flight)
        self._duplicates.adopt_key(in_flight, started_run.key.hex(), started_run.expires_at)
        self.notify(
            RunAdopted(
                in_flight.request_id,
                class_index,
                time_left,
                max(0, started_run.expires_at - now),
                started_run.memory,
            )
        )
        return in_flight
