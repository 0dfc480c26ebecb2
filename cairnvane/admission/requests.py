"""Requests and idempotency keys as the controller tracks them. Bookkeeping only: nothing is decided here."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from ..contract.settings import RequestClass
from . import parameters


class RequestState(Enum):
    """Where a request is. Only QUEUED counts as queue length, only RUNNING as load on the cores."""

    QUEUED = 0
    AWAITING_ORIGINAL = 1  # waits for the result of the request of which it is a duplicate
    RUNNING = 2
    AWAITING_CALL = 3  # left the cores, its call not made
    CALLING = 4


@dataclass(slots=True)
class TrackedRequest:
    """A request in flight."""

    id: int
    request_class: RequestClass
    arrived_at: int  # at the machine
    deadline: int
    objective_at: int  # an answer after this is late, or nobody waits for it
    weight: float  # its class's, less if its tenant is beyond its quota
    memory: float  # while queued
    age: int = 0  # of its first attempt when this one arrived, as far as it shows
    tenant: int | None = None  # whose quota it takes from
    cost: int | None = None  # work by the client's hint
    state: RequestState | None = None
    may_have_run: bool = False  # it must be neither rejected nor run again
    answered: bool = False
    call_attempts_left: int = parameters.CALL_ATTEMPTS  # for the call that it needs


class RequestTable:
    """The requests in flight by number and by state, their deadlines and their memory."""

    def __init__(self, running_memory_factor: float) -> None:
        self.by_id: dict[int, TrackedRequest] = {}
        self.by_state: dict[RequestState, dict[int, TrackedRequest]] = {state: {} for state in RequestState}
        self.queue = self.by_state[RequestState.QUEUED]  # this and the others: oldest first
        self.running = self.by_state[RequestState.RUNNING]
        self.awaiting_call = self.by_state[RequestState.AWAITING_CALL]
        self.calling = self.by_state[RequestState.CALLING]
        self.deadlines: list[tuple[int, int]] = []  # a heap of deadline and number; may name ended requests
        self.memory = 0.0
        self._extra_factor = running_memory_factor - 1
        self._memory_factors = dict.fromkeys(RequestState, running_memory_factor)
        self._memory_factors[RequestState.QUEUED] = 1.0
        self._memory_factors[RequestState.AWAITING_ORIGINAL] = 1.0

    def add(self, request: TrackedRequest) -> None:
        """Track a request that arrived; `move` gives it its state."""
        self.by_id[request.id] = request
        heapq.heappush(self.deadlines, (request.deadline, request.id))

    def move(self, request: TrackedRequest, state: RequestState) -> None:
        """Account for a request's new state."""
        self._leave_state(request)
        self.memory += request.memory * self._memory_factors[state]
        request.state = state
        self.by_state[state][request.id] = request

    def remove(self, request: TrackedRequest) -> None:
        """Account for a request that has left the instance."""
        self._leave_state(request)
        request.state = None
        del self.by_id[request.id]

    def _leave_state(self, request: TrackedRequest) -> None:
        if request.state is not None:
            self.memory -= request.memory * self._memory_factors[request.state]
            del self.by_state[request.state][request.id]

    def extra_run_memory(self, request: TrackedRequest) -> float:
        """How much more memory a queued request needs to run."""
        return request.memory * self._extra_factor

    def limit_deadlines(self, latest: int) -> None:
        """Bring forward all deadlines that are after `latest`."""
        for request in self.by_id.values():
            request.deadline = min(request.deadline, latest)
            heapq.heappush(self.deadlines, (request.deadline, request.id))

    def due(self, until: int) -> Iterator[TrackedRequest]:
        """Take out the deadlines up to `until`: their requests, if these are still in flight."""
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
    """The requests whose idempotency keys are remembered, and how many keys of earlier incarnations are."""

    def __init__(self) -> None:
        self._request_ids: set[int] = set()
        self._expiries: list[tuple[int, int]] = []  # a heap of time and request
        self._restored = 0
        self._restored_expiries: list[tuple[int, int]] = []  # a heap of time and count

    def __len__(self) -> int:
        return len(self._request_ids) + self._restored

    def remember(self, request_id: int, until: int) -> None:
        """Enter the key of a request."""
        self._request_ids.add(request_id)
        heapq.heappush(self._expiries, (until, request_id))

    def restore(self, count: int, until: int) -> None:
        """Enter keys of an earlier incarnation."""
        self._restored += count
        heapq.heappush(self._restored_expiries, (until, count))

    def forget(self, request_id: int) -> bool:
        """Remove the key of a request; false if there is none."""
        if request_id not in self._request_ids:
            return False
        self._request_ids.discard(request_id)
        return True

    def expire(self, now: int) -> None:
        """Remove the keys whose time is over."""
        while self._expiries and self._expiries[0][0] <= now:
            self._request_ids.discard(heapq.heappop(self._expiries)[1])
        while self._restored_expiries and self._restored_expiries[0][0] <= now:
            self._restored -= heapq.heappop(self._restored_expiries)[1]
