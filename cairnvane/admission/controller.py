"""From events to actions, and the order of the steps. `cairnvane.contract` defines both.

The ordinary path is `Controller._admit`: AIMD admission by the number of queued requests. Its companion is
the concurrency limit. Everything else guards the four rules: no request lost, no effect twice, safe graceful
shutdown, no collapse under overload. `docs/design.md` goes through it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from ..contract import actions, events
from ..contract.actions import EndReason
from ..contract.events import UNEXECUTED_OUTCOMES, Outcome
from ..contract.settings import CancelMode, RequestClass, RetrySemantics, Settings
from . import parameters
from .aimd import AdmissionProbability
from .concurrency_limit import ConcurrencyLimit
from .dependency_quota import DependencyQuota
from .estimators import ServiceRate
from .idle_connections import IdleConnections
from .lifecycle import RequestLifecycle
from .load_signal import Health, LoadReports
from .requests import RequestState, TrackedRequest
from .tenant_quota import TenantQuotas
from .unaccounted_load import UnaccountedLoad


class Controller:
    """The decisions of one service instance in one incarnation."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.now = now
        self.timer_at = now
        self.timer_pending = False  # a timer at `timer_at` is to come
        self.queue_scanned_at = now
        self.lifecycle = RequestLifecycle(settings, now)
        self.requests = self.lifecycle.table
        self.queue = self.requests.queue
        self.running = self.requests.running
        self.calling = self.requests.calling
        self.service = ServiceRate(settings.cores)
        self.admission = AdmissionProbability(seed)
        self.concurrency = ConcurrencyLimit(settings, now)
        self.unaccounted = UnaccountedLoad(settings)
        self.dependency = DependencyQuota(settings, now)
        self.tenants = TenantQuotas(settings, now)
        self.idle_connections = IdleConnections(now)
        self.health = Health()
        self.load_reports = LoadReports(settings)
        self.draining = False
        self.grace_end = parameters.NEVER  # a request that arrives later must not run
        self._handlers: dict[type[events.Event], Callable[[Any], None]] = {
            events.Arrival: self._on_arrival,
            events.RunFinished: self._on_run_finished,
            events.ClientDisconnected: self._on_client_disconnected,
            events.TimerFired: self._on_timer,
            events.CallRequested: self.lifecycle.await_call,
            events.CallFinished: self._on_call_finished,
            events.DrainStarted: self._on_drain_started,
            events.KeysRestored: self.lifecycle.restore_keys,
            events.RunAdopted: self.lifecycle.adopt,
        }

    def handle(self, now: int, batch: Sequence[events.Event]) -> list[actions.Action]:
        """What to do about these events, which happened at `now`."""
        elapsed = max(0, now - self.now)
        self.now += elapsed
        self.service.pass_time(elapsed, len(self.running))
        self.dependency.pass_time(self.now, elapsed, len(self.calling))
        self.lifecycle.begin_batch(self.now)
        for event in batch:
            self._handlers[type(event)](event)
        self._answer_due()
        self._make_calls()
        if self.queue:
            self._start_runs()
        self._set_timer()
        return self.lifecycle.actions

    def _on_arrival(self, event: events.Arrival) -> None:
        request = self._track(event)
        self._record_read_delay(event, request.request_class)
        if event.duplicate_of is None:
            self._enqueue_or_reject(request, event.storage_delay)
            return
        # No effect twice: the original's outcome answers, whether it is queued, running or done.
        self.lifecycle.await_original(request)
        if self._has_memory(0):
            self.lifecycle.replay_result(request)
        else:
            self._give_up(request, EndReason.ORIGINAL_MEMORY)

    def _track(self, event: events.Arrival) -> TrackedRequest:
        request = self.lifecycle.track(event)
        if not self.tenants.is_within(event.tenant, request.weight, self.now):
            request.weight *= self.settings.over_quota_fraction
            request.tenant = None
        return request

    def _record_read_delay(self, event: events.Arrival, request_class: RequestClass) -> None:
        objective = request_class.latency_objective
        self.idle_connections.clients.record_arrival(self.now, event.client, event.queue_delay / objective)
        if event.queue_delay > parameters.READ_DELAY_FRACTION * objective:
            # Reading shares the cores with what runs; many running requests starve it, and all come late.
            self.load_reports.reading_delayed = True
            self.concurrency.limit = self.settings.cores

    def _enqueue_or_reject(self, request: TrackedRequest, storage_delay: int) -> None:
        self.lifecycle.enqueue(request)
        request_class = request.request_class
        is_keyed = request_class.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        reason = self._rejection_reason(request, is_keyed, storage_delay)
        if reason is not None:
            self._give_up(request, reason, retry_after=storage_delay)
            return
        self.tenants.take(request.tenant, 1, self.now)
        if is_keyed:
            # A duplicate of a queued request that was not recorded bears no mark, and both might run.
            lifetime = request_class.retry_window + self.settings.min_round_interval
            self.lifecycle.remember_key(request, lifetime)

    def _rejection_reason(
        self, request: TrackedRequest, is_keyed: bool, storage_delay: int
    ) -> EndReason | None:
        """Why a request that arrived is not queued; None if it is."""
        # Guards against an effect twice after a restart: a run whose key can't be stored is not begun.
        if storage_delay:
            return EndReason.STORAGE
        # Guards the graceful shutdown. Nor is there use in a client that has all but given up.
        if request.arrived_at > self.grace_end:
            return EndReason.DRAINING
        if request.deadline <= self.now + parameters.TIMER_INTERVAL:
            return EndReason.DEADLINE
        # Guards the memory: a request is queued only if it could run, its key remembered, beside all others.
        key_memory = self.settings.key_memory if is_keyed else 0.0
        if not self._has_memory(self.requests.extra_run_memory(request) + key_memory):
            return EndReason.MEMORY
        if not self._admit(request):
            return EndReason.ADMISSION
        return EndReason.LATE if self._is_hopeless(request) else None

    def _admit(self, request: TrackedRequest) -> bool:
        """The paper's rule: the admission probability moves with the queue, and decides."""
        if self.service.is_known(request.request_class.name):
            # What the run takes, and what the request waited unread, is no time to wait.
            objective_at = request.objective_at + request.age
            time_to_wait = max(0.0, objective_at - self.now - self.service.run_time(request.cost))
            others = len(self.queue) - 1
            self.admission.update(others, time_to_wait * self.service.rate())
        return self.admission.admits(request.weight)

    def _has_memory(self, additional: float) -> bool:
        used = self.requests.memory + len(self.lifecycle.keys) * self.settings.key_memory
        return used + additional <= parameters.MEMORY_SAFETY * self.settings.memory

    def ceiling(self) -> float:
        """Runs that the cores survive beside those that no table has."""
        return self.concurrency.ceiling(self.now) - self.unaccounted.runs

    def _start_runs(self) -> None:
        """Start queued requests, by weight, then oldest first, as far as the limits allow."""
        most = min(self.concurrency.limit, self.ceiling() - len(self.calling))
        scanned = self.now - self.queue_scanned_at < parameters.QUEUE_SCAN_INTERVAL
        if len(self.running) >= most and scanned:
            return
        self.queue_scanned_at = self.now
        calls = len(self.requests.awaiting_call) + len(self.calling)
        is_full = calls >= parameters.CALLS_PER_CORE * self.settings.cores
        calls += sum(r.request_class.name in self.lifecycle.calling_classes for r in self.running.values())
        wait = calls * self.dependency.times.mean / max(1.0, self.dependency.limit)
        is_late = {request.id: self._lateness(request) > 0 for request in self.queue.values()}
        for request in sorted(self.queue.values(), key=lambda r: (is_late[r.id], -r.weight)):
            congested = self._is_congested(request, is_full, wait)
            has_capacity = len(self.running) < most and not congested
            # A late request has all others before it: it runs now or never.
            if is_late[request.id] and (not has_capacity or self._is_hopeless(request)):
                reason = EndReason.DEPENDENCY if congested else EndReason.CAPACITY
                self._give_up(request, reason)
            elif has_capacity and self._has_memory(self.requests.extra_run_memory(request)):
                self.lifecycle.start(request)

    def _is_congested(self, request: TrackedRequest, is_full: bool, wait: float) -> bool:
        """Guards against work that fails at its call: if it would wait too long, others get the core."""
        request_class = request.request_class
        if request_class.name not in self.lifecycle.calling_classes:
            return False
        longest_wait = parameters.CALL_WAIT_FRACTION * request_class.latency_objective
        return is_full or (wait > longest_wait and not request_class.degraded_fraction)

    def _lateness(self, request: TrackedRequest) -> float:
        """By how much it would miss its objective if it ran now. Such a run waits behind all others."""
        return self.now + self.service.run_time(request.cost) - request.objective_at

    def _is_hopeless(self, request: TrackedRequest) -> bool:
        """Guards against work for answers that come too late, if these earn nothing.

        An estimate that rejects everything would never be corrected: with a core free, only the clock counts.
        """
        limit = self.concurrency.limit if self.load_reports.invited_fraction == 1.0 else self.settings.cores
        if request.request_class.late_fraction != 0:
            return False
        return self.now > request.objective_at if len(self.running) < limit else self._lateness(request) > 0

    def _on_run_finished(self, event: events.RunFinished) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None:
            return
        if event.outcome in (Outcome.CANCELLED, Outcome.NEVER_STARTED) and not request.answered:
            # Its client seems to have left, but nothing says that no answer is owed.
            self.lifecycle.fail(request, EndReason.RUN_CANCELLED)
        if request.state is RequestState.RUNNING:
            self._record_run(request, event)
        elif request.state is RequestState.CALLING:
            self.dependency.in_flight.abandon(self.now)
        self.lifecycle.remove(request)

    def _record_run(self, request: TrackedRequest, event: events.RunFinished) -> None:
        if event.outcome is Outcome.NEVER_STARTED:
            request.may_have_run = False  # its key is free for whoever brings it next
        if not request.answered:
            self.health.failure_rate.record(event.outcome is Outcome.ERROR)
        if event.outcome is Outcome.OK:
            self.service.record_success(request.request_class.name, event.duration, request.cost)
            self.concurrency.throughput.finished += 1

    def _give_up(self, request: TrackedRequest, reason: EndReason, retry_after: int = 0) -> None:
        """End a request: rejected if it provably never ran, else failed, and cancelled."""
        request.answered = True
        if not request.may_have_run:
            self._reject(request, reason, retry_after)
            return
        self.lifecycle.fail(request, reason)
        self._cancel(request)

    def _reject(self, request: TrackedRequest, reason: EndReason, retry_after: int) -> None:
        request_class = request.request_class
        congested = reason is EndReason.DEPENDENCY
        is_beyond_quota = request.weight < request_class.priority_weight
        # Neither a congested dependency, which is everyone's, nor a full disk is a reason to invite less.
        if not (is_beyond_quota or congested or retry_after):
            self.load_reports.overloaded = True
        # Each rejection costs a reading elsewhere: a client that has waited is asked not to retry. What is
        # beyond its quota here is so elsewhere too.
        waited = self.now - request.arrived_at
        no_retry = (
            self.load_reports.invited_fraction < parameters.RETRY_LOAD_SIGNAL
            or waited > parameters.NO_RETRY_WAIT_FRACTION * request_class.latency_objective
            or congested
            or is_beyond_quota
        )
        retry_after = max(self._retry_after(), min(retry_after, self.settings.max_retry_after))
        self.lifecycle.reject(request, retry_after, no_retry, reason)

    def _retry_after(self) -> int:
        """How long clients should avoid this instance: until half of the queue is worked off."""
        if self.draining:
            return self.settings.max_retry_after
        rate = self.service.rate()
        return min(self.settings.max_retry_after, int(len(self.queue) / rate / 2)) if rate else 0

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None:
            return
        if not request.may_have_run or request.state is RequestState.AWAITING_ORIGINAL:
            self.lifecycle.remove(request)
            return
        # The core is better used. But a run whose result the next attempt could replay continues, once it has
        # its call behind it (at the next call it would be broken off).
        is_keyed = request.request_class.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        has_called = request.call_attempts_left < parameters.CALL_ATTEMPTS
        continues = request.state is RequestState.RUNNING and is_keyed and has_called
        if not request.answered and not continues:
            self._cancel(request)
        request.answered = True

    def _cancel(self, request: TrackedRequest) -> None:
        if request.state is not RequestState.RUNNING:
            # Guards against capacity occupied for good: a request at a call ends there, reported or not.
            if request.state is RequestState.CALLING:
                self.dependency.in_flight.abandon(self.now)
            self.lifecycle.remove(request)
        elif self.settings.cancel_mode is not CancelMode.NONE:
            self.lifecycle.cancel(request)

    def _answer_due(self) -> None:
        """Guards against a lost request: shortly before its deadline it is answered, even if it runs."""
        until = self.now + parameters.TIMER_INTERVAL + 2 * self.settings.min_round_interval
        for request in self.requests.due(until):
            if not request.answered:
                self._give_up(request, EndReason.DEADLINE)

    def _make_calls(self) -> None:
        """Make calls, oldest first, as far as the quota allows; what can't be in time makes none."""
        for request in list(self.requests.awaiting_call.values()):
            request_class = request.request_class
            degraded = request_class.degraded_fraction
            can_return = len(self.running) + len(self.calling) < self.ceiling()
            late = self.now + self.dependency.times.mean * can_return > request.objective_at
            has_quota = self.dependency.has_capacity(len(self.calling))
            prefers_degraded = not has_quota or degraded > request_class.late_fraction  # in time beats late
            is_too_late = late and request_class.late_fraction == 0
            hopeless = is_too_late and (self.now > request.objective_at or not degraded)
            has_attempts = request.call_attempts_left > 0
            if hopeless or not (has_attempts or degraded):
                self._give_up(request, EndReason.DEPENDENCY)
            elif can_return and degraded > 0 and (not has_attempts or (late and prefers_degraded)):
                self.lifecycle.skip_call(request)
            elif has_quota and can_return:
                self.lifecycle.make_call(request, self.dependency.timeout(request, self.now))

    def _on_call_finished(self, event: events.CallFinished) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None or request.state is not RequestState.CALLING:
            return
        self.dependency.record_call(self.now, event)
        if event.outcome is Outcome.OK:
            self.lifecycle.resume(request)
            return
        if event.outcome not in UNEXECUTED_OUTCOMES:
            self.dependency.in_flight.abandon(self.now)
            if request.request_class.retry_semantics is not RetrySemantics.IDEMPOTENT:
                request.call_attempts_left = 0  # nothing proves that it never ran: no effect twice below
        self.lifecycle.await_next_call(request)

    def _set_timer(self) -> None:
        """Request a timer while something is pending, else shortly before the next deadline."""
        deadline = self.requests.next_deadline()
        at = self.now + parameters.TIMER_INTERVAL
        if not self._has_pending_work():
            if deadline is None:
                return
            at = max(at, deadline - parameters.TIMER_INTERVAL - self.settings.min_round_interval)
        # A timer that is due stays pending until it is reported; its gauges make that a little later. Where
        # events come faster than that it would be replaced each time, and no timer ever count.
        is_lost = self.now - self.timer_at > parameters.TIMER_LOST_AFTER
        if not self.timer_pending or at < self.timer_at or is_lost:
            self.timer_at = at
            self.timer_pending = True
            self.lifecycle.emit(actions.SetTimer(at))

    def _has_pending_work(self) -> bool:
        return bool(
            self.queue
            or self.requests.awaiting_call
            or self.load_reports.needs_timer()
            or self.health.needs_timer()
            or self.idle_connections.doublings > 0
        )

    def _on_timer(self, event: events.TimerFired) -> None:
        if self.now < self.timer_at:
            return  # set for what is over by now; a later one is to come
        self.timer_pending = False
        self.lifecycle.emit(self.unaccounted.on_timer(event, len(self.running)))
        self.concurrency.on_timer(self.now, event, len(self.running), len(self.queue))
        is_busy = (event.cpu_busy or 0.0) >= parameters.BUSY_CORES_FRACTION
        cores_full = is_busy or event.runnable is None or event.runnable >= self.settings.cores
        self.lifecycle.emit(self.idle_connections.on_timer(is_busy))
        self.lifecycle.emit(self.health.on_timer(self.draining))
        self.lifecycle.emit(self.load_reports.on_timer(cores_full, self.draining))

    def _on_drain_started(self, event: events.DrainStarted) -> None:
        """Guards the graceful shutdown: nobody new is invited, and all is answered before the stop."""
        if not self.draining:
            self.draining = True
            self.grace_end = self.now + self.settings.drain_grace
            self.lifecycle.emit(self.health.start_drain())
        self.lifecycle.limit_deadlines(self.now + event.time_left)
        self.lifecycle.emit(self.load_reports.report(self.draining))
