"""Parses Envoy's messages into descriptions; requires xds-protos (the extra `xds`).

`DescriptionError` names the invalid field and the reason. The resource is then rejected, and its last good
version remains active. `docs/load-balancing.md` lists which fields are supported, ignored and rejected.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format
from google.protobuf.message import DecodeError

from ..load_balancing.circuit_breakers import CircuitBreakers, RetryBudget
from ..load_balancing.cluster import MILLION, Assignment, Cluster, DropRate, LoadBalancingPolicy, Locality
from ..load_balancing.endpoints import Address, EndpointDescription, EndpointHealth
from ..load_balancing.locality_weights import OVERPROVISIONING_PERCENT, PANIC_THRESHOLD_PERCENT
from ..load_balancing.weighted_choice import MAX_WEIGHT
from .protocol import NamedResource
from .session import ASSIGNMENT, CLUSTER

# DNS types are unsupported since no names are resolved here, ORIGINAL_DST since there is no listener that
# could know an original destination.
_DISCOVERY_TYPES = ("EDS", "STATIC")
_CONFIG_SOURCES = ("ads", "self", None)
_POLICIES = {
    "ROUND_ROBIN": LoadBalancingPolicy.ROUND_ROBIN,
    "LEAST_REQUEST": LoadBalancingPolicy.LEAST_REQUEST,
    "RANDOM": LoadBalancingPolicy.RANDOM,
    "RING_HASH": LoadBalancingPolicy.RING_HASH,
    "MAGLEV": LoadBalancingPolicy.MAGLEV,
}
_HEALTH = {
    health_check_pb2.UNHEALTHY: EndpointHealth.UNHEALTHY,
    health_check_pb2.TIMEOUT: EndpointHealth.UNHEALTHY,
    health_check_pb2.DRAINING: EndpointHealth.DRAINING,
    health_check_pb2.DEGRADED: EndpointHealth.DEGRADED,
}  # all other values, also those of later API versions, count as healthy
# The parts per million of one numerator unit, by denominator.
_PER_MILLION = {"HUNDRED": MILLION // 100, "TEN_THOUSAND": MILLION // 10_000, "MILLION": 1}
_DEFAULT_ROUTING_PRIORITY = 0
MAX_PRIORITY = 128  # the protocol's limit
MAX_PORT = 65_535
MIN_OVERPROVISIONING_PERCENT = 100
HEX_DIGITS = "0123456789abcdefABCDEF"


class DescriptionError(ValueError):
    """A field of a description is invalid; the text names the field and the reason."""

    def __init__(self, field: str, problem: object) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field


def _require(condition: bool, field: str, problem: object) -> None:
    if not condition:
        raise DescriptionError(field, problem)


def _microseconds(duration: Any) -> int:
    return int(duration.seconds * MILLION + duration.nanos // 1_000)


# --- clusters


def parse_cluster(name: str, message: Any) -> Cluster:
    """Parse a cluster; `message` is None if unreadable. Raises `DescriptionError` if it is invalid."""
    _require(message is not None, "resource", "no Cluster")
    name_matches = bool(message.name) and message.name == name
    _require(name_matches, "name", f"{message.name!r} in the resource {name!r}")
    discovery_type = _discovery_type(message)
    policy = cluster_pb2.Cluster.LbPolicy.Name(message.lb_policy)
    _require(policy in _POLICIES, "lb_policy", f"{policy} is refused")
    if discovery_type == "EDS":
        _check_config_source(message)
    is_static = discovery_type == "STATIC"
    return Cluster(
        name,
        message.eds_cluster_config.service_name or name,
        _POLICIES[policy],
        inline_assignment=parse_assignment(name, message.load_assignment) if is_static else None,
        panic_threshold=_panic_threshold(message),
        slow_start_us=_slow_start_us(message, policy),
        circuit_breakers=_circuit_breakers(message),
    )


def _discovery_type(message: Any) -> str:
    discovery_type: str = cluster_pb2.Cluster.DiscoveryType.Name(message.type)
    has_custom_type = message.HasField("cluster_type")
    _require(not has_custom_type, "cluster_type", f"{message.cluster_type.name!r} is refused")
    understood = " and ".join(_DISCOVERY_TYPES)
    is_understood = discovery_type in _DISCOVERY_TYPES
    _require(is_understood, "type", f"{discovery_type} is refused; only {understood} are understood")
    return discovery_type


def _check_config_source(message: Any) -> None:
    source = message.eds_cluster_config.eds_config.WhichOneof("config_source_specifier")
    _require(source in _CONFIG_SOURCES, "eds_cluster_config.eds_config", f"{source} is refused; only ads")


def _panic_threshold(message: Any) -> float:
    config = message.common_lb_config
    if not config.HasField("healthy_panic_threshold"):
        return PANIC_THRESHOLD_PERCENT
    percent: float = config.healthy_panic_threshold.value
    _require(0 <= percent <= 100, "common_lb_config.healthy_panic_threshold", percent)
    return percent


def _slow_start_us(message: Any, policy: str) -> int:
    is_least_request = policy == "LEAST_REQUEST"
    config = message.least_request_lb_config if is_least_request else message.round_robin_lb_config
    return _microseconds(config.slow_start_config.slow_start_window)


def _circuit_breakers(message: Any) -> CircuitBreakers:
    """The thresholds of routing priority DEFAULT; HIGH is for marked traffic, which is not supported."""
    for thresholds in message.circuit_breakers.thresholds:
        if thresholds.priority == _DEFAULT_ROUTING_PRIORITY:
            return _thresholds(thresholds)
    return CircuitBreakers()


def _thresholds(message: Any) -> CircuitBreakers:
    defaults = CircuitBreakers()
    return CircuitBreakers(
        connections=_number(message, "max_connections", defaults.connections),
        pending=_number(message, "max_pending_requests", defaults.pending),
        requests=_number(message, "max_requests", defaults.requests),
        retries=_number(message, "max_retries", defaults.retries),
        budget=_retry_budget(message.retry_budget) if message.HasField("retry_budget") else None,
    )


def _retry_budget(message: Any) -> RetryBudget:
    defaults = RetryBudget()
    has_percent = message.HasField("budget_percent")
    return RetryBudget(
        percent=message.budget_percent.value if has_percent else defaults.percent,
        min_retries=_number(message, "min_retry_concurrency", defaults.min_retries),
    )


def _number(message: Any, field: str, default: int) -> int:
    """The value of a wrapped number field, or the default if it is not set."""
    return int(getattr(message, field).value) if message.HasField(field) else default


# --- endpoints


def parse_assignment(name: str, message: Any) -> Assignment:
    """Parse an assignment; `message` is None if unreadable. Raises `DescriptionError` if it is invalid."""
    _require(message is not None, "resource", "no ClusterLoadAssignment")
    name_matches = bool(message.cluster_name) and message.cluster_name == name
    _require(name_matches, "cluster_name", f"{message.cluster_name!r} in the resource {name!r}")
    fields_by_address: dict[Address, str] = {}
    localities = tuple(
        _locality(f"endpoints[{index}]", locality, fields_by_address)
        for index, locality in enumerate(message.endpoints)
    )
    _check_localities(localities)
    policy = message.policy
    drops = tuple(
        _drop(f"policy.drop_overloads[{index}]", drop) for index, drop in enumerate(policy.drop_overloads)
    )
    overprovisioning = _number(policy, "overprovisioning_factor", OVERPROVISIONING_PERCENT)
    is_enough = overprovisioning >= MIN_OVERPROVISIONING_PERCENT
    _require(
        is_enough,
        "policy.overprovisioning_factor",
        f"{overprovisioning} is below {MIN_OVERPROVISIONING_PERCENT}",
    )
    return Assignment(name, localities, overprovisioning, drops)


def _check_localities(localities: tuple[Locality, ...]) -> None:
    """Check for gaps in priorities, weights out of range and duplicate localities in a priority."""
    priorities = {locality.priority for locality in localities}
    missing = sorted(set(range(len(priorities))) - priorities)
    _require(not missing, "endpoints", f"priority {missing[:1]} is left out")
    totals: defaultdict[int, int] = defaultdict(int)
    for locality in localities:
        totals[locality.priority] += locality.weight
    for priority in priorities:
        total = totals[priority]
        _require(total <= MAX_WEIGHT, "endpoints", f"weights of priority {priority} add up to {total}")
    keys = [(locality.name, locality.priority) for locality in localities]
    is_unique = len(set(keys)) == len(keys)
    _require(is_unique, "endpoints", "a locality stands twice in one priority")


def _drop(field: str, message: Any) -> DropRate:
    _require(bool(message.category), f"{field}.category", "missing")
    share = message.drop_percentage
    denominator = type(share).DenominatorType.Name(share.denominator)
    per_million = share.numerator * _PER_MILLION[denominator]
    return DropRate(message.category, min(MILLION, per_million))


def _locality(field: str, message: Any, fields_by_address: dict[Address, str]) -> Locality:
    """Parse one locality; adds its endpoints to `fields_by_address`, which finds duplicate addresses."""
    priority = message.priority
    _require(priority <= MAX_PRIORITY, f"{field}.priority", f"{priority} is above {MAX_PRIORITY}")
    parts = (message.locality.region, message.locality.zone, message.locality.sub_zone)
    name = "/".join(part for part in parts if part)
    endpoints: dict[Address, EndpointDescription] = {}
    for index, endpoint in enumerate(message.lb_endpoints):
        endpoint_field = f"{field}.lb_endpoints[{index}]"
        address = _address(f"{endpoint_field}.endpoint.address", endpoint.endpoint.address)
        earlier = fields_by_address.get(address)
        _require(earlier is None, endpoint_field, f"{address[0]}:{address[1]} stands in {earlier} too")
        fields_by_address[address] = endpoint_field
        endpoints[address] = _endpoint(endpoint_field, endpoint)
    total = sum(endpoint.weight for endpoint in endpoints.values())
    _require(total <= MAX_WEIGHT, f"{field}.lb_endpoints", f"weights add up to {total}")
    return Locality(name, priority, message.load_balancing_weight.value, endpoints)


def _endpoint(field: str, message: Any) -> EndpointDescription:
    weight = _number(message, "load_balancing_weight", 1)
    weight_field = f"{field}.load_balancing_weight"
    _require(weight >= 1, weight_field, "0; leave the endpoint out, or have it drain")
    return EndpointDescription(weight, _HEALTH.get(message.health_status, EndpointHealth.HEALTHY))


def _address(field: str, message: Any) -> Address:
    socket = message.socket_address
    _require(message.WhichOneof("address") == "socket_address", field, "no socket_address")
    port_field = f"{field}.port_value"
    _require(socket.WhichOneof("port_specifier") == "port_value", port_field, "missing")
    _require(0 < socket.port_value <= MAX_PORT, port_field, socket.port_value)
    digits = socket.address.replace(".", "").replace(":", "")
    is_numeric = bool(digits) and all(digit in HEX_DIGITS for digit in digits)
    problem = f"{socket.address!r} is no address in figures; none is looked up"
    _require(is_numeric, f"{field}.address", problem)
    return socket.address, socket.port_value


# --- resources


class _ResourceType(NamedTuple):
    """How resources of one type are parsed."""

    message_class: Any
    name_field: str
    parse: Callable[[str, Any], Any]


_RESOURCE_TYPES: dict[str, _ResourceType] = {
    CLUSTER: _ResourceType(cluster_pb2.Cluster, "name", parse_cluster),
    ASSIGNMENT: _ResourceType(endpoint_pb2.ClusterLoadAssignment, "cluster_name", parse_assignment),
}


UNREADABLE = NamedResource("", None)


def parse_resource(type_url: str, body: bytes) -> NamedResource:
    """The name in a resource's own message, and the message; `UNREADABLE` if parsing fails."""
    if type_url not in _RESOURCE_TYPES:
        return UNREADABLE
    resource_type = _RESOURCE_TYPES[type_url]
    try:
        message = resource_type.message_class.FromString(body)
    except DecodeError:
        return UNREADABLE
    return NamedResource(str(getattr(message, resource_type.name_field)), message)


