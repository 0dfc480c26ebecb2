"""The two forms of the protocol for one type on one stream. No I/O, no clock.

Each method gives what is to be sent, if anything, and what has become of resources. A stream's nonces die
with it; what is held does not. Good resources of a response count even if others in it are bad, and the
NACK names the bad.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

from .known import Event, Resources, faults


@dataclass(frozen=True, slots=True)
class Request:
    """A DiscoveryRequest. An empty `error` with a nonce is an ACK, another one a NACK."""

    type_url: str
    version: str
    names: tuple[str, ...]
    nonce: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class Response:
    """A DiscoveryResponse: names and bodies."""

    version: str
    nonce: str
    resources: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class DeltaRequest:
    """A DeltaDiscoveryRequest."""

    type_url: str
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial_versions: dict[str, str] = field(default_factory=dict)
    nonce: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class DeltaResponse:
    """A DeltaDiscoveryResponse: names, versions and bodies; and names that are gone."""

    nonce: str
    resources: tuple[tuple[str, str, Any], ...] = ()
    removed: tuple[str, ...] = ()


Asks_co = TypeVar("Asks_co", covariant=True)
Tells_contra = TypeVar("Tells_contra", contravariant=True)


class Machine(Protocol[Asks_co, Tells_contra]):
    """What both forms have in common."""

    resources: Resources

    def opened(self, now: int) -> Asks_co:
        """A stream is up: its first request."""

    def closed(self) -> None:
        """The stream has ended."""

    def received(self, response: Tells_contra) -> tuple[Asks_co | None, list[Event]]:
        """A response: its ACK or NACK, and what has become of resources."""

    def subscribe(self, names: list[str], now: int) -> Asks_co | None:
        """Ask for more; None if there is nothing to say."""

    def unsubscribe(self, names: list[str]) -> Asks_co | None:
        """Ask for less."""


class StateOfTheWorld:
    """Each response brings all that is asked for. `full`: what one leaves out is gone, as for clusters; else,
    as for endpoints, a response may bring only some."""

    def __init__(self, type_url: str, resources: Resources, full: bool) -> None:
        self.resources = resources
        self.version = ""  # the last that was taken without fault; outlasts the stream
        self._type, self._full = type_url, full
        self._nonce = ""  # of the last response on this stream

    def _request(self, error: str = "") -> Request:
        return Request(self._type, self.version, tuple(self.resources.names()), self._nonce, error)

    def opened(self, now: int) -> Request:
        """A stream is up: its first request says what is known from the one before."""
        self._nonce = ""
        self.resources.opened(now)
        return self._request()

    def closed(self) -> None:
        """The stream has ended."""
        self.resources.closed()

    def received(self, response: Response) -> tuple[Request | None, list[Event]]:
        """A response: the ACK or NACK, and what has become of resources. None after the stream's end: an
        answer on another stream would be to something that it never sent."""
        if not self.resources.open:
            return None, []
        self._nonce = response.nonce
        events, bad = self.resources.take((name, response.version, body) for name, body in response.resources)
        if self._full:
            there = {name for name, _ in response.resources}
            gone = [name for name in self.resources.held() if name not in there]
            events += [event for event in map(self.resources.remove, gone) if event is not None]
        if not bad:
            self.version = response.version
        return self._request(faults(bad)), events

    def subscribe(self, names: list[str], now: int) -> Request | None:
        """Ask for more; nothing is sent if that is no change, or there is no stream."""
        return self._request() if self.resources.subscribe(names, now) and self.resources.open else None

    def unsubscribe(self, names: list[str]) -> Request | None:
        """Ask for less."""
        return self._request() if self.resources.unsubscribe(names) and self.resources.open else None


class Delta:
    """Each response brings what has changed."""

    def __init__(self, type_url: str, resources: Resources) -> None:
        self.resources = resources
        self._type = type_url

    def opened(self, now: int) -> DeltaRequest:
        """A stream is up: what is asked for, and which version of each is held."""
        self.resources.opened(now)
        names = tuple(self.resources.names())
        return DeltaRequest(self._type, names, initial_versions=self.resources.versions())

    def closed(self) -> None:
        """The stream has ended."""
        self.resources.closed()

    def received(self, response: DeltaResponse) -> tuple[DeltaRequest | None, list[Event]]:
        """As in the other form. A name that nobody knows is no fault: it may have been asked for before."""
        if not self.resources.open:
            return None, []
        events, bad = self.resources.take(response.resources)
        events += [event for event in map(self.resources.remove, response.removed) if event is not None]
        return DeltaRequest(self._type, nonce=response.nonce, error=faults(bad)), events

    def subscribe(self, names: list[str], now: int) -> DeltaRequest | None:
        """Ask for more."""
        new = self.resources.subscribe(names, now)
        return DeltaRequest(self._type, subscribe=tuple(new)) if new and self.resources.open else None

    def unsubscribe(self, names: list[str]) -> DeltaRequest | None:
        """Ask for less."""
        gone = self.resources.unsubscribe(names)
        return DeltaRequest(self._type, unsubscribe=tuple(gone)) if gone and self.resources.open else None
