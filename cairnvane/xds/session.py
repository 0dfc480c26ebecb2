"""One aggregated stream with clusters and their endpoints. No I/O, no clock; a transport drives it.

Endpoints are subscribed to as soon as a cluster names them, and unsubscribed from when no active or waiting
cluster needs them. Each method returns the requests to send, in order, and the changed clusters.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from .cluster_view import ClusterChange, ClusterView
from .protocol import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DeltaProtocol,
    DiscoveryRequest,
    DiscoveryResponse,
    StateOfTheWorldProtocol,
    SubscriptionProtocol,
)
from .resource_table import Decode, EventKind, ResourceEvent, ResourceTable

CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ASSIGNMENT = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

RequestT = TypeVar("RequestT")
ResponseT = TypeVar("ResponseT")


@dataclass(slots=True)
class Step(Generic[RequestT]):
    """The result of one step of a session."""

    send: list[RequestT] = field(default_factory=list)
    changes: list[ClusterChange] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)  # requested endpoints that were not received in time


class Session(Generic[RequestT, ResponseT]):
    """The two subscriptions of a stream; created by `make_state_of_the_world` or `make_delta`."""

    def __init__(
        self,
        clusters: SubscriptionProtocol[RequestT, ResponseT],
        endpoints: SubscriptionProtocol[RequestT, ResponseT],
    ) -> None:
        self.view = ClusterView()
        self._clusters = clusters
        self._endpoints = endpoints
        # A first request without names would subscribe to all endpoints, so it waits for a name.
        self._endpoints_requested = False

    def opened(self, now: int) -> Step[RequestT]:
        """Handle a newly opened stream."""
        step: Step[RequestT] = Step()
        self._endpoints_requested = False
        step.send.append(self._clusters.opened(now))
        self._update_subscriptions(step, now)
        return step

    def closed(self) -> None:
        """Handle the end of the stream; active clusters remain active."""
        self._clusters.closed()
        self._endpoints.closed()

    def received(self, type_url: str, response: ResponseT, now: int) -> Step[RequestT]:
        """Process a response; one of a type that was not requested is ignored."""
        step: Step[RequestT] = Step()
        if type_url == CLUSTER:
            answer, events = self._clusters.received(response)
            step.changes = [change for event in events for change in self._on_cluster(event)]
        elif type_url == ASSIGNMENT and self._endpoints_requested:
            answer, events = self._endpoints.received(response)
            step.changes = [change for event in events for change in self._on_assignment(event)]
        else:
            return step
        if answer is not None:
            step.send.append(answer)
        self._update_subscriptions(step, now)
        return step

    def _on_cluster(self, event: ResourceEvent) -> list[ClusterChange]:
        if event.kind is EventKind.UPDATED:
            return self.view.update_cluster(event.value)
        return self.view.remove_cluster(event.name)

    def _on_assignment(self, event: ResourceEvent) -> list[ClusterChange]:
        """Apply updated endpoints; a removed or missing resource says nothing about the endpoints.

        The last good endpoints remain active until their cluster is removed or names another service.
        """
        if event.kind is EventKind.UPDATED:
            return self.view.update_assignment(event.value)
        return []

    def _update_subscriptions(self, step: Step[RequestT], now: int) -> None:
        """Subscribe to the needed endpoints, and unsubscribe from all others."""
        needed = self.view.needed_services()
        subscribed = set(self._endpoints.resources.entries)
        subscribe_request = self._endpoints.subscribe(sorted(needed - subscribed), now)
        unsubscribe_request = self._endpoints.unsubscribe(sorted(subscribed - needed))
        if self._endpoints_requested:
            step.send += [
                request for request in (subscribe_request, unsubscribe_request) if request is not None
            ]
        elif needed and self._clusters.resources.is_stream_open:
            self._endpoints_requested = True
            step.send.append(self._endpoints.opened(now))

    def next_timeout_at(self) -> int | None:
        """When to call `expire` next; None if no timeout is running."""
        return self._endpoints.resources.next_timeout_at()

    def expire(self, now: int) -> Step[RequestT]:
        """Report the endpoints that were not received in time."""
        return Step(missing=[event.name for event in self._endpoints.resources.expire(now)])


def make_state_of_the_world(
    cluster: Decode,
    assignment: Decode,
) -> Session[DiscoveryRequest, DiscoveryResponse]:
    """Create a session of the state-of-the-world variant."""
    clusters = StateOfTheWorldProtocol(CLUSTER, ResourceTable(cluster), full=True)
    endpoints = StateOfTheWorldProtocol(ASSIGNMENT, ResourceTable(assignment, ()), full=False)
    return Session(clusters, endpoints)


def make_delta(
    cluster: Decode,
    assignment: Decode,
) -> Session[DeltaDiscoveryRequest, DeltaDiscoveryResponse]:
    """Create a session of the incremental variant."""
    clusters = DeltaProtocol(CLUSTER, ResourceTable(cluster))
    endpoints = DeltaProtocol(ASSIGNMENT, ResourceTable(assignment, ()))
    return Session(clusters, endpoints)
