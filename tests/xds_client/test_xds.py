"""The state machine of the xDS client, compared with a reference server."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cairnvane.xds import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DeltaProtocol,
    DiscoveryResponse,
    ResourceState,
    ResourceTable,
    StateOfTheWorldProtocol,
)
from cairnvane.xds.protocol import NamedResource
from cairnvane.xds.resource_table import RESOURCE_TIMEOUT_US, EventKind, ReceivedResource, ResourceEvent

TYPE = "type.googleapis.com/envoy.config.cluster.v3.Cluster"


def decode(name: str, body: bytes) -> str:
    if body.startswith(b"bad"):
        raise ValueError(f"can't be right: {body.decode()}")
    return body.decode()


def state_of_the_world(*names: str, full: bool = True) -> StateOfTheWorldProtocol:
    protocol = StateOfTheWorldProtocol(TYPE, ResourceTable(decode, names or None), full)
    protocol.opened(0)
    return protocol


def delta(*names: str) -> DeltaProtocol:
    protocol = DeltaProtocol(TYPE, ResourceTable(decode, names or None))
    protocol.opened(0)
    return protocol


def response(version: str, **bodies: str) -> DiscoveryResponse:
    resources = tuple(NamedResource(name, body.encode()) for name, body in bodies.items())
    return DiscoveryResponse(version, f"nonce-{version}", resources)


def test_ack_and_nack_as_published() -> None:
    """'ACK and NACK': a NACK carries the last accepted version, the response's nonce and the reason."""
    protocol = state_of_the_world()
    ack, events = protocol.received(response("1", a="x", b="y"))
    assert ack is not None and (ack.version, ack.nonce, ack.error) == ("1", "nonce-1", "")
    assert events == [ResourceEvent(EventKind.UPDATED, "a", "x"), ResourceEvent(EventKind.UPDATED, "b", "y")]
    nack, events = protocol.received(response("2", a="bad", b="z"))
    assert nack is not None and (nack.version, nack.nonce) == ("1", "nonce-2")
    assert nack.error == "a: can't be right: bad"
    assert events == [ResourceEvent(EventKind.UPDATED, "b", "z")]
    assert protocol.resources.held() == {"a": "x", "b": "z"}  # the last good value of each
    assert protocol.resources.entries["a"].fault
    ack, events = protocol.received(response("3", a="new", b="z"))
    assert ack is not None and (ack.version, ack.error) == ("3", "") and len(events) == 1


def test_a_full_response_removes_what_it_leaves_out_and_a_partial_one_does_not() -> None:
    protocol, partial = state_of_the_world(), state_of_the_world("a", "b", full=False)
    for either in (protocol, partial):
        either.received(response("1", a="x", b="y"))
    assert protocol.received(response("2", a="x"))[1] == [ResourceEvent(EventKind.REMOVED, "b")]
    assert partial.received(response("2", a="x"))[1] == []
    assert (protocol.resources.held(), partial.resources.held()) == ({"a": "x"}, {"a": "x", "b": "y"})


def test_a_new_stream_sends_the_version_without_nonce_and_ignores_the_old_stream() -> None:
    protocol = state_of_the_world("a", full=False)
    protocol.received(response("7", a="x"))
    protocol.closed()
    assert protocol.received(response("8", a="late")) == (None, [])
    first = protocol.opened(5)
    assert (first.version, first.nonce, first.names) == ("7", "", ("a",))
    # A restarted management server may send older versions, which must be accepted.
    ack, events = protocol.received(response("2", a="older"))
    assert (
        ack is not None and ack.version == "2" and events == [ResourceEvent(EventKind.UPDATED, "a", "older")]
    )


def test_a_delta_stream_starts_with_the_held_versions() -> None:
    protocol = delta()
    protocol.received(
        DeltaDiscoveryResponse(
            "n1",
            (
                ReceivedResource("a", "3", b"x"),
                ReceivedResource("b", "4", b"bad"),
                ReceivedResource("c", "5", b"z"),
            ),
        )
    )
    protocol.received(DeltaDiscoveryResponse("n2", removed=("c", "never heard of")))
    protocol.closed()
    assert protocol.opened(9) == DeltaDiscoveryRequest(TYPE, (), (), {"a": "3"})


def test_a_bad_delta_resource_is_named_in_the_nack_and_a_good_one_follows() -> None:
    protocol = delta("a")
    nack, _ = protocol.received(
        DeltaDiscoveryResponse(
            "n1", (ReceivedResource("a", "1", b"bad"), ReceivedResource("stranger", "1", b"x"))
        )
    )
    assert nack == DeltaDiscoveryRequest(TYPE, nonce="n1", error="a: can't be right: bad")
    ack, events = protocol.received(DeltaDiscoveryResponse("n2", (ReceivedResource("a", "2", b"x"),)))
    assert ack == DeltaDiscoveryRequest(TYPE, nonce="n2") and events == [
        ResourceEvent(EventKind.UPDATED, "a", "x")
    ]
    assert protocol.subscribe(["a"], 0) is None
    assert protocol.subscribe(["b"], 0) == DeltaDiscoveryRequest(TYPE, subscribe=("b",))
    assert protocol.unsubscribe(["a", "zz"]) == DeltaDiscoveryRequest(TYPE, unsubscribe=("a",))


