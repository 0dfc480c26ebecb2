"""Between the exchange objects, the links and the controller: keeps requests, keys and time.

One thread, one inbox: all that happens is put there by whoever saw it, and is told to the controller one
event after the other, with every action carried out before the next. Nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING

from . import clock, keys, log
from . import interface as i
from .control import Controller
from .exchange import Answer, Check, Request, Verdict
from .health import Health
from .interface import Outcome, Repeat
from .net import pool as worker
from .net.pool import Pool
from .net.server import Server
from .runs import ENDS, VERDICTS, Runs
from .ticks import Ticks
from .tracked import Tracked, adopted

if TYPE_CHECKING:  # only where an operator turned it on
    from .lasting import Lasting

# Repeats are told for this much longer than the controller asks: peers' time limits have 50 ms of slack.
KEY_SLACK_US = 100_000
# Whom a try repeats whose forerunner is kept, but no longer held; requests are numbered from 1.
NOT_HELD = 0
# So much may share a call of `handle`: few enough for the first of it not to be kept waiting.
MOST_TOGETHER = 32


class Host:
    """One life of a server."""

    def __init__(self, settings: i.Settings, gauges: tuple[str | None, ...], seed: int) -> None:
        self._gauges = gauges
        self._classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self._settings = settings
        self._control = Controller(settings, seed, clock.now())
        self._inbox: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self._events: list[i.Event] = []  # not told yet
        self._later: list[i.Event] = []  # brought about by actions, to be told next
        self._requests: dict[int, Tracked] = {}
        self._by_uid: dict[str, Tracked] = {}
        # A repeat that came before its key ran out may be read as much later as a caller waits.
        self._keys = keys.Table(max(cls.patience for cls in settings.classes))
        self._lasting: Lasting | None = None  # keys that outlast this life
        self._count = 0
        self.load: float | None = None  # the free value
        self._stopped = False
        self._do_to: dict[type[i.Action], Callable[..., None]] = {
            i.Run: self._run,
            i.Refuse: self._refuse,
            i.Fail: self._fail,
            i.Halt: self._halt,
            i.Call: self._call,
            i.Remember: self._remember,
            i.Forget: self._forget,
            i.Reuse: self._reuse,
        }
        self._do: dict[type[i.Action], Callable[..., None]] = {
            i.SetHealth: lambda action: self._health.set(action),
            i.Advertise: self._advertise,
            i.CloseIdle: self._close_idle,
            i.SetTimer: lambda action: self._ticks.set(action),
            i.Log: self._log,
        }

    def join(
        self,
        server: Server,
        pool: Pool,
        vault: tuple[str, int],
        lasting: Lasting | None = None,
    ) -> None:
        """Get to know the parts that the host gives its orders to."""
        self._server, self._pool, self._lasting = server, pool, lasting
        self.runs = Runs(
            pool,
            vault,
            self.post,
            self._settings.halt is not i.HaltMode.NONE,
            never_began=lambda known: self._end_run(known.exchange.uid, worker.BROKEN_OFF),
            call_ended=lambda known, outcome, took: self.tell(i.CallEnded(known.id, outcome, took)),
        )
        self._health = Health(pool, lambda: self.load)
        # A tick that came before its time would be taken for one that was replaced.
        self._ticks = Ticks(pool, self._gauges, lambda event, at: self.post(lambda: self._tick(event, at)))

    def move(self, vault: tuple[str, int]) -> None:
        """The vault's new address, for all calls from now on; those on their way end where they are."""
        self.runs.vault = vault

    # --- the inbox, from any thread

    def post(self, task: Callable[[], None]) -> None:
        """Have this done in the host thread."""
        self._inbox.put(task)

    def arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._inbox.put(lambda: self._arrival(request))

    def gone(self, request: Request) -> None:
        """Its caller has left."""
        self._inbox.put(lambda: self._leave(request))

    def checked(self, check: Check) -> None:
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

    def tell(self, event: i.Event) -> None:
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
                self._lasting.settle()
            if not self._later:
                return
            self._events, self._later = self._later, []

    def _carry_out(self, action: i.Action) -> None:
        if (do := self._do.get(type(action))) is not None:
            do(action)
        elif (known := self._requests.get(action.id)) is not None:  # type: ignore[union-attr]
            self._do_to[type(action)](known, action)

    def _arrival(self, request: Request) -> None:
        number = self._classes.get(request.lane)
        if number is None or request.uid in self._by_uid:
            return self._turn_off(request, "no such class" if number is None else "its id is another's")
        cls = self._settings.classes[number]
        if (request.token is not None) is not (cls.repeat is Repeat.KEYED):
            return self._turn_off(request, "a token in a class without keys, or none in one with")
        if not request.open:
            return  # its caller left before it could be told
        repeats, past, same, keep_after = None, None, b"", 0
        if request.token is not None:
            self._handle()  # tries that are read together know of each other
            if self._lasting is not None:
                if self._lasting.parked(request):
                    return
                same = self._lasting.digest(request)
            try:
                repeats, past = self._find(request, request.token, same)
            except ValueError:
                # All tries of a request are alike. Whoever brings another under its token is not its caller.
                return self._turn_off(request, "its token is another's")
            if self._lasting is not None and repeats is None:
                keep_after = self._lasting.wait_us()
        self._count += 1
        known = Tracked(self._count, request, cls, repeats, past, same)
        self._requests[known.id] = self._by_uid[request.uid] = known
        # Nobody waits longer than the class's patience, whatever a faulty stamp says.
        queued = min(max(0, clock.now() - request.arrived), cls.patience)
        self.tell(
            i.Arrival(
                known.id,
                number,
                queued,
                memory=request.memory,
                caller=request.caller,
                repeats=repeats,
                keep_after=keep_after,
            )
        )

    def _find(self, request: Request, token: str, same: bytes) -> tuple[int | None, keys.Past | None]:
        """Whom it repeats, or what, if the host no longer holds that; `ValueError` if its token is
        another's."""
        number = self._keys.owner(token, request.arrived)
        if number is not None:
            owner = self._requests.get(number)
            if owner is None or not owner.alike(request, same):
                raise ValueError
            return number, None
        past = self._lasting.recall(request, same) if self._lasting is not None else None
        return (NOT_HELD if past is not None else None), past

    def _turn_off(self, request: Request, why: str) -> None:
        """Fail what no balancer sends, before the controller or anyone's key hears of it."""
        log.say("host", f"{request.uid}: {why}")
        request.finish(Answer(Verdict.FAILED, load=self.load, suspect=True))

    def _leave(self, request: Request) -> None:
        known = self._by_uid.get(request.uid)
        if known is not None and known.exchange is request:
            self.runs.leave(known)
            self.tell(i.Gone(known.id))
            self._settle(known)

    def _lasts(self, known: Tracked | None) -> Lasting | None:
        """Who has to hear of this one, since its key outlasts this life."""
        return self._lasting if known is not None and known.exchange.token is not None else None

    def _noticed(self, pos: int) -> None:
        """Of a notice that changes nothing for any key."""
        if self._lasting is not None:
            self._lasting.noticed(pos)

    def _end_run(self, uid: str, code: str, took: int = 0, result: bytes = b"", pos: int = 0) -> None:
        known = self._by_uid.get(uid)
        if known is None or not known.running:
            return self._noticed(pos)
        outcome = ENDS.get(code, Outcome.ERROR)
        self.runs.over(known, outcome is Outcome.OK)
        if outcome is Outcome.OK and known.exchange.token is not None:
            known.result = result
        lasts = self._lasts(known)
        if lasts is not None:
            lasts.ended(known, outcome, pos)
        else:
            self._noticed(pos)
        if lasts is None or outcome is not Outcome.OK:  # else once its result is recorded
            if outcome in (Outcome.OK, Outcome.ERROR):
                self.answer(known.exchange, VERDICTS[outcome], result if outcome is Outcome.OK else b"")
            self.over(known, outcome)
        self.tell(i.Finished(known.id, outcome, took))
        self._settle(known)

    def _disown(self, uid: str) -> None:
        if (known := self._by_uid.get(uid)) is not None and known.running:
            known.exchange.finish(Answer(Verdict.FAILED, load=self.load, suspect=True))
            self._end_run(uid, worker.LATE)

    def _block(self, uid: str, body: bytes, pos: int) -> None:
        known = self._by_uid.get(uid)
        if known is None or not known.running:
            return self._noticed(pos)
        known.told, known.call_body, known.call_pos = None, body, pos
        if (lasts := self._lasts(known)) is None:
            self._noticed(pos)
        elif not lasts.asks(known):
            return self.runs.suspend(known)  # its call may have been made, and would be made twice
        self.tell(i.CallNeeded(known.id))
        if not known.exchange.open:
            self.runs.leave(known)

    def _lose_runs(self) -> None:
        """Their ends will never be told, and what had an effect is not run again."""
        lost = [known for known in self._requests.values() if known.running]
        if self._lasting is not None:
            lost = [known for known in lost if not self._lasting.waits(known)]
        log.say("host", f"a new worker pool: {len(lost)} runs are lost with the one before")
        for known in lost:
            self._end_run(known.exchange.uid, worker.FAULT)
        if self._lasting is not None:
            self._lasting.replaced()  # what ended so settles notices of the pool before

    def _say_again(self, link: int) -> None:
        """What an earlier link may have lost, now that its replay has shown what arrived."""
        if self._lasting is not None:
            self._lasting.linked()
        self.runs.say_again(link, list(self._requests.values()))

    def begin(self, known: Tracked) -> None:
        """Its run is recorded; see `lasting.Side`."""
        self.runs.begin(known)

    def _drain(self, time_left_us: int) -> None:
        if self._lasting is not None:
            self._lasting.drain(time_left_us)
        self.tell(i.Draining(time_left_us))

    # --- what becomes of a request

    def over(self, known: Tracked, outcome: Outcome) -> None:
        """It will not run any more: whoever waits for its end has it now. See `lasting.Side`."""
        known.outcome, known.held = outcome, False
        waiting, known.waiting = known.waiting, []
        for repeat in filter(None, map(self._requests.get, waiting)):
            if outcome is Outcome.MOOT:
                self._look_again(repeat)
            else:
                self._finish_repeat(repeat, known)

    def _look_again(self, repeat: Tracked) -> None:
        """What it repeats never ran: it is a first try now, once the controller has given that key up."""
        self._later.append(i.Gone(repeat.id))
        del self._requests[repeat.id], self._by_uid[repeat.exchange.uid]
        self.post(lambda: self._arrival(repeat.exchange))

    def _finish_repeat(self, repeat: Tracked, original: Tracked | None) -> None:
        good = original is not None and original.outcome is Outcome.OK
        self._end_repeat(repeat, original.result if good and original is not None else None)

    def _end_repeat(self, repeat: Tracked, result: bytes | None) -> None:
        """Answer a repeat with this result; None: there is none to have."""
        self.answer(repeat.exchange, Verdict.FAILED if result is None else Verdict.SERVED, result or b"")
        repeat.held = False
        self._later.append(i.Finished(repeat.id, Outcome.ERROR if result is None else Outcome.OK))
        self._settle(repeat)

    def _settle(self, known: Tracked) -> None:
        """Let go of what is over and no key needs."""
        if known.running or known.exchange.open:
            return
        if known.held:
            self.over(known, Outcome.MOOT)
        if self._keys.owns(known.exchange.token, known.id):
            return
        self._requests.pop(known.id, None)
        if self._by_uid.get(known.exchange.uid) is known:
            del self._by_uid[known.exchange.uid]

    def _expire(self) -> None:
        for number in self._keys.expire(clock.now()):
            if (owner := self._requests.get(number)) is not None:
                self._settle(owner)

    # --- for keys that outlast this life; see `lasting.Side`

    def again(self, request: Request) -> None:
        """Look at an arrival once more."""
        self._arrival(request)

    def answer(self, request: Request, verdict: Verdict, body: bytes = b"", away_ms: int = 0) -> None:
        """Its final answer, unless it has one; from any thread."""
        request.finish(Answer(verdict, body, stay_away_ms=away_ms, load=self.load))

    def never_ran(self, known: Tracked) -> None:
        """It was to run, and provably has not."""
        self._end_run(known.exchange.uid, worker.LATE)

    def ended_elsewhere(self, known: Tracked, result: bytes | None) -> None:
        """Its run was another life's, and has ended."""
        self._end_run(known.exchange.uid, worker.FAULT if result is None else worker.FINE, 0, result or b"")

    def let_go(self, known: Tracked) -> None:
        """What repeats it is answered from the record from now on."""
        self._keys.remove(known.exchange.token, known.id)
        self._settle(known)

    def adopt(self, begun: keys.Begun, cls: int, time_left: int) -> Tracked:
        """A run of an earlier life. Nobody is owed its answer but those who repeat it."""
        now = clock.now()
        self._count += 1
        known = adopted(begun, self._count, self._settings.classes[cls], now)
        self._requests[known.id] = self._by_uid[begun.uid] = known
        self._keys.enter(begun.token.hex(), known.id, begun.until)
        self.tell(i.Adopted(known.id, cls, time_left, max(0, begun.until - now), begun.memory))
        return known

    # --- actions

    def _run(self, known: Tracked, action: i.Run) -> None:
        known.held, known.running = False, True
        if (lasts := self._lasts(known)) is not None:
            lasts.run(known)
        else:
            self.runs.begin(known)

    def _refuse(self, known: Tracked, action: i.Refuse) -> None:
        away_ms = -(-action.stay_away // 1_000)
        known.exchange.finish(
            Answer(Verdict.REFUSED, stay_away_ms=away_ms, last=action.no_retry, load=self.load)
        )
        self._settle(known)

    def _fail(self, known: Tracked, action: i.Fail) -> None:
        self.answer(known.exchange, Verdict.FAILED)
        self.runs.leave(known)
        self._settle(known)

    def _halt(self, known: Tracked, action: i.Halt) -> None:
        if self._lasting is not None and self._lasting.take_back(known):  # the pool was not told to run it
            return self.never_ran(known)
        self.runs.suspend(known)

    def _call(self, known: Tracked, action: i.Call) -> None:
        if (lasts := self._lasts(known)) is not None:
            lasts.call(known, lambda: self.runs.call(known, action.timeout))
        else:
            self.runs.call(known, action.timeout)

    def _remember(self, known: Tracked, action: i.Remember) -> None:
        if (token := known.exchange.token) is None:
            return
        until = clock.now() + action.life + KEY_SLACK_US + known.exchange.ahead
        before = self._keys.enter(token, known.id, until)
        if self._lasting is not None:
            self._lasting.remembered(known, until)
        if before is not None and (owner := self._requests.get(before)) is not None:
            self._settle(owner)

    def _forget(self, known: Tracked, action: i.Forget) -> None:
        if self._lasting is not None:
            self._lasting.forgotten(known)
        if self._keys.remove(known.exchange.token, known.id):
            self._settle(known)

    def _reuse(self, known: Tracked, action: i.Reuse) -> None:
        if known.past is not None and self._lasting is not None:
            return self._lasting.reuse(known, known.past, lambda result: self._end_repeat(known, result))
        original = self._requests.get(known.repeats or NOT_HELD)
        if original is not None and original.outcome is None:
            original.waiting.append(known.id)
        else:
            self._finish_repeat(known, original)

    def _advertise(self, action: i.Advertise) -> None:
        self.load = action.value

    def _close_idle(self, action: i.CloseIdle) -> None:
        self._server.idle_s = action.after / 1e6

    def _tick(self, event: i.TimerFired, at: int) -> None:
        self.tell(event)
        self._handle(at)

    def _log(self, action: i.Log) -> None:
        log.say("control", action.text)
