"""Static configuration of one service instance: request classes, tenants, limits and guarantees.

Durations are integer microseconds, memory is in kilobytes. Constructors raise `InvalidSettingError` for a
value that is out of range.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetrySemantics(Enum):
    """Whether requests of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"  # may run any number of times
    IDEMPOTENCY_KEYED = "idempotency_keyed"  # has an effect; retried within a window, must not run twice
    NON_IDEMPOTENT = "non_idempotent"  # has an effect; retried only if the last attempt never ran


class CancelMode(Enum):
    """What cancelling a run does."""

    NONE = "none"  # a run can't be cancelled
    DISCARD = "discard"  # the work done is lost
    PAUSE = "pause"  # the run can be resumed, and keeps its memory


class LoadSignal(Enum):
    """How clients interpret the value that is sent with every response (`ReportLoad`)."""

    NONE = "none"
    LEVEL = "level"  # they send no request of a lower rank
    CREDIT = "credit"  # the maximum number of requests that each has outstanding here
    WEIGHT = "weight"  # the probability, 0 to 1, that they choose this instance when its turn comes


class DependencyKind(Enum):
    """The kind of dependency that requests call while they run."""

    NONE = "none"
    SHARED = "shared"  # one dependency below all instances
    TIER = "tier"  # a further tier of instances


class InvalidSettingError(ValueError):
    """A setting whose value is out of range.

    `name` is the name of the setting in this module. Readers of configuration formats translate it into the
    key of their format.
    """

    def __init__(self, name: str, value: object) -> None:
        super().__init__(f"{name}: impossible value {value!r}")
        self.name = name
        self.value = value


def _require(condition: bool, name: str, value: object) -> None:
    if not condition:
        raise InvalidSettingError(name, value)


def _require_number(name: str, value: object, minimum: float = 0, exclusive: bool = False) -> None:
    """Require a finite number of at least `minimum`, or greater if `exclusive`."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    _require(is_number and minimum <= value < float("inf"), name, value)  # type: ignore[operator]
    _require(not (exclusive and value == minimum), name, value)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective: int = 0  # a response within this time earns the full weight; required
    client_timeout: int = 0  # a client waits no longer than this; required
    priority_weight: float = 1.0
    late_fraction: float = 0.0  # the fraction of the weight that a response after the objective still earns
    retry_semantics: RetrySemantics = RetrySemantics.IDEMPOTENT
    retry_window: int = 0  # keyed: how long after its arrival a request may be retried
    degraded_fraction: float = 0.0  # the fraction earned without the dependency's call; 0: it is required
    objective_per_cost: float = 0.0  # added to the objective: this multiple of the request's estimated work

    def __post_init__(self) -> None:
        place = f"classes[{self.name}]"
        for name in ("latency_objective", "client_timeout"):
            _require_number(f"{place}.{name}", getattr(self, name), exclusive=True)
        for name in (
            "priority_weight",
            "late_fraction",
            "retry_window",
            "degraded_fraction",
            "objective_per_cost",
        ):
            _require_number(f"{place}.{name}", getattr(self, name))
        is_known = isinstance(self.retry_semantics, RetrySemantics)
        _require(is_known, f"{place}.retry_semantics", self.retry_semantics)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One of the groups of clients that share the service."""

    name: str
    quota: float  # requests per second, summed over all instances

    def __post_init__(self) -> None:
        _require_number(f"tenants[{self.name}].quota", self.quota)


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one instance."""

    cores: int = 0  # required, as are the next two
    memory: float = 0.0
    classes: tuple[RequestClass, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_quota_fraction: float = 1.0  # the fraction of the weight that a request beyond its quota earns
    replicas: int = 1  # instances of the service when this one starts, itself included
    running_memory_factor: float = 1.0  # memory of a running or paused request relative to a queued one
    key_memory: float = 0.0  # memory of one remembered idempotency key
    cancel_mode: CancelMode = CancelMode.NONE
    load_signal: LoadSignal = LoadSignal.NONE
    dependency: DependencyKind = DependencyKind.NONE
    dependency_quota: float = 0.0  # shared: this instance's share of the calls that it can handle
    dependency_window: int = 1_000_000  # the interval over which calls in flight are averaged
    abandoned_call_time: int = 0  # how long an abandoned call may go on occupying the dependency
    clients: int = 1  # number of clients when this instance starts
    cold_start: bool = False  # the instance starts cold
    cold_speed: float = 1.0  # a cold instance starts with at least this fraction of its speed
    warmup_time: int = 0  # the longest time until it is warm
    max_oversubscription: float = 2.0  # running requests per core that a warm instance can sustain
    drain_grace: int = 0  # requests that arrive later than this after the shutdown notice must not run
    max_retry_after: int = 0  # the longest retry-after that clients honour; 0: they ignore it
    min_round_interval: int = 1_000  # the least time between two calls of `handle`

    @property
    def longest_client_timeout(self) -> int:
        """The longest time for which any client waits for its answer, in microseconds."""
        return max(cls.client_timeout for cls in self.classes)

    def __post_init__(self) -> None:
        _require(isinstance(self.cores, int) and self.cores >= 1, "cores", self.cores)
        _require(len(self.classes) > 0, "classes", self.classes)
        _require(isinstance(self.replicas, int) and self.replicas >= 1, "replicas", self.replicas)
        for name in ("memory", "running_memory_factor", "dependency_window", "min_round_interval"):
            _require_number(name, getattr(self, name), exclusive=True)
        for name in (
            "over_quota_fraction",
            "key_memory",
            "dependency_quota",
            "abandoned_call_time",
            "clients",
            "cold_speed",
            "warmup_time",
            "drain_grace",
            "max_retry_after",
        ):
            _require_number(name, getattr(self, name))
        _require_number("max_oversubscription", self.max_oversubscription, minimum=1)
        _require(self.cold_speed <= 1, "cold_speed", self.cold_speed)
        for name, kind in (
            ("cancel_mode", CancelMode),
            ("load_signal", LoadSignal),
            ("dependency", DependencyKind),
        ):
            _require(isinstance(getattr(self, name), kind), name, getattr(self, name))
