"""Turns events into actions; `cairnvane.contract` defines both.

The main path is AIMD admission by queue length (`Controller._admit`), combined with a concurrency limit. All
other code enforces four rules: every request is answered, no effect happens twice, shutdown is graceful, and
the service does not collapse under overload. `docs/design.md` describes the design.
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
    """Admission and scheduling decisions for one incarnation of a service instance."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.now = now
        self.timer_due_at = now
        self.timer_pending = False  # a timer was requested for `timer_due_at`
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
        self.drain_grace_end = parameters.NEVER  # requests that arrive later must not run
        self._handlers: dict[type[events.Event], Callable[[Any], None]] = {
            events.Arrival: self._on_arrival,
            events.RunFinished: self._on_run_finished,
            events.ClientDisconnected: self._on_client_disconnected,
            events.TimerFired: self._on_timer,
            events.CallRequested: self.lifecycle.await_call,
            events.CallFinished: self._on_call_finished,
            events.ConcurrentCalls: self.dependency.record_concurrent_calls,
            events.DrainStarted: self._on_drain_started,
            events.KeysRestored: self.lifecycle.restore_keys,
            events.RunAdopted: self.lifecycle.adopt,
        }

    def handle(self, now: int, batch: Sequence[events.Event]) -> list[actions.Action]:
        """Process a batch of events that happened at `now` and return the resulting actions."""
        elapsed = max(0, now - self.now)
        self.now += elapsed
        self.service.advance_time(elapsed, len(self.running))
        self.dependency.advance_time(self.now, elapsed, len(self.calling))
        self.lifecycle.begin_batch(self.now)
        for event in batch:
            self._handlers[type(event)](event)
        self._end_requests_near_deadline()
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
        # A duplicate never runs: it gets the result of its original, whether queued, running or finished.
        self.lifecycle.await_original(request)
        if self._has_memory(0):
            self.lifecycle.replay_result(request)
        else:
            self._reject_or_fail(request, EndReason.ORIGINAL_MEMORY)

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
            # Runs and request reading share the cores: too many runs delay the reading of every request.
            self.load_reports.reading_delayed = True
            self.concurrency.limit = self.settings.cores

    def _enqueue_or_reject(self, request: TrackedRequest, storage_delay: int) -> None:
        self.lifecycle.enqueue(request)
        request_class = request.request_class
        is_keyed = request_class.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        reason = self._rejection_reason(request, is_keyed, storage_delay)
        if reason is not None:
            self._reject_or_fail(request, reason, retry_after=storage_delay)
            return
        self.tenants.consume(request.tenant, 1, self.now)
        if is_keyed:
            # Without a remembered key, a duplicate that arrives during the wait would not be recognised.
            lifetime = request_class.retry_window + self.settings.min_round_interval
            self.lifecycle.remember_key(request, lifetime)

    def _rejection_reason(
        self, request: TrackedRequest, is_keyed: bool, storage_delay: int
    ) -> EndReason | None:
        """The reason to reject a request on arrival, or None if it may be queued."""
        # A keyed run must not start until its key is stored, or it might run again after a restart.
        if storage_delay:
            return EndReason.STORAGE
        # Requests after the drain grace must not run, and a run that begins near its deadline is wasted.
        if request.arrived_at > self.drain_grace_end:
            return EndReason.DRAINING
        if request.deadline <= self.now + parameters.TIMER_INTERVAL_US:
            return EndReason.DEADLINE
        # Queues a request only if memory suffices for its run and its key on top of all other requests.
        key_memory = self.settings.key_memory if is_keyed else 0.0
        if not self._has_memory(self.requests.extra_run_memory(request) + key_memory):
            return EndReason.MEMORY
        if not self._admit(request):
            return EndReason.ADMISSION
        return EndReason.LATE if self._would_earn_nothing(request) else None

    def _admit(self, request: TrackedRequest) -> bool:
        """Update the admission probability by the queue length, then decide with it (the paper's rule)."""
        if self.service.is_known(request.request_class.name):
            # The run time and the time that the request waited unread reduce the time left for queueing.
            late_after = request.late_after + request.age
            time_to_wait = max(0.0, late_after - self.now - self.service.run_time(request.cost))
            others_queued = len(self.queue) - 1
            self.admission.update(others_queued, time_to_wait * self.service.rate())
        return self.admission.admits(request.weight)

    def _has_memory(self, additional: float) -> bool:
        used = self.requests.memory + len(self.lifecycle.keys) * self.settings.key_memory
        return used + additional <= parameters.MEMORY_SAFETY * self.settings.memory

    def ceiling(self) -> float:
        """The maximum number of runs: what the cores can sustain, less the unaccounted runs."""
        return self.concurrency.ceiling(self.now) - self.unaccounted.runs

    def _start_runs(self) -> None:
        """Start queued requests within the limits: on-time before late, then by weight, then oldest first."""
        run_limit = min(self.concurrency.limit, self.ceiling() - len(self.calling))
        scanned_recently = self.now - self.queue_scanned_at < parameters.QUEUE_SCAN_INTERVAL_US
        if len(self.running) >= run_limit and scanned_recently:
            return
        self.queue_scanned_at = self.now
        calls = len(self.requests.awaiting_call) + len(self.calling)
        at_call_limit = calls >= parameters.CALLS_PER_CORE * self.settings.cores
        calls += sum(r.request_class.name in self.lifecycle.calling_classes for r in self.running.values())
        expected_wait = calls * self.dependency.times.mean / max(1.0, self.dependency.limit)
        is_late = {request.id: self._lateness(request) > 0 for request in self.queue.values()}
        for request in sorted(self.queue.values(), key=lambda r: (is_late[r.id], -r.weight)):
            congested = self._is_congested(request, at_call_limit, expected_wait)
            has_capacity = len(self.running) < run_limit and not congested
            # Late requests sort last, so waiting would not help: start it now or end it.
            if is_late[request.id] and (not has_capacity or self._would_earn_nothing(request)):
                reason = EndReason.DEPENDENCY if congested else EndReason.CAPACITY
                self._reject_or_fail(request, reason)
            elif has_capacity and self._has_memory(self.requests.extra_run_memory(request)):
                self.lifecycle.start(request)

    def _is_congested(self, request: TrackedRequest, at_call_limit: bool, expected_wait: float) -> bool:
        """Whether the request's call would wait too long; starting its run would waste a core."""
        request_class = request.request_class
        if request_class.name not in self.lifecycle.calling_classes:
            return False
        longest_wait = parameters.CALL_WAIT_FRACTION * request_class.latency_objective
        return at_call_limit or (expected_wait > longest_wait and not request_class.degraded_fraction)

    def _lateness(self, request: TrackedRequest) -> float:
        """By how much the request would miss its objective if it started now; positive if late."""
        return self.now + self.service.run_time(request.cost) - request.late_after

    def _would_earn_nothing(self, request: TrackedRequest) -> bool:
        """Whether the answer would be late and late answers earn nothing.

        With a core free only the clock decides: an estimate that rejected all requests could not improve.
        """
        limit = self.concurrency.limit if self.load_reports.target_load == 1.0 else self.settings.cores
        if request.request_class.late_fraction != 0:
            return False
        return self.now > request.late_after if len(self.running) < limit else self._lateness(request) > 0

    def _on_run_finished(self, event: events.RunFinished) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None:
            return
        if event.outcome in (Outcome.CANCELLED, Outcome.NEVER_STARTED) and not request.answered:
            # The outcome suggests that the client left, but no disconnect was reported: answer with an error.
            self.lifecycle.fail(request, EndReason.RUN_CANCELLED)
        if request.state is RequestState.RUNNING:
            self._record_run(request, event)
        elif request.state is RequestState.CALLING:
            self.dependency.in_flight.abandon(self.now)
        self.lifecycle.remove(request)

    def _record_run(self, request: TrackedRequest, event: events.RunFinished) -> None:
        if event.outcome is Outcome.NEVER_STARTED:
            request.may_have_run = False  # frees its key, so that a retry may run
        if not request.answered:
            self.health.failure_rate.record(event.outcome is Outcome.ERROR)
        if event.outcome is Outcome.OK:
            self.service.record_success(request.request_class.name, event.duration, request.cost)
            self.concurrency.throughput.finished += 1

    def _reject_or_fail(self, request: TrackedRequest, reason: EndReason, retry_after: int = 0) -> None:
        """End a request: reject it if it provably never ran, else fail and cancel it."""
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
        # Less load here would not help a congested shared dependency, a full disk or a tenant over quota.
        if not (is_beyond_quota or congested or retry_after):
            self.load_reports.overloaded = True
        # A retry costs another instance the reading of the request, so clients that have waited are asked not
        # to retry. A tenant over its quota here is over it at the other instances too.
        waited = self.now - request.arrived_at
        no_retry = (
            self.load_reports.target_load < parameters.NO_RETRY_BELOW_LOAD_SIGNAL
            or waited > parameters.NO_RETRY_WAIT_FRACTION * request_class.latency_objective
            or congested
            or is_beyond_quota
        )
        retry_after = max(self._retry_after(), min(retry_after, self.settings.max_retry_after))
        self.lifecycle.reject(request, retry_after, no_retry, reason)

    def _retry_after(self) -> int:
        """How long clients should avoid this instance: the estimated time to process half of the queue."""
        if self.draining:
            return self.settings.max_retry_after
        rate = self.service.rate()
        return int(min(self.settings.max_retry_after, len(self.queue) / rate / 2)) if rate else 0

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None:
            return
        if not request.may_have_run or request.state is RequestState.AWAITING_ORIGINAL:
            self.lifecycle.remove(request)
            return
        # Cancels the run to free its core, unless it is keyed and past its call: a retry can get its result
        # then. A run before its call could not finish, since an answered request ends at its next call.
        is_keyed = request.request_class.retry_semantics is RetrySemantics.IDEMPOTENCY_KEYED
        has_called = request.call_attempts_left < parameters.CALL_ATTEMPTS
        run_continues = request.state is RequestState.RUNNING and is_keyed and has_called
        if not request.answered and not run_continues:
            self._cancel(request)
        request.answered = True

    def _cancel(self, request: TrackedRequest) -> None:
        if request.state is not RequestState.RUNNING:
            # Does not wait for the end of the call to be reported: a lost report would leak its capacity.
            if request.state is RequestState.CALLING:
                self.dependency.in_flight.abandon(self.now)
            self.lifecycle.remove(request)
        elif self.settings.cancel_mode is not CancelMode.NONE:
            self.lifecycle.cancel(request)

    def _end_requests_near_deadline(self) -> None:
        """Answer each request shortly before its deadline, even if it is still running."""
        until = self.now + parameters.TIMER_INTERVAL_US + 2 * self.settings.min_round_interval
        for request in self.requests.pop_due(until):
            if not request.answered:
                self._reject_or_fail(request, EndReason.DEADLINE)

    def _make_calls(self) -> None:
        """Make calls, oldest first, up to the quota; skip or fail the calls that would end too late."""
        for request in list(self.requests.awaiting_call.values()):
            request_class = request.request_class
            degraded = request_class.degraded_fraction
            can_resume = len(self.running) + len(self.calling) < self.ceiling()
            is_late = self.now + self.dependency.times.mean * can_resume > request.late_after
            has_quota = self.dependency.has_capacity(len(self.calling))
            # A degraded answer on time may earn more than a complete one that is late.
            prefers_degraded = not has_quota or degraded > request_class.late_fraction
            late_is_worthless = is_late and request_class.late_fraction == 0
            earns_nothing = late_is_worthless and (self.now > request.late_after or not degraded)
            has_attempts = request.call_attempts_left > 0
            if earns_nothing or not (has_attempts or degraded):
                self._reject_or_fail(request, EndReason.DEPENDENCY)
            elif can_resume and degraded > 0 and (not has_attempts or (is_late and prefers_degraded)):
                self.lifecycle.skip_call(request)
            elif has_quota and can_resume:
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
                request.call_attempts_left = 0  # it may have run, and must not run twice
        self.lifecycle.await_next_call(request)

    def _set_timer(self) -> None:
        """Request a timer: soon if work is pending, else shortly before the next deadline."""
        deadline = self.requests.next_deadline()
        due_at = self.now + parameters.TIMER_INTERVAL_US
        if not self._has_pending_work():
            if deadline is None:
                return
            due_at = max(due_at, deadline - parameters.TIMER_INTERVAL_US - self.settings.min_round_interval)
        # A due timer stays pending until it is reported, which its gauges delay a little. If each event that
        # arrives in between replaced the timer, no timer would ever take effect.
        is_timer_lost = self.now - self.timer_due_at > parameters.TIMER_LOST_AFTER_US
        if not self.timer_pending or due_at < self.timer_due_at or is_timer_lost:
            self.timer_due_at = due_at
            self.timer_pending = True
            self.lifecycle.emit(actions.SetTimer(due_at))

    def _has_pending_work(self) -> bool:
        return bool(
            self.queue
            or self.requests.awaiting_call
            or self.load_reports.needs_timer()
            or self.health.needs_timer()
            or self.idle_connections.doublings > 0
        )

    def _on_timer(self, event: events.TimerFired) -> None:
        if self.now < self.timer_due_at:
            return  # an outdated timer; a later one is pending
        self.timer_pending = False
        self.lifecycle.emit(self.unaccounted.on_timer(event, len(self.running)))
        self.concurrency.on_timer(self.now, event, len(self.running), len(self.queue))
        is_busy = (event.cpu_busy or 0.0) >= parameters.BUSY_CORES_FRACTION
        cores_full = is_busy or event.runnable is None or event.runnable >= self.settings.cores
        self.lifecycle.emit(self.idle_connections.on_timer(is_busy))
        self.lifecycle.emit(self.health.on_timer(self.draining))
        self.lifecycle.emit(self.load_reports.on_timer(cores_full, self.draining))

    def _on_drain_started(self, event: events.DrainStarted) -> None:
        """Stop attracting clients, and answer every request before the instance stops."""
        if not self.draining:
            self.draining = True
            self.drain_grace_end = self.now + self.settings.drain_grace
            self.lifecycle.emit(self.health.start_drain())
        self.lifecycle.limit_deadlines(self.now + event.time_left)
        self.lifecycle.emit(self.load_reports.report(self.draining))
