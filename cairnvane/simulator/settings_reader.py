"""Reads the deployment's settings (JSON) into `contract.settings`, and names the gauges of a timer event.

Only this module depends on the keys and words of that format. Raises `ProtocolError` with the key
and the value at fault.
"""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from ..contract.events import TimerFired
from ..contract.settings import (
    CancelMode,
    DependencyKind,
    InvalidSettingError,
    LoadSignal,
    RequestClass,
    RetrySemantics,
    Settings,
    Tenant,
)
from .errors import ProtocolError

# Durations in the protocol are microseconds in 32 bits.
MAX_U32 = 0xFFFFFFFF

_RETRY_SEMANTICS = {
    "free": RetrySemantics.IDEMPOTENT,
    "guarded": RetrySemantics.IDEMPOTENCY_KEYED,
    "single_shot": RetrySemantics.NON_IDEMPOTENT,
}
_CANCEL_MODES = {"silent": CancelMode.NONE, "drop": CancelMode.DISCARD, "pause": CancelMode.PAUSE}
_LOAD_SIGNALS = {
    "silent": LoadSignal.NONE,
    "level": LoadSignal.LEVEL,
    "credit": LoadSignal.CREDIT,
    "weight": LoadSignal.WEIGHT,
}
_DEPENDENCIES = {
    "silent": DependencyKind.NONE,
    "shared": DependencyKind.SHARED,
    "tier": DependencyKind.TIER,
}
_GAUGE_FIELDS = {
    "cpu_busy": "cpu_busy",
    "runnable": "runnable",
    "mem_used": "memory_used",
    "sockets": "connections",
}

# Names of settings in `contract.settings`, and the key from which each is read.
_SETTING_KEYS = {
    "cores": "Extra.Cores",
    "memory": "Extra.HeapKb",
    "classes": "Classes",
    "replicas": "PeersTotal",
    "over_quota_fraction": "OverShareWorth",
    "running_memory_factor": "Extra.RunFactor",
    "key_memory": "Extra.KeyKb",
    "dependency_quota": "Extra.FairCalls",
    "dependency_window": "Extra.CallsOverUs",
    "abandoned_call_time": "Extra.LingerUs",
    "clients": "Extra.ClientsTotal",
    "cold_speed": "Guarantees.ColdFrom",
    "warmup_time": "Guarantees.ColdUs",
    "max_oversubscription": "Guarantees.TipMultiple",
    "drain_grace": "Guarantees.StopSendingWithinUs",
    "max_retry_after": "Limits.MaxRetryAfterUs",
    "min_round_interval": "RoundUs",
    "quota": "QuotaPerS",
    "latency_objective": "OnTimeUs",
    "client_timeout": "GiveUpUs",
    "priority_weight": "Worth",
    "late_fraction": "LateWorth",
    "retry_window": "WindowUs",
    "degraded_fraction": "ClassSkipWorth",
    "objective_per_cost": "AimStretch",
}
_LIST_ENTRY = re.compile(r"(classes|tenants)\[(.*)]\.(\w+)", re.DOTALL)

# The `TimerFired` field for each value of a timer event, in order; None if the controller ignores the value.
GaugeFields = tuple[str | None, ...]


class InstanceSettings(NamedTuple):
    """The settings of an instance, and the fields for the values of its timer events."""

    settings: Settings
    gauges: GaugeFields


def _key_of(name: str) -> str:
    """The key from which the setting of this name was read."""
    if (entry := _LIST_ENTRY.fullmatch(name)) is not None:
        return f"{entry[1].capitalize()}[{entry[2]!r}].{_SETTING_KEYS[entry[3]]}"
    return _SETTING_KEYS.get(name, name)


def _value(prefix: str, source: dict[str, Any], key: str, expected_type: type, default: Any = None) -> Any:
    """Return the value of a key and check its type. A key without a default is required."""
    if key not in source and default is None:
        raise ProtocolError(f"settings: key {prefix}{key} is missing")
    value = source.get(key, default)
    if not isinstance(value, expected_type) or (expected_type is int and isinstance(value, bool)):
        raise ProtocolError(f"settings: {prefix}{key}: impossible value {value!r}")
    return value


