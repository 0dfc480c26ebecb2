"""The simulator's protocol: the examples of its description, settings, and malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from cairnvane import Controller
from cairnvane.contract.actions import (
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
from cairnvane.contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Outcome,
    RunFinished,
)
from cairnvane.contract.settings import CancelMode, LoadSignal, RequestClass, Tenant
from cairnvane.simulator import __main__, protocol
from cairnvane.simulator.settings_reader import read_settings, timer_fired

ARRIVAL = bytes.fromhex(
    "12 0006b47e5d3a91c4 00 00000000 91f03b7c55d20a64 0003a980 00002ee0 41c40000 3f200000 01 0011 0000073a"
    "000f11600e6f2b19 000000"
)
WAKEUP = bytes.fromhex("17 0000004d 04 3f1eb852 40400000 3ed1eb85 42f00000") + bytes(34)
CLIENT_DISCONNECTED = bytes.fromhex("10 000f11600e6f2b19") + bytes(47)
RUN_FINISHED = bytes.fromhex("16 0006b47e5d3a91c4 00 00004844") + bytes(42)
CALL_FINISHED = bytes.fromhex("15 0006b47e5d3a91c4 fd 00013880") + bytes(42)
CALL_REQUESTED = bytes.fromhex("18 0006b47e5d3a91c4") + bytes(47)
DRAIN_STARTED = bytes.fromhex("11 003567e0") + bytes(51)
TEARDOWN = bytes.fromhex("14") + bytes(55)
REQUEST = 0x0006B47E5D3A91C4
OTHER_REQUEST = 0x000F11600E6F2B19
PARAMS: dict[str, Any] = {
    "Classes": [{"GiveUpUs": 4_500_000, "OnTimeUs": 1_400_000, "Name": "a", "Repeat": "free", "NewKey": 1}],
    "Extra": {
        "Cores": 6,
        "HeapKb": 61020.0,
        "Halt": "pause",
        "Say": "credit",
        "Downstream": "silent",
        "Meters": ["cpu_busy", "runnable", "mem_used", "sockets", "new_gauge"],
    },
    "Unknown": [],
}


def instance_record(instance: int) -> bytes:
    return struct.pack(">BH53x", 19, instance)


def batch(*records: bytes, now: int = 0x805C5A, tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">QII", now, len(body), len(records)) + body


def hello(instance: int = 3, seed: int = 7, params: object = PARAMS) -> bytes:
    text = params if isinstance(params, bytes) else json.dumps(params).encode()
    return batch(instance_record(instance), struct.pack(">BQII39x", 25, seed, 0, len(text)), tail=text)


def events(*records: bytes) -> list[Any]:
    return [event for _, event in protocol.read_batch(b"".join(records), len(records))]


def test_example_events_of_the_protocol_description_are_decoded() -> None:
    read = events(
        instance_record(3),
        ARRIVAL,
        WAKEUP,
        CLIENT_DISCONNECTED,
        RUN_FINISHED,
        CALL_FINISHED,
        CALL_REQUESTED,
        DRAIN_STARTED,
        TEARDOWN,
    )
    assert read[0] == Arrival(REQUEST, 0, 0x73A, 0x3A980, 24.5, 0x2EE0, 17, 0, False, OTHER_REQUEST)
    token, values = read[1]
    assert token == 77
    fired = timer_fired(token, values, ("cpu_busy", "runnable", "memory_used", "connections"))
    assert fired.cpu_busy == pytest.approx(0.62)
    assert (fired.runnable, fired.connections) == (3.0, 120.0)
    assert read[2:] == [
        ClientDisconnected(OTHER_REQUEST),
        RunFinished(REQUEST, Outcome.OK, 0x4844),
        CallFinished(REQUEST, Outcome.TIMEOUT, 0x13880),
        CallRequested(REQUEST),
        DrainStarted(0x3567E0),
        protocol.Teardown(),
    ]


def test_absent_arrival_fields_are_decoded_as_none() -> None:
    record = struct.pack(">BQBIQIIffBHIQ3x", 18, 5, 1, 3, 0, 0, 999, 8.0, 0.0, 6, 2, 0, 0)
    assert events(instance_record(1), record) == [Arrival(5, 1, 0, None, 8.0, None, 2, 3, True, None)]


@pytest.mark.parametrize(
    ("action", "record"),
    [
        (StartRun(REQUEST), "53 0006b47e5d3a91c4 00000000000000"),
        (Cancel(REQUEST), "52 0006b47e5d3a91c4 00000000000000"),
        (Reject(OTHER_REQUEST, 250_000, True), "51 000f11600e6f2b19 0003d090 01 0000"),
        (Fail(OTHER_REQUEST), "55 000f11600e6f2b19 00000000000000"),
        (MakeCall(REQUEST, 80_000), "5f 0006b47e5d3a91c4 00013880 000000"),
        (SkipCall(REQUEST), "50 0006b47e5d3a91c4 00000000000000"),
        (RememberKey(REQUEST, 8_000_000), "56 0006b47e5d3a91c4 007a1200 000000"),
        (ForgetKey(OTHER_REQUEST), "57 000f11600e6f2b19 00000000000000"),
        (ReplayResult(REQUEST), "54 0006b47e5d3a91c4 00000000000000"),
        (SetHealth(False, True), "5a 00 01 00000000000000000000000000"),
        (ReportLoad(0.25), "5d 3e800000 0000000000000000000000"),
        (CloseIdleConnections(2_000_000), "5e 001e8480 0000000000000000000000"),
        (SetTimer(0x87FD7A, 77), "5b 000000000087fd7a 0000004d 000000"),
    ],
)
def test_example_actions_of_the_protocol_description_are_encoded(action: Action, record: str) -> None:
    reply = protocol.Reply()
    reply.add(action)
    assert reply.frame() == struct.pack(">II", 16, 1) + bytes.fromhex(record)


def test_example_reply_of_the_protocol_description_is_encoded() -> None:
    reply = protocol.Reply()
    reply.begin_instance(3)
    reply.add(StartRun(REQUEST))
    reply.add(SetTimer(0x87FD7A, 77))
    reply.begin_instance(5)
    reply.add(LogMessage("two servers known"))
    assert reply.frame() == bytes.fromhex("00000061 00000005") + bytes.fromhex(
        "58 0003 00000000000000000000000000"
        "53 0006b47e5d3a91c4 00000000000000"
        "5b 000000000087fd7a 0000004d 000000"
        "58 0005 00000000000000000000000000"
        "5c 00000000 00000011 00000000000000"
        "74776f2073657276657273206b6e6f776e"
    )


def test_settings_are_translated() -> None:
    read, gauges = read_settings(json.dumps(PARAMS))
    assert (read.cores, read.cancel_mode, read.load_signal) == (6, CancelMode.PAUSE, LoadSignal.CREDIT)
    assert read.classes[0] == RequestClass("a", 1_400_000, 4_500_000)
    assert gauges == ("cpu_busy", "runnable", "memory_used", "connections", None)


def test_tenants_are_translated() -> None:
    tenants = [{"Name": "a", "QuotaPerS": 12.5, "Share": 0.6}, {"QuotaPerS": 0}]
    read, _ = read_settings(
        json.dumps(
            PARAMS
            | {
                "Tenants": tenants,
                "OverShareWorth": 0.1,
                "PeersTotal": 20,
            }
        )
    )
    assert read.tenants == (Tenant("a", 12.5), Tenant("", 0))
    assert (read.over_quota_fraction, read.replicas) == (0.1, 20)
    read, _ = read_settings(json.dumps(PARAMS | {"PeersTotal": 0}))
    assert (read.tenants, read.over_quota_fraction, read.replicas) == ((), 1.0, 1)


def run_simulator(*frames: bytes) -> tuple[int, bytes, str]:
    command = [sys.executable, "-m", "cairnvane.simulator"]
    completed = subprocess.run(command, input=b"".join(frames), capture_output=True)
    return completed.returncode, completed.stdout, completed.stderr.decode()


def test_empty_batch_gets_an_empty_reply_and_end_of_input_exits() -> None:
    assert run_simulator(batch()) == (0, bytes(8), "")
    assert run_simulator() == (0, b"", "")


def test_teardown_and_hello_in_one_batch_start_a_new_incarnation() -> None:
    sink = io.BytesIO()
    text = json.dumps(PARAMS).encode()
    restart = batch(instance_record(3), TEARDOWN, struct.pack(">BQII39x", 25, 8, 0, len(text)), tail=text)
    __main__.serve(
        io.BytesIO(
            hello()
            + batch(instance_record(3), ARRIVAL)
            + restart
            + batch(instance_record(3), CLIENT_DISCONNECTED)
        ),
        sink,
    )
    assert sink.getvalue().count(b"\x5b") >= 2  # each of the two incarnations requested a timer


def test_an_instance_acts_the_same_alone_and_beside_another() -> None:
    def actions(*frames: bytes) -> bytes:
        sink = io.BytesIO()
        __main__.serve(io.BytesIO(b"".join(frames)), sink)
        return sink.getvalue()[-32:]

    separate = actions(hello(3), batch(instance_record(3), ARRIVAL))
    together = actions(
        hello(5, 9), hello(3), batch(instance_record(5), ARRIVAL), batch(instance_record(3), ARRIVAL)
    )
    assert separate == together


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (batch()[:9], "batch header: cut short"),
        (batch(instance_record(3), ARRIVAL)[:-5], "batch: cut short"),
        (struct.pack(">QII", 0, 0, 4), "4 records do not fit"),
        (batch(instance_record(3), bytes([99]) + bytes(55)), "unknown event code 99"),
        (batch(ARRIVAL), "before any INSTANCE record"),
        (
            batch(instance_record(3), bytes.fromhex("16 0006b47e5d3a91c4 07 00004844") + bytes(42)),
            "completion code 7",
        ),
        (hello(params=b"{nonsense"), "settings: not JSON"),
        (hello(params=b"\xff\xfe"), "not UTF-8"),
        (hello(params=[]), "settings:"),
        (hello(params={"Classes": [], "Extra": {}}), "Cores is missing"),
        (hello(params=PARAMS | {"Extra": PARAMS["Extra"] | {"Cores": 0}}), "Extra.Cores: impossible value 0"),
        (hello(params=PARAMS | {"Extra": PARAMS["Extra"] | {"Halt": "hm"}}), "Halt: unknown word"),
        (batch(instance_record(3), struct.pack(">BQII39x", 25, 1, 0, 50), tail=b"{}"), "tail"),
        (hello(params=PARAMS | {"Tenants": [{"Name": "a"}]}), "QuotaPerS is missing"),
        (hello(params=PARAMS | {"Tenants": [{"Name": "a", "QuotaPerS": -1}]}), "['a'].QuotaPerS: impossible"),
        (hello(params=PARAMS | {"OverShareWorth": float("nan")}), "OverShareWorth: impossible value nan"),
    ],
)
def test_malformed_input_is_reported_and_ends_the_process(frame: bytes, message: str) -> None:
    exit_status, output, error = run_simulator(frame)
    assert exit_status != 0
    assert output == b""
    assert message in error
    assert error.count("\n") == 1


def test_an_exception_in_the_controller_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(self: object, now: int, events: object) -> list[Action]:
        raise IndexError("index out of range")

    monkeypatch.setattr(Controller, "handle", raise_error)
    sink = io.BytesIO()
    __main__.serve(io.BytesIO(hello()), sink)
    assert b"\x59" in sink.getvalue()
    assert sink.getvalue().endswith(b"IndexError: index out of range")