@pytest.mark.parametrize("make", [state_of_the_world, delta])
def test_a_resource_not_received_within_15_s_of_a_stream_is_missing(make: Any) -> None:
    """'Knowing When a Requested Resource Does Not Exist'; the timeout stops while no stream is open."""
    protocol = make("a", "b")
    protocol.closed()
    assert protocol.resources.next_timeout_at() is None
    protocol.opened(100)
    assert protocol.resources.expire(100 + RESOURCE_TIMEOUT_US - 1) == []
    if isinstance(protocol, StateOfTheWorldProtocol):
        protocol.received(response("1", b="bad"))
    else:
        protocol.received(DeltaDiscoveryResponse("n", (ReceivedResource("b", "1", b"bad"),)))
    # An invalid version shows that the resource exists.
    assert protocol.resources.expire(100 + RESOURCE_TIMEOUT_US) == [ResourceEvent(EventKind.MISSING, "a")]
    assert protocol.resources.entries["a"].state is ResourceState.MISSING
    protocol.subscribe(["c"], 200 + RESOURCE_TIMEOUT_US)
    assert protocol.resources.next_timeout_at() == 200 + 2 * RESOURCE_TIMEOUT_US


def test_a_duplicate_name_in_one_response_is_a_fault() -> None:
    protocol = state_of_the_world()
    nack, _ = protocol.received(
        DiscoveryResponse("1", "n", (NamedResource("a", b"x"), NamedResource("a", b"y")))
    )
    assert nack is not None and "stands twice" in nack.error and protocol.resources.held() == {"a": "x"}


def test_a_resource_without_a_name_is_a_fault() -> None:
    """Guards against ignoring unreadable bytes and accepting their response."""
    nack, _ = state_of_the_world("a", full=False).received(
        DiscoveryResponse("1", "n", (NamedResource("", b"\xff"),))
    )
    assert nack is not None and "no name" in nack.error and nack.version == ""


def test_a_nack_of_many_faults_stays_short() -> None:
    protocol = state_of_the_world()
    nack, _ = protocol.received(response("1", **{f"r{n}": "bad" for n in range(40)}))
    assert nack is not None and "and 30 more" in nack.error


NAMES = st.sampled_from("abcd")
BODIES = st.sampled_from(["x", "y", "bad"])


class ReferenceServer(RuleBasedStateMachine):
    """A reference server with one client of each variant, whose streams may end after any message."""

    def __init__(self) -> None:
        super().__init__()
        self.resources: dict[str, tuple[int, str]] = {}
        self.version = self.nonce = 0
        self.world = StateOfTheWorldProtocol(TYPE, ResourceTable(decode), True)
        self.delta = DeltaProtocol(TYPE, ResourceTable(decode))
        # The resources that each client must hold.
        self.good: dict[str, dict[str, str]] = {"world": {}, "delta": {}}
        self.sent: dict[str, int] = {}  # the versions that the server assumes the delta client to have
        self.removed: set[str] = set()
        self.up = False
        self.last_sent_version = -1

    @rule(name=NAMES, body=BODIES)
    def change(self, name: str, body: str) -> None:
        self.version += 1
        self.resources[name] = self.version, body

    @rule(name=NAMES)
    def remove(self, name: str) -> None:
        self.version += 1
        self.resources.pop(name, None)

    @precondition(lambda self: not self.up)
    @rule()
    def connect(self) -> None:
        self.up = True
        first = self.world.opened(0)
        assert first.nonce == ""
        self.sent = {name: int(version) for name, version in self.delta.opened(0).initial_versions.items()}

    @precondition(lambda self: self.up)
    @rule()
    def cut(self) -> None:
        self.up = False
        self.world.closed()
        self.delta.closed()

    @rule()
    def push_world(self) -> None:
        self.nonce += 1
        bodies = tuple(
            NamedResource(name, body.encode()) for name, (_, body) in sorted(self.resources.items())
        )
        answer, _ = self.world.received(DiscoveryResponse(str(self.version), f"n{self.nonce}", bodies))
        if not self.up:
            assert answer is None
            return
        assert answer is not None and answer.nonce == f"n{self.nonce}"
        bad = [name for name, (_, body) in self.resources.items() if body == "bad"]
        assert bool(answer.error) is bool(bad) and all(name in answer.error for name in bad)
        self._expect("world")

    @rule(limit=st.integers(1, 4), again=st.booleans())
    def push_delta(self, limit: int, again: bool) -> None:
        """Send some of the changes; `again`: also resources that the client already has."""
        self.nonce += 1
        new = [
            name
            for name, (version, _) in sorted(self.resources.items())
            if again or self.sent.get(name) != version
        ][:limit]
        removed_names = tuple(name for name in self.sent if name not in self.resources)
        resources = tuple(
            ReceivedResource(name, str(self.resources[name][0]), self.resources[name][1].encode())
            for name in new
        )
        answer, _ = self.delta.received(DeltaDiscoveryResponse(f"n{self.nonce}", resources, removed_names))
        if not self.up:
            assert answer is None
            return
        assert answer is not None and answer.nonce == f"n{self.nonce}"
        for name in new:
            self.sent[name] = self.resources[name][0]
        for name in removed_names:
            del self.sent[name]
        self._expect("delta", new, removed_names)

    def _expect(
        self, variant: str, new: list[str] | None = None, removed_names: tuple[str, ...] | None = None
    ) -> None:
        held = self.good[variant]
        for name in list(held) if removed_names is None else removed_names:
            if name not in self.resources:
                held.pop(name, None)
        for name in self.resources if new is None else new:
            if self.resources[name][1] != "bad":
                held[name] = self.resources[name][1]

    @invariant()
    def each_client_holds_the_last_good_versions(self) -> None:
        assert self.world.resources.held() == self.good["world"]
        assert self.delta.resources.held() == self.good["delta"]


ReferenceServer.TestCase.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=40, deadline=None
)
TestReferenceServer = ReferenceServer.TestCase