def _object_list(source: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Return the value of a key, a list of JSON objects; an absent key means an empty list."""
    entries: list[dict[str, Any]] = _value("", source, key, list, [])
    for number, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise ProtocolError(f"settings: {key}[{number}]: impossible value {entry!r}")
    return entries


def _duration(prefix: str, source: dict[str, Any], key: str, default: int | None = None) -> Any:
    """Return a duration, checked to fit into 32 bits; `Settings` checks its type and lower bound."""
    value = _value(prefix, source, key, object, default)
    if isinstance(value, (int, float)) and value > MAX_U32:
        raise ProtocolError(f"settings: {prefix}{key}: impossible value {value!r}: over {MAX_U32}")
    return value


def _enum_member(members: dict[str, Any], prefix: str, source: dict[str, Any], key: str, default: str) -> Any:
    """Return the enumeration member for the word at a key."""
    value = source.get(key, default)
    if not isinstance(value, str) or value not in members:
        raise ProtocolError(f"settings: {prefix}{key}: unknown word {value!r}")
    return members[value]


def _request_class(number: int, entry: dict[str, Any], degraded_fraction: float) -> RequestClass:
    prefix = f"Classes[{number}]."
    return RequestClass(
        name=_value(prefix, entry, "Name", str, ""),
        latency_objective=_duration(prefix, entry, "OnTimeUs"),
        client_timeout=_duration(prefix, entry, "GiveUpUs"),
        priority_weight=entry.get("Worth", 1.0),
        late_fraction=entry.get("LateWorth", 0.0),
        retry_semantics=_enum_member(_RETRY_SEMANTICS, prefix, entry, "Repeat", "free"),
        retry_window=_duration(prefix, entry, "WindowUs", 0),
        degraded_fraction=degraded_fraction,
        objective_per_cost=entry.get("AimStretch", 0.0),
    )


def _request_classes(params: dict[str, Any], extra: dict[str, Any]) -> tuple[RequestClass, ...]:
    entries = _object_list(params, "Classes")
    fractions: list[Any] = _value("Extra.", extra, "ClassSkipWorth", list, [0.0] * len(entries))
    if len(fractions) < len(entries):
        raise ProtocolError(
            f"settings: Extra.ClassSkipWorth: impossible value {fractions!r}: of {len(entries)} classes"
        )
    return tuple(_request_class(number, entry, fractions[number]) for number, entry in enumerate(entries))


def _tenant(number: int, entry: dict[str, Any]) -> Tenant:
    prefix = f"Tenants[{number}]."
    return Tenant(_value(prefix, entry, "Name", str, ""), _value(prefix, entry, "QuotaPerS", object))


def _max_retry_after(limits: dict[str, Any]) -> Any:
    """The longest retry-after that clients honour; 0 if they honour none."""
    is_honoured = _value("Limits.", limits, "RetryAfter", bool, True)
    return _duration("Limits.", limits, "MaxRetryAfterUs", 0) if is_honoured else 0


def _settings(params: dict[str, Any], extra: dict[str, Any]) -> Settings:
    guarantees, limits = (_value("", params, key, dict, {}) for key in ("Guarantees", "Limits"))
    return Settings(
        cores=_value("Extra.", extra, "Cores", int),
        memory=_value("Extra.", extra, "HeapKb", object),
        classes=_request_classes(params, extra),
        tenants=tuple(_tenant(number, entry) for number, entry in enumerate(_object_list(params, "Tenants"))),
        over_quota_fraction=params.get("OverShareWorth", 1.0),
        replicas=max(1, _value("", params, "PeersTotal", int, 1)),
        running_memory_factor=extra.get("RunFactor", 1.0),
        key_memory=extra.get("KeyKb", 0.0),
        cancel_mode=_enum_member(_CANCEL_MODES, "Extra.", extra, "Halt", "silent"),
        load_signal=_enum_member(_LOAD_SIGNALS, "Extra.", extra, "Say", "silent"),
        dependency=_enum_member(_DEPENDENCIES, "Extra.", extra, "Downstream", "silent"),
        dependency_quota=extra.get("FairCalls", 0.0),
        dependency_window=_duration("Extra.", extra, "CallsOverUs", 1_000_000),
        abandoned_call_time=_duration("Extra.", extra, "LingerUs", 0),
        clients=extra.get("ClientsTotal", 1),
        cold_start=_value("Extra.", extra, "JustStarted", bool, False),
        cold_speed=guarantees.get("ColdFrom", 1.0),
        warmup_time=_duration("Guarantees.", guarantees, "ColdUs", 0),
        max_oversubscription=guarantees.get("TipMultiple", 1.0),
        drain_grace=_duration("Guarantees.", guarantees, "StopSendingWithinUs", 0),
        max_retry_after=_max_retry_after(limits),
        min_round_interval=_duration("", params, "RoundUs", 1_000),
    )


def _gauge_field(name: object) -> str | None:
    if not isinstance(name, str):
        raise ProtocolError(f"settings: Extra.Meters: impossible value {name!r}")
    return _GAUGE_FIELDS.get(name)


def read_settings(text: str) -> InstanceSettings:
    """Parse a settings text (JSON); raise `ProtocolError` with the key and the value at fault."""
    try:
        params = json.loads(text)
        if not isinstance(params, dict):
            raise ProtocolError(f"settings: impossible value {params!r}")
        extra = _value("", params, "Extra", dict)
        settings = _settings(params, extra)
        gauges = tuple(_gauge_field(name) for name in _value("Extra.", extra, "Meters", list, []))
    except json.JSONDecodeError as error:
        raise ProtocolError(f"settings: not JSON: {error}") from None
    except InvalidSettingError as error:
        raise ProtocolError(f"settings: {_key_of(error.name)}: impossible value {error.value!r}") from None
    return InstanceSettings(settings, gauges)


def timer_fired(token: int, values: Sequence[float], gauges: GaugeFields) -> TimerFired:
    """Build a timer event, with its values assigned to the gauge fields from the settings."""
    fired = TimerFired(token)
    for name, value in zip(gauges, values, strict=False):
        if name is not None:
            setattr(fired, name, value)
    return fired
