"""The aggregated discovery stream over gRPC; requires grpcio and xds-protos (the extra `xds`).

A thread keeps a stream open and reopens it when it ends; the session decides what is sent on it.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.rpc import status_pb2

from . import resources
from .protocol import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DiscoveryRequest,
    DiscoveryResponse,
    NamedResource,
)
from .resource_table import ReceivedResource
from .session import Session, Step, make_delta, make_state_of_the_world

logger = logging.getLogger(__name__)

# Exponential backoff between streams; it is reset once a message was received on a stream.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
INVALID_ARGUMENT = 3  # google.rpc.Code, in a NACK
MAX_MESSAGE_BYTES = 64 << 20  # 100,000 endpoints in one message take about 5 MB
US_PER_SECOND = 1e6


# Called in one of the stream's threads, after each message that changed a cluster and when requested
# endpoints are missing.
StepListener = Callable[[Step[Any]], None]


def _now_us() -> int:
    return time.monotonic_ns() // 1_000


def _request_message(request: DiscoveryRequest | DeltaDiscoveryRequest, node: Any) -> Any:
    """Convert a request to its protocol buffer."""
    error = status_pb2.Status(code=INVALID_ARGUMENT, message=request.error) if request.error else None
    if isinstance(request, DiscoveryRequest):
        return discovery_pb2.DiscoveryRequest(
            version_info=request.version,
            node=node,
            resource_names=request.names,
            type_url=request.type_url,
            response_nonce=request.nonce,
            error_detail=error,
        )
    return discovery_pb2.DeltaDiscoveryRequest(
        node=node,
        type_url=request.type_url,
        resource_names_subscribe=request.subscribe,
        resource_names_unsubscribe=request.unsubscribe,
        initial_resource_versions=request.initial_versions,
        response_nonce=request.nonce,
        error_detail=error,
    )


def _parse(type_url: str, resource: Any) -> NamedResource:
    """The name and message of a resource; `UNREADABLE` if its type differs from the response's."""
    if resource.type_url != type_url:
        return resources.UNREADABLE
    return resources.parse_resource(type_url, resource.value)


def _response(message: Any) -> DiscoveryResponse | DeltaDiscoveryResponse:
    """Convert a response from its protocol buffer."""
    type_url = message.type_url
    if isinstance(message, discovery_pb2.DiscoveryResponse):
        parsed = tuple(_parse(type_url, resource) for resource in message.resources)
        return DiscoveryResponse(message.version_info, message.nonce, parsed)
    changed = tuple(
        ReceivedResource(resource.name, resource.version, _parse(type_url, resource.resource).body)
        for resource in message.resources
    )
    return DeltaDiscoveryResponse(message.nonce, changed, tuple(message.removed_resources))


class GrpcStream:
    """A client of one management server."""

    def __init__(
        self,
        address: str,
        node_id: str,
        listener: StepListener,
        *,
        delta: bool = False,
    ) -> None:
        make_session: Callable[..., Session[Any, Any]] = make_delta if delta else make_state_of_the_world
        self.session = make_session(resources.parse_cluster, resources.parse_assignment)
        self._address = address
        self._delta = delta
        self._listener = listener
        self._node = base_pb2.Node(id=node_id, user_agent_name="cairnvane")
        # Guards the session and the timer, which the stream's thread and the timer's thread both use.
        self._lock = threading.Lock()
        self._timer: threading.Timer | None = None
        self._stopped = threading.Event()
        self._call: Any = None
        self._thread = threading.Thread(target=self._run, name="xds", daemon=True)

    def start(self) -> None:
        """Start the thread that connects and reconnects."""
        self._thread.start()

    def stop(self, timeout_s: float = 2.0) -> None:
        """Close the stream and stop its thread; active clusters remain active."""
        self._stopped.set()
        call = self._call
        if call is not None:
            call.cancel()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        backoff_s = MIN_BACKOFF_S
        options = [("grpc.max_receive_message_length", MAX_MESSAGE_BYTES)]
        while not self._stopped.is_set():
            with grpc.insecure_channel(self._address, options=options) as channel:
                try:
                    received_any = self._run_stream(channel)
                    backoff_s = MIN_BACKOFF_S if received_any else min(MAX_BACKOFF_S, 2 * backoff_s)
                except grpc.RpcError as error:
                    logger.warning("stream to %s ended: %s", self._address, error.code().name)
            self._stopped.wait(backoff_s)

    def _run_stream(self, channel: Any) -> bool:
        """Run one stream until it ends; returns whether a message was received."""
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        open_stream = stub.DeltaAggregatedResources if self._delta else stub.StreamAggregatedResources
        requests: SimpleQueue[Any] = SimpleQueue()
        received_any = False
        with self._lock:
            self._execute(requests, self.session.opened(_now_us()))
        self._call = open_stream(iter(requests.get, None))
        try:
            for message in self._call:
                received_any = True
                response = _response(message)
                with self._lock:
                    step = self.session.received(message.type_url, response, _now_us())
                    self._execute(requests, step)
        finally:
            requests.put(None)  # ends the requests' iterator, and the thread that reads it
            with self._lock:
                self.session.closed()
                self._set_timer()
        return received_any

    def _execute(self, requests: SimpleQueue[Any], step: Step[Any]) -> None:
        for request in step.send:
            requests.put(_request_message(request, self._node))
        if step.changes:
            self._listener(step)
        self._set_timer()

    def _set_timer(self) -> None:
        """Set the timer for the next resource timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        timeout_at = self.session.next_timeout_at()
        if timeout_at is None:
            return
        wait_s = max(0, timeout_at - _now_us()) / US_PER_SECOND
        self._timer = threading.Timer(wait_s, self._expire)
        self._timer.daemon = True
        self._timer.start()

    def _expire(self) -> None:
        """Report missing resources; runs in the timer's thread."""
        with self._lock:
            step = self.session.expire(_now_us())
            if step.missing:
                self._listener(step)
            self._set_timer()
