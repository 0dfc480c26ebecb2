"""One aggregated stream: clusters and their endpoints together. No I/O, no clock; a transport drives it.

Endpoints are subscribed to by the names that the clusters give, as soon as they give them, and unsubscribed
from when no active cluster needs them. Each method returns what is to be sent, in order, and which clusters
have changed.
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
    missing: list[str] = field(default_factory=list)  # endpoints that were requested and did not come


class Session(Generic[RequestT, ResponseT]):
    """Both subscriptions of a stream; made by `make_state_of_the_world` or `make_delta`."""

    def __init__(
        self,
        clusters: SubscriptionProtocol[RequestT, ResponseT],
        endpoints: SubscriptionProtocol[RequestT, ResponseT],
    ) -> None:
        self.view = ClusterView()
        self._clusters = clusters
        self._endpoints = endpoints
        # A first request without names would subscribe to all endpoints: it waits for a name.
        self._endpoints_requested = False

    def opened(self, now: int) -> Step[RequestT]:
        """A stream is up."""
        step: Step[RequestT] = Step()
        self._endpoints_requested = False
        step.send.append(self._clusters.opened(now))
        self._update_subscriptions(step, now)
        return step

    def closed(self) -> None:
        """The stream has ended; all that is active remains so."""
        self._clusters.closed()
        self._endpoints.closed()

    def received(self, type_url: str, response: ResponseT, now: int) -> Step[RequestT]:
        """Take a response of a type; one of a type that was not requested gets no answer."""
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
        """A removed or missing resource says nothing of the endpoints.

        The last good ones remain active until their cluster is removed or names others.
        """
        if event.kind is EventKind.UPDATED:
            return self.view.update_assignment(event.value)
        return []

    def _update_subscriptions(self, step: Step[RequestT], now: int) -> None:
        """Subscribe to the endpoints that are needed, and to no others."""
        needed = self.view.needed_services()
        subscribed = set(self._endpoints.resources.entries)
        more = self._endpoints.subscribe(sorted(needed - subscribed), now)
        fewer = self._endpoints.unsubscribe(sorted(subscribed - needed))
        if self._endpoints_requested:
            step.send += [request for request in (more, fewer) if request is not None]
        elif needed and self._clusters.resources.is_stream_open:
            self._endpoints_requested = True
            step.send.append(self._endpoints.opened(now))

    def next_timeout_at(self) -> int | None:
        """When `expire` is wanted; None: not at all."""
        return self._endpoints.resources.next_timeout_at()

    def expire(self, now: int) -> Step[RequestT]:
        """Report the endpoints that did not come in time."""
        return Step(missing=[event.name for event in self._endpoints.resources.expire(now)])


def make_state_of_the_world(
    cluster: Decode,
    assignment: Decode,
) -> Session[DiscoveryRequest, DiscoveryResponse]:
    """A session of the form in which each response brings all that is subscribed to."""
    clusters = StateOfTheWorldProtocol(CLUSTER, ResourceTable(cluster), full=True)
    endpoints = StateOfTheWorldProtocol(ASSIGNMENT, ResourceTable(assignment, ()), full=False)
    return Session(clusters, endpoints)


def make_delta(
    cluster: Decode,
    assignment: Decode,
) -> Session[DeltaDiscoveryRequest, DeltaDiscoveryResponse]:
    """A session of the form in which each response brings what has changed."""
    clusters = DeltaProtocol(CLUSTER, ResourceTable(cluster))
    endpoints = DeltaProtocol(ASSIGNMENT, ResourceTable(assignment, ()))
    return Session(clusters, endpoints)
