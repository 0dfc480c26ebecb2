"""All decisions of a service instance. What comes in and goes out is defined in `cairnvane.contract`.

The ordinary path is `Controller._admit`: AIMD admission by the number of held requests (Shehata, Mohaghegh,
Aboelaze). Its companion is `Controller._climb`, the run limit. Everything else guards the four rules: no
request lost, no effect twice, safe drains, no fall-over. `docs/design.md` goes through it name for name.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any

from ..contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
)
from ..contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    KeysRestored,
    Outcome,
    RunAdopted,
    RunFinished,
    TimerFired,
)
from ..contract.settings import CancelMode, DependencyKind, LoadSignal, RequestClass, RetrySemantics, Settings
from . import parameters
from .requests import Job, State


class Controller:
    """The decisions of one service instance in one life."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = self.born = self.timer_at = now
        self.jobs: dict[int, Job] = {}
        at: dict[State, dict[int, Job]] = {state: {} for state in State}  # oldest first
        self.at, self.hold, self.running = at, at[State.HELD], at[State.RUNNING]
        self.at_call, self.calling = at[State.AT_CALL], at[State.CALLING]
        self.dues: list[tuple[int, int]] = []
        self.keys: set[int] = set()  # remembered requests
        self.key_ends: list[tuple[int, int]] = []
        self.kept, self.kept_ends = 0, list[tuple[int, int]]()  # of an earlier life: how many, until when
        self.lingering: list[int] = []  # when abandoned calls leave the dependency's hands
        self.calls_timed, self.call_usual = 0, 0.0
        self.call_time = self.call_base = self.call_debt = 0.0  # debt: calls in hand x time beyond our share
        shared = settings.dependency is DependencyKind.SHARED
        self.most_calls = (
            parameters.CALLS_SHARE * settings.dependency_quota
            if shared
            else parameters.CALLS_PER_CORE * settings.cores
        )
        self.call_cap, self.cut_at = self.most_calls, now
        self.timer_out = False  # a tick at `timer_at` is to come
        self.p = self.open = 1.0
        self.most_worth = max(c.priority_weight for c in settings.classes) or 1.0
        self.first_part = 1.0  # of their patience, that first tries are given
        self.mix: dict[float, float] = {}  # how much of what arrived of late had this worth
        # What each tenant may still have run here within its share, and when that was reckoned.
        self.shares = [
            (1e-6 * t.quota / settings.replicas * parameters.SHARE_DEPTH, now) for t in settings.tenants
        ]
        self.seen: dict[int, int] = {}  # caller -> when it came last
        self.looked = self.seen_at = now  # when it last went over the hold, and the table
        self.back, self.idle = 0.5, 0  # the share of arrivals whose caller had been here of late
        self.unread = self.keep = (
            0.0  # the part of their aims that arrivals waited; doublings of parameters.IDLE_SHORT
        )
        self.failing, self.healthy = 0.0, True  # the recent share of runs that failed
        # All decayed alike: core time spent, successful runs, the time that they took and their hinted work.
        self.core_time = self.finished = self.took = self.cost = self.memory = 0.0
        self.known: set[str] = set()  # classes with a finished run
        self.callers: set[str] = set()  # classes that were seen to call
        self.limit = settings.cores
        self.climbing, self.climb_from, self.done, self.rate_before = -1, now, 0, 0.0
        self.crowded = self.pressed = self.starved = self.draining = False
        self.said: float | None = None
        self.grace_end = self.stop_at = 1 << 62
        self.out: list[Action] = []
        self.on: dict[type[Event], Callable[[Any], None]] = {
            Arrival: self._arrive,
            RunFinished: self._finish,
            ClientDisconnected: self._gone,
            TimerFired: self._tick,
            CallRequested: self._leave_cores,
            CallFinished: self._call_ended,
            DrainStarted: self._drain,
            KeysRestored: self._keep,
            RunAdopted: self._adopt,
        }

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """What to do about these events, which happened at `now`."""
        self.out = []
        self._pass_time(max(now, self.now))
        for event in events:
            self.on[type(event)](event)
        self._answer_due()
        self._make_calls()
        self._start()
        self._set_timer()
        return self.out

    def _admit(self, job: Job) -> bool:
        """The paper's rule: p moves with the queue, and the request is admitted with chance p."""
        if job.cls.name in self.known and self.core_time:
            # What the run takes, and what the request waited unread, is no time to wait.
            n_high = max(0.0, job.aim + job.age - self.now - self._run_time(job)) * self._rate()
            held = len(self.hold) - 1  # the others
            if held > n_high:
                self.p = max(parameters.P_MIN, self.p * parameters.GAMMA)
            elif held < n_high / 2:
                self.p = min(1.0, self.p + parameters.ETA)
        # Risk: shedding blindly. Of the share p of all that comes, the worthier has the first claim.
        for worth in self.mix:
            self.mix[worth] *= 1 - 1 / parameters.MIX_OVER
        self.mix[job.worth] = self.mix.get(job.worth, 0.0) + 1
        above = sum(part for worth, part in self.mix.items() if worth > job.worth)
        return self.random.random() * self.mix[job.worth] < self.p * sum(self.mix.values()) - above

    def _rate(self) -> float:
        """Requests that busy cores finish in a microsecond."""
        return self.settings.cores * self.finished / max(1.0, self.core_time)

    def _climb(self, gauge: TimerFired) -> None:
        # Risk: runs that wait for a disk leave cores idle. The demand of this moment tells; the mean busy
        # share lags, and let a mere burst raise the limit to where runs slow each other down.
        ceiling = int(self._crowd_ceiling())
        idle = (gauge.runnable or len(self.running)) < self.settings.cores
        idle = idle and (gauge.cpu_busy or 0.0) < parameters.CORES_BUSY
        if idle and self.hold and self.limit <= len(self.running) < ceiling:
            self.limit += 1
        if self.done < parameters.CLIMB_RUNS * self.settings.cores:
            return
        rate = self.done / max(1, self.now - self.climb_from)
        if self.crowded:  # only an interval in which the limit did bind says something about it
            if rate < self.rate_before * (
                parameters.CLIMB_GAIN if self.climbing > 0 else 1 / parameters.CLIMB_GAIN
            ):
                self.climbing = -self.climbing
            self.limit = max(self.settings.cores, min(self.limit + self.climbing, ceiling))
        self.rate_before, self.done, self.climb_from = rate, 0, self.now
        self.crowded = bool(self.hold)

    def _crowd_ceiling(self) -> float:
        """Running requests that the cores survive, at the least speed that they may have while warming up."""
        s, age = self.settings, self.now - self.born
        speed = (
            s.cold_speed + (1 - s.cold_speed) * age / s.warmup_time
            if s.cold_start and age < s.warmup_time
            else 1.0
        )
        return max(1.0, parameters.CROWD_SHARE * (1 + (s.max_oversubscription - 1) * speed) * s.cores)

    def _start(self) -> None:
        """Start held requests, by worth, then oldest first, as far as the run limit and guards allow."""
        most = min(self.limit, self._crowd_ceiling() - len(self.calling))
        calls = len(self.at_call) + len(self.calling)
        full = calls >= parameters.CALLS_PER_CORE * self.settings.cores
        calls += sum(job.cls.name in self.callers for job in self.running.values())
        wait = calls * self.call_time / max(1.0, self.call_cap)
        if not self.hold or (len(self.running) >= most and self.now - self.looked < parameters.LOOK):
            return
        self.looked = self.now
        late = {job.id: self._late(job) > 0 for job in self.hold.values()}
        for job in sorted(self.hold.values(), key=lambda j: (late[j.id], -j.worth)):
            # Risk: held for nothing. Who is late has all others before it: it runs now or never.
            place = len(self.running) < most
            # Risk: work that fails at its call. Who would wait too long for it leaves the core to others.
            too_long = (
                wait > parameters.CALL_WAIT_PART * job.cls.latency_objective and not job.cls.degraded_fraction
            )
            jam = job.cls.name in self.callers and (full or too_long)
            place = place and not jam
            if late[job.id] and (not place or self._hopeless(job)):
                self._answer(job, jam)
            elif place and self._fits(job.memory * (self.settings.running_memory_factor - 1)):
                self._move(job, State.RUNNING)
                job.started = True
                self.out.append(StartRun(job.id))

    def _late(self, job: Job) -> float:
        """By how much it would miss its aim if it ran now. Such a run waits behind all others."""
        return self.now + self._run_time(job) - job.aim

    def _hopeless(self, job: Job) -> bool:
        """Risk: work for answers that come too late. Without late worth it is turned away. An estimate that
        refuses all would never be mended: with a core free, only the clock counts."""
        calm = len(self.running) < (self.limit if self.open == 1.0 else self.settings.cores)
        return job.cls.late_fraction == 0 and (self.now > job.aim if calm else self._late(job) > 0)

    def _run_time(self, job: Job) -> float:
        """How long the request would run, by recent runs and its hint."""
        if job.cost and self.cost:
            return job.cost * max(self.took, self.core_time) / self.cost
        return max(self.took, self.core_time) / self.finished if self.finished else 0.0

    def _arrive(self, event: Arrival) -> None:
        cls = self.settings.classes[event.class_index]
        arrived = self.now - event.queue_delay
        due = (
            max(self.now, arrived + cls.client_timeout)
            if event.time_left is None
            else self.now + event.time_left
        )
        due = min(due, self.stop_at)
        age = self._age(event, cls)
        aim = min(
            due, arrived - age + cls.latency_objective + int(cls.objective_per_cost * (event.cost or 0))
        )
        # Risk: one tenant crowds out the rest. Only what is beyond its share counts for less, and only here.
        # The last half of what it saved up is kept for its worthiest requests.
        inside = self._share(event.tenant, 0) > (1 - cls.priority_weight / self.most_worth) / 2
        worth = cls.priority_weight * (1 if inside else self.settings.over_quota_fraction)
        tenant = event.tenant if inside else None
        job = self.jobs[event.request_id] = Job(
            event.request_id, cls, arrived, due, aim, age, worth, tenant, event.cost, event.memory
        )
        heapq.heappush(self.dues, (job.due, job.id))
        soon = (
            self.now - self.seen.get(event.client, self.now - parameters.IDLE_WORTH) < parameters.IDLE_WORTH
        )
        self.back += (soon - self.back) / parameters.IDLE_OVER
        self.unread += (event.queue_delay / cls.latency_objective - self.unread) / parameters.IDLE_OVER
        self.seen[event.client] = self.now
        if (
            self.now - self.seen_at > parameters.IDLE_WORTH
        ):  # numbers of callers are always new: the table must not grow
            self.seen_at = self.now
            self.seen = {
                caller: at for caller, at in self.seen.items() if self.now - at < parameters.IDLE_WORTH
            }
        if event.queue_delay > parameters.UNREAD_PART * cls.latency_objective:
            # Risk: reading shares the cores with what runs; a large crowd starves it, and all come late.
            self.starved, self.limit = True, self.settings.cores
        if event.duplicate_of is not None:
            # Risk: an effect twice. The forerunner's outcome answers, whether it is held, running or done.
            job.started = True
            self._move(job, State.REUSING)
            if self._fits(0):
                self.out.append(ReplayResult(job.id))
            else:
                self._answer(job)
            return
        self._move(job, State.HELD)
        # Risk: memory. A request is taken on only if it could run, its key remembered, beside all others.
        key = self.settings.key_memory if cls.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED else 0.0
        room = self._fits(job.memory * (self.settings.running_memory_factor - 1) + key)
        # Risk: an unsafe drain. Nor is there use in a caller that has all but given up.
        late = arrived > self.grace_end or job.due <= self.now + parameters.TICK
        # Risk: an effect twice after a restart. What can't be kept is not begun, whoever waits for it.
        if event.storage_delay or late or not room or not self._admit(job) or self._hopeless(job):
            return self._answer(job, away=event.storage_delay)
        self._share(job.tenant, -1)
        if cls.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED:
            # Risk: a repeat of a held request that was not recorded bears no mark, and both might run.
            life = cls.retry_window + self.settings.min_round_interval
            self._remember(job.id, life)
            self.out.append(RememberKey(job.id, life))

    def _remember(self, number: int, life: int) -> None:
        self.keys.add(number)
        heapq.heappush(self.key_ends, (self.now + life, number))

    def _keep(self, event: KeysRestored) -> None:
        self.kept += event.count
        heapq.heappush(self.kept_ends, (self.now + event.lifetime, event.count))

    def _adopt(self, event: RunAdopted) -> None:
        """Risk: a run that no one counts crowds the cores, and goes on for ever."""
        cls, due = self.settings.classes[event.class_index], min(self.now + event.time_left, self.stop_at)
        job = self.jobs[event.request_id] = Job(
            event.request_id,
            cls,
            self.now,
            due,
            due,
            0,
            cls.priority_weight,
            None,
            None,
            event.memory,
            started=True,
        )
        heapq.heappush(self.dues, (job.due, job.id))
        self._remember(job.id, event.lifetime)
        self._move(job, State.RUNNING)

    def _age(self, event: Arrival, cls: RequestClass) -> int:
        """Risk: work for a client whose first try is long past, from which the aim counts. First tries are
        all given the same part of the patience, a last one what remains of it: that tells the age."""
        if event.time_left is None:
            return 0
        part = (event.time_left + event.queue_delay) / cls.client_timeout
        if not event.is_retry:
            self.first_part = part
        alike = abs(part - self.first_part) < parameters.PART_ALIKE
        return 0 if alike or not event.is_retry else max(0, int((1 - part) * cls.client_timeout))

    def _share(self, tenant: int | None, change: float) -> float:
        """The part that is left, after this change, of what the tenant may save up of its share."""
        if tenant is None or tenant >= len(self.shares):
            return 1.0
        left, since = self.shares[tenant]
        rate = 1e-6 * self.settings.tenants[tenant].quota / self.settings.replicas
        full = max(1.0, rate * parameters.SHARE_DEPTH)
        left = min(full, left + rate * (self.now - since)) + change
        self.shares[tenant] = left, self.now
        return left / full

    def _fits(self, more: float) -> bool:
        used = self.memory + (len(self.keys) + self.kept) * self.settings.key_memory
        return used + more <= parameters.MEMORY_SHARE * self.settings.memory

    def _move(self, job: Job, to: State | None) -> None:
        """Keep account of a request's place and memory; None: it has left the instance."""
        for state, sign in ((job.state, -1), (to, 1)):
            if state is not None:
                light = state in (State.HELD, State.REUSING)
                self.memory += sign * job.memory * (1 if light else self.settings.running_memory_factor)
        if job.state is not None:
            del self.at[job.state][job.id]
        job.state = to
        if to is not None:
            self.at[to][job.id] = job
            return
        del self.jobs[job.id]
        if not job.started and job.id in self.keys:  # it never ran: its key is free again
            self.keys.discard(job.id)
            self.out.append(ForgetKey(job.id))

    def _answer(self, job: Job, jam: bool = False, away: int = 0) -> None:
        """End a request without success: refused if it provably never ran, else failed, and stopped."""
        job.answered = True
        if not job.started:
            # A jam below is everyone's, and no reason to invite less of what needs no call; nor is a full
            # disk.
            self.pressed |= job.worth >= job.cls.priority_weight and not jam and not away
            # Risk: walks. Each refusal costs a reading elsewhere; who has waited is asked to try no further.
            waited = (
                self.open < parameters.OPEN_WALKS
                or self.now - job.arrived > parameters.WAITED_PART * job.cls.latency_objective
            )
            waited |= jam or job.worth < job.cls.priority_weight  # it is beyond its share elsewhere too
            away = max(self._advice(), min(away, self.settings.max_retry_after))
            self.out.append(Reject(job.id, away, waited))
            return self._move(job, None)
        self.out.append(Fail(job.id))
        if job.state is State.REUSING:
            self._move(job, None)
        else:
            self._stop(job)

    def _advice(self) -> int:
        """How long callers should stay away: until half of the hold is worked off."""
        if self.draining:
            return self.settings.max_retry_after
        return (
            min(self.settings.max_retry_after, int(len(self.hold) / rate / 2))
            if (rate := self._rate())
            else 0
        )

    def _finish(self, event: RunFinished) -> None:
        if (job := self.jobs.get(event.request_id)) is None:
            return
        if event.outcome in (Outcome.CANCELLED, Outcome.NEVER_STARTED) and not job.answered:
            # Risk: a lost request. Its caller seems to have left, but nothing says that no answer is owed.
            self.out.append(Fail(job.id))
        if event.outcome is Outcome.NEVER_STARTED and job.state is State.RUNNING:
            job.started = False  # it provably never ran: its key is free for who comes with it next
        if job.state is State.RUNNING:
            if not job.answered:
                self.failing += ((event.outcome is Outcome.ERROR) - self.failing) / parameters.FAILING_OVER
            if event.outcome is Outcome.OK:
                self.finished += 1
                self.took += event.duration
                self.cost += job.cost or 0.0
                self.done += 1
                self.known.add(job.cls.name)
        elif job.state is State.CALLING:
            heapq.heappush(self.lingering, self.now + self.settings.abandoned_call_time)
        self._move(job, None)

    def _gone(self, event: ClientDisconnected) -> None:
        if (job := self.jobs.get(event.request_id)) is None:
            return
        if not job.started or job.state is State.REUSING:
            return self._move(job, None)
        # Nobody waits: the core is better used. But what the next try could reuse goes on, once it has its
        # call behind it (at the next one it would be broken off).
        behind = (
            job.state is State.RUNNING
            and job.cls.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
            and job.calls < parameters.CALL_TRIES
        )
        if not job.answered and not behind:
            self._stop(job)
        job.answered = True

    def _stop(self, job: Job) -> None:
        if job.state is not State.RUNNING:
            # Risk: places held for good. What stands at a call ends there, whether or not that is ever told.
            if job.state is State.CALLING:
                heapq.heappush(self.lingering, self.now + self.settings.abandoned_call_time)
            self._move(job, None)
        elif self.settings.cancel_mode is not CancelMode.NONE:
            self.out.append(Cancel(job.id))

    def _answer_due(self) -> None:
        """Risk: a lost request. What is in hand shortly before its due time is answered, even running."""
        while (
            self.dues and self.dues[0][0] <= self.now + parameters.TICK + 2 * self.settings.min_round_interval
        ):
            if (job := self.jobs.get(heapq.heappop(self.dues)[1])) and not job.answered:
                self._answer(job)

    def _leave_cores(self, event: CallRequested) -> None:
        if (job := self.jobs.get(event.request_id)) and job.state is State.RUNNING:
            job.calls = parameters.CALL_TRIES
            self.callers.add(job.cls.name)
            self._move(job, None if job.answered else State.AT_CALL)

    def _make_calls(self) -> None:
        """Risk: all instances together kill what they share. Calls in hand, abandoned ones too, stay in our
        share as a mean over its window (what is beyond is owed), and above one call at any time; the share
        follows the call time. Who can no longer be in time makes no call."""
        window = self.settings.dependency_window
        spare = (1 - parameters.CALLS_SHARE) * self.call_cap * window
        # A share below one is kept by a single call only if that ends, lingering too, within its part.
        longest = int(self.most_calls * window) - self.settings.abandoned_call_time
        for job in list(self.at_call.values()):
            place = len(self.running) + len(self.calling) < self._crowd_ceiling()
            late = self.now + self.call_time * place > job.aim
            room = self._in_hand() + 1 <= max(1, self.call_cap) and self.call_debt <= spare
            poorer = not room or job.cls.degraded_fraction > job.cls.late_fraction  # in time beats late
            hopeless = (
                late and job.cls.late_fraction == 0 and (self.now > job.aim or not job.cls.degraded_fraction)
            )
            if hopeless or not (job.calls or job.cls.degraded_fraction):
                self._answer(job)
            elif place and job.cls.degraded_fraction > 0 and (not job.calls or (late and poorer)):
                self._move(job, State.RUNNING)
                self.out.append(SkipCall(job.id))
            elif room and place:
                self._move(job, State.CALLING)
                job.calls -= 1
                timeout = min(job.due - self.now, longest, self._lost_after(job))
                self.out.append(MakeCall(job.id, max(1, timeout)))

    def _lost_after(self, job: Job) -> int:
        """Risk: calls that are never answered. Each holds a place, and nothing is begun once all are held."""
        times = parameters.CALL_LOST * (
            1 if job.cls.retry_semantics is RetrySemantics.IDEMPOTENT else parameters.CALL_LOST_EFFECT
        )
        return (
            max(parameters.CALL_LOST_LEAST, int(times * self.call_usual))
            if self.call_usual
            else job.cls.client_timeout
        )

    def _call_ended(self, event: CallFinished) -> None:
        if (job := self.jobs.get(event.request_id)) is None or job.state is not State.CALLING:
            return
        unrun = event.outcome in (Outcome.REJECTED, Outcome.UNREACHED, Outcome.NEVER_STARTED)
        # Risk: calls add up below where no local queue sees them. AIMD: far above the best of late, fewer.
        # What never ran tells nothing of the time that a call takes.
        # One that never ends tells of a loss, not of slowness: it takes several to count as that.
        if not unrun:
            took = event.duration
            if event.outcome is Outcome.TIMEOUT and self.call_base:
                took = min(took, int(2 * parameters.CALL_SLOW * self.call_base))
            self.calls_timed += 1
            self.call_time += (took - self.call_time) / min(parameters.CALL_MEAN_OVER, self.calls_timed)
            if self.calls_timed >= parameters.CALL_MEAN_OVER:
                self.call_base = min(self.call_base or self.call_time, self.call_time)
        if not self.call_base or self.call_time <= max(
            parameters.CALL_QUICK, parameters.CALL_SLOW * self.call_base
        ):
            step = min(1.0, self.most_calls) / max(1.0, self.call_cap)
            self.call_cap = min(self.most_calls, self.call_cap + step)
        elif self.now - self.cut_at > self.call_time:
            least = parameters.CALLS_LEAST * self.most_calls
            least = max(1.0, least) if self.most_calls >= 1 else least
            if self.call_cap <= least:  # with so few out it is not us who slow it: calls take that long now
                self.call_base = self.call_time
            self.call_cap, self.cut_at = max(least, self.call_cap * parameters.GAMMA), self.now
        if event.outcome is Outcome.OK:
            self.call_usual += (event.duration - self.call_usual) / min(
                parameters.CALL_USUAL_OVER, self.calls_timed
            )
            return self._move(job, State.RUNNING)
        if event.outcome is Outcome.TIMEOUT:
            self.call_usual *= parameters.CALL_USUAL_RAISE
        if not unrun:
            heapq.heappush(self.lingering, self.now + self.settings.abandoned_call_time)
            if job.cls.retry_semantics is not RetrySemantics.IDEMPOTENT:
                job.calls = 0  # Risk: an effect below twice. Nothing proves that it never ran.
        self._move(job, State.AT_CALL)

    def _in_hand(self) -> int:
        return len(self.calling) + len(self.lingering)

    def _pass_time(self, now: int) -> None:
        """Book the core time spent, and let what is known of the past fade."""
        passed, cores = now - self.now, self.settings.cores
        self.now = now
        busy = min(len(self.running), cores)
        fade = max(0.0, 1 - busy / cores * passed / parameters.MEMORY_OF_RATE)
        self.finished, self.took, self.cost = self.finished * fade, self.took * fade, self.cost * fade
        self.core_time = self.core_time * fade + passed * busy
        self.call_debt = max(0.0, self.call_debt + (self._in_hand() - self.call_cap) * passed)
        self.call_base *= 1 + passed / parameters.CALL_BASE_MEMORY
        while self.lingering and self.lingering[0] <= now:
            heapq.heappop(self.lingering)
        while self.key_ends and self.key_ends[0][0] <= now:
            self.keys.discard(heapq.heappop(self.key_ends)[1])
        while self.kept_ends and self.kept_ends[0][0] <= now:
            self.kept -= heapq.heappop(self.kept_ends)[1]

    def _set_timer(self) -> None:
        """Ask for a tick while something is pending, else shortly before the next due time."""
        while self.dues and self.dues[0][1] not in self.jobs:
            heapq.heappop(self.dues)
        pending = self.hold or self.at_call or self.pressed or self.starved or self.open < 1
        pending = pending or self.said is None
        pending = pending or not self.healthy or self.failing >= parameters.FAILING_BAD or self.keep > 0
        at = self.now + parameters.TICK
        if not pending:
            if not self.dues:
                return
            at = max(at, self.dues[0][0] - parameters.TICK - self.settings.min_round_interval)
        # A timer that is due stays the one to wait for until it is told; its gauges make that a little later.
        # Where events come faster than that it would be replaced each time, and no tick ever count.
        if not self.timer_out or at < self.timer_at or self.now - self.timer_at > parameters.TIMER_LOST:
            self.timer_at, self.timer_out = at, True
            self.out.append(SetTimer(at))

    def _tick(self, gauge: TimerFired) -> None:
        if self.now < self.timer_at:
            return  # set for what is over by now; a later one is to come
        self.timer_out = False
        self.crowded &= bool(self.hold)
        self._climb(gauge)
        # Risk: handshakes swamp the cores. A full table costs less, and turns callers away unread; once cores
        # idle it does so for nothing, but if all close at once the storm comes back.
        busy = (gauge.cpu_busy or 0.0) >= parameters.CORES_BUSY
        # Reading on cores that are not full is only slow: callers that held back would leave them idle.
        full = busy or gauge.runnable is None or gauge.runnable >= self.settings.cores
        self.pressed, self.starved = self.pressed or (self.starved and full), False
        step = -parameters.IDLE_FALL if not busy else float(self.unread > parameters.IDLE_UNREAD)
        self.keep = min(parameters.IDLE_LEVELS, max(0.0, self.keep + step))
        if (idle := 0 if self.back >= 0.5 else parameters.IDLE_SHORT << int(self.keep)) != self.idle:
            self.idle = idle
            self.out.append(CloseIdleConnections(idle))
        # Risk: quick failures free this instance for more. Callers that go by health are sent elsewhere, and
        # come back as the memory fades. It hurts if all instances fail at once for a cause that they share.
        self.failing *= parameters.FAILING_FADE
        good = (
            self.failing < (parameters.FAILING_BAD if self.healthy else parameters.FAILING_BAD / 2)
            and not self.draining
        )
        if good is not self.healthy:
            self.healthy = good
            self.out.append(SetHealth(good, True))
        self.open = (
            max(parameters.OPEN_MIN, self.open * parameters.OPEN_FALL)
            if self.pressed
            else min(1.0, self.open + parameters.OPEN_RISE)
        )
        self.pressed = False
        self._advertise()

    def _advertise(self) -> None:
        """Callers that heed the free value send less before we must read it."""
        s, share = self.settings, 0.0 if self.draining else self.open
        # In calm the credit binds nobody: one caller may carry much of the traffic.
        credit = share * parameters.OPEN_CREDIT * s.cores / max(1, s.clients if share < 1 else 1)
        # Ranks fall into equal bands by class. But for a drain, the worthiest class is always invited.
        level = 1.0 if self.draining else (1 - share) * (1 - 1 / len(s.classes))
        value = {LoadSignal.WEIGHT: share, LoadSignal.LEVEL: level, LoadSignal.NONE: 0.0}.get(
            s.load_signal, credit
        )
        if value != self.said and s.load_signal is not LoadSignal.NONE:
            self.out.append(ReportLoad(value))
        self.said = value

    def _drain(self, event: DrainStarted) -> None:
        """Risk: an unsafe drain. Nobody new is invited, and all is answered before the stop."""
        if not self.draining:
            self.draining, self.healthy, self.grace_end = True, False, self.now + self.settings.drain_grace
            self.out.append(SetHealth(False, True))
        self.stop_at = self.now + event.time_left
        for job in self.jobs.values():
            job.due = min(job.due, self.stop_at)
            heapq.heappush(self.dues, (job.due, job.id))
        self._advertise()
