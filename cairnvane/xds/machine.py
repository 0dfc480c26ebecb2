"""The two forms of the protocol for one type on one stream. No I/O, no clock.

Each method gives what is to be sent, if anything, and what has become of resources. A stream's nonces die
with it; what is held does not. Good resources of a response count even if others in it are bad, and the
NACK names the bad.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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
    resources: tuple[tuple[str, bytes], ...]


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
    resources: tuple[tuple[str, str, bytes], ...] = ()
    removed: tuple[str, ...] = ()


class StateOfTheWorld:
    """Each response brings all that is asked for. `full`: what one leaves out is gone, as for clusters; else,
    as for endpoints, a response may bring only some."""

    def __init__(self, type_url: str, resources: Resources, full: bool) -> None:
        self.resources = resources
        self.version = ""  # the last that was taken without fault; outlasts the stream
        self._type, self._full = type_url, full
        self._nonce: str | None = None  # of the last response on this stream; None: there is no stream

    def _request(self, error: str = "") -> Request:
        return Request(self._type, self.version, tuple(self.resources.names()), self._nonce or "", error)

    def opened(self, now: int) -> Request:
        """A stream is up: its first request says what is known from the one before."""
        self._nonce = ""
        self.resources.opened(now)
        return self._request()

    def closed(self) -> None:
        """The stream has ended."""
        self._nonce = None
        self.resources.closed()

    def received(self, response: Response) -> tuple[Request | None, list[Event]]:
        """A response: the ACK or NACK, and what has become of resources. None after the stream's end: an
        answer on another stream would be to something that it never sent."""
        if self._nonce is None:
            return None, []
        self._nonce = response.nonce
        events, bad, seen = [], [], set()
        for name, body in response.resources:
            if not name:  # else it would be one that nobody asked for, and be taken without a word
                bad.append("a resource that can't be read, or has no name")
                continue
            if name in seen:
                bad.append(f"{name}: stands twice in one response")
                continue
            seen.add(name)
            event, fault = self.resources.put(name, response.version, body)
            if fault:
                bad.append(fault)
            elif event is not None:
                events.append(event)
        if self._full:
            left = [name for name in self.resources.held() if name not in seen]
            events += [event for event in map(self.resources.remove, left) if event is not None]
        if not bad:
            self.version = response.version
        return self._request(faults(bad)), events

    def subscribe(self, names: list[str], now: int) -> Request | None:
        """Ask for more; nothing is sent if that is no change, or there is no stream."""
        return self._request() if self.resources.subscribe(names, now) and self._nonce is not None else None

    def unsubscribe(self, names: list[str]) -> Request | None:
        """Ask for less."""
        return self._request() if self.resources.unsubscribe(names) and self._nonce is not None else None


class Delta:
    """Each response brings what has changed."""

    def __init__(self, type_url: str, resources: Resources) -> None:
        self.resources = resources
        self._type = type_url
        self._open = False

    def opened(self, now: int) -> DeltaRequest:
        """A stream is up: what is asked for, and which version of each is held."""
        self._open = True
        self.resources.opened(now)
        names = tuple(self.resources.names())
        return DeltaRequest(self._type, names, initial_versions=self.resources.versions())

    def closed(self) -> None:
        """The stream has ended."""
        self._open = False
        self.resources.closed()

    def received(self, response: DeltaResponse) -> tuple[DeltaRequest | None, list[Event]]:
        """As in the other form. A name that nobody knows is no fault: it may have been asked for before."""
        if not self._open:
            return None, []
        events, bad = [], []
        for name, version, body in response.resources:
            event, fault = self.resources.put(name, version, body)
            if fault:
                bad.append(fault)
            elif event is not None:
                events.append(event)
        events += [event for event in map(self.resources.remove, response.removed) if event is not None]
        return DeltaRequest(self._type, nonce=response.nonce, error=faults(bad)), events

    def subscribe(self, names: list[str], now: int) -> DeltaRequest | None:
        """Ask for more."""
        new = self.resources.subscribe(names, now)
        return DeltaRequest(self._type, subscribe=tuple(new)) if new and self._open else None

    def unsubscribe(self, names: list[str]) -> DeltaRequest | None:
        """Ask for less."""
        gone = self.resources.unsubscribe(names)
        return DeltaRequest(self._type, unsubscribe=tuple(gone)) if gone and self._open else None
