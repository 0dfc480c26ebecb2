"""Envoy's messages to descriptions, on the published message classes (xds-protos; the extra `xds`).

`ValueError` names the field and what is wrong with it; the resource is then refused, and the last good one
counts on. `docs/fleet.md` has the table of fields that are understood, ignored and refused.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format
from google.protobuf.message import DecodeError

from ..load_balancing.circuit_breakers import Breakers, RetryBudget
from ..load_balancing.cluster import MILLION, Assignment, Cluster, Locality, Policy
from ..load_balancing.endpoints import Address, Described, Health
from ..load_balancing.locality_weights import PANIC_THRESHOLD
from ..load_balancing.weighted_choice import MOST_WEIGHT
from .session import ASSIGNMENT, CLUSTER

# Names are not looked up here, and no listener is there that could know an original destination.
_TYPES = ("EDS", "STATIC")
_POLICIES = {
    "ROUND_ROBIN": Policy.ROUND_ROBIN,
    "LEAST_REQUEST": Policy.LEAST_REQUEST,
    "RANDOM": Policy.RANDOM,
    "RING_HASH": Policy.RING_HASH,
    "MAGLEV": Policy.MAGLEV,
}
_HEALTH = {
    health_check_pb2.UNHEALTHY: Health.UNHEALTHY,
    health_check_pb2.TIMEOUT: Health.UNHEALTHY,
    health_check_pb2.DRAINING: Health.DRAINING,
    health_check_pb2.DEGRADED: Health.DEGRADED,
}  # all others, those of later versions too, count as healthy
_PER = {"HUNDRED": MILLION // 100, "TEN_THOUSAND": MILLION // 10_000, "MILLION": 1}
MOST_PRIORITY = 128  # the protocol's own bound


def _require(ok: bool, field: str, what: object) -> None:
    if not ok:
        raise ValueError(f"{field}: {what}")


def _us(duration: Any) -> int:
    return int(duration.seconds * MILLION + duration.nanos // 1_000)


def cluster(name: str, told: Any) -> Cluster:
    """A Cluster message; None if there was none to be read."""
    _require(told is not None, "resource", "no Cluster")
    _require(bool(told.name) and told.name == name, "name", f"{told.name!r} in the resource {name!r}")
    kind = cluster_pb2.Cluster.DiscoveryType.Name(told.type)
    _require(not told.HasField("cluster_type"), "cluster_type", f"{told.cluster_type.name!r} is refused")
    _require(kind in _TYPES, "type", f"{kind} is refused; only {' and '.join(_TYPES)} are understood")
    policy = cluster_pb2.Cluster.LbPolicy.Name(told.lb_policy)
    _require(policy in _POLICIES, "lb_policy", f"{policy} is refused")
    if kind == "EDS":
        source = told.eds_cluster_config.eds_config.WhichOneof("config_source_specifier")
        known = source in ("ads", "self", None)
        _require(known, "eds_cluster_config.eds_config", f"{source} is refused; only ads")
    inline = assignment(name, told.load_assignment) if kind == "STATIC" else None
    percent = told.common_lb_config.healthy_panic_threshold
    panic = percent.value if told.common_lb_config.HasField("healthy_panic_threshold") else PANIC_THRESHOLD
    _require(0 <= panic <= 100, "common_lb_config.healthy_panic_threshold", panic)
    lb = told.least_request_lb_config if policy == "LEAST_REQUEST" else told.round_robin_lb_config
    start = _us(lb.slow_start_config.slow_start_window)
    service = told.eds_cluster_config.service_name or name
    return Cluster(name, service, _POLICIES[policy], _breakers(told), panic, start, inline)


def _breakers(told: Any) -> Breakers:
    """Of the priority DEFAULT; HIGH is for traffic that is marked so, which none here is."""
    for found in told.circuit_breakers.thresholds:
        if found.priority != 0:
            continue
        plain = Breakers()

        def given(field: str, default: int, found: Any = found) -> int:
            return int(getattr(found, field).value) if found.HasField(field) else default

        budget = None
        if found.HasField("retry_budget"):
            kept = RetryBudget()
            share = found.retry_budget.budget_percent
            budget = RetryBudget(
                share.value if found.retry_budget.HasField("budget_percent") else kept.percent,
                given("min_retry_concurrency", kept.least, found.retry_budget),
            )
        return Breakers(
            given("max_connections", plain.connections),
            given("max_pending_requests", plain.pending),
            given("max_requests", plain.requests),
            given("max_retries", plain.retries),
            budget,
        )
    return Breakers()


def assignment(name: str, told: Any) -> Assignment:
    """A ClusterLoadAssignment message; None if there was none to be read."""
    _require(told is not None, "resource", "no ClusterLoadAssignment")
    _require(
        bool(told.cluster_name) and told.cluster_name == name,
        "cluster_name",
        f"{told.cluster_name!r} in the resource {name!r}",
    )
    seen: dict[Address, str] = {}
    found = tuple(_locality(f"endpoints[{at}]", one, seen) for at, one in enumerate(told.endpoints))
    priorities = {one.priority for one in found}
    missing = sorted(set(range(len(priorities))) - priorities)
    _require(not missing, "endpoints", f"priority {missing[:1]} is left out")
    for priority in priorities:
        total = sum(one.weight for one in found if one.priority == priority)
        _require(total <= MOST_WEIGHT, "endpoints", f"weights of priority {priority} add up to {total}")
    places = [(one.name, one.priority) for one in found]
    _require(len(set(places)) == len(places), "endpoints", "a locality stands twice in one priority")
    policy = told.policy
    drops = tuple(_drop(f"policy.drop_overloads[{at}]", one) for at, one in enumerate(policy.drop_overloads))
    factor = policy.overprovisioning_factor.value if policy.HasField("overprovisioning_factor") else 140
    _require(factor >= 100, "policy.overprovisioning_factor", f"{factor} is below 100")
    return Assignment(name, found, factor, drops)


def _drop(field: str, told: Any) -> tuple[str, int]:
    _require(bool(told.category), f"{field}.category", "missing")
    share = told.drop_percentage
    million = share.numerator * _PER[type(share).DenominatorType.Name(share.denominator)]
    return told.category, min(MILLION, million)


def _locality(field: str, told: Any, seen: dict[Address, str]) -> Locality:
    _require(told.priority <= MOST_PRIORITY, f"{field}.priority", f"{told.priority} is above {MOST_PRIORITY}")
    parts = (told.locality.region, told.locality.zone, told.locality.sub_zone)
    name = "/".join(part for part in parts if part)
    endpoints: dict[Address, Described] = {}
    for at, one in enumerate(told.lb_endpoints):
        here = f"{field}.lb_endpoints[{at}]"
        address = _address(f"{here}.endpoint.address", one.endpoint.address)
        _require(address not in seen, here, f"{address[0]}:{address[1]} stands in {seen.get(address)} too")
        seen[address] = here
        weight = one.load_balancing_weight.value if one.HasField("load_balancing_weight") else 1
        _require(weight >= 1, f"{here}.load_balancing_weight", "0; leave the endpoint out, or have it drain")
        endpoints[address] = Described(weight, _HEALTH.get(one.health_status, Health.HEALTHY))
    total = sum(one.weight for one in endpoints.values())
    _require(total <= MOST_WEIGHT, f"{field}.lb_endpoints", f"weights add up to {total}")
    return Locality(name, told.priority, told.load_balancing_weight.value, endpoints)


def _address(field: str, told: Any) -> Address:
    socket = told.socket_address
    _require(told.WhichOneof("address") == "socket_address", field, "no socket_address")
    _require(socket.WhichOneof("port_specifier") == "port_value", f"{field}.port_value", "missing")
    _require(0 < socket.port_value < 65_536, f"{field}.port_value", socket.port_value)
    digits = socket.address.replace(".", "").replace(":", "")
    plain = bool(digits) and all(sign in "0123456789abcdefABCDEF" for sign in digits)
    _require(plain, f"{field}.address", f"{socket.address!r} is no address in figures; none is looked up")
    return socket.address, socket.port_value


_KINDS: dict[str, tuple[Any, str, Callable[[str, Any], Any]]] = {
    CLUSTER: (cluster_pb2.Cluster, "name", cluster),
    ASSIGNMENT: (endpoint_pb2.ClusterLoadAssignment, "cluster_name", assignment),
}


def parse(type_url: str, body: bytes) -> tuple[str, Any]:
    """The name that a resource gives itself, and its message; empty and None if it can't be read."""
    if type_url not in _KINDS:
        return "", None
    make, key, _ = _KINDS[type_url]
    try:
        message = make.FromString(body)
    except DecodeError:
        return "", None
    return str(getattr(message, key)), message


