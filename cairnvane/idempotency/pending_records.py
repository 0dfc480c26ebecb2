"""What the server waits for while the store writes: keys without an end, runs to start, results to answer.

Used by the server thread and, where a method says so, by the store's writer thread. Times are microseconds
of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..exchange import Request
from ..server.in_flight import InFlightRequest


@dataclass(slots=True)
class OpenKey:
    """A key of which no end was handed to the store yet."""

    key: bytes
    expires_at: int
    start_requested: bool = False  # its start record was handed to the store
    earlier_call_notice: int = 0  # the notice whose call an earlier incarnation may have made; 0: none


@dataclass(slots=True)
class _PendingRecord:
    """A request that waits for a record, and how long it may wait."""

    in_flight: InFlightRequest
    deadline: int


class PendingStarts:
    """Runs that start once their start record is written, or that another incarnation has claimed first."""

    def __init__(self) -> None:
        self._awaiting_record: dict[int, _PendingRecord] = {}
        self._claimed_elsewhere: dict[int, InFlightRequest] = {}

    def __bool__(self) -> bool:
        """Whether a start record is awaited."""
        return bool(self._awaiting_record)

    def __contains__(self, in_flight: InFlightRequest) -> bool:
        """Whether the worker pool has not been told to start this run."""
        request_id = in_flight.request_id
        return request_id in self._awaiting_record or request_id in self._claimed_elsewhere

    def add(self, in_flight: InFlightRequest, deadline: int) -> None:
        """Its start record was handed to the store."""
        self._awaiting_record[in_flight.request_id] = _PendingRecord(in_flight, deadline)

    def add_claimed_elsewhere(self, in_flight: InFlightRequest) -> None:
        """Another incarnation runs it."""
        self._claimed_elsewhere[in_flight.request_id] = in_flight

    def is_claimed_elsewhere(self, in_flight: InFlightRequest) -> bool:
        """Whether another incarnation runs it, and its end is still awaited."""
        return in_flight.request_id in self._claimed_elsewhere

    def withdraw(self, in_flight: InFlightRequest) -> bool:
        """True for exactly one caller, from any thread: whoever removes the entry decides what happens."""
        awaited_record = self._awaiting_record.pop(in_flight.request_id, None) is not None
        awaited_other = self._claimed_elsewhere.pop(in_flight.request_id, None) is not None
        return awaited_record or awaited_other

    def record_settled(self, in_flight: InFlightRequest) -> None:
        """Its start record is no longer awaited."""
        self._awaiting_record.pop(in_flight.request_id, None)

    def end_settled(self, in_flight: InFlightRequest) -> None:
        """Its end in another incarnation is no longer awaited."""
        self._claimed_elsewhere.pop(in_flight.request_id, None)

    def overdue(self, now: int) -> list[InFlightRequest]:
        """Runs whose start record has not been written in time; they stay until they are withdrawn."""
        # A copy: the writer thread removes entries meanwhile.
        return [
            pending.in_flight for pending in list(self._awaiting_record.values()) if pending.deadline <= now
        ]


class PendingEnds:
    """Requests that are answered once the record with their result is written. Server thread only."""

    def __init__(self) -> None:
        self._by_request: dict[int, _PendingRecord] = {}

    def __bool__(self) -> bool:
        """Whether an end record is awaited."""
        return bool(self._by_request)

    def add(self, in_flight: InFlightRequest, deadline: int) -> None:
        """Its end record is about to be handed to the store."""
        self._by_request[in_flight.request_id] = _PendingRecord(in_flight, deadline)

    def settled(self, in_flight: InFlightRequest) -> None:
        """Its end record is written."""
        self._by_request.pop(in_flight.request_id, None)

    def take_overdue(self, now: int, drain_deadline: int) -> list[Request]:
        """Remove and return the requests whose answer has waited long enough for the record."""
        overdue_ids = [
            request_id
            for request_id, pending in self._by_request.items()
            if min(pending.deadline, drain_deadline) <= now
        ]
        return [self._by_request.pop(request_id).in_flight.request for request_id in overdue_ids]
