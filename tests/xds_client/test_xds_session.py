"""Clusters and endpoints on one stream, with identical results in both variants."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from cairnvane.load_balancing.cluster import Assignment, Cluster
from cairnvane.xds import DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse
from cairnvane.xds.protocol import NamedResource
from cairnvane.xds.resource_table import RESOURCE_TIMEOUT_US, ReceivedResource
from cairnvane.xds.session import ASSIGNMENT, CLUSTER, make_delta, make_state_of_the_world


def cluster(name: str, body: bytes) -> Cluster:
    if body == b"bad":
        raise ValueError("bad")
    return Cluster(name, body.decode())


def assignment(name: str, body: bytes) -> Assignment:
    if body == b"bad":
        raise ValueError("bad")
    return Assignment(name, overprovisioning=int(body))


@dataclass
class Server:
    """A management server that answers the subscriptions, in one of the variants."""

    delta: bool
    session: Any = None
    state: dict[str, dict[str, str]] = field(default_factory=lambda: {CLUSTER: {}, ASSIGNMENT: {}})
    subscribed: dict[str, set[str] | None] = field(default_factory=dict)
    nacks: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    version: int = 0

    def __post_init__(self) -> None:
        make = make_delta if self.delta else make_state_of_the_world
        self.session = make(cluster, assignment)

    def open(self, now: int = 0) -> None:
        self.subscribed = {}
        self._process(self.session.opened(now))

    def _process(self, step: Any) -> None:
        self.changed += [f"{change.name}{'' if change.ready else ' gone'}" for change in step.changes]
        for request in step.send:
            if request.error:
                self.nacks.append(request.error)
            if isinstance(request, DiscoveryRequest):
                self.subscribed[request.type_url] = (
                    set(request.names) if request.type_url == ASSIGNMENT else None
                )
            elif isinstance(request, DeltaDiscoveryRequest) and request.type_url == ASSIGNMENT:
                names = self.subscribed.setdefault(ASSIGNMENT, set())
                assert names is not None
                names.update(request.subscribe)
                names.difference_update(request.unsubscribe)

    def push(self, type_url: str, only: list[str] | None = None, gone: tuple[str, ...] = ()) -> None:
        """Send the current state; `only`: just these resources."""
        self.version += 1
        names = sorted(self.state[type_url]) if only is None else only
        if type_url == ASSIGNMENT:
            names = [name for name in names if name in (self.subscribed.get(ASSIGNMENT) or set())]
        resources = [NamedResource(name, self.state[type_url][name].encode()) for name in names]
        version = str(self.version)
        response: Any = DiscoveryResponse(version, f"n{version}", tuple(resources))
        if self.delta:
            new = tuple(ReceivedResource(name, version, body) for name, body in resources)
            response = DeltaDiscoveryResponse(f"n{version}", new, gone)
        self._process(self.session.received(type_url, response, 0))

    def overprovisioning_factors(self) -> dict[str, int]:
        return {name: ready.assignment.overprovisioning for name, ready in self.session.view.ready.items()}


@pytest.fixture(params=[False, True], ids=["state of the world", "delta"])
def server(request: pytest.FixtureRequest) -> Server:
    server = Server(request.param)
    server.state[CLUSTER] = {"ledger": "ledger-eds", "other": "other-eds"}
    server.state[ASSIGNMENT] = {"ledger-eds": "140", "other-eds": "150"}
    server.open()
    assert ASSIGNMENT not in server.subscribed  # without a name, a request would subscribe to all endpoints
    server.push(CLUSTER)
    assert (
        server.subscribed[ASSIGNMENT] == {"ledger-eds", "other-eds"}
        and server.overprovisioning_factors() == {}
    )
    server.push(ASSIGNMENT)
    assert server.overprovisioning_factors() == {"ledger": 140, "other": 150}
    return server


def test_a_removed_cluster_unsubscribes_from_its_endpoints(server: Server) -> None:
    del server.state[CLUSTER]["other"]
    server.push(CLUSTER, gone=("other",))
    assert server.overprovisioning_factors() == {"ledger": 140} and server.subscribed[ASSIGNMENT] == {
        "ledger-eds"
    }
    assert server.changed[-1] == "other gone"


def test_a_bad_update_is_rejected_and_a_later_good_one_is_accepted(server: Server) -> None:
    server.state[ASSIGNMENT]["ledger-eds"] = "bad"
    server.push(ASSIGNMENT)
    assert server.overprovisioning_factors()["ledger"] == 140 and server.nacks == ["ledger-eds: bad"]
    server.state[ASSIGNMENT]["ledger-eds"] = "200"
    server.push(ASSIGNMENT)
    assert server.overprovisioning_factors()["ledger"] == 200


def test_a_cluster_with_a_new_service_keeps_the_old_endpoints_until_the_new_ones_arrive(
    server: Server,
) -> None:
    server.state[CLUSTER]["ledger"] = "new-eds"
    server.push(CLUSTER)
    assert server.overprovisioning_factors()["ledger"] == 140
    assert server.subscribed[ASSIGNMENT] == {"ledger-eds", "other-eds", "new-eds"}
    server.state[ASSIGNMENT]["new-eds"] = "160"
    server.push(ASSIGNMENT, only=["new-eds"])
    assert server.overprovisioning_factors()["ledger"] == 160 and server.subscribed[ASSIGNMENT] == {
        "new-eds",
        "other-eds",
    }


def test_a_lost_stream_changes_nothing_and_an_older_version_on_a_new_one_is_accepted(server: Server) -> None:
    server.session.closed()
    assert server.overprovisioning_factors() == {"ledger": 140, "other": 150}
    server.push(ASSIGNMENT)  # a response of the ended stream
    server.version = 0
    server.state[ASSIGNMENT]["ledger-eds"] = "120"
    server.open(now=7)
    assert server.subscribed[ASSIGNMENT] == {"ledger-eds", "other-eds"}
    server.push(CLUSTER)
    server.push(ASSIGNMENT)
    assert server.overprovisioning_factors() == {"ledger": 120, "other": 150}


def test_missing_endpoints_are_named_and_the_rest_remains(server: Server) -> None:
    server.state[CLUSTER]["late"] = "late-eds"
    server.push(CLUSTER)
    assert server.session.next_timeout_at() == RESOURCE_TIMEOUT_US
    assert server.session.expire(RESOURCE_TIMEOUT_US).missing == ["late-eds"]
    assert server.overprovisioning_factors() == {"ledger": 140, "other": 150}
    server.state[ASSIGNMENT]["late-eds"] = "130"  # still accepted after the timeout
    server.push(ASSIGNMENT)
    assert server.overprovisioning_factors()["late"] == 130


def test_a_response_of_a_type_that_was_not_requested_gets_no_answer(server: Server) -> None:
    response = DiscoveryResponse("1", "n", ()) if not server.delta else DeltaDiscoveryResponse("n")
    assert server.session.received("type.googleapis.com/other", response, 0).send == []
