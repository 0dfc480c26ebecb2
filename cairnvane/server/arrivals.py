"""Arrivals: checks a request that was read, finds its original request, and reports it to the controller."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import clock
from ..contract.events import Arrival, Event
from ..contract.settings import RetrySemantics, Settings
from ..exchange import Request
from .duplicates import Duplicates, OriginalRequest
from .in_flight import InFlightRequest, InFlightTable
from .responder import Responder

if TYPE_CHECKING:  # only where an operator turned it on
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)

NO_ORIGINAL = OriginalRequest(None, None)


class Arrivals:
    """Takes requests in; used by the event loop's thread alone.

    `notify` takes the event for the controller. `handle_events` has the controller handle all events so far.
    """

    def __init__(
        self,
        settings: Settings,
        requests: InFlightTable,
        duplicates: Duplicates,
        responder: Responder,
        durable_keys: DurableKeys | None,
        *,
        notify: Callable[[Event], None],
        handle_events: Callable[[], None],
    ) -> None:
        self._classes = settings.classes
        self._class_indices = {cls.name: index for index, cls in enumerate(settings.classes)}
        self._requests = requests
        self._duplicates = duplicates
        self._responder = responder
        self._durable_keys = durable_keys
        self._notify = notify
        self._handle_events = handle_events

    def arrive(self, request: Request) -> None:
        """Take a request in, unless it is invalid, its client has disconnected, or it has to wait."""
        class_index = self._class_indices.get(request.class_name)
        if class_index is None:
            self._reject_invalid(request, "no such class")
            return
        if self._requests.find_uid(request.uid) is not None:
            self._reject_invalid(request, "its uid is that of another request in flight")
            return
        is_keyed = request.idempotency_key is not None
        semantics = self._classes[class_index].retry_semantics
        if is_keyed is not (semantics is RetrySemantics.IDEMPOTENCY_KEYED):
            self._reject_invalid(
                request, "an idempotency key in a class without keys, or none in one with keys"
            )
            return
        if not request.is_open:
            return  # its client disconnected before it could be reported
        if request.idempotency_key is None:
            self._add(request, class_index, NO_ORIGINAL)
        else:
            self._arrive_keyed(request, class_index, request.idempotency_key)

    def _arrive_keyed(self, request: Request, class_index: int, key: str) -> None:
        self._handle_events()  # so that attempts that are read together are recognised as duplicates
        fingerprint = b""
        if self._durable_keys is not None:
            if self._durable_keys.wait_for_recovery(request):
                return
            fingerprint = self._durable_keys.fingerprint(request)
        try:
            original = self._duplicates.find_original(request, key, fingerprint)
        except ValueError:
            # All attempts of a request are alike: one that differs under its key is not from its client.
            self._reject_invalid(request, "its idempotency key belongs to another request")
            return
        storage_delay = 0
        if self._durable_keys is not None and original.request_id is None:
            storage_delay = self._durable_keys.capacity_wait_us()
        self._add(request, class_index, original, fingerprint, storage_delay)

    def _add(
        self,
        request: Request,
        class_index: int,
        original: OriginalRequest,
        fingerprint: bytes = b"",
        storage_delay: int = 0,
    ) -> None:
        """Enter the request in the table and report it to the controller."""
        request_class = self._classes[class_index]
        request_id = self._requests.next_id()
        self._requests.add(
            InFlightRequest(
                request_id, request, request_class, original.request_id, original.stored_entry, fingerprint
            )
        )
        # No client waits longer than the timeout of its class, whatever a faulty time stamp says.
        queue_delay = min(max(0, clock.now() - request.arrived_at), request_class.client_timeout)
        self._notify(
            Arrival(
                request_id,
                class_index,
                queue_delay,
                memory=request.memory,
                client=request.client,
                duplicate_of=original.request_id,
                storage_delay=storage_delay,
            )
        )

    def _reject_invalid(self, request: Request, reason: str) -> None:
        """Fail what no balancer sends, before it reaches the controller or the table of keys."""
        logger.warning("request %s failed: invalid: %s", request.uid, reason)
        self._responder.respond_invalid(request)
