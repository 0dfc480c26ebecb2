"""The aggregated stream over gRPC, on grpcio and the published message classes (the extra `xds`).

A thread keeps a stream open and begins a new one when it ends; the session decides what is said on it.
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
from .machine import DeltaRequest, DeltaResponse, Request, Response
from .session import Session, Step, make_delta, make_state_of_the_world

logger = logging.getLogger(__name__)

# A stream that has ended is begun anew after so long, and after twice as long each time that nothing came
# on it.
RETRY_S, MOST_RETRY_S = 0.1, 5.0
INVALID = 3  # google.rpc.Code.INVALID_ARGUMENT, which a NACK carries
MOST_MESSAGE = 64 << 20  # 100,000 endpoints in one message are about 5 MB


# Whoever goes by the session; called in a thread of the stream's, after each message that changed
# something, and when something that was asked for is missing.
Told = Callable[[Step[Any]], None]


def _clock() -> int:
    return time.monotonic_ns() // 1_000


def _put(asked: Request | DeltaRequest, node: Any) -> Any:
    error = status_pb2.Status(code=INVALID, message=asked.error) if asked.error else None
    if isinstance(asked, Request):
        return discovery_pb2.DiscoveryRequest(
            version_info=asked.version,
            node=node,
            resource_names=asked.names,
            type_url=asked.type_url,
            response_nonce=asked.nonce,
            error_detail=error,
        )
    return discovery_pb2.DeltaDiscoveryRequest(
        node=node,
        type_url=asked.type_url,
        resource_names_subscribe=asked.subscribe,
        resource_names_unsubscribe=asked.unsubscribe,
        initial_resource_versions=asked.initial_versions,
        response_nonce=asked.nonce,
        error_detail=error,
    )


def _parse(type_url: str, found: Any) -> tuple[str, Any]:
    """A resource of another type than its response's is none that can be read."""
    return resources.parse(type_url, found.value) if found.type_url == type_url else ("", None)


def _take(told: Any) -> Response | DeltaResponse:
    if isinstance(told, discovery_pb2.DiscoveryResponse):
        return Response(
            told.version_info, told.nonce, tuple(_parse(told.type_url, one) for one in told.resources)
        )
    changed = tuple((one.name, one.version, _parse(told.type_url, one.resource)[1]) for one in told.resources)
    return DeltaResponse(told.nonce, changed, tuple(told.removed_resources))


class GrpcStream:
    """A client of one management server."""

    def __init__(self, address: str, node_id: str, told: Told, *, delta: bool = False) -> None:
        make: Callable[..., Session[Any, Any]] = make_delta if delta else make_state_of_the_world
        self.session = make(resources.cluster, resources.assignment)
        self._address, self._delta, self._told = address, delta, told
        self._node = base_pb2.Node(id=node_id, user_agent_name="cairnvane")
        self._lock = threading.Lock()  # the session is moved by the stream and by its timer
        self._timer: threading.Timer | None = None
        self._stopped = threading.Event()
        self._call: Any = None
        self._thread = threading.Thread(target=self._run, name="xds", daemon=True)

    def start(self) -> None:
        """Connect, and stay connected."""
        self._thread.start()

    def stop(self, wait_s: float = 2.0) -> None:
        """End the stream and its thread; what counts, counts on."""
        self._stopped.set()
        if (call := self._call) is not None:
            call.cancel()
        self._thread.join(wait_s)

    def _run(self) -> None:
        wait = RETRY_S
        options = [("grpc.max_receive_message_length", MOST_MESSAGE)]
        while not self._stopped.is_set():
            with grpc.insecure_channel(self._address, options=options) as channel:
                try:
                    wait = RETRY_S if self._converse(channel) else min(MOST_RETRY_S, 2 * wait)
                except grpc.RpcError as error:
                    logger.warning("stream ended: %s", error.code().name)
            self._stopped.wait(wait)

    def _converse(self, channel: Any) -> bool:
        """One stream; whether anything came on it."""
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        begin = stub.DeltaAggregatedResources if self._delta else stub.StreamAggregatedResources
        out: SimpleQueue[Any] = SimpleQueue()
        came = False
        with self._lock:
            self._say(out, self.session.opened(_clock()))
        self._call = begin(iter(out.get, None))
        try:
            for told in self._call:
                came = True
                taken = _take(told)
                with self._lock:
                    self._say(out, self.session.received(told.type_url, taken, _clock()))
        finally:
            out.put(None)  # ends the requests' iterator, and the thread that goes over it
            with self._lock:
                self.session.closed()
                self._set_timer()
        return came

    def _say(self, out: SimpleQueue[Any], step: Step[Any]) -> None:
        for asked in step.send:
            out.put(_put(asked, self._node))
        if step.changes:
            self._told(step)
        self._set_timer()

    def _set_timer(self) -> None:
        """For the next resource that will be missing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (due := self.session.due()) is not None:
            self._timer = threading.Timer(max(0, due - _clock()) / 1e6, self._look)
            self._timer.daemon = True
            self._timer.start()

    def _look(self) -> None:
        """In the timer's thread."""
        with self._lock:
            step = self.session.look(_clock())
            if step.missing:
                self._told(step)
            self._set_timer()
