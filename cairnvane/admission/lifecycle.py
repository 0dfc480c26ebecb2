"""State transitions of requests: each updates the tables and records its action, without decisions."""

from __future__ import annotations

from ..contract import actions
from ..contract.events import Arrival, CallRequested, KeysRestored, RunAdopted
from ..contract.settings import Settings
from . import parameters
from .estimators import FirstAttemptAge
from .requests import IdempotencyKeys, RequestState, RequestTable, TrackedRequest


class RequestLifecycle:
    """Applies decisions to the tables of requests, and records the actions for the host."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.now = now
        self.latest_deadline = parameters.NEVER
        self.table = RequestTable(settings.running_memory_factor)
        self.keys = IdempotencyKeys()
        self.calling_classes: set[str] = set()  # classes with at least one call so far
        self.actions: list[actions.Action] = []
        self._classes = settings.classes
        self._first_attempts = FirstAttemptAge()

    def begin_batch(self, now: int) -> None:
        """Start a new list of actions and remove expired keys."""
        self.now = now
        self.actions = []
        self.keys.expire(now)

    def emit(self, action: actions.Action | None) -> None:
        """Record an action; None is ignored."""
        if action is not None:
            self.actions.append(action)

    def track(self, event: Arrival) -> TrackedRequest:
        """Track a request that arrived; it has no state yet.

        The latency objective counts from the first attempt, so that no work is spent on a client whose first
        attempt was long ago.
        """
        request_class = self._classes[event.class_index]
        arrived_at = self.now - event.queue_delay
        deadline = max(self.now, arrived_at + request_class.client_timeout)
        if event.time_left is not None:
            deadline = self.now + event.time_left
        deadline = min(deadline, self.latest_deadline)
        age = self._first_attempts.estimate(event, request_class)
        objective = request_class.latency_objective + int(
            request_class.objective_per_cost * (event.cost or 0)
        )
        request = TrackedRequest(
            id=event.request_id,
            request_class=request_class,
            arrived_at=arrived_at,
            deadline=deadline,
            late_after=min(deadline, arrived_at - age + objective),
            weight=request_class.priority_weight,
            memory=event.memory,
            age=age,
            tenant=event.tenant,
            cost=event.cost,
        )
        self.table.add(request)
        return request

    def adopt(self, event: RunAdopted) -> None:
        """Track a run of an earlier incarnation, to count it as load and cancel it at its deadline."""
        request_class = self._classes[event.class_index]
        deadline = min(self.now + event.time_left, self.latest_deadline)
        request = TrackedRequest(
            id=event.request_id,
            request_class=request_class,
            arrived_at=self.now,
            deadline=deadline,
            late_after=deadline,
            weight=request_class.priority_weight,
            memory=event.memory,
            may_have_run=True,
        )
        self.table.add(request)
        self.keys.remember(request.id, self.now + event.lifetime)
        self.table.move(request, RequestState.RUNNING)

    def restore_keys(self, event: KeysRestored) -> None:
        """Remember idempotency keys of an earlier incarnation."""
        self.keys.restore(event.count, self.now + event.lifetime)

    def limit_deadlines(self, latest: int) -> None:
        """Limit the deadlines of all present and future requests to `latest`."""
        self.latest_deadline = latest
        self.table.limit_deadlines(latest)

    def await_call(self, event: CallRequested) -> None:
        """Move a running request to the wait for its call; one that was already answered ends here."""
        request = self.table.by_id.get(event.request_id)
        if request is None or request.state is not RequestState.RUNNING:
            return
        request.call_attempts_left = parameters.CALL_ATTEMPTS
        self.calling_classes.add(request.request_class.name)
        if request.answered:
            self.remove(request)
        else:
            self.table.move(request, RequestState.AWAITING_CALL)

    def enqueue(self, request: TrackedRequest) -> None:
        """Add the request to the queue."""
        self.table.move(request, RequestState.QUEUED)

    def await_original(self, request: TrackedRequest) -> None:
        """Make the request, a duplicate, wait for the result of its original."""
        request.may_have_run = True
        self.table.move(request, RequestState.AWAITING_ORIGINAL)

    def replay_result(self, request: TrackedRequest) -> None:
        """Answer the request with the result of its original."""
        self.actions.append(actions.ReplayResult(request.id))

    def remember_key(self, request: TrackedRequest, lifetime: int) -> None:
        """Remember the request's idempotency key."""
        self.keys.remember(request.id, self.now + lifetime)
        self.actions.append(actions.RememberKey(request.id, lifetime))

    def start(self, request: TrackedRequest) -> None:
        """Start a queued request."""
        self.table.move(request, RequestState.RUNNING)
        request.may_have_run = True
        self.actions.append(actions.StartRun(request.id))

    def make_call(self, request: TrackedRequest, timeout: int) -> None:
        """Make the call that the request waits for."""
        self.table.move(request, RequestState.CALLING)
        request.call_attempts_left -= 1
        self.actions.append(actions.MakeCall(request.id, timeout))

    def skip_call(self, request: TrackedRequest) -> None:
        """Continue the request without its call."""
        self.table.move(request, RequestState.RUNNING)
        self.actions.append(actions.SkipCall(request.id))

    def await_next_call(self, request: TrackedRequest) -> None:
        """Make the request wait for another attempt of its failed call."""
        self.table.move(request, RequestState.AWAITING_CALL)

    def resume(self, request: TrackedRequest) -> None:
        """Continue the request after its call."""
        self.table.move(request, RequestState.RUNNING)

    def reject(
        self, request: TrackedRequest, retry_after: int, no_retry: bool, reason: actions.EndReason
    ) -> None:
        """Reject a request that never ran, and remove it."""
        self.actions.append(actions.Reject(request.id, retry_after, no_retry, reason))
        self.remove(request)

    def fail(self, request: TrackedRequest, reason: actions.EndReason) -> None:
        """Answer with an error; the request keeps its state."""
        self.actions.append(actions.Fail(request.id, reason))

    def cancel(self, request: TrackedRequest) -> None:
        """Cancel a running request; it keeps its state until its run has ended."""
        self.actions.append(actions.Cancel(request.id))

    def remove(self, request: TrackedRequest) -> None:
        """Remove a request that has ended. If it never ran, its key is forgotten."""
        self.table.remove(request)
        if not request.may_have_run and self.keys.forget(request.id):
            self.actions.append(actions.ForgetKey(request.id))
