"""The two forms of the protocol, for one resource type on one stream. No I/O, no clock.

Each method returns what is to be sent, if anything, and what has become of resources. A stream's nonces are
void when it ends; what is held is not. Good resources of a response are taken even if others in it are bad,
and the NACK names the bad ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol, TypeVar

from .resource_table import ReceivedResource, ResourceEvent, ResourceTable, nack_message


@dataclass(frozen=True, slots=True)
class DiscoveryRequest:
    """A request of the state-of-the-world form; with a nonce it is an ACK, or with an error a NACK."""

    type_url: str
    version: str
    names: tuple[str, ...]
    nonce: str = ""
    error: str = ""


class NamedResource(NamedTuple):
    """A resource in a response of the state-of-the-world form, which has one version for all."""

    name: str  # empty if it can't be read
    body: Any


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """A response of the state-of-the-world form: names and bodies."""

    version: str
    nonce: str
    resources: tuple[NamedResource, ...]


@dataclass(frozen=True, slots=True)
class DeltaDiscoveryRequest:
    """A request of the incremental form; with a nonce it is an ACK, or with an error a NACK."""

    type_url: str
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial_versions: dict[str, str] = field(default_factory=dict)
    nonce: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class DeltaDiscoveryResponse:
    """A response of the incremental form: changed resources, and names of removed ones."""

    nonce: str
    resources: tuple[ReceivedResource, ...] = ()
    removed: tuple[str, ...] = ()


RequestT_co = TypeVar("RequestT_co", covariant=True)
ResponseT_contra = TypeVar("ResponseT_contra", contravariant=True)


class SubscriptionProtocol(Protocol[RequestT_co, ResponseT_contra]):
    """What both forms have in common."""

    resources: ResourceTable

    def opened(self, now: int) -> RequestT_co:
        """A stream is up; returns its first request."""

    def closed(self) -> None:
        """The stream has ended."""

    def received(self, response: ResponseT_contra) -> tuple[RequestT_co | None, list[ResourceEvent]]:
        """Take a response; returns its ACK or NACK, and what has become of resources."""

    def subscribe(self, names: list[str], now: int) -> RequestT_co | None:
        """Subscribe to more; None if there is nothing to send."""

    def unsubscribe(self, names: list[str]) -> RequestT_co | None:
        """Unsubscribe; None if there is nothing to send."""


class StateOfTheWorldProtocol:
    """The form in which each response brings all that is subscribed to."""

    def __init__(self, type_url: str, resources: ResourceTable, full: bool) -> None:
        """Start without a stream.

        `full`: what a response leaves out is removed, as for clusters; else, as for endpoints, a response may
        bring only some.
        """
        self.resources = resources
        self.version = ""  # the last that was accepted; outlasts the stream
        self._type_url = type_url
        self._full = full
        self._nonce = ""  # of the last response on this stream

    def _request(self, error: str = "") -> DiscoveryRequest:
        names = tuple(self.resources.names())
        return DiscoveryRequest(self._type_url, self.version, names, self._nonce, error)

    def opened(self, now: int) -> DiscoveryRequest:
        """A stream is up; its first request tells the version that was accepted on the one before."""
        self._nonce = ""
        self.resources.opened(now)
        return self._request()

    def closed(self) -> None:
        """The stream has ended."""
        self.resources.closed()

    def received(self, response: DiscoveryResponse) -> tuple[DiscoveryRequest | None, list[ResourceEvent]]:
        """Take a response; returns its ACK or NACK, and what has become of resources.

        None after the stream's end: on another stream it would answer what that never sent.
        """
        if not self.resources.is_stream_open:
            return None, []
        self._nonce = response.nonce
        versioned = (
            ReceivedResource(resource.name, response.version, resource.body)
            for resource in response.resources
        )
        events, faults = self.resources.take(versioned)
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
        """Subscribe to more; None if that is no change, or there is no stream."""
        added = self.resources.subscribe(names, now)
        return self._request() if added and self.resources.is_stream_open else None

    def unsubscribe(self, names: list[str]) -> DiscoveryRequest | None:
        """Unsubscribe; None if that is no change, or there is no stream."""
        dropped = self.resources.unsubscribe(names)
        return self._request() if dropped and self.resources.is_stream_open else None


class DeltaProtocol:
    """The incremental form, in which each response brings what has changed."""

    def __init__(self, type_url: str, resources: ResourceTable) -> None:
        self.resources = resources
        self._type_url = type_url

    def opened(self, now: int) -> DeltaDiscoveryRequest:
        """A stream is up; its first request has the subscriptions and the versions that are held."""
        self.resources.opened(now)
        names = tuple(self.resources.names())
        return DeltaDiscoveryRequest(self._type_url, names, initial_versions=self.resources.versions())

    def closed(self) -> None:
        """The stream has ended."""
        self.resources.closed()

    def received(
        self,
        response: DeltaDiscoveryResponse,
    ) -> tuple[DeltaDiscoveryRequest | None, list[ResourceEvent]]:
        """Take a response, as in the other form.

        A name that is not subscribed to is no fault: it may have been subscribed to before.
        """
        if not self.resources.is_stream_open:
            return None, []
        events, faults = self.resources.take(response.resources)
        events += [event for event in map(self.resources.remove, response.removed) if event is not None]
        answer = DeltaDiscoveryRequest(self._type_url, nonce=response.nonce, error=nack_message(faults))
        return answer, events

    def subscribe(self, names: list[str], now: int) -> DeltaDiscoveryRequest | None:
        """Subscribe to more; None if that is no change, or there is no stream."""
        added = self.resources.subscribe(names, now)
        if not added or not self.resources.is_stream_open:
            return None
        return DeltaDiscoveryRequest(self._type_url, subscribe=tuple(added))

    def unsubscribe(self, names: list[str]) -> DeltaDiscoveryRequest | None:
        """Unsubscribe; None if that is no change, or there is no stream."""
        dropped = self.resources.unsubscribe(names)
        if not dropped or not self.resources.is_stream_open:
            return None
        return DeltaDiscoveryRequest(self._type_url, unsubscribe=tuple(dropped))
