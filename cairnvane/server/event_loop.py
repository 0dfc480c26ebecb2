"""Between the exchange objects, the links and the controller: keeps requests, keys and time.

One thread, one inbox: all that happens is put there by whoever saw it, and is told to the controller one
event after the other, with every action carried out before the next. Nothing is decided here.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING

from .. import clock
from ..admission.controller import Controller
from ..contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    LogMessage,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    StartRun,
)
from ..contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    Outcome,
    RunAdopted,
    RunFinished,
    TimerFired,
)
from ..contract.settings import CancelMode, RetrySemantics, Settings
from ..exchange import HealthCheck, Request, Response, ResponseStatus
from ..idempotency import store
from ..idempotency.key_table import KeyTable
from ..net import worker_pool as worker
from ..net.server import FastCgiServer
from ..net.worker_pool import WorkerPool
from .executions import ENDS, VERDICTS, Executions
from .health_checks import HealthResponder
from .in_flight import InFlightRequest, adopted_run
from .timers import ControllerTimers

if TYPE_CHECKING:  # only where an operator turned it on
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)

# Repeats are told for this much longer than the controller asks: peers' time limits have 50 ms of slack.
KEY_SLACK_US = 100_000
# Whom a try repeats whose forerunner is kept, but no longer held; requests are numbered from 1.
NOT_HELD = 0
# So much may share a call of `handle`: few enough for the first of it not to be kept waiting.
MOST_TOGETHER = 32


class EventLoop:
    """One life of a server."""

    def __init__(self, settings: Settings, gauges: tuple[str | None, ...], seed: int) -> None:
        self._gauges = gauges
        self._classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self._settings = settings
        self._control = Controller(settings, seed, clock.now())
        self._inbox: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self._events: list[Event] = []  # not told yet
        self._later: list[Event] = []  # brought about by actions, to be told next
        self._requests: dict[int, InFlightRequest] = {}
        self._by_uid: dict[str, InFlightRequest] = {}
        # A repeat that came before its key ran out may be read as much later as a caller waits.
        self._keys = KeyTable(max(cls.client_timeout for cls in settings.classes))
        self._lasting: DurableKeys | None = None  # keys that outlast this life
        self._count = 0
        self.reported_load: float | None = None  # the free value
        self._stopped = False
        self._do_to: dict[type[Action], Callable[..., None]] = {
            StartRun: self._run,
            Reject: self._refuse,
            Fail: self._fail,
            Cancel: self._halt,
            MakeCall: self._call,
            RememberKey: self._remember,
            ForgetKey: self._forget,
            ReplayResult: self._reuse,
        }
        self._do: dict[type[Action], Callable[..., None]] = {
            SetHealth: lambda action: self._health.set(action),
            ReportLoad: self._advertise,
            CloseIdleConnections: self._close_idle,
            SetTimer: lambda action: self._ticks.set(action),
            LogMessage: self._log,
        }

    def connect(
        self,
        server: FastCgiServer,
        pool: WorkerPool,
        vault: tuple[str, int],
        lasting: DurableKeys | None = None,
    ) -> None:
        """Get to know the parts that the host gives its orders to."""
        self._server, self._pool, self._lasting = server, pool, lasting
        self.executions = Executions(
            pool,
            vault,
            self.post,
            self._settings.cancel_mode is not CancelMode.NONE,
            never_began=lambda known: self._end_run(known.request.uid, worker.RUN_CANCELLED),
            call_ended=lambda known, outcome, took: self.notify(
                CallFinished(known.request_id, outcome, took)
            ),
        )
        self._health = HealthResponder(pool, lambda: self.reported_load)
        # A tick that came before its time would be taken for one that was replaced.
        self._ticks = ControllerTimers(
            pool, self._gauges, lambda event, at: self.post(lambda: self._tick(event, at))
        )

    def move_vault(self, vault: tuple[str, int]) -> None:
        """The vault's new address, for all calls from now on; those on their way end where they are."""
        self.executions.vault = vault

    # --- the inbox, from any thread

    def post(self, task: Callable[[], None]) -> None:
        """Have this done in the host thread."""
        self._inbox.put(task)

    def request_arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._inbox.put(lambda: self._arrival(request))

    def client_disconnected(self, request: Request) -> None:
        """Its caller has left."""
        self._inbox.put(lambda: self._leave(request))

    def health_check_arrived(self, check: HealthCheck) -> None:
        """A health check was read."""
        self._inbox.put(lambda: self._health.check(check))

    def finished(self, uid: str, code: str, took_us: int, result: bytes, pos: int) -> None:
        """A run is over."""
        self._inbox.put(lambda: self._end_run(uid, code, took_us, result, pos))

    def unknown(self, uid: str) -> None:
        """The pool has no such request: it will never run, and nothing else will tell."""
        self._inbox.put(lambda: self._disown(uid))

    def blocked(self, uid: str, body: bytes, pos: int) -> None:
        """A run waits for a call."""
        self._inbox.put(lambda: self._block(uid, body, pos))

    def replaced(self) -> None:
        """The pool is a new one, and knows nothing of any run."""
        self._inbox.put(self._lose_runs)

    def linked(self, link: int) -> None:
        """The pool's link is up."""
        self._inbox.put(lambda: self._say_again(link))

    def drain(self, time_left_us: int) -> None:
        """The notice to leave."""
        self._inbox.put(lambda: self._drain(time_left_us))

    def stop(self) -> None:
        """End the thread."""
        self._inbox.put(self._end)

    def serve(self) -> None:
        """The host thread: whatever comes in, in its order. What has come by now shares a call of `handle`,
        whose fixed cost is the larger part when much comes in."""
        self._handle()
        while not self._stopped:
            self._inbox.get()()
            for _ in range(MOST_TOGETHER):
                try:
                    self._inbox.get_nowait()()
                except Empty:
                    break
            self._handle()

    def _end(self) -> None:
        self._stopped = True

    # --- to the controller

    def notify(self, event: Event) -> None:
        """In the host thread: what the controller hears next."""
        self._events.append(event)

    def _handle(self, not_before: int = 0) -> None:
        """Tell what has happened, and carry out what the controller says; the only caller of `handle`."""
        while True:
            self._expire()
            events, self._events = self._events, []
            for action in self._control.handle(max(clock.now(), not_before), events):
                self._carry_out(action)
            if self._lasting is not None:
                self._lasting.settle_recorded()
            if not self._later:
                return
            self._events, self._later = self._later, []

    def _carry_out(self, action: Action) -> None:
        if (do := self._do.get(type(action))) is not None:
            do(action)
        elif (known := self._requests.get(action.request_id)) is not None:  # type: ignore[union-attr]
            self._do_to[type(action)](known, action)

    def _arrival(self, request: Request) -> None:
        number = self._classes.get(request.class_name)
        if number is None or request.uid in self._by_uid:
            return self._turn_off(request, "no such class" if number is None else "its id is another's")
        cls = self._settings.classes[number]
        if (request.idempotency_key is not None) is not (
            cls.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        ):
            return self._turn_off(request, "a token in a class without keys, or none in one with")
        if not request.is_open:
            return  # its caller left before it could be told
        repeats, past, same, keep_after = None, None, b"", 0
        if request.idempotency_key is not None:
            self._handle()  # tries that are read together know of each other
            if self._lasting is not None:
                if self._lasting.hold_until_recovered(request):
                    return
                same = self._lasting.fingerprint(request)
            try:
                repeats, past = self._find(request, request.idempotency_key, same)
            except ValueError:
                # All tries of a request are alike. Whoever brings another under its token is not its caller.
                return self._turn_off(request, "its token is another's")
            if self._lasting is not None and repeats is None:
                keep_after = self._lasting.capacity_wait_us()
        self._count += 1
        known = InFlightRequest(self._count, request, cls, repeats, past, same)
        self._requests[known.request_id] = self._by_uid[request.uid] = known
        # Nobody waits longer than the class's patience, whatever a faulty stamp says.
        queued = min(max(0, clock.now() - request.arrived_at), cls.client_timeout)
        self.notify(
            Arrival(
                known.request_id,
                number,
                queued,
                memory=request.memory,
                client=request.client,
                duplicate_of=repeats,
                storage_delay=keep_after,
            )
        )

    def _find(self, request: Request, token: str, same: bytes) -> tuple[int | None, store.StoredEntry | None]:
        """Whom it repeats, or what, if the host no longer holds that; `ValueError` if its token is
        another's."""
        number = self._keys.owner(token, request.arrived_at)
        if number is not None:
            owner = self._requests.get(number)
            if owner is None or not owner.is_retry_of(request, same):
                raise ValueError
            return number, None
        past = self._lasting.look_up(request, same) if self._lasting is not None else None
        return (NOT_HELD if past is not None else None), past

    def _turn_off(self, request: Request, why: str) -> None:
        """Fail what no balancer sends, before the controller or anyone's key hears of it."""
        logger.warning("%s: %s", request.uid, why)
        request.respond(Response(ResponseStatus.FAILED, load=self.reported_load, invalid_request=True))

    def _leave(self, request: Request) -> None:
        known = self._by_uid.get(request.uid)
        if known is not None and known.request is request:
            self.executions.client_disconnected(known)
            self.notify(ClientDisconnected(known.request_id))
            self._settle(known)

    def _lasts(self, known: InFlightRequest | None) -> DurableKeys | None:
        """Who has to hear of this one, since its key outlasts this life."""
        return self._lasting if known is not None and known.request.idempotency_key is not None else None

    def _noticed(self, pos: int) -> None:
        """Of a notice that changes nothing for any key."""
        if self._lasting is not None:
            self._lasting.notice_read(pos)

    def _end_run(self, uid: str, code: str, took: int = 0, result: bytes = b"", pos: int = 0) -> None:
        known = self._by_uid.get(uid)
        if known is None or not known.is_running:
            return self._noticed(pos)
        outcome = ENDS.get(code, Outcome.ERROR)
        self.executions.finished(known, outcome is Outcome.OK)
        if outcome is Outcome.OK and known.request.idempotency_key is not None:
            known.result = result
        lasts = self._lasts(known)
        if lasts is not None:
            lasts.run_ended(known, outcome, pos)
        else:
            self._noticed(pos)
        if lasts is None or outcome is not Outcome.OK:  # else once its result is recorded
            if outcome in (Outcome.OK, Outcome.ERROR):
                self.respond(known.request, VERDICTS[outcome], result if outcome is Outcome.OK else b"")
            self.run_ended(known, outcome)
        self.notify(RunFinished(known.request_id, outcome, took))
        self._settle(known)

    def _disown(self, uid: str) -> None:
        if (known := self._by_uid.get(uid)) is not None and known.is_running:
            known.request.respond(
                Response(ResponseStatus.FAILED, load=self.reported_load, invalid_request=True)
            )
            self._end_run(uid, worker.RUN_NEVER_STARTED)

    def _block(self, uid: str, body: bytes, pos: int) -> None:
        known = self._by_uid.get(uid)
        if known is None or not known.is_running:
            return self._noticed(pos)
        known.command_link, known.call_body, known.call_notice = None, body, pos
        if (lasts := self._lasts(known)) is None:
            self._noticed(pos)
        elif not lasts.call_requested(known):
            return self.executions.cancel(known)  # its call may have been made, and would be made twice
        self.notify(CallRequested(known.request_id))
        if not known.request.is_open:
            self.executions.client_disconnected(known)

    def _lose_runs(self) -> None:
        """Their ends will never be told, and what had an effect is not run again."""
        lost = [known for known in self._requests.values() if known.is_running]
        if self._lasting is not None:
            lost = [known for known in lost if not self._lasting.awaits_start(known)]
        logger.warning("a new worker pool: %s runs are lost with the one before", len(lost))
        for known in lost:
            self._end_run(known.request.uid, worker.RUN_FAILED)
        if self._lasting is not None:
            self._lasting.pool_replaced()  # what ended so settles notices of the pool before

    def _say_again(self, link: int) -> None:
        """What an earlier link may have lost, now that its replay has shown what arrived."""
        if self._lasting is not None:
            self._lasting.pool_linked()
        self.executions.resend_lost_commands(link, list(self._requests.values()))

    def start_run(self, known: InFlightRequest) -> None:
        """Its run is recorded; see `lasting.Side`."""
        self.executions.start(known)

    def _drain(self, time_left_us: int) -> None:
        if self._lasting is not None:
            self._lasting.drain(time_left_us)
        self.notify(DrainStarted(time_left_us))

    # --- what becomes of a request

    def run_ended(self, known: InFlightRequest, outcome: Outcome) -> None:
        """It will not run any more: whoever waits for its end has it now. See `lasting.Side`."""
        known.outcome, known.is_queued = outcome, False
        waiting, known.waiting_duplicates = known.waiting_duplicates, []
        for repeat in filter(None, map(self._requests.get, waiting)):
            if outcome is Outcome.NEVER_STARTED:
                self._look_again(repeat)
            else:
                self._finish_repeat(repeat, known)

    def _look_again(self, repeat: InFlightRequest) -> None:
        """What it repeats never ran: it is a first try now, once the controller has given that key up."""
        self._later.append(ClientDisconnected(repeat.request_id))
        del self._requests[repeat.request_id], self._by_uid[repeat.request.uid]
        self.post(lambda: self._arrival(repeat.request))

    def _finish_repeat(self, repeat: InFlightRequest, original: InFlightRequest | None) -> None:
        good = original is not None and original.outcome is Outcome.OK
        self._end_repeat(repeat, original.result if good and original is not None else None)

    def _end_repeat(self, repeat: InFlightRequest, result: bytes | None) -> None:
        """Answer a repeat with this result; None: there is none to have."""
        self.respond(
            repeat.request, ResponseStatus.FAILED if result is None else ResponseStatus.SERVED, result or b""
        )
        repeat.is_queued = False
        self._later.append(RunFinished(repeat.request_id, Outcome.ERROR if result is None else Outcome.OK))
        self._settle(repeat)

    def _settle(self, known: InFlightRequest) -> None:
        """Let go of what is over and no key needs."""
        if known.is_running or known.request.is_open:
            return
        if known.is_queued:
            self.run_ended(known, Outcome.NEVER_STARTED)
        if self._keys.owns(known.request.idempotency_key, known.request_id):
            return
        self._requests.pop(known.request_id, None)
        if self._by_uid.get(known.request.uid) is known:
            del self._by_uid[known.request.uid]

    def _expire(self) -> None:
        for number in self._keys.expire(clock.now()):
            if (owner := self._requests.get(number)) is not None:
                self._settle(owner)

    # --- for keys that outlast this life; see `lasting.Side`

    def retry_arrival(self, request: Request) -> None:
        """Look at an arrival once more."""
        self._arrival(request)

    def respond(self, request: Request, verdict: ResponseStatus, body: bytes = b"", away_ms: int = 0) -> None:
        """Its final answer, unless it has one; from any thread."""
        request.respond(Response(verdict, body, retry_after_ms=away_ms, load=self.reported_load))

    def run_never_started(self, known: InFlightRequest) -> None:
        """It was to run, and provably has not."""
        self._end_run(known.request.uid, worker.RUN_NEVER_STARTED)

    def run_ended_elsewhere(self, known: InFlightRequest, result: bytes | None) -> None:
        """Its run was another life's, and has ended."""
        self._end_run(
            known.request.uid, worker.RUN_FAILED if result is None else worker.RUN_SUCCEEDED, 0, result or b""
        )

    def release(self, known: InFlightRequest) -> None:
        """What repeats it is answered from the record from now on."""
        self._keys.remove(known.request.idempotency_key, known.request_id)
        self._settle(known)

    def adopt_run(self, begun: store.StartedRun, cls: int, time_left: int) -> InFlightRequest:
        """A run of an earlier life. Nobody is owed its answer but those who repeat it."""
        now = clock.now()
        self._count += 1
        known = adopted_run(begun, self._count, self._settings.classes[cls], now)
        self._requests[known.request_id] = self._by_uid[begun.uid] = known
        self._keys.insert(begun.key.hex(), known.request_id, begun.expires_at)
        self.notify(
            RunAdopted(known.request_id, cls, time_left, max(0, begun.expires_at - now), begun.memory)
        )
        return known

    # --- actions

    def _run(self, known: InFlightRequest, action: StartRun) -> None:
        known.is_queued, known.is_running = False, True
        if (lasts := self._lasts(known)) is not None:
            lasts.request_start(known)
        else:
            self.executions.start(known)

    def _refuse(self, known: InFlightRequest, action: Reject) -> None:
        away_ms = -(-action.retry_after // 1_000)
        known.request.respond(
            Response(
                ResponseStatus.REJECTED,
                retry_after_ms=away_ms,
                no_retry=action.no_retry,
                load=self.reported_load,
            )
        )
        self._settle(known)

    def _fail(self, known: InFlightRequest, action: Fail) -> None:
        self.respond(known.request, ResponseStatus.FAILED)
        self.executions.client_disconnected(known)
        self._settle(known)

    def _halt(self, known: InFlightRequest, action: Cancel) -> None:
        if self._lasting is not None and self._lasting.withdraw_start(
            known
        ):  # the pool was not told to run it
            return self.run_never_started(known)
        self.executions.cancel(known)

    def _call(self, known: InFlightRequest, action: MakeCall) -> None:
        if (lasts := self._lasts(known)) is not None:
            lasts.record_call(known, lambda: self.executions.make_call(known, action.timeout))
        else:
            self.executions.make_call(known, action.timeout)

    def _remember(self, known: InFlightRequest, action: RememberKey) -> None:
        if (token := known.request.idempotency_key) is None:
            return
        until = clock.now() + action.lifetime + KEY_SLACK_US + known.request.clock_skew
        before = self._keys.insert(token, known.request_id, until)
        if self._lasting is not None:
            self._lasting.key_remembered(known, until)
        if before is not None and (owner := self._requests.get(before)) is not None:
            self._settle(owner)

    def _forget(self, known: InFlightRequest, action: ForgetKey) -> None:
        if self._lasting is not None:
            self._lasting.key_forgotten(known)
        if self._keys.remove(known.request.idempotency_key, known.request_id):
            self._settle(known)

    def _reuse(self, known: InFlightRequest, action: ReplayResult) -> None:
        if known.stored_entry is not None and self._lasting is not None:
            return self._lasting.replay(
                known, known.stored_entry, lambda result: self._end_repeat(known, result)
            )
        original = self._requests.get(known.duplicate_of or NOT_HELD)
        if original is not None and original.outcome is None:
            original.waiting_duplicates.append(known.request_id)
        else:
            self._finish_repeat(known, original)

    def _advertise(self, action: ReportLoad) -> None:
        self.reported_load = action.value

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self._server.idle_s = action.idle_time / 1e6

    def _tick(self, event: TimerFired, at: int) -> None:
        self.notify(event)
        self._handle(at)

    def _log(self, action: LogMessage) -> None:
        logger.warning("%s", action.message)
