"""Request arrivals: validates each request, finds its original, and reports it to the controller."""

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

if TYPE_CHECKING:  # imported only if the operator enables durable keys
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)

NO_ORIGINAL = OriginalRequest(None, None)


class Arrivals:
    """Handles the arrival of requests; used only by the event loop's thread.

    `notify` queues an event for the controller. `handle_events` has the controller handle all queued events.
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

    def handle_arrival(self, request: Request) -> None:
        """Report a request to the controller.

        An invalid request is answered as failed, one whose client has disconnected is ignored, and a keyed
        one is deferred while the stored keys are being recovered.
        """
        class_index = self._class_indices.get(request.class_name)
        if class_index is None:
            self._reject_invalid(request, "unknown class")
            return
        if self._requests.find_uid(request.uid) is not None:
            self._reject_invalid(request, "its uid is in use by another request in flight")
            return
        is_keyed = request.idempotency_key is not None
        semantics = self._classes[class_index].retry_semantics
        if is_keyed is not (semantics is RetrySemantics.IDEMPOTENCY_KEYED):
            self._reject_invalid(
                request,
                "an idempotency key for a class without keys, or no key for a class that requires one",
            )
            return
        if not request.is_open:
            return  # its client disconnected before the request was reported
        if request.idempotency_key is None:
            self._add(request, class_index, NO_ORIGINAL)
        else:
            self._handle_keyed_arrival(request, class_index, request.idempotency_key)

    def _handle_keyed_arrival(self, request: Request, class_index: int, key: str) -> None:
        self._handle_events()  # so that duplicates among attempts that were read together are recognised
        fingerprint = b""
        if self._durable_keys is not None:
            if self._durable_keys.wait_for_recovery(request):
                return
            fingerprint = self._durable_keys.fingerprint(request)
        try:
            original = self._duplicates.find_original(request, key, fingerprint)
        except ValueError:
            # All attempts of a request have the same content. An attempt with the same key and other content
            # does not come from the client that owns the key.
            self._reject_invalid(request, "its idempotency key is in use by another request")
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
        """Add the request to the table and report it to the controller."""
        request_class = self._classes[class_index]
        request_id = self._requests.next_id()
        self._requests.add(
            InFlightRequest(
                request_id, request, request_class, original.request_id, original.stored_entry, fingerprint
            )
        )
        # A client waits at most for the timeout of its class, so a faulty time stamp can't exceed that.
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
        """Fail a malformed request before it reaches the controller or the key table."""
        logger.warning("request %s failed: invalid: %s", request.uid, reason)
        self._responder.respond_invalid(request)
