"""Parsing of Envoy's messages, rejection of invalid ones, and activation of clusters (make before break)."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from cairnvane.cli import main
from cairnvane.load_balancing.circuit_breakers import CircuitBreakers, RetryBudget
from cairnvane.load_balancing.cluster import Assignment, Cluster, LoadBalancingPolicy
from cairnvane.load_balancing.endpoints import EndpointDescription, EndpointHealth
from cairnvane.xds import resources
from cairnvane.xds.cluster_view import ClusterChange, ClusterView, ReadyCluster
from cairnvane.xds.session import ASSIGNMENT, CLUSTER


def endpoint(port: Any = 80, address: str = "10.0.0.1", **fields: Any) -> dict[str, Any]:
    return {"endpoint": {"address": {"socket_address": {"address": address, "port_value": port}}}, **fields}


def cluster(**fields: Any) -> dict[str, Any]:
    return {"@type": CLUSTER, "name": "ledger", "type": "EDS", **fields}


def assignment(*endpoints: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {"@type": ASSIGNMENT, "cluster_name": "ledger", "endpoints": list(endpoints), **fields}


def parse_one(resource: dict[str, Any]) -> Any:
    valid, errors = resources.check_json(json.dumps({"resources": [resource]}))
    assert not errors, errors
    return valid[0]


def test_a_cluster_is_parsed_with_its_circuit_breakers() -> None:
    parsed = parse_one(
        cluster(
            lb_policy="LEAST_REQUEST",
            eds_cluster_config={"service_name": "ledger-eds", "eds_config": {"ads": {}}},
            least_request_lb_config={"slow_start_config": {"slow_start_window": "1.5s"}},
            common_lb_config={"healthy_panic_threshold": {"value": 30}},
            circuit_breakers={
                "thresholds": [
                    {"priority": "HIGH", "max_requests": 1},
                    {"max_requests": 7, "retry_budget": {"budget_percent": {"value": 25.0}}},
                ]
            },
        )
    )
    assert parsed == Cluster(
        "ledger",
        "ledger-eds",
        LoadBalancingPolicy.LEAST_REQUEST,
        CircuitBreakers(requests=7, budget=RetryBudget(percent=25.0)),
        30.0,
        1_500_000,
    )


def test_endpoints_are_parsed_with_weights_health_and_drops() -> None:
    parsed = parse_one(
        assignment(
            {
                "locality": {"region": "mn", "zone": "khan-uul"},
                "load_balancing_weight": 3,
                "lb_endpoints": [
                    endpoint(80),
                    endpoint(81, load_balancing_weight=5, health_status="DRAINING"),
                ],
            },
            {"priority": 1, "lb_endpoints": [endpoint(80, "::1", health_status="TIMEOUT")]},
            policy={"drop_overloads": [{"category": "lb", "drop_percentage": {"numerator": 5}}]},
        )
    )
    assert (
        parsed.priority_count() == 2 and parsed.drops == (("lb", 50_000),) and parsed.overprovisioning == 140
    )
    first, second = parsed.localities
    assert (first.name, first.weight, first.priority) == ("mn/khan-uul", 3, 0)
    assert first.endpoints[("10.0.0.1", 81)] == EndpointDescription(5, EndpointHealth.DRAINING)
    assert second.endpoints == {("::1", 80): EndpointDescription(1, EndpointHealth.UNHEALTHY)}


@pytest.mark.parametrize(
    ("resource", "words"),
    [
        (cluster(type="STRICT_DNS"), ["type: STRICT_DNS is refused"]),
        (cluster(name=""), ["name:"]),
        (cluster(lb_policy="CLUSTER_PROVIDED"), ["lb_policy: CLUSTER_PROVIDED"]),
        (cluster(typo=1), ["typo"]),
        ({"@type": CLUSTER, "name": "a", "cluster_type": {"name": "x"}}, ["cluster_type: 'x'"]),
        (cluster(eds_cluster_config={"eds_config": {"path": "/x"}}), ["eds_config: path is refused"]),
        (assignment(cluster_name=""), ["cluster_name:"]),
        (assignment({"lb_endpoints": [endpoint(0)]}), ["[0].lb_endpoints[0].endpoint.address.port_value: 0"]),
        (
            assignment({"lb_endpoints": [endpoint(80, "db.example")]}),
            ["'db.example' is no address in figures"],
        ),
        (assignment({"lb_endpoints": [endpoint(load_balancing_weight=0)]}), ["load_balancing_weight: 0"]),
        (
            assignment({"lb_endpoints": [endpoint()]}, {"priority": 1, "lb_endpoints": [endpoint()]}),
            ["10.0.0.1:80 stands in endpoints[0].lb_endpoints[0] too"],
        ),
        (assignment({"priority": 1}), ["priority [0] is left out"]),
        (assignment({}, {}), ["stands twice"]),
        (
            assignment({"lb_endpoints": [endpoint(n, load_balancing_weight=(1 << 32) - 1) for n in (1, 2)]}),
            ["weights add up to 8589934590"],
        ),
        (assignment({"priority": 129}), ["priority: 129"]),
        (assignment(policy={"overprovisioning_factor": 50}), ["overprovisioning_factor: 50 is below 100"]),
        ({"@type": "type.googleapis.com/x"}, ["'type.googleapis.com/x' is not supported"]),
        (3, ["not an object"]),
    ],
)
def test_a_bad_resource_is_rejected_with_its_field(resource: Any, words: list[str]) -> None:
    valid, errors = resources.check_json(json.dumps({"resources": [resource, cluster()]}))
    assert [type(found) for found in valid] == [Cluster]  # the valid resource is parsed
    assert len(errors) == 1 and errors[0].startswith("resources[0].") and "\n" not in errors[0]
    assert all(word in errors[0] for word in words), errors


@pytest.mark.parametrize("body", [b"\xff", b"\x0a\xff", b"not a message"])
def test_unreadable_bytes_are_a_fault(body: bytes) -> None:
    for type_url, decode in ((CLUSTER, resources.parse_cluster), (ASSIGNMENT, resources.parse_assignment)):
        with pytest.raises(ValueError):
            decode("ledger", resources.parse_resource(type_url, body)[1])


@pytest.mark.parametrize(
    ("text", "status", "word"),
    [
        (json.dumps({"resources": [cluster()]}), 0, "good: cluster ledger"),
        ("{", 2, "invalid JSON"),
        ("[]", 2, "resources: missing"),
        (json.dumps({"resources": [cluster(type="LOGICAL_DNS")]}), 1, "refused"),
    ],
)
def test_the_command_checks_a_file(tmp_path: Path, text: str, status: int, word: str) -> None:
    path = tmp_path / "fleet.json"
    path.write_text(text)
    done = CliRunner().invoke(main, ["xds", "check", str(path)])
    assert (done.exit_code, word in done.output) == (status, True), done.output


OLD, NEW = Cluster("c", "old"), Cluster("c", "new")


def test_a_cluster_is_active_once_its_endpoints_are_known() -> None:
    """'Eventual consistency considerations': make before break."""
    view = ClusterView()
    assert (
        view.update_cluster(OLD) == []
        and view.needed_services() == {"old"}
        and view.pending_clusters() == {"c"}
    )
    assert view.update_assignment(Assignment("stranger")) == []
    ready = ReadyCluster(OLD, Assignment("old"))
    assert view.update_assignment(Assignment("old")) == [ClusterChange("c", ready)]
    assert view.update_cluster(NEW) == [] and view.ready == {"c": ready}
    assert view.needed_services() == {"old", "new"} and view.pending_clusters() == {"c"}
    changed = Assignment("old", overprovisioning=200)  # endpoints of the active version may still change
    assert view.update_assignment(changed) == [ClusterChange("c", ReadyCluster(OLD, changed))]
    assert view.update_assignment(Assignment("new")) == [
        ClusterChange("c", ReadyCluster(NEW, Assignment("new")))
    ]
    assert view.needed_services() == {"new"} and not view.pending_clusters()
    assert view.remove_cluster("c") == [ClusterChange("c", None)] and view.remove_cluster("c") == []
    assert view.needed_services() == set()


def test_a_cluster_with_inline_endpoints_is_active_at_once() -> None:
    view, static = ClusterView(), Cluster("c", "c", inline_assignment=Assignment("c"))
    assert view.update_cluster(static) == [ClusterChange("c", ReadyCluster(static, Assignment("c")))]
    assert view.update_cluster(static) == [] and view.needed_services() == set()
