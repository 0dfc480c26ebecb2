"""Codec of the simulator's binary protocol: batches to events, actions to replies. Performs no I/O.

All integers are big-endian. An event record has 56 bytes, an action record 16; texts follow the records.
Raises `ProtocolError` with the number of the malformed record.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from ..contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    LogMessage,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
)
from ..contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Event,
    Outcome,
    RunFinished,
)
from ..contract.settings import Settings
from .errors import ProtocolError
from .settings_reader import MAX_U32, GaugeFields, read_settings

BATCH_HEADER = struct.Struct(">QII")  # time in microseconds, length of the body, number of records
REPLY_HEADER = struct.Struct(">II")  # length of the body, number of records
EVENT_SIZE = 56
ACTION_SIZE = 16


class EventCode(IntEnum):
    """The first byte of an event record."""

    CLIENT_DISCONNECTED = 16
    DRAIN_STARTED = 17
    ARRIVAL = 18
    INSTANCE = 19  # the instance to which the following events belong
    TEARDOWN = 20  # the instance was killed
    CALL_FINISHED = 21
    RUN_FINISHED = 22
    WAKEUP = 23
    CALL_REQUESTED = 24
    HELLO = 25


class ActionCode(IntEnum):
    """The first byte of an action record."""

    SKIP_CALL = 80
    REJECT = 81
    CANCEL = 82
    START_RUN = 83
    REPLAY_RESULT = 84
    FAIL = 85
    REMEMBER_KEY = 86
    FORGET_KEY = 87
    INSTANCE = 88  # the instance to which the following actions belong
    FAULT = 89
    SET_HEALTH = 90
    SET_TIMER = 91
    TRACE = 92
    REPORT_LOAD = 93
    CLOSE_IDLE = 94
    MAKE_CALL = 95


# Flags of an arrival.
_HAS_COST = 1
_IS_RETRY = 2

_INSTANCE = struct.Struct(">xH")
_HELLO = struct.Struct(">xQII")
_ID = struct.Struct(">xQ")
_ID_OUTCOME_TIME = struct.Struct(">xQBI")
_ARRIVAL = struct.Struct(">xQBIQIIffBHIQ")
_U32 = struct.Struct(">xI")
_WAKEUP = struct.Struct(">xIBffff")

_OUTCOMES = {
    0: Outcome.OK,
    255: Outcome.ERROR,
    254: Outcome.REJECTED,
    253: Outcome.TIMEOUT,
    252: Outcome.UNREACHED,
    251: Outcome.BROKEN,
    250: Outcome.CANCELLED,
    249: Outcome.NEVER_STARTED,
}


@dataclass(frozen=True, slots=True)
class Hello:
    """An instance starts."""

    seed: int
    settings: Settings
    gauges: GaugeFields


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance was killed."""


class Wakeup(NamedTuple):
    """A timer is due. The settings of the instance define which gauge each value belongs to."""

    token: int
    values: list[float]


Record = Event | Hello | Teardown | Wakeup


def _text_span(body: bytes, tail: int, offset: int, length: int) -> bytes:
    """A part of the text that follows the records."""
    if tail + offset + length > len(body):
        raise ProtocolError(f"tail: {length} bytes at {offset} do not fit into {len(body) - tail}")
    return body[tail + offset : tail + offset + length]


def read_batch(body: bytes, count: int) -> Iterator[tuple[int, Record]]:
    """Yield the `count` records of a batch, each with the number of its instance."""
    tail = count * EVENT_SIZE
    if tail > len(body):
        raise ProtocolError(f"batch: {count} records do not fit into {len(body)} bytes")
    instance = -1
    for number in range(count):
        offset = number * EVENT_SIZE
        code = body[offset]
        if code == EventCode.INSTANCE:
            (instance,) = _INSTANCE.unpack_from(body, offset)
            continue
        if instance < 0:
            raise ProtocolError(f"record {number}: event {code} comes before any INSTANCE record")
        yield instance, _read_record(code, body, offset, tail, number)


def _read_record(code: int, body: bytes, offset: int, tail: int, number: int) -> Record:
    if code == EventCode.ARRIVAL:
        return _read_arrival(body, offset)
    if code in (EventCode.RUN_FINISHED, EventCode.CALL_FINISHED):
        request_id, outcome, duration = _ID_OUTCOME_TIME.unpack_from(body, offset)
        if outcome not in _OUTCOMES:
            raise ProtocolError(f"record {number}: unknown completion code {outcome}")
        kind = RunFinished if code == EventCode.RUN_FINISHED else CallFinished
        return kind(request_id, _OUTCOMES[outcome], duration)
    if code == EventCode.WAKEUP:
        token, value_count, *values = _WAKEUP.unpack_from(body, offset)
        return Wakeup(token, values[:value_count])
    if code == EventCode.CALL_REQUESTED:
        return CallRequested(*_ID.unpack_from(body, offset))
    if code == EventCode.CLIENT_DISCONNECTED:
        return ClientDisconnected(*_ID.unpack_from(body, offset))
    if code == EventCode.DRAIN_STARTED:
        return DrainStarted(*_U32.unpack_from(body, offset))
    if code == EventCode.TEARDOWN:
        return Teardown()
    if code == EventCode.HELLO:
        return _read_hello(body, offset, tail, number)
    raise ProtocolError(f"record {number}: unknown event code {code}")


