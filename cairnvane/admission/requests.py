"""The controller's tables of requests and idempotency keys. Bookkeeping only, without decisions."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ..contract.settings import RequestClass
from . import parameters


class RequestState(Enum):
    """The state of a request. Only QUEUED counts as queue length, only RUNNING as load on the cores."""

    QUEUED = 0
    AWAITING_ORIGINAL = 1  # a duplicate that waits for the result of its original
    RUNNING = 2
    AWAITING_CALL = 3  # no longer occupies a core; its call is not made yet
    CALLING = 4


@dataclass(slots=True)
class TrackedRequest:
    """A request in flight."""

    id: int
    request_class: RequestClass
    arrived_at: int  # when it reached the machine
    deadline: int
    late_after: int  # an answer after this misses the objective or the deadline
    weight: float  # of its class, reduced if its tenant is over its quota
    memory: float  # kilobytes while queued
    age: int = 0  # estimated time from the first attempt to the arrival of this one
    tenant: int | None = None  # whose quota it uses; None if it is over the quota
    cost: int | None = None  # work as estimated by the client
    state: RequestState | None = None
    may_have_run: bool = False  # if so, it must be neither rejected nor run again
    answered: bool = False
    call_attempts_left: int = parameters.CALL_ATTEMPTS  # for its next call


class RequestTable:
    """The requests in flight by id and by state, with their deadlines and memory use."""

    def __init__(self, running_memory_factor: float) -> None:
        self.by_id: dict[int, TrackedRequest] = {}
        self.by_state: dict[RequestState, dict[int, TrackedRequest]] = {state: {} for state in RequestState}
        self.queue = self.by_state[RequestState.QUEUED]  # this and the following: oldest first
        self.running = self.by_state[RequestState.RUNNING]
        self.awaiting_call = self.by_state[RequestState.AWAITING_CALL]
        self.calling = self.by_state[RequestState.CALLING]
        self.deadlines: list[tuple[int, int]] = []  # a heap of deadline and id; may include ended requests
        self.memory = 0.0
        self._extra_run_memory_factor = running_memory_factor - 1
        self._memory_factors = dict.fromkeys(RequestState, running_memory_factor)
        self._memory_factors[RequestState.QUEUED] = 1.0
        self._memory_factors[RequestState.AWAITING_ORIGINAL] = 1.0

    def add(self, request: TrackedRequest) -> None:
        """Track a request; `move` sets its first state."""
        self.by_id[request.id] = request
        heapq.heappush(self.deadlines, (request.deadline, request.id))

    def move(self, request: TrackedRequest, state: RequestState) -> None:
        """Change a request's state and account for its memory."""
        self._leave_state(request)
        self.memory += request.memory * self._memory_factors[state]
        request.state = state
        self.by_state[state][request.id] = request

    def remove(self, request: TrackedRequest) -> None:
        """Remove a request that has ended."""
        self._leave_state(request)
        request.state = None
        del self.by_id[request.id]

    def _leave_state(self, request: TrackedRequest) -> None:
        if request.state is not None:
            self.memory -= request.memory * self._memory_factors[request.state]
            del self.by_state[request.state][request.id]

    def extra_run_memory(self, request: TrackedRequest) -> float:
        """The additional memory that a queued request needs for its run."""
        return request.memory * self._extra_run_memory_factor

    def limit_deadlines(self, latest: int) -> None:
        """Set all deadlines after `latest` to `latest`."""
        for request in self.by_id.values():
            request.deadline = min(request.deadline, latest)
            heapq.heappush(self.deadlines, (request.deadline, request.id))

    def pop_due(self, until: int) -> Iterator[TrackedRequest]:
        """Remove the deadlines up to `until` and yield their requests that are still in flight."""
        while self.deadlines and self.deadlines[0][0] <= until:
            request = self.by_id.get(heapq.heappop(self.deadlines)[1])
            if request is not None:
                yield request

    def next_deadline(self) -> int | None:
        """The earliest deadline of a request in flight."""
        while self.deadlines and self.deadlines[0][1] not in self.by_id:
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None


class IdempotencyKeys:
    """Remembered idempotency keys: ids of this incarnation's requests, and a count of restored keys."""

    def __init__(self) -> None:
        self._request_ids: set[int] = set()
        self._expiries: list[tuple[int, int]] = []  # a heap of expiry time and request id
        self._restored = 0
        self._restored_expiries: list[tuple[int, int]] = []  # a heap of expiry time and count

    def __len__(self) -> int:
        return len(self._request_ids) + self._restored

    def remember(self, request_id: int, until: int) -> None:
        """Add the key of a request."""
        self._request_ids.add(request_id)
        heapq.heappush(self._expiries, (until, request_id))

    def restore(self, count: int, until: int) -> None:
        """Add keys of an earlier incarnation."""
        self._restored += count
        heapq.heappush(self._restored_expiries, (until, count))

    def forget(self, request_id: int) -> bool:
        """Remove the key of a request; False if it is not remembered."""
        if request_id not in self._request_ids:
            return False
        self._request_ids.discard(request_id)
        return True

    def expire(self, now: int) -> None:
        """Remove the expired keys."""
        while self._expiries and self._expiries[0][0] <= now:
            self._request_ids.discard(heapq.heappop(self._expiries)[1])
        while self._restored_expiries and self._restored_expiries[0][0] <= now:
            self._restored -= heapq.heappop(self._restored_expiries)[1]
