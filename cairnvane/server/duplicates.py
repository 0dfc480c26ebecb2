"""Duplicates of keyed requests: finds their original request, and answers them with its result.

The controller decides whether a duplicate is admitted and when a key is remembered; this module carries that
out. All methods are called by the event loop's thread.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from .. import clock
from ..contract.events import ClientDisconnected, Event, Outcome, RunFinished
from ..exchange import Request, ResponseStatus
from ..idempotency.key_table import KeyTable
from ..idempotency.store import KeyConflictError, StoredEntry
from .in_flight import InFlightRequest, InFlightTable
from .responder import Responder

if TYPE_CHECKING:  # imported only if the operator enables durable keys
    from ..idempotency.durability import DurableKeys

# Keys are kept this much longer than the controller asks for, since clients' deadlines have 50 ms of slack.
KEY_SLACK_US = 100_000
# The request id of an original that only the durable store still has. Ids of requests in flight start at 1.
STORED_ORIGINAL = 0


class OriginalRequest(NamedTuple):
    """The original request of an attempt; both fields are None if the attempt is the first one."""

    request_id: int | None  # STORED_ORIGINAL if only the durable store still has it
    stored_entry: StoredEntry | None


class Duplicates:
    """The idempotency keys of this process, and the duplicates that wait for their original requests.

    `notify_next` queues an event that was caused by an action, for the controller to handle after the current
    events. `retry_arrival` has a request handled as if it had just arrived.
    """

    def __init__(
        self,
        requests: InFlightTable,
        keys: KeyTable,
        durable_keys: DurableKeys | None,
        responder: Responder,
        *,
        notify_next: Callable[[Event], None],
        retry_arrival: Callable[[Request], None],
    ) -> None:
        self._requests = requests
        self._keys = keys
        self._durable_keys = durable_keys
        self._responder = responder
        self._notify_next = notify_next
        self._retry_arrival = retry_arrival

    def find_original(self, request: Request, key: str, fingerprint: bytes) -> OriginalRequest:
        """Find the original request of this attempt.

        Raises `KeyConflictError` if the key belongs to another request, and a `ValueError` if the durable
        store can't read the key.
        """
        request_id = self._keys.owner(key, request.arrived_at)
        if request_id is not None:
            original = self._requests.find(request_id)
            if original is None or not original.is_retry_of(request, fingerprint):
                raise KeyConflictError(f"key {key}: in use by request number {request_id}")
            return OriginalRequest(request_id, None)
        if self._durable_keys is None:
            return OriginalRequest(None, None)
        stored_entry = self._durable_keys.look_up(request, fingerprint)
        return OriginalRequest(STORED_ORIGINAL if stored_entry is not None else None, stored_entry)

    # --- the key table

    def remember_key(self, in_flight: InFlightRequest, lifetime: int) -> None:
        """Recognise duplicates of this request for the next `lifetime` microseconds."""
        key = in_flight.request.idempotency_key
        if key is None:
            return
        expires_at = clock.now() + lifetime + KEY_SLACK_US + in_flight.request.clock_skew
        previous_id = self._keys.insert(key, in_flight.request_id, expires_at)
        if self._durable_keys is not None:
            self._durable_keys.key_remembered(in_flight, expires_at)
        if previous_id is None:
            return
        previous = self._requests.find(previous_id)
        if previous is not None:
            self.remove_if_complete(previous)

    def adopt_key(self, in_flight: InFlightRequest, key: str, expires_at: int) -> None:
        """Recognise duplicates of a run of an earlier incarnation."""
        self._keys.insert(key, in_flight.request_id, expires_at)

    def forget_key(self, in_flight: InFlightRequest) -> None:
        """Free the key of a request that never ran."""
        if self._durable_keys is not None:
            self._durable_keys.key_forgotten(in_flight)
        if self._keys.remove(in_flight.request.idempotency_key, in_flight.request_id):
            self.remove_if_complete(in_flight)

    def release(self, in_flight: InFlightRequest) -> None:
        """Leave the duplicates of this request to the durable store, and drop the key from memory."""
        self._keys.remove(in_flight.request.idempotency_key, in_flight.request_id)
        self.remove_if_complete(in_flight)

    def expire_keys(self) -> None:
        """Remove expired keys, and the requests that were kept only for their duplicates."""
        for request_id in self._keys.expire(clock.now()):
            original = self._requests.find(request_id)
            if original is not None:
                self.remove_if_complete(original)

    def remove_if_complete(self, in_flight: InFlightRequest) -> None:
        """Remove a request that is answered, is not running, and whose result no duplicate can need."""
        if in_flight.is_running or in_flight.request.is_open:
            return
        if in_flight.is_queued:
            self.complete_waiting(in_flight, Outcome.NEVER_STARTED)
        if not self._keys.owns(in_flight.request.idempotency_key, in_flight.request_id):
            self._requests.remove(in_flight)

    # --- waiting duplicates

    def replay(self, duplicate: InFlightRequest) -> None:
        """Answer a duplicate with the result of its original request, once that is available."""
        if duplicate.stored_entry is not None and self._durable_keys is not None:
            self._durable_keys.replay(
                duplicate, duplicate.stored_entry, lambda result: self._respond(duplicate, result)
            )
            return
        original = self._requests.find(duplicate.duplicate_of or STORED_ORIGINAL)
        if original is not None and original.outcome is None:
            original.waiting_duplicates.append(duplicate.request_id)
        else:
            self._replay_from(duplicate, original)

    def complete_waiting(self, original: InFlightRequest, outcome: Outcome) -> None:
        """Answer the duplicates of a request that has ended, or readmit them if it never started."""
        original.outcome = outcome
        original.is_queued = False
        waiting = original.waiting_duplicates
        original.waiting_duplicates = []
        for request_id in waiting:
            duplicate = self._requests.find(request_id)
            if duplicate is None:
                continue
            if outcome is Outcome.NEVER_STARTED:
                self._readmit(duplicate)
            else:
                self._replay_from(duplicate, original)

    def _readmit(self, duplicate: InFlightRequest) -> None:
        """Handle a duplicate whose original never ran as a new arrival.

        By then the controller has forgotten the key, so the duplicate becomes the first attempt.
        """
        self._notify_next(ClientDisconnected(duplicate.request_id))
        self._requests.remove(duplicate)
        self._retry_arrival(duplicate.request)

    def _replay_from(self, duplicate: InFlightRequest, original: InFlightRequest | None) -> None:
        has_result = original is not None and original.outcome is Outcome.OK
        self._respond(duplicate, original.result if original is not None and has_result else None)

    def _respond(self, duplicate: InFlightRequest, result: bytes | None) -> None:
        """Answer a duplicate with this result; if the result is None, the duplicate fails."""
        if result is None:
            self._responder.respond(duplicate.request, ResponseStatus.FAILED)
            outcome = Outcome.ERROR
        else:
            self._responder.respond(duplicate.request, ResponseStatus.SERVED, result)
            outcome = Outcome.OK
        duplicate.is_queued = False
        self._notify_next(RunFinished(duplicate.request_id, outcome))
        self.remove_if_complete(duplicate)