def _read_arrival(body: bytes, offset: int) -> Arrival:
    fields = _ARRIVAL.unpack_from(body, offset)
    request_id, class_index, tenant, _key, time_left, cost, memory, _rank, flags, client, delay, original = (
        fields
    )
    return Arrival(
        request_id=request_id,
        class_index=class_index,
        queue_delay=delay,
        time_left=time_left or None,
        memory=memory,
        cost=cost if flags & _HAS_COST else None,
        client=client,
        tenant=tenant,
        is_retry=bool(flags & _IS_RETRY),
        duplicate_of=original or None,
    )


def _read_hello(body: bytes, offset: int, tail: int, number: int) -> Hello:
    seed, text_offset, length = _HELLO.unpack_from(body, offset)
    try:
        text = _text_span(body, tail, text_offset, length).decode()
    except UnicodeDecodeError:
        raise ProtocolError(f"record {number}: settings: not UTF-8 text") from None
    return Hello(seed, *read_settings(text))


_ACTION_ID = struct.Struct(">BQ7x")
_ACTION_ID_TIME = struct.Struct(">BQI3x")
_ACTION_REJECT = struct.Struct(">BQIB2x")
_ACTION_TEXT = struct.Struct(">BII7x")
_ACTION_INSTANCE = struct.Struct(">BH13x")
_ACTION_FLAGS = struct.Struct(">BBB13x")
_ACTION_FLOAT = struct.Struct(">Bf11x")
_ACTION_U32 = struct.Struct(">BI11x")
# Codes of actions whose only field is the request id.
_ID_ONLY_CODES: dict[type, ActionCode] = {
    StartRun: ActionCode.START_RUN,
    Fail: ActionCode.FAIL,
    Cancel: ActionCode.CANCEL,
    SkipCall: ActionCode.SKIP_CALL,
    ForgetKey: ActionCode.FORGET_KEY,
    ReplayResult: ActionCode.REPLAY_RESULT,
}


def _action_record(action: Action) -> bytes:
    """Encode an action that has no text; raise `TypeError` for any other object."""
    kind = type(action)
    if kind in _ID_ONLY_CODES:
        return _ACTION_ID.pack(_ID_ONLY_CODES[kind], action.request_id)  # type: ignore[union-attr]
    if isinstance(action, Reject):
        retry_after = min(action.retry_after, MAX_U32)
        return _ACTION_REJECT.pack(ActionCode.REJECT, action.request_id, retry_after, action.no_retry)
    if isinstance(action, SetTimer):
        return _ACTION_ID_TIME.pack(ActionCode.SET_TIMER, action.due_at, action.token)
    if isinstance(action, MakeCall):
        return _ACTION_ID_TIME.pack(ActionCode.MAKE_CALL, action.request_id, min(action.timeout, MAX_U32))
    if isinstance(action, RememberKey):
        return _ACTION_ID_TIME.pack(ActionCode.REMEMBER_KEY, action.request_id, min(action.lifetime, MAX_U32))
    if isinstance(action, ReportLoad):
        return _ACTION_FLOAT.pack(ActionCode.REPORT_LOAD, action.value)
    if isinstance(action, SetHealth):
        return _ACTION_FLAGS.pack(ActionCode.SET_HEALTH, action.healthy, action.cached)
    if isinstance(action, CloseIdleConnections):
        return _ACTION_U32.pack(ActionCode.CLOSE_IDLE, min(action.idle_time, MAX_U32))
    raise TypeError(f"not an action: {action!r}")


class Reply:
    """Builds one reply from the actions of its instances."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def begin_instance(self, instance: int) -> None:
        """Start the actions of this instance."""
        self._records.append(_ACTION_INSTANCE.pack(ActionCode.INSTANCE, instance))

    def _add_text(self, code: ActionCode, text: str) -> None:
        data = text.encode()
        self._records.append(_ACTION_TEXT.pack(code, len(self._tail), len(data)))
        self._tail += data

    def add_fault(self, text: str) -> None:
        """Append a failure of the decision code."""
        self._add_text(ActionCode.FAULT, text)

    def add(self, action: Action) -> None:
        """Append an action of the controller."""
        if isinstance(action, LogMessage):
            self._add_text(ActionCode.TRACE, action.message)
        else:
            self._records.append(_action_record(action))

    def frame(self) -> bytes:
        """Return the encoded reply."""
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY_HEADER.pack(len(body), len(self._records)) + body
