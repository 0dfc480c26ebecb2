"""The bench's binary protocol, put into the terms of `interface.py` and back. Translation only."""

from __future__ import annotations

import json
import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from . import interface as i

BATCH_HEADER = struct.Struct(">QII")
REPLY_HEADER = struct.Struct(">II")
EVENT_SIZE = 56
ACTION_SIZE = 16

FOR, HELLO, TEARDOWN = 19, 25, 20
BY, FAULT, TRACE = 88, 89, 92

_INSTANCE = struct.Struct(">xH")
_HELLO = struct.Struct(">xQII")
_ID = struct.Struct(">xQ")
_ID_CODE_TIME = struct.Struct(">xQBI")
_INBOUND = struct.Struct(">xQBIQIIffBHIQ")
_U32 = struct.Struct(">xI")
_WAKEUP = struct.Struct(">xIBffff")

OUTCOMES = {
    0: i.Outcome.OK,
    255: i.Outcome.ERROR,
    254: i.Outcome.REJECTED,
    253: i.Outcome.TIMEOUT,
    252: i.Outcome.UNREACHED,
    251: i.Outcome.BROKEN,
    250: i.Outcome.CANCELLED,
    249: i.Outcome.MOOT,
}
GAUGES = {"cpu_busy": "cpu_busy", "runnable": "runnable", "mem_used": "memory_used", "sockets": "connections"}


class WireError(Exception):
    """A frame or settings text that does not follow the protocol."""