def check_json(text: str) -> tuple[list[Cluster | Assignment], list[str]]:
    """A description as a file has it: a DiscoveryResponse in JSON, with `resources`. What is good, and a
    line for each resource that is not. `ValueError` if it is none at all."""
    try:
        told = json.loads(text)
    except ValueError as error:
        raise ValueError(f"no JSON: {error}") from None
    found = told.get("resources") if isinstance(told, dict) else None
    _require(isinstance(found, list), "resources", "missing, or no list")
    assert isinstance(found, list)
    good: list[Cluster | Assignment] = []
    bad: list[str] = []
    for at, one in enumerate(found):
        try:
            good.append(_from_json(one))
        except ValueError as error:
            bad.append(f"resources[{at}].{error}")
    return good, bad


def _from_json(told: Any) -> Cluster | Assignment:
    _require(isinstance(told, dict), "@type", "no object")
    kind = told.get("@type")
    _require(kind in _KINDS, "@type", f"{kind!r} is not understood")
    make, key, take = _KINDS[kind]
    try:
        fields = {name: value for name, value in told.items() if name != "@type"}
        message = json_format.ParseDict(fields, make())
    except json_format.ParseError as error:
        raise ValueError(f"{kind.rpartition('.')[2]}: {str(error).splitlines()[0]}") from None
    found: Cluster | Assignment = take(getattr(message, key), message)
    return found
