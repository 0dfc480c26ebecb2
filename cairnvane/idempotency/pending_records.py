"""Requests that wait for the store: keys without a recorded end, runs to start, results to be answered.

Used in the server thread and, where a method says so, in the store's writer thread. Times are microseconds
of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..exchange import Request
from ..server.in_flight import InFlightRequest


@dataclass(slots=True)
class OpenKey:
    """A key whose request has no end that was handed to the store."""

    key: bytes
    expires_at: int
    start_requested: bool = False  # its start record was handed to the store
    earlier_call_notice: int = 0  # notice whose call an earlier incarnation may have made; 0: none


@dataclass(slots=True)
class _PendingRecord:
    """A request that waits for a record, and until when it may wait."""

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

    def add(self, in_flight: InFlightRequest, deadline: int) -> None:
        """Add a run whose start record was handed to the store."""
        self._awaiting_record[in_flight.request_id] = _PendingRecord(in_flight, deadline)

    def add_claimed_elsewhere(self, in_flight: InFlightRequest) -> None:
        """Add a run that another incarnation has claimed."""
        self._claimed_elsewhere[in_flight.request_id] = in_flight

    def is_claimed_elsewhere(self, in_flight: InFlightRequest) -> bool:
        """Whether another incarnation has claimed the run, and its end is still awaited."""
        return in_flight.request_id in self._claimed_elsewhere

    def withdraw(self, in_flight: InFlightRequest) -> bool:
        """Remove a run; return whether it was there.

        May be called from any thread. Of several concurrent callers exactly one gets True, and only that one
        starts or rejects the run.
        """
        awaited_record = self._awaiting_record.pop(in_flight.request_id, None) is not None
        was_claimed_elsewhere = self._claimed_elsewhere.pop(in_flight.request_id, None) is not None
        return awaited_record or was_claimed_elsewhere

    def remove_awaiting_record(self, in_flight: InFlightRequest) -> None:
        """Remove a run whose start record is no longer awaited."""
        self._awaiting_record.pop(in_flight.request_id, None)

    def remove_claimed_elsewhere(self, in_flight: InFlightRequest) -> None:
        """Remove a run whose end in another incarnation is no longer awaited."""
        self._claimed_elsewhere.pop(in_flight.request_id, None)

    def overdue(self, now: int) -> list[InFlightRequest]:
        """Return the runs whose start record is overdue; they stay in the table until they are withdrawn."""
        # Iterates over a copy, since the writer thread may remove entries at the same time.
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
        """Add a request whose end record is about to be handed to the store."""
        self._by_request[in_flight.request_id] = _PendingRecord(in_flight, deadline)

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request whose end record is written."""
        self._by_request.pop(in_flight.request_id, None)

    def pop_overdue(self, now: int, drain_deadline: int) -> list[Request]:
        """Remove and return the requests whose end record is overdue."""
        overdue_ids = [
            request_id
            for request_id, pending in self._by_request.items()
            if min(pending.deadline, drain_deadline) <= now
        ]
        return [self._by_request.pop(request_id).in_flight.request for request_id in overdue_ids]
