"""Clusters and endpoints on one stream, in both forms, with identical outcomes."""

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
    """A management server that says what is asked for, in one of the forms."""

    delta: bool
    session: Any = None
    state: dict[str, dict[str, str]] = field(default_factory=lambda: {CLUSTER: {}, ASSIGNMENT: {}})
    asked: dict[str, set[str] | None] = field(default_factory=dict)
    nacks: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    version: int = 0

    def __post_init__(self) -> None:
        make = make_delta if self.delta else make_state_of_the_world
        self.session = make(cluster, assignment)

    def open(self, now: int = 0) -> None:
        self.asked = {}
        self._take(self.session.opened(now))

    def _take(self, step: Any) -> None:
        self.changed += [f"{change.name}{'' if change.ready else ' gone'}" for change in step.changes]
        for told in step.send:
            if told.error:
                self.nacks.append(told.error)
            if isinstance(told, DiscoveryRequest):
                self.asked[told.type_url] = set(told.names) if told.type_url == ASSIGNMENT else None
            elif isinstance(told, DeltaDiscoveryRequest) and told.type_url == ASSIGNMENT:
                names = self.asked.setdefault(ASSIGNMENT, set())
                assert names is not None
                names.update(told.subscribe)
                names.difference_update(told.unsubscribe)

    def push(self, type_url: str, only: list[str] | None = None, gone: tuple[str, ...] = ()) -> None:
        """Say how it is now; `only`: no more than these."""
        self.version += 1
        names = sorted(self.state[type_url]) if only is None else only
        if type_url == ASSIGNMENT:
            names = [name for name in names if name in (self.asked.get(ASSIGNMENT) or set())]
        found = [NamedResource(name, self.state[type_url][name].encode()) for name in names]
        version = str(self.version)
        response: Any = DiscoveryResponse(version, f"n{version}", tuple(found))
        if self.delta:
            new = tuple(ReceivedResource(name, version, body) for name, body in found)
            response = DeltaDiscoveryResponse(f"n{version}", new, gone)
        self._take(self.session.received(type_url, response, 0))

    def counts(self) -> dict[str, int]:
        return {name: ready.assignment.overprovisioning for name, ready in self.session.view.ready.items()}


@pytest.fixture(params=[False, True], ids=["state of the world", "delta"])
def server(request: pytest.FixtureRequest) -> Server:
    server = Server(request.param)
    server.state[CLUSTER] = {"ledger": "ledger-eds", "other": "other-eds"}
    server.state[ASSIGNMENT] = {"ledger-eds": "140", "other-eds": "150"}
    server.open()
    assert ASSIGNMENT not in server.asked  # no name, no question: it would ask for all that there are
    server.push(CLUSTER)
    assert server.asked[ASSIGNMENT] == {"ledger-eds", "other-eds"} and server.counts() == {}
    server.push(ASSIGNMENT)
    assert server.counts() == {"ledger": 140, "other": 150}
    return server


def test_a_removed_cluster_unsubscribes_from_its_endpoints(server: Server) -> None:
    del server.state[CLUSTER]["other"]
    server.push(CLUSTER, gone=("other",))
    assert server.counts() == {"ledger": 140} and server.asked[ASSIGNMENT] == {"ledger-eds"}
    assert server.changed[-1] == "other gone"


def test_a_bad_update_is_rejected_and_a_good_one_behind_it_counts(server: Server) -> None:
    server.state[ASSIGNMENT]["ledger-eds"] = "bad"
    server.push(ASSIGNMENT)
    assert server.counts()["ledger"] == 140 and server.nacks == ["ledger-eds: bad"]
    server.state[ASSIGNMENT]["ledger-eds"] = "200"
    server.push(ASSIGNMENT)
    assert server.counts()["ledger"] == 200


def test_a_cluster_that_moves_to_other_endpoints_keeps_the_old_ones_until_they_come(server: Server) -> None:
    server.state[CLUSTER]["ledger"] = "new-eds"
    server.push(CLUSTER)
    assert server.counts()["ledger"] == 140
    assert server.asked[ASSIGNMENT] == {"ledger-eds", "other-eds", "new-eds"}
    server.state[ASSIGNMENT]["new-eds"] = "160"
    server.push(ASSIGNMENT, only=["new-eds"])
    assert server.counts()["ledger"] == 160 and server.asked[ASSIGNMENT] == {"new-eds", "other-eds"}


def test_a_lost_stream_changes_nothing_and_an_older_version_on_a_new_one_counts(server: Server) -> None:
    server.session.closed()
    assert server.counts() == {"ledger": 140, "other": 150}
    server.push(ASSIGNMENT)  # of the stream that has ended
    server.version = 0
    server.state[ASSIGNMENT]["ledger-eds"] = "120"
    server.open(now=7)
    assert server.asked[ASSIGNMENT] == {"ledger-eds", "other-eds"}
    server.push(CLUSTER)
    server.push(ASSIGNMENT)
    assert server.counts() == {"ledger": 120, "other": 150}


def test_missing_endpoints_are_named_and_the_rest_remains(server: Server) -> None:
    server.state[CLUSTER]["late"] = "late-eds"
    server.push(CLUSTER)
    assert server.session.next_timeout_at() == RESOURCE_TIMEOUT_US
    assert server.session.expire(RESOURCE_TIMEOUT_US).missing == ["late-eds"]
    assert server.counts() == {"ledger": 140, "other": 150}
    server.state[ASSIGNMENT]["late-eds"] = "130"  # later than late is not never
    server.push(ASSIGNMENT)
    assert server.counts()["late"] == 130


def test_a_response_of_a_type_that_was_not_requested_gets_no_answer(server: Server) -> None:
    told = DiscoveryResponse("1", "n", ()) if not server.delta else DeltaDiscoveryResponse("n")
    assert server.session.received("type.googleapis.com/other", told, 0).send == []
