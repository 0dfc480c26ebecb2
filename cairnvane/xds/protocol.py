"""The two variants of the xDS protocol, for one resource type on one stream. No I/O, no clock.

Each method returns the request to send, if any, and the changes of resources. Nonces become invalid when the
stream ends; held resources stay valid. The valid resources of a response are accepted even if others are
invalid, and the NACK names the invalid ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol, TypeVar

from .resource_table import ReceivedResource, ResourceEvent, ResourceTable, nack_message


@dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """A request of the state-of-the-world variant; with a nonce an ACK, with an error too a NACK."""

    type_url: str
    version: str
    names: tuple[str, ...]
    nonce: str = ""
    error: str = ""


class NamedResource(NamedTuple):
    """A resource in a state-of-the-world response, whose version applies to all its resources."""

    name: str  # empty if it can't be read
    body: Any


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """A response of the state-of-the-world variant."""

    version: str
    nonce: str
    resources: tuple[NamedResource, ...]


@dataclass(frozen=True, slots=True)
class DeltaDiscoveryRequest:
    """A request of the incremental variant; with a nonce an ACK, with an error too a NACK."""

    type_url: str
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial_versions: dict[str, str] = field(default_factory=dict)
    nonce: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class DeltaDiscoveryResponse:
    """A response of the incremental variant: changed resources, and the names of removed ones."""

    nonce: str
    resources: tuple[ReceivedResource, ...] = ()
    removed: tuple[str, ...] = ()


RequestT_co = TypeVar("RequestT_co", covariant=True)
ResponseT_contra = TypeVar("ResponseT_contra", contravariant=True)


class SubscriptionProtocol(Protocol[RequestT_co, ResponseT_contra]):
    """The interface of both variants."""

    resources: ResourceTable

    def opened(self, now: int) -> RequestT_co:
        """Handle a newly opened stream; returns its first request."""

    def closed(self) -> None:
        """Handle the end of the stream."""

    def received(self, response: ResponseT_contra) -> tuple[RequestT_co | None, list[ResourceEvent]]:
        """Process a response; returns its ACK or NACK, and the changes of resources."""

    def subscribe(self, names: list[str], now: int) -> RequestT_co | None:
        """Subscribe to more names; None if there is nothing to send."""

    def unsubscribe(self, names: list[str]) -> RequestT_co | None:
        """Unsubscribe from names; None if there is nothing to send."""


class StateOfTheWorldProtocol:
    """The variant in which a response contains the complete state of the subscription."""

    def __init__(self, type_url: str, resources: ResourceTable, full: bool) -> None:
        """Start without a stream.

        `full`: a resource that is absent from a response is removed, as for clusters. Otherwise a response
        may contain only some of the resources, as for endpoints.
        """
        self.resources = resources
        self.version = ""  # the last accepted version; kept across streams
        self._type_url = type_url
        self._full = full
        self._nonce = ""  # of the last response on this stream

    def _request(self, error: str = "") -> DiscoveryRequest:
        names = tuple(self.resources.names())
        return DiscoveryRequest(self._type_url, self.version, names, self._nonce, error)

    def opened(self, now: int) -> DiscoveryRequest:
        """Handle a newly opened stream; its first request has the version last accepted on an earlier one."""
        self._nonce = ""
        self.resources.opened(now)
        return self._request()

    def closed(self) -> None:
        """Handle the end of the stream."""
        self.resources.closed()

    def received(self, response: DiscoveryResponse) -> tuple[DiscoveryRequest | None, list[ResourceEvent]]:
        """Process a response; returns its ACK or NACK, and the changes of resources.

        After the end of the stream there is no ACK or NACK, since the next stream did not send the response.
        """
        if not self.resources.is_stream_open:
            return None, []
        self._nonce = response.nonce
        versioned = (
            ReceivedResource(resource.name, response.version, resource.body)
            for resource in response.resources
        )
        events, faults = self.resources.merge(versioned)
        if self._full:
            events += self._remove_absent(response)
        if not faults:
            self.version = response.version
        return self._request(nack_message(faults)), events

    def _remove_absent(self, response: DiscoveryResponse) -> list[ResourceEvent]:
        present = {resource.name for resource in response.resources}
        absent = [name for name in self.resources.held() if name not in present]
        return [event for event in map(self.resources.remove, absent) if event is not None]

    def subscribe(self, names: list[str], now: int) -> DiscoveryRequest | None:
        """Subscribe to more names; None if nothing changes, or no stream is open."""
        added = self.resources.subscribe(names, now)
        return self._request() if added and self.resources.is_stream_open else None

    def unsubscribe(self, names: list[str]) -> DiscoveryRequest | None:
        """Unsubscribe from names; None if nothing changes, or no stream is open."""
        dropped = self.resources.unsubscribe(names)
        return self._request() if dropped and self.resources.is_stream_open else None


class DeltaProtocol:
    """The incremental variant, in which a response contains only changes."""

    def __init__(self, type_url: str, resources: ResourceTable) -> None:
        self.resources = resources
        self._type_url = type_url

    def opened(self, now: int) -> DeltaDiscoveryRequest:
        """Handle a newly opened stream; its first request has the subscriptions and the held versions."""
        self.resources.opened(now)
        names = tuple(self.resources.names())
        return DeltaDiscoveryRequest(self._type_url, names, initial_versions=self.resources.versions())

    def closed(self) -> None:
        """Handle the end of the stream."""
        self.resources.closed()

    def received(
        self,
        response: DeltaDiscoveryResponse,
    ) -> tuple[DeltaDiscoveryRequest | None, list[ResourceEvent]]:
        """Process a response; returns its ACK or NACK, and the changes of resources.

        A name without a subscription is not an error, since it may have been subscribed to before.
        """
        if not self.resources.is_stream_open:
            return None, []
        events, faults = self.resources.merge(response.resources)
        events += [event for event in map(self.resources.remove, response.removed) if event is not None]
        answer = DeltaDiscoveryRequest(self._type_url, nonce=response.nonce, error=nack_message(faults))
        return answer, events

    def subscribe(self, names: list[str], now: int) -> DeltaDiscoveryRequest | None:
        """Subscribe to more names; None if nothing changes, or no stream is open."""
        added = self.resources.subscribe(names, now)
        if not added or not self.resources.is_stream_open:
            return None
        return DeltaDiscoveryRequest(self._type_url, subscribe=tuple(added))

    def unsubscribe(self, names: list[str]) -> DeltaDiscoveryRequest | None:
        """Unsubscribe from names; None if nothing changes, or no stream is open."""
        dropped = self.resources.unsubscribe(names)
        if not dropped or not self.resources.is_stream_open:
            return None
        return DeltaDiscoveryRequest(self._type_url, unsubscribe=tuple(dropped))
