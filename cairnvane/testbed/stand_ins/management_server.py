"""A stand-in xDS management server over gRPC that pushes resources on demand and records all requests."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue
from typing import Any

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf import any_pb2


class StandInManagement(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):  # type: ignore[misc]
    """Serves one client at a time, with either variant of the protocol."""

    def __init__(self) -> None:
        self.asked: SimpleQueue[Any] = SimpleQueue()  # all requests in order
        self.streams = 0
        self._responses: SimpleQueue[Any] = SimpleQueue()
        self._delta = False
        self._pushes = 0
        self._lock = threading.Lock()
        self._server = grpc.server(ThreadPoolExecutor(8))
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, self._server)
        self.address = f"127.0.0.1:{self._server.add_insecure_port('127.0.0.1:0')}"
        self._server.start()

    def StreamAggregatedResources(self, requests: Iterator[Any], context: Any) -> Iterator[Any]:
        """Serve the state-of-the-world variant."""
        return self._serve(requests, context, False)

    def DeltaAggregatedResources(self, requests: Iterator[Any], context: Any) -> Iterator[Any]:
        """Serve the incremental variant."""
        return self._serve(requests, context, True)

    def _serve(self, requests: Iterator[Any], context: Any, delta: bool) -> Iterator[Any]:
        with self._lock:
            responses: SimpleQueue[Any] = SimpleQueue()
            self._responses, self._delta = responses, delta
            self.streams += 1
        threading.Thread(target=self._read_requests, args=(requests, responses), daemon=True).start()
        context.add_callback(lambda: responses.put(None))
        yield from iter(responses.get, None)

    def _read_requests(self, requests: Iterator[Any], responses: SimpleQueue[Any]) -> None:
        try:
            for request in requests:
                self.asked.put(request)
        except Exception:  # grpcio reports the end of a stream by exceptions of several types
            responses.put(None)

    def push(
        self,
        messages: dict[str, Any],
        type_url: str,
        removed: tuple[str, ...] = (),
        inner: str = "",
    ) -> str:
        """Push resources by name, and return the nonce of the response.

        The version is the number of pushes so far. `inner` is the type URL inside each resource if it should
        differ from `type_url`.
        """
        self._pushes += 1
        version = str(self._pushes)
        nonce = f"n{self._pushes}"
        resources = {
            name: any_pb2.Any(
                type_url=inner or type_url,
                value=message if isinstance(message, bytes) else message.SerializeToString(),
            )
            for name, message in messages.items()
        }
        if self._delta:
            response = discovery_pb2.DeltaDiscoveryResponse(
                type_url=type_url,
                nonce=nonce,
                removed_resources=removed,
                resources=[
                    discovery_pb2.Resource(name=name, version=version, resource=body)
                    for name, body in resources.items()
                ],
            )
        else:
            response = discovery_pb2.DiscoveryResponse(
                version_info=version, nonce=nonce, type_url=type_url, resources=resources.values()
            )
        self._responses.put(response)
        return nonce

    def cut(self) -> None:
        """End the current stream."""
        self._responses.put(None)

    def close(self) -> None:
        """End the stream and the server."""
        self.cut()
        self._server.stop(0).wait()
