"""The gRPC stream in both variants, with the stand-in management server on loopback."""

from __future__ import annotations

from collections.abc import Iterator
from queue import SimpleQueue
from typing import Any

import pytest
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format
from xds_client.test_xds_resources import endpoint

from cairnvane.testbed.stand_ins.management_server import StandInManagement
from cairnvane.xds.grpc_stream import GrpcStream
from cairnvane.xds.session import ASSIGNMENT, CLUSTER

WAIT_S = 20
LEDGER = cluster_pb2.Cluster(name="ledger", type="EDS")


def assignment_message(*ports: int) -> Any:
    fields = {"cluster_name": "ledger", "endpoints": [{"lb_endpoints": [endpoint(port) for port in ports]}]}
    return json_format.ParseDict(fields, endpoint_pb2.ClusterLoadAssignment())


class Client:
    def __init__(self, delta: bool) -> None:
        self.server, self.steps = StandInManagement(), SimpleQueue[Any]()
        self.stream = GrpcStream(self.server.address, "n3", lambda step: self.steps.put(step), delta=delta)
        self.stream.start()

    def next_request(self, type_url: str) -> Any:
        request = self.server.asked.get(timeout=WAIT_S)
        assert request.type_url == type_url, request
        return request

    def next_changed_ports(self) -> list[int]:
        [change] = self.steps.get(timeout=WAIT_S).changes
        assert change.ready is not None
        return sorted(
            address[1] for locality in change.ready.assignment.localities for address in locality.endpoints
        )

    def subscribe(self) -> None:
        assert self.next_request(CLUSTER).node.id == "n3"
        self.server.push({"ledger": LEDGER}, CLUSTER)
        assert self.next_request(CLUSTER).response_nonce  # the ACK
        self.next_request(ASSIGNMENT)
        self.server.push({"ledger": assignment_message(1, 2)}, ASSIGNMENT)
        assert self.next_changed_ports() == [1, 2]
        assert not self.next_request(ASSIGNMENT).HasField("error_detail")


@pytest.fixture(params=[False, True], ids=["state of the world", "delta"])
def client(request: pytest.FixtureRequest) -> Iterator[Client]:
    client = Client(request.param)
    yield client
    client.stream.stop()
    client.server.close()


def test_a_bad_update_is_rejected_with_its_reason_and_a_good_one_follows(client: Client) -> None:
    client.subscribe()
    nonce = client.server.push({"ledger": assignment_message(1, 0)}, ASSIGNMENT)
    nack = client.next_request(ASSIGNMENT)
    assert (nack.response_nonce, nack.error_detail.code) == (nonce, 3)
    assert "port_value: 0" in nack.error_detail.message
    client.server.push({"ledger": assignment_message(3)}, ASSIGNMENT)
    assert client.next_changed_ports() == [3]


def test_a_broken_stream_is_reopened_and_active_clusters_remain(client: Client) -> None:
    client.subscribe()
    client.server.cut()
    first_request = client.next_request(CLUSTER)
    assert client.server.streams == 2 and not first_request.response_nonce
    assert client.next_request(ASSIGNMENT).type_url == ASSIGNMENT
    assert set(client.stream.session.view.ready) == {"ledger"}
    client.server.push({"ledger": assignment_message(4)}, ASSIGNMENT)
    assert client.next_changed_ports() == [4]


def test_endpoints_not_received_in_time_are_reported(
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cairnvane.xds.resource_table.RESOURCE_TIMEOUT_US", 20_000)
    client.next_request(CLUSTER)
    client.server.push({"ledger": LEDGER}, CLUSTER)
    step = client.steps.get(timeout=WAIT_S)
    assert (step.missing, step.changes) == (["ledger"], [])
    client.server.push({"ledger": assignment_message(6)}, ASSIGNMENT)  # still accepted after the timeout
    assert client.next_changed_ports() == [6]


def test_a_resource_of_another_type_than_its_response_is_a_fault(client: Client) -> None:
    """Guards against parsing its bytes as the response's type."""
    client.subscribe()
    client.server.push({"ledger": assignment_message(9)}, ASSIGNMENT, inner=CLUSTER)
    assert client.next_request(ASSIGNMENT).error_detail.message
    client.server.push({"ledger": assignment_message(7)}, ASSIGNMENT)
    assert client.next_changed_ports() == [7]


def test_unreadable_bytes_do_not_end_the_stream(client: Client) -> None:
    client.subscribe()
    client.server.push({"ledger": b"\xff\xff"}, ASSIGNMENT)
    assert client.next_request(ASSIGNMENT).error_detail.message
    client.server.push({"ledger": assignment_message(5)}, ASSIGNMENT)
    assert client.next_changed_ports() == [5]
