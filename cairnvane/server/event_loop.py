"""The server's event loop: one thread and one inbox, between the network and the controller.

Whoever sees something happen puts it into the inbox. The loop's thread reports it to the controller, one
event after the other, and has every action carried out before the next event. Nothing is decided here.
"""

from __future__ import annotations

import logging
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
from .timers import ControllerTimers

if TYPE_CHECKING:  # only where an operator turned it on
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)

# How many tasks may share a call of `handle` after the first: few enough not to keep the first one waiting.
MAX_BATCHED_TASKS = 32


class EventLoop:
    """One incarnation of a server: reports events to the controller and carries out its actions."""

    def __init__(self, settings: Settings, gauges: tuple[str | None, ...], seed: int) -> None:
        self._settings = settings
        self._gauges = gauges
        self._controller = Controller(settings, seed, clock.now())
        self._inbox: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self._events: list[Event] = []  # not reported to the controller yet
        self._follow_up_events: list[Event] = []  # caused by actions, to be reported next
        self._requests = InFlightTable()
        self._responder = Responder()
        self.load = LoadSnapshot()  # replaced as a whole at each timer, so any thread may read it
        self._is_stopped = False

    def connect(
        self,
        server: FastCgiServer,
        pool: WorkerPool,
        vault: tuple[str, int],
        durable_keys: DurableKeys | None = None,
    ) -> None:
        """Build the parts that carry out actions; called once, before `serve`."""
        self._pool = pool
        self._durable_keys = durable_keys  # None: keys are remembered by this process alone
        self.executions = self._make_executions(pool, vault)
        self._duplicates = Duplicates(
            self._requests,
            # A duplicate that arrived before its key expired may be read as much later as a client waits.
            KeyTable(max(cls.client_timeout for cls in self._settings.classes)),
            durable_keys,
            self._responder,
            notify_next=self._follow_up,
            arrive_again=lambda request: self.post(lambda: self._arrivals.arrive(request)),
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
            run_lost=lambda in_flight: self._runs.end(in_flight.request.uid, RUN_CANCELLED),
            call_ended=lambda in_flight, outcome, duration: self.notify(
                CallFinished(in_flight.request_id, outcome, duration)
            ),
        )

    @property
    def reported_load(self) -> float | None:
        """The load signal that goes with every response; None before the controller's first report."""
        return self._responder.reported_load

    @reported_load.setter
    def reported_load(self, value: float | None) -> None:
        self._responder.reported_load = value

    def move_vault(self, vault: tuple[str, int]) -> None:
        """Set the vault's address for all calls from now on; those under way end where they are."""
        self.executions.vault = vault

    # --- the inbox, from any thread

    def post(self, task: Callable[[], None]) -> None:
        """Have this done in the event loop's thread."""
        self._inbox.put(task)

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._inbox.put(lambda: self._arrivals.arrive(request))

    def client_disconnected(self, request: Request) -> None:
        """The client of a request has disconnected."""
        self._inbox.put(lambda: self._runs.disconnect(request))

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""
        self._inbox.put(lambda: self._health.check(check))

    def finished(self, uid: str, code: str, took_us: int, result: bytes, pos: int) -> None:
        """The pool's notice at position `pos`: a run is over."""
        self._inbox.put(lambda: self._runs.end(uid, code, took_us, result, pos))

    def unknown(self, uid: str) -> None:
        """The pool has no such request: it will never run, and no notice of its end will come."""
        self._inbox.put(lambda: self._runs.end_unknown(uid))

    def blocked(self, uid: str, body: bytes, pos: int) -> None:
        """The pool's notice at position `pos`: a run waits for a call with this body."""
        self._inbox.put(lambda: self._runs.request_call(uid, body, pos))

    def replaced(self) -> None:
        """The pool is a new one, and has none of the runs."""
        self._inbox.put(self._runs.fail_lost)

    def linked(self, link: int) -> None:
        """The pool's link of this number is up, and the pool's notices have been replayed."""
        self._inbox.put(lambda: self._runs.resend_lost_commands(link))

    def drain(self, time_left_us: int) -> None:
        """The server will be stopped after this time."""
        self._inbox.put(lambda: self._start_drain(time_left_us))

    def stop(self) -> None:
        """End the thread."""
        self._inbox.put(self._stop)

    # --- the thread

    def serve(self) -> None:
        """Do what comes into the inbox, in its order, until stopped.

        Tasks that are there at the same time share a call of `handle`, whose fixed cost is the larger part
        under load.
        """
        self._handle()
        while not self._is_stopped:
            self._inbox.get()()
            for _ in range(MAX_BATCHED_TASKS):
                try:
                    self._inbox.get_nowait()()
                except Empty:
                    break
            self._handle()

    def _stop(self) -> None:
        self._is_stopped = True

    def notify(self, event: Event) -> None:
        """Have the controller handle this event next; in the event loop's thread."""
        self._events.append(event)

    def _follow_up(self, event: Event) -> None:
        """Have the controller handle an event that an action caused, after all present actions."""
        self._follow_up_events.append(event)

    def _handle(self, not_before: int = 0) -> None:
        """Report the events to the controller and execute its actions; the only caller of `handle`."""
        while True:
            self._duplicates.expire_keys()
            events = self._events
            self._events = []
            for action in self._controller.handle(max(clock.now(), not_before), events):
                self._actions.execute(action)
            if self._durable_keys is not None:
                self._durable_keys.settle_recorded()
            if not self._follow_up_events:
                return
            self._events = self._follow_up_events
            self._follow_up_events = []

    def _timer_fired(self, event: TimerFired, due_at: int) -> None:
        """From any thread: report a timer, but not as of a time before it was due.

        The controller would take one that came early for one that it has replaced.
        """
        self.post(lambda: self._handle_timer(event, due_at))

    def _handle_timer(self, event: TimerFired, due_at: int) -> None:
        self.notify(event)
        self._handle(due_at)
        self.load = take_snapshot(
            self._controller, self.executions, event, dict(self._actions.ended_without_run)
        )

    def _start_drain(self, time_left_us: int) -> None:
        if self._durable_keys is not None:
            self._durable_keys.drain(time_left_us)
        self.notify(DrainStarted(time_left_us))

    # --- for durable keys; see `idempotency.durability.RequestOwner`

    def start_run(self, in_flight: InFlightRequest) -> None:
        """Have the pool run a request whose start is recorded; from any thread."""
        self.executions.start(in_flight)

    def run_ended(self, in_flight: InFlightRequest, outcome: Outcome) -> None:
        """A request will not run any more: whoever waits for its end is answered."""
        self._duplicates.complete_waiting(in_flight, outcome)

    def retry_arrival(self, request: Request) -> None:
        """Handle the arrival of a request that had to wait."""
        self._arrivals.arrive(request)

    def respond(
        self,
        request: Request,
        status: ResponseStatus,
        body: bytes = b"",
        away_ms: int = 0,
    ) -> None:
        """Give a request its final response, unless it has one; from any thread."""
        self._responder.respond(request, status, body, away_ms)

    def run_never_started(self, in_flight: InFlightRequest) -> None:
        """A request was to run, and provably has not."""
        self._runs.end(in_flight.request.uid, RUN_NEVER_STARTED)

    def run_ended_elsewhere(self, in_flight: InFlightRequest, result: bytes | None) -> None:
        """Another incarnation ran a request, with this result; None: it failed."""
        code = RUN_FAILED if result is None else RUN_SUCCEEDED
        self._runs.end(in_flight.request.uid, code, 0, result or b"")

    def release(self, in_flight: InFlightRequest) -> None:
        """Leave the duplicates of this request to the durable store from now on."""
        self._duplicates.release(in_flight)

    def adopt_run(self, started_run: StartedRun, class_index: int, time_left: int) -> InFlightRequest:
        """Take over a run of an earlier incarnation; only duplicates are owed its result."""
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