def check_json(text: str) -> tuple[list[Cluster | Assignment], list[str]]:
    """Parse a DiscoveryResponse in JSON that has `resources`.

    Returns the valid resources, and a line for each invalid one. Raises `ValueError` for any other text.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise ValueError(f"invalid JSON: {error}") from None
    entries = document.get("resources") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        raise DescriptionError("resources", "missing, or not a list")
    valid: list[Cluster | Assignment] = []
    errors: list[str] = []
    for index, entry in enumerate(entries):
        try:
            valid.append(_from_json(entry))
        except ValueError as error:
            errors.append(f"resources[{index}].{error}")
    return valid, errors


def _from_json(entry: Any) -> Cluster | Assignment:
    if not isinstance(entry, dict):
        raise DescriptionError("@type", "not an object")
    type_url = entry.get("@type")
    _require(type_url in _RESOURCE_TYPES, "@type", f"{type_url!r} is not supported")
    resource_type = _RESOURCE_TYPES[str(type_url)]
    fields = {name: value for name, value in entry.items() if name != "@type"}
    try:
        message = json_format.ParseDict(fields, resource_type.message_class())
    except json_format.ParseError as error:
        message_name = str(type_url).rpartition(".")[2]
        raise DescriptionError(message_name, str(error).splitlines()[0]) from None
    parsed: Cluster | Assignment = resource_type.parse(getattr(message, resource_type.name_field), message)
    return parsed