@dataclass(frozen=True, slots=True)
class Hello:
    """An instance starts."""

    seed: int
    settings: i.Settings
    gauges: tuple[str | None, ...]


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance has died."""


# --- settings --------------------------------------------------------------------------------------------

_REPEAT = {"free": i.Repeat.SAFE, "guarded": i.Repeat.KEYED, "single_shot": i.Repeat.UNSAFE}
_HALT = {"silent": i.HaltMode.NONE, "drop": i.HaltMode.DROP, "pause": i.HaltMode.PAUSE}
_SIGNAL = {
    "silent": i.Signal.NONE,
    "level": i.Signal.LEVEL,
    "credit": i.Signal.CREDIT,
    "weight": i.Signal.WEIGHT,
}
_BELOW = {"silent": i.Downstream.NONE, "shared": i.Downstream.SHARED, "tier": i.Downstream.TIER}


# What the settings are called here, and the key that brings each.
_KEYS = {
    "cores": "Extra.Cores",
    "memory": "Extra.HeapKb",
    "classes": "Classes",
    "peers": "PeersTotal",
    "over_share_worth": "OverShareWorth",
    "run_factor": "Extra.RunFactor",
    "key_memory": "Extra.KeyKb",
    "fair_calls": "Extra.FairCalls",
    "calls_window": "Extra.CallsOverUs",
    "call_linger": "Extra.LingerUs",
    "callers": "Extra.ClientsTotal",
    "cold_from": "Guarantees.ColdFrom",
    "cold_for": "Guarantees.ColdUs",
    "crowd_multiple": "Guarantees.TipMultiple",
    "drain_grace": "Guarantees.StopSendingWithinUs",
    "max_advice": "Limits.MaxRetryAfterUs",
    "round": "RoundUs",
    "quota": "QuotaPerS",
    "aim": "OnTimeUs",
    "patience": "GiveUpUs",
    "worth": "Worth",
    "late_worth": "LateWorth",
    "window": "WindowUs",
    "skip_worth": "ClassSkipWorth",
    "aim_stretch": "AimStretch",
}
_ENTRY = re.compile(r"(classes|tenants)\[(.*)]\.(\w+)", re.DOTALL)
# A duration on the wire has 32 bits of microseconds.
MAX_U32 = 0xFFFFFFFF


def _key(name: str) -> str:
    """The key that a setting of this name came by."""
    if (entry := _ENTRY.fullmatch(name)) is not None:
        return f"{entry[1].capitalize()}[{entry[2]!r}].{_KEYS[entry[3]]}"
    return _KEYS.get(name, name)


def _part(place: str, told: dict[str, Any], key: str, form: type, default: Any = None) -> Any:
    """What stands under this key, which has this form; without a default it must be there."""
    if key not in told and default is None:
        raise WireError(f"settings: key {place}{key} is missing")
    value = told.get(key, default)
    if not isinstance(value, form) or (form is int and isinstance(value, bool)):
        raise WireError(f"settings: {place}{key}: impossible value {value!r}")
    return value


def _parts(told: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """A list of objects."""
    parts: list[dict[str, Any]] = _part("", told, key, list, [])
    for number, part in enumerate(parts):
        if not isinstance(part, dict):
            raise WireError(f"settings: {key}[{number}]: impossible value {part!r}")
    return parts


def _time(place: str, told: dict[str, Any], key: str, default: int | None = None) -> Any:
    """A duration; whether it is a possible one in its place is looked at later."""
    value = _part(place, told, key, object, default)
    if isinstance(value, (int, float)) and value > MAX_U32:
        raise WireError(f"settings: {place}{key}: impossible value {value!r}: over {MAX_U32}")
    return value


def _word(table: dict[str, Any], place: str, told: dict[str, Any], key: str, default: str) -> Any:
    value = told.get(key, default)
    if not isinstance(value, str) or value not in table:
        raise WireError(f"settings: {place}{key}: unknown word {value!r}")
    return table[value]


def _class(number: int, entry: dict[str, Any], skip_worth: float) -> i.RequestClass:
    place = f"Classes[{number}]."
    return i.RequestClass(
        name=_part(place, entry, "Name", str, ""),
        aim=_time(place, entry, "OnTimeUs"),
        patience=_time(place, entry, "GiveUpUs"),
        worth=entry.get("Worth", 1.0),
        late_worth=entry.get("LateWorth", 0.0),
        repeat=_word(_REPEAT, place, entry, "Repeat", "free"),
        window=_time(place, entry, "WindowUs", 0),
        skip_worth=skip_worth,
        aim_stretch=entry.get("AimStretch", 0.0),
    )


def _tenant(number: int, entry: dict[str, Any]) -> i.Tenant:
    place = f"Tenants[{number}]."
    return i.Tenant(_part(place, entry, "Name", str, ""), _part(place, entry, "QuotaPerS", object))


def _skips(extra: dict[str, Any], classes: int) -> list[Any]:
    skips: list[Any] = _part("Extra.", extra, "ClassSkipWorth", list, [0.0] * classes)
    if len(skips) < classes:
        raise WireError(f"settings: Extra.ClassSkipWorth: impossible value {skips!r}: of {classes} classes")
    return skips


def read_settings(text: str) -> tuple[i.Settings, tuple[str | None, ...]]:
    """The settings in a `Hello`, and the gauges in the order in which a `Wakeup` brings them."""
    try:
        params = json.loads(text)
        if not isinstance(params, dict):
            raise WireError(f"settings: impossible value {params!r}")
        extra = _part("", params, "Extra", dict)
        rules, limits = (_part("", params, key, dict, {}) for key in ("Guarantees", "Limits"))
        classes = _parts(params, "Classes")
        skips = _skips(extra, len(classes))
        heeded = _part("Limits.", limits, "RetryAfter", bool, True)
        settings = i.Settings(
            cores=_part("Extra.", extra, "Cores", int),
            memory=_part("Extra.", extra, "HeapKb", object),
            classes=tuple(_class(n, c, skips[n]) for n, c in enumerate(classes)),
            tenants=tuple(_tenant(n, t) for n, t in enumerate(_parts(params, "Tenants"))),
            over_share_worth=params.get("OverShareWorth", 1.0),
            peers=max(1, _part("", params, "PeersTotal", int, 1)),
            run_factor=extra.get("RunFactor", 1.0),
            key_memory=extra.get("KeyKb", 0.0),
            halt=_word(_HALT, "Extra.", extra, "Halt", "silent"),
            signal=_word(_SIGNAL, "Extra.", extra, "Say", "silent"),
            downstream=_word(_BELOW, "Extra.", extra, "Downstream", "silent"),
            fair_calls=extra.get("FairCalls", 0.0),
            calls_window=_time("Extra.", extra, "CallsOverUs", 1_000_000),
            call_linger=_time("Extra.", extra, "LingerUs", 0),
            callers=extra.get("ClientsTotal", 1),
            cold=_part("Extra.", extra, "JustStarted", bool, False),
            cold_from=rules.get("ColdFrom", 1.0),
            cold_for=_time("Guarantees.", rules, "ColdUs", 0),
            crowd_multiple=rules.get("TipMultiple", 1.0),
            drain_grace=_time("Guarantees.", rules, "StopSendingWithinUs", 0),
            max_advice=_time("Limits.", limits, "MaxRetryAfterUs", 0) if heeded else 0,
            round=_time("", params, "RoundUs", 1_000),
        )
        gauges = tuple(_gauge(name) for name in _part("Extra.", extra, "Meters", list, []))
    except json.JSONDecodeError as error:
        raise WireError(f"settings: not JSON: {error}") from None
    except i.ImpossibleValue as error:
        raise WireError(f"settings: {_key(error.name)}: impossible value {error.value!r}") from None
    return settings, gauges


def _gauge(name: object) -> str | None:
    if not isinstance(name, str):
        raise WireError(f"settings: Extra.Meters: impossible value {name!r}")
    return GAUGES.get(name)


# --- batches in ------------------------------------------------------------------------------------------


def _span(body: bytes, tail: int, offset: int, length: int) -> bytes:
    if tail + offset + length > len(body):
        raise WireError(f"tail: {length} bytes at {offset} do not fit into {len(body) - tail}")
    return body[tail + offset : tail + offset + length]


def read_batch(body: bytes, count: int) -> Iterator[tuple[int, Any]]:
    """The events of a batch, each with its instance; a `Wakeup` is (token, values) for want of settings."""
    tail = count * EVENT_SIZE
    if tail > len(body):
        raise WireError(f"batch: {count} records do not fit into {len(body)} bytes")
    instance = -1
    for number in range(count):
        at = number * EVENT_SIZE
        code = body[at]
        if code == FOR:
            (instance,) = _INSTANCE.unpack_from(body, at)
            continue
        if instance < 0:
            raise WireError(f"record {number}: event {code} comes before any For")
        yield instance, _event(code, body, at, tail, number)


def _event(code: int, body: bytes, at: int, tail: int, number: int) -> Any:
    if code == 18:
        fields = _INBOUND.unpack_from(body, at)
        rid, cls, tenant, _key, left, cost, memory, _rank, flags, caller, queued, prior = fields
        return i.Arrival(
            rid,
            cls,
            queued,
            left or None,
            memory,
            cost if flags & 1 else None,
            caller,
            tenant,
            bool(flags & 2),
            prior or None,
        )
    if code == 22 or code == 21:
        rid, outcome, took = _ID_CODE_TIME.unpack_from(body, at)
        if outcome not in OUTCOMES:
            raise WireError(f"record {number}: unknown completion code {outcome}")
        return (i.Finished if code == 22 else i.CallEnded)(rid, OUTCOMES[outcome], took)
    if code == 23:
        token, given, *values = _WAKEUP.unpack_from(body, at)
        return token, values[:given]
    if code == 24:
        return i.CallNeeded(*_ID.unpack_from(body, at))
    if code == 16:
        return i.Gone(*_ID.unpack_from(body, at))
    if code == 17:
        return i.Draining(*_U32.unpack_from(body, at))
    if code == TEARDOWN:
        return Teardown()
    if code == HELLO:
        seed, offset, length = _HELLO.unpack_from(body, at)
        try:
            text = _span(body, tail, offset, length).decode()
        except UnicodeDecodeError:
            raise WireError(f"record {number}: settings: not UTF-8 text") from None
        return Hello(seed, *read_settings(text))
    raise WireError(f"record {number}: unknown event code {code}")


def timer_fired(token: int, values: list[float], gauges: tuple[str | None, ...]) -> i.TimerFired:
    """A `Wakeup`, its values named by the settings."""
    fired = i.TimerFired(token)
    for name, value in zip(gauges, values, strict=False):
        if name is not None:
            setattr(fired, name, value)
    return fired


# --- replies out -----------------------------------------------------------------------------------------

_ACT_ID = struct.Struct(">BQ7x")
_ACT_ID_TIME = struct.Struct(">BQI3x")
_ACT_NOT_NOW = struct.Struct(">BQIB2x")
_ACT_TEXT = struct.Struct(">BII7x")
_ACT_BY = struct.Struct(">BH13x")
_ACT_FLAGS = struct.Struct(">BBB13x")
_ACT_F32 = struct.Struct(">Bf11x")
_ACT_U32 = struct.Struct(">BI11x")
_PLAIN: dict[type, int] = {i.Run: 83, i.Fail: 85, i.Halt: 82, i.SkipCall: 80, i.Forget: 87, i.Reuse: 84}


class Reply:
    """Gathers the actions of one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def by(self, instance: int) -> None:
        """The actions that follow are this instance's."""
        self._records.append(_ACT_BY.pack(BY, instance))

    def _text(self, code: int, text: str) -> None:
        data = text.encode()
        self._records.append(_ACT_TEXT.pack(code, len(self._tail), len(data)))
        self._tail += data

    def fault(self, text: str) -> None:
        """Decision code failed."""
        self._text(FAULT, text)

    def add(self, action: i.Action) -> None:
        """One action of the controller."""
        kind = type(action)
        if kind in _PLAIN:
            record = _ACT_ID.pack(_PLAIN[kind], action.id)  # type: ignore[union-attr]
        elif isinstance(action, i.Refuse):
            record = _ACT_NOT_NOW.pack(81, action.id, min(action.stay_away, MAX_U32), action.no_retry)
        elif isinstance(action, i.SetTimer):
            record = _ACT_ID_TIME.pack(91, action.at, action.token)
        elif isinstance(action, i.Call):
            record = _ACT_ID_TIME.pack(95, action.id, min(action.timeout, MAX_U32))
        elif isinstance(action, i.Remember):
            record = _ACT_ID_TIME.pack(86, action.id, min(action.life, MAX_U32))
        elif isinstance(action, i.Advertise):
            record = _ACT_F32.pack(93, action.value)
        elif isinstance(action, i.SetHealth):
            record = _ACT_FLAGS.pack(90, action.good, action.stored)
        elif isinstance(action, i.CloseIdle):
            record = _ACT_U32.pack(94, min(action.after, MAX_U32))
        elif isinstance(action, i.Log):
            self._text(TRACE, action.text)
            return
        else:
            raise TypeError(f"not an action: {action!r}")
        self._records.append(record)

    def frame(self) -> bytes:
        """The whole reply."""
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY_HEADER.pack(len(body), len(self._records)) + body
