"""The stream over gRPC, against the stand-in management server on loopback, in both forms."""

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


def ports(*found: int) -> Any:
    told = {"cluster_name": "ledger", "endpoints": [{"lb_endpoints": [endpoint(port) for port in found]}]}
    return json_format.ParseDict(told, endpoint_pb2.ClusterLoadAssignment())


class Client:
    def __init__(self, delta: bool) -> None:
        self.server, self.told = StandInManagement(), SimpleQueue[Any]()
        self.stream = GrpcStream(self.server.address, "n3", lambda step: self.told.put(step), delta=delta)
        self.stream.start()

    def asked(self, type_url: str) -> Any:
        told = self.server.asked.get(timeout=WAIT_S)
        assert told.type_url == type_url, told
        return told

    def changed(self) -> list[int]:
        [change] = self.told.get(timeout=WAIT_S).changes
        assert change.ready is not None
        return sorted(at[1] for one in change.ready.assignment.localities for at in one.endpoints)

    def begin(self) -> None:
        assert self.asked(CLUSTER).node.id == "n3"
        self.server.push({"ledger": LEDGER}, CLUSTER)
        assert self.asked(CLUSTER).response_nonce  # the ACK
        self.asked(ASSIGNMENT)
        self.server.push({"ledger": ports(1, 2)}, ASSIGNMENT)
        assert self.changed() == [1, 2]
        assert not self.asked(ASSIGNMENT).HasField("error_detail")


@pytest.fixture(params=[False, True], ids=["state of the world", "delta"])
def client(request: pytest.FixtureRequest) -> Iterator[Client]:
    client = Client(request.param)
    yield client
    client.stream.stop()
    client.server.close()


def test_a_bad_update_is_rejected_with_its_reason_and_a_good_one_follows(client: Client) -> None:
    client.begin()
    nonce = client.server.push({"ledger": ports(1, 0)}, ASSIGNMENT)
    nack = client.asked(ASSIGNMENT)
    assert (nack.response_nonce, nack.error_detail.code) == (nonce, 3)
    assert "port_value: 0" in nack.error_detail.message
    client.server.push({"ledger": ports(3)}, ASSIGNMENT)
    assert client.changed() == [3]


def test_a_broken_stream_is_reopened_and_active_clusters_remain(client: Client) -> None:
    client.begin()
    client.server.cut()
    again = client.asked(CLUSTER)
    assert client.server.streams == 2 and not again.response_nonce
    assert client.asked(ASSIGNMENT).type_url == ASSIGNMENT
    assert set(client.stream.session.view.ready) == {"ledger"}
    client.server.push({"ledger": ports(4)}, ASSIGNMENT)
    assert client.changed() == [4]


def test_endpoints_that_do_not_come_in_time_are_reported(
    client: Client,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cairnvane.xds.resource_table.RESOURCE_TIMEOUT_US", 20_000)
    client.asked(CLUSTER)
    client.server.push({"ledger": LEDGER}, CLUSTER)
    step = client.told.get(timeout=WAIT_S)
    assert (step.missing, step.changes) == (["ledger"], [])
    client.server.push({"ledger": ports(6)}, ASSIGNMENT)  # later than late is not never
    assert client.changed() == [6]


def test_a_resource_of_another_type_than_its_response_is_a_fault(client: Client) -> None:
    """Guards against reading its bytes as if they were of the response's type."""
    client.begin()
    client.server.push({"ledger": ports(9)}, ASSIGNMENT, inner=CLUSTER)
    assert client.asked(ASSIGNMENT).error_detail.message
    client.server.push({"ledger": ports(7)}, ASSIGNMENT)
    assert client.changed() == [7]


def test_unreadable_bytes_do_not_end_the_stream(client: Client) -> None:
    client.begin()
    client.server.push({"ledger": b"\xff\xff"}, ASSIGNMENT)
    assert client.asked(ASSIGNMENT).error_detail.message
    client.server.push({"ledger": ports(5)}, ASSIGNMENT)
    assert client.changed() == [5]
