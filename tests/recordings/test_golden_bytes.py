"""Each codec writes and reads the same bytes as version f6762b4.

`data/golden_bytes.json` was written by that version. `python tests/recordings/test_golden_bytes.py` writes it
again, and must be run on that version only. Bytes are recorded as hexadecimal text, decoded values in the
forms of `neutral.py`.
"""

from __future__ import annotations

import json
import queue
import re
import socket
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from neutral import OUTCOME_LABELS, Form, action_form, event_form, settings_form

from cairnvane.claims import records as ledger_record
from cairnvane.claims.states import Step
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
from cairnvane.contract.events import Outcome
from cairnvane.exchange import HealthCheck, Request, RequestSink, Response, ResponseStatus
from cairnvane.idempotency.durable import records as keyed_record
from cairnvane.idempotency.fingerprint import fingerprint
from cairnvane.membership import member_table, messages
from cairnvane.net import fastcgi, http, vault
from cairnvane.net.server import FastCgiServer
from cairnvane.net.service_registry import ServiceRegistry
from cairnvane.net.worker_pool import PoolListener, WorkerPool
from cairnvane.server import executions
from cairnvane.simulator import protocol
from cairnvane.simulator.settings_reader import timer_fired

GOLDEN = Path(__file__).parents[1] / "data" / "golden_bytes.json"
WAIT_S = 20.0
LOOPBACK = "127.0.0.1"
TOKEN = bytes(range(16))
DIGEST = bytes(range(100, 116))
UID = "00112233aabbccdd"
MOST_TIME = (1 << 32) - 1
LARGE = (1 << 63) + 12_345
Made = dict[str, Any]


# --- FastCGI


def fastcgi_codec() -> Made:
    """Records, name-value pairs and responses, encoded and decoded."""
    texts = {"SCRIPT_NAME": "/svc/read", "EMPTY": "", "LONG": "x" * 300, "BYTES": "\udcff\u00e9"}
    pairs = fastcgi.encode_pairs(texts)
    query = fastcgi.Record(fastcgi.GET_VALUES, 0, fastcgi.encode_pairs({"FCGI_MAX_CONNS": "", "OTHER": ""}))
    begin_request = fastcgi.Record(fastcgi.BEGIN_REQUEST, 7, bytes([0, 1, 1, 0, 0, 0, 0, 0]))
    values = {"FCGI_MAX_CONNS": "16", "FCGI_MPXS_CONNS": "1"}
    padded = bytes([1, 5, 0, 9, 0, 3, 5, 0]) + b"abc" + bytes(5) + b"behind"
    first_record = fastcgi.read_record(memoryview(padded), 0, len(padded))
    assert first_record is not None
    return {
        "record": fastcgi.record(fastcgi.STDOUT, 513, b"content").hex(),
        "pairs": pairs.hex(),
        "pairs read": [[name, value] for name, value in fastcgi.decode_pairs(pairs).items()],
        "end": fastcgi.end(3).hex(),
        "end overloaded": fastcgi.end(3, fastcgi.OVERLOADED).hex(),
        "end unknown role": fastcgi.end(3, fastcgi.UNKNOWN_ROLE).hex(),
        "response": fastcgi.response(2, b"Status: 200 OK\r\n\r\nbody").hex(),
        "response in parts": _digest_of_long(fastcgi.response(2, b"z" * (fastcgi.MAX_RECORD_OUT + 10))),
        "begin read": list(fastcgi.parse_begin_request(begin_request)),
        "values": fastcgi.management_reply(query, values).hex(),
        "unknown type": fastcgi.management_reply(fastcgi.Record(77, 0, b""), values).hex(),
        "record read": [
            first_record[0].kind,
            first_record[0].request,
            first_record[0].content.hex(),
            first_record[1],
        ],
    }


def _digest_of_long(data: bytes) -> list[Any]:
    """The length of a long response, and its beginning and end, which contain the record headers."""
    middle = len(data) - 60
    return [len(data), data[:16].hex(), data[middle:].hex()]


ANSWERS = {
    "served": Response(ResponseStatus.SERVED, b"result", load=0.25),
    "refused": Response(ResponseStatus.REJECTED, retry_after_ms=150, no_retry=True, load=1.0),
    "advised": Response(ResponseStatus.REJECTED, retry_after_ms=20),
    "failed": Response(ResponseStatus.FAILED),
}


class AnsweringIntake(RequestSink):
    """Answers each request at once with the response that belongs to its class."""

    def __init__(self) -> None:
        self.seen: list[list[Any]] = []

    def request_arrived(self, request: Request) -> None:
        self.seen.append(
            [
                request.uid,
                request.class_name,
                request.body.hex(),
                request.client,
                request.memory,
                request.idempotency_key,
                request.clock_skew,
            ]
        )
        request.respond(ANSWERS[request.class_name])

    def client_disconnected(self, request: Request) -> None:
        self.seen.append(["gone", request.uid])

    def health_check_arrived(self, check: HealthCheck) -> None:
        self.seen.append(["check", check.deep])
        check.respond(Response(ResponseStatus.SERVED, b"well"))

    def wait_until_handled(self, timeout_s: float) -> None:
        """Everything is handled at once."""


def _pairs(values: dict[str, str]) -> bytes:
    """Encode name-value pairs of short texts without the codec under test."""
    parts = []
    for name, value in values.items():
        parts.append(bytes([len(name), len(value)]) + name.encode() + value.encode())
    return b"".join(parts)


def _record(kind: int, request: int, content: bytes) -> bytes:
    return struct.pack(">BBHHBx", 1, kind, request, len(content), 0) + content


def _request(number: int, values: dict[str, str], body: bytes = b"", role: int = 1) -> bytes:
    """The records of a request that keeps the connection open."""
    params = _pairs(values)
    parts = [_record(1, number, struct.pack(">HB5x", role, 1)), _record(4, number, params)]
    parts += [_record(4, number, b"")] if params else []
    parts += [_record(5, number, body)] if body else []
    return b"".join([*parts, _record(5, number, b"")])


def _service_values(lane: str, body: bytes) -> dict[str, str]:
    return {
        "SCRIPT_NAME": f"/svc/{lane}",
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(body)),
        "HTTP_REQ_ID": UID.upper(),
        "HTTP_REQ_TIME": str(int(time.time() * 1e3) - 5),
        "HTTP_REQ_FROM": "12",
        "HTTP_REQ_KB": "24.5",
        "HTTP_REQ_RANK": "0.25",
        "HTTP_REQ_TOKEN": TOKEN.hex().upper(),
    }


def fastcgi_connection() -> Made:
    """All bytes that the server writes to a connection."""
    intake = AnsweringIntake()
    server = FastCgiServer((LOOPBACK, 0), intake, 4)
    server.start()
    sent = [_record(9, 0, _pairs({"FCGI_MAX_CONNS": "", "FCGI_MAX_REQS": "", "FCGI_MPXS_CONNS": ""}))]
    sent += [_request(number, _service_values(lane, b"{}"), b"{}") for number, lane in enumerate(ANSWERS, 1)]
    sent.append(_request(9, {"SCRIPT_NAME": "/status/live", "QUERY_STRING": "real=1"}))
    sent.append(_request(10, {"SCRIPT_NAME": "/status/live"}))
    sent.append(_request(11, {"SCRIPT_NAME": "/elsewhere"}))
    sent.append(_record(1, 12, struct.pack(">HB5x", 2, 1)))  # a role that the server does not support
    sent.append(_record(99, 0, b""))
    with socket.create_connection(server.address, WAIT_S) as sock:
        sock.sendall(b"".join(sent))
        sock.shutdown(socket.SHUT_WR)
        written = _read_to_end(sock)
    server.retire(WAIT_S)
    return {"written": written.hex(), "read": intake.seen}


def _read_to_end(sock: socket.socket) -> bytes:
    sock.settimeout(WAIT_S)
    data = b""
    while part := sock.recv(65_536):
        data += part
    return data


# --- the binary protocol

ACTIONS: list[Action] = [
    StartRun(1),
    StartRun(LARGE),
    Reject(2),
    Reject(3, 250_000, True),
    Reject(4, MOST_TIME + 9, False),
    Fail(5),
    Cancel(6),
    MakeCall(7, 120_000),
    MakeCall(8, MOST_TIME + 9),
    SkipCall(9),
    RememberKey(10, 8_005_000),
    RememberKey(11, MOST_TIME + 9),
    ForgetKey(12),
    ReplayResult(13),
    SetHealth(True, False),
    SetHealth(False, True),
    ReportLoad(0.35),
    CloseIdleConnections(0),
    CloseIdleConnections(25_600_000),
    SetTimer(LARGE, 3),
    LogMessage("caf\u00e9"),
]


def wire_replies() -> Made:
    """One reply for each action, and one reply with all of them."""
    made: Made = {}
    whole = protocol.Reply()
    whole.begin_instance(513)
    for number, action in enumerate(ACTIONS):
        reply = protocol.Reply()
        reply.add(action)
        whole.add(action)
        made[f"{number} {json.dumps(action_form(action))}"] = reply.frame().hex()
    whole.add_fault("it failed")
    made["all"] = whole.frame().hex()
    made["none"] = protocol.Reply().frame().hex()
    return made


SETTINGS = {
    "Classes": [
        {"Name": "read", "OnTimeUs": 1_000_000, "GiveUpUs": 3_000_000, "LateWorth": 0.25, "AimStretch": 2.5},
        {
            "Name": "write",
            "OnTimeUs": 900_000,
            "GiveUpUs": 2_000_000,
            "Worth": 3.0,
            "Repeat": "guarded",
            "WindowUs": 8_000_000,
        },
        {"Name": "once", "OnTimeUs": 800_000, "GiveUpUs": 2_500_000, "Repeat": "single_shot"},
    ],
    "Tenants": [{"Name": "a", "QuotaPerS": 12.5}, {"Name": "b", "QuotaPerS": 3}],
    "OverShareWorth": 0.2,
    "PeersTotal": 3,
    "RoundUs": 5_000,
    "Extra": {
        "Cores": 4,
        "HeapKb": 10_000.0,
        "RunFactor": 8.0,
        "KeyKb": 1.5,
        "Halt": "pause",
        "Say": "level",
        "Downstream": "tier",
        "FairCalls": 8.5,
        "CallsOverUs": 5_000_000,
        "LingerUs": 70_000,
        "ClientsTotal": 6,
        "JustStarted": True,
        "ClassSkipWorth": [0.5, 0.0, 0.125],
        "Meters": ["sockets", "cpu_busy", "unheard of", "mem_used", "runnable"],
    },
    "Guarantees": {
        "ColdFrom": 0.25,
        "ColdUs": 4_000_000,
        "TipMultiple": 5.0,
        "StopSendingWithinUs": 2_000_000,
    },
    "Limits": {"MaxRetryAfterUs": 1_000_000},
}
PLAIN_SETTINGS = {
    "Classes": [{"OnTimeUs": 1, "GiveUpUs": 2}],
    "Extra": {"Cores": 1, "HeapKb": 5, "Halt": "drop", "Say": "weight", "Downstream": "shared"},
    "Limits": {"RetryAfter": False, "MaxRetryAfterUs": 9},
}
WAKEUP_VALUES = (16.0, 0.5, 3.0, 0.25)


def _batch_records() -> tuple[list[bytes], bytes]:
    """Records with every event code, and the texts that follow them in the batch."""
    arrival = struct.Struct(">BQBIQIIffBHIQ")
    completion = struct.Struct(">BQBI")
    texts = [json.dumps(SETTINGS).encode(), json.dumps(PLAIN_SETTINGS).encode()]
    records = [
        struct.pack(">BH", 19, 513),
        struct.pack(">BQII", 25, LARGE, 0, len(texts[0])),
        struct.pack(">BQII", 25, 7, len(texts[0]), len(texts[1])),
        arrival.pack(18, LARGE, 2, 1, 55, 900_000, 30_000, 24.5, 0.5, 3, 12, 4_000, 99),
        arrival.pack(18, 6, 1, 0, 0, 0, 30_000, 1.25, 0.0, 0, 65_535, 0, 0),
    ]
    records += [completion.pack(22, 8, code, 1_500) for code in (0, *range(249, 256))]
    records += [completion.pack(21, 9, code, 2_500) for code in (0, *range(249, 256))]
    records += [
        struct.pack(">BIBffff", 23, 4, given, *WAKEUP_VALUES) for given in range(len(WAKEUP_VALUES) + 1)
    ]
    records += [
        struct.pack(">BQ", 24, 10),
        struct.pack(">BQ", 16, 11),
        struct.pack(">BH", 19, 2),
        struct.pack(">BI", 17, 5_000_000),
        struct.pack(">B", 20),
    ]
    return records, b"".join(texts)


def wire_batches() -> Made:
    """The events decoded from a batch that contains every event."""
    records, tail = _batch_records()
    body = b"".join(record.ljust(protocol.EVENT_SIZE, b"\0") for record in records) + tail
    gauges: tuple[str | None, ...] = ()
    read: list[Any] = []
    for instance, decoded in protocol.read_batch(body, len(records)):
        if isinstance(decoded, protocol.Hello):
            gauges = gauges or decoded.gauges
            known = [gauge is not None for gauge in decoded.gauges]
            read.append([instance, "hello", decoded.seed, settings_form(decoded.settings), known])
        elif isinstance(decoded, protocol.Teardown):
            read.append([instance, "teardown"])
        elif isinstance(decoded, tuple):
            token, values = decoded
            read.append([instance, event_form(timer_fired(token, values, gauges))])
        else:
            read.append([instance, event_form(decoded)])
    return {"body": body.hex(), "read": read}


# --- HTTP


_open_sockets: list[socket.socket] = []


class OneConnection:
    """A listener that serves one connection by a script, and keeps the bytes that the script read."""

    def __init__(self, serve: Callable[[socket.socket], bytes], stays: bool = False) -> None:
        """`stays`: leave the connection open after the script, for a peer that would reconnect otherwise."""
        self._serve, self._stays = serve, stays
        self._listener = socket.create_server((LOOPBACK, 0))
        self._listener.settimeout(WAIT_S)
        self._read = b""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._thread.start()

    def _run(self) -> None:
        sock, _ = self._listener.accept()
        sock.settimeout(WAIT_S)
        self._read = self._serve(sock)
        if self._stays:
            _open_sockets.append(sock)
        else:
            sock.close()

    def read(self) -> bytes:
        """Wait for the end of the script, and return the bytes that it read."""
        self._thread.join(WAIT_S)
        self._listener.close()
        assert not self._thread.is_alive()
        return self._read


def _serve_http(reply: bytes) -> Callable[[socket.socket], bytes]:
    def serve(sock: socket.socket) -> bytes:
        data = b""
        while True:
            head, found, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"Content-Length: ([0-9]+)", head)
            if found and length is not None and len(body) >= int(length[1]):
                break
            data += sock.recv(65_536)
        sock.sendall(reply)
        return data

    return serve


def _without_port(data: bytes, address: tuple[str, int]) -> bytes:
    return data.replace(f"{address[0]}:{address[1]}".encode(), b"HOST:PORT")


def http_codec() -> Made:
    """Encoded requests."""
    headers = {"X-First": "1", "X-Second": "caf\u00e9"}
    return {
        "request": http.request("PUT", "/a/b", ("10.0.0.4", 8_080), headers, b"body\0").hex(),
        "no body": http.request("GET", "/", ("::1", 1), {}, b"").hex(),
    }


VAULT_REPLIES = {
    "ok": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply",
    "refused unseen": b"HTTP/1.1 503 No\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n",
    "moot": b"HTTP/1.1 409 No\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n",
    "overdue": b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n",
    "error": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    "garbled": b"what is this\r\n\r\n",
}


class CallEnd:
    """The outcome and the body of a call; its duration varies and is not recorded."""

    def __init__(self) -> None:
        self.ended = threading.Event()
        self.form: Form = []

    def finished(self, outcome: Outcome, body: bytes, took_us: int) -> None:
        self.form = [OUTCOME_LABELS[outcome], body.hex()]
        self.ended.set()


def vault_calls() -> Made:
    """The bytes that a call sends, without its port and its remaining time, and its outcome."""
    made: Made = {}
    for name, reply in VAULT_REPLIES.items():
        peer = OneConnection(_serve_http(reply))
        end = CallEnd()
        vault.VaultCall(peer.address, UID, b'{"key":1}', 10_000_000, end.finished)
        assert end.ended.wait(WAIT_S)
        sent = _without_port(peer.read(), peer.address)
        left = re.search(rb"X-Max-Ms: ([0-9]+)\r\n", sent)
        assert left is not None and 0 < int(left[1]) <= 10_000
        made[name] = {"sent": sent.replace(left[0], b"X-Max-Ms: LEFT\r\n").hex(), "end": end.form}
    return made


def roster_report() -> Made:
    """The bytes of a report, without its port."""
    peer = OneConnection(_serve_http(b"HTTP/1.1 204 No Content\r\n\r\n"))
    roster = ServiceRegistry(peer.address, "server-1")
    roster.start()
    sent = peer.read()
    roster.stop()
    return {"sent": _without_port(sent, peer.address).hex()}


# --- the worker pool


class RecordingListener(PoolListener):
    """Records the notices that the link passes on."""

    def __init__(self) -> None:
        self.heard: list[Form] = []
        self.up = threading.Event()
        self.unknown_received = threading.Event()

    def finished(self, uid: str, code: str, took_us: int, result: bytes, pos: int) -> None:
        self.heard.append(["finished", uid, code, took_us, result.hex(), pos])

    def blocked(self, uid: str, body: bytes, pos: int) -> None:
        self.heard.append(["blocked", uid, body.hex(), pos])

    def unknown(self, uid: str) -> None:
        self.heard.append(["unknown", uid])
        self.unknown_received.set()

    def linked(self, link: int) -> None:
        self.heard.append(["linked", link])
        self.up.set()

    def replaced(self, last_link: int) -> None:
        self.heard.append(["replaced"])


POOL_NOTICES: list[dict[str, Any]] = [
    {"action": "finished", "pos": 42, "uid": UID, "code": "fine", "wall_ms": 12.5, "content": "cmVzdWx0"},
    {"action": "finished", "pos": 43, "uid": UID, "code": "fault", "wall_ms": 0.25},
    {"action": "finished", "pos": 44, "uid": UID, "code": "broken_off", "wall_ms": 1},
    {"action": "finished", "pos": 45, "uid": UID, "code": "late"},
    {"action": "finished", "pos": 45, "uid": UID, "code": "fine"},  # a repeated notice
    {"action": "blocked", "pos": 46, "uid": UID, "content": "Y2FsbA=="},
    {"action": "unknown", "uid": UID, "code": "spawn"},
]


def _serve_pool(sock: socket.socket) -> bytes:
    """Answer `bind`, `poll` and `verify`; send all notices at the first other command."""
    lines: list[bytes] = []

    def say(message: dict[str, Any]) -> None:
        sock.sendall(json.dumps(message).encode() + b"\n")

    are_notices_sent = False
    with sock.makefile("rb") as stream:
        while len(lines) < POOL_LINES:
            line = stream.readline()
            lines.append(line)
            command = json.loads(line)
            if command["action"] == "bind":
                say({"action": "bound", "wall_ms": 1_000})
            elif command["action"] == "poll":
                say({"action": "polled", "echo": command["echo"], "meters": [0.5, 3]})
            elif command["action"] == "verify":
                say({"action": "verified", "echo": command["echo"], "code": "fine"})
            elif not are_notices_sent:
                are_notices_sent = True
                for notice in POOL_NOTICES:
                    say(notice)
    return b"".join(lines)


POOL_LINES = 8  # bind, the query that follows it, and the six commands below


def pool_commands() -> Made:
    """The bytes of all commands in order, and the decoded notices."""
    notices = RecordingListener()
    peer = OneConnection(_serve_pool, stays=True)
    pool = WorkerPool(peer.address, notices)
    pool.resume(41, None, lambda recorded, started: True)
    pool.start()
    assert notices.up.wait(WAIT_S)
    links = [pool.spawn(UID, "read", b"body\0")]
    assert notices.unknown_received.wait(WAIT_S)
    links.append(pool.suspend(UID))
    links.append(pool.supply(UID, b"reply"))
    answers = [_ask(pool.poll), _ask(pool.sync), _ask(pool.verify)]
    return {
        "sent": peer.read().hex(),
        "links": [command.link for command in links],
        "answers": answers,
        "heard": notices.heard,
        "ends": [
            [word, OUTCOME_LABELS[outcome]] for word, outcome in executions.OUTCOMES_BY_END_CODE.items()
        ],
    }


def _ask(ask: Callable[[Callable[[Any], None]], None]) -> Any:
    answers: queue.Queue[Any] = queue.Queue()
    ask(answers.put)
    return answers.get(timeout=WAIT_S)


# --- the segment log and the claim log


def keyed_records() -> Made:
    """Headers and records of every kind, encoded and decoded."""
    header = keyed_record.Header(3, b"b" * 16, 90_000_000, 1_700_000_000_123, "n1")
    long_name = keyed_record.Header((1 << 64) - 1, bytes(16), 0, 0, "n" * 80)
    parts: dict[str, tuple[Step, bytes]] = {
        "intent": (Step.INTENT, keyed_record.encode_start(UID, DIGEST, 91_000_000, 24.5, "write")),
        "call": (Step.CALL, keyed_record.encode_call(17)),
        "result": (Step.RESULT, keyed_record.encode_end(DIGEST, b"result")),
        "fault": (Step.FAULT, keyed_record.encode_end(DIGEST, b"")),
        "never": (Step.NEVER, b""),
        "link": (Step.LINK, keyed_record.encode_link(-5)),
    }
    records = {
        name: keyed_record.encode_record(3, step, TOKEN, 92_000_000, 99_000_000, 18, rest)
        for name, (step, rest) in parts.items()
    }
    block = keyed_record.encode_header(header) + b"".join(records.values())
    read = []
    for found in keyed_record.scan(block, 0, 3):
        assert not isinstance(found, keyed_record.Damage)
        kind, offset, payload = found
        parsed = keyed_record.parse_record(kind, payload)
        read.append(
            [
                kind,
                offset,
                parsed.key.hex(),
                parsed.recorded_at,
                parsed.expires_at,
                parsed.settled_notice,
                parsed.own_part.hex(),
            ]
        )
    back = keyed_record.parse_header(block[: keyed_record.HEADER_BYTES])
    return {
        "header": keyed_record.encode_header(header).hex(),
        "header of a long name": keyed_record.encode_header(long_name).hex(),
        "header read": [back.number, back.boot.hex(), back.at, back.unix_ms, back.name],
        "records": {name: data.hex() for name, data in records.items()},
        "records read": read,
        "damage": [str(found) for found in keyed_record.scan(block[:-1] + b"?", 0, 3)][-1],
    }


def ledger_records() -> Made:
    """Records of every kind, encoded and decoded, with damaged bytes between them."""
    kinds = {
        "intent": (int(Step.INTENT), DIGEST),
        "result": (int(Step.RESULT), DIGEST + b"result"),
        "fault": (int(Step.FAULT), DIGEST),
        "never": (int(Step.NEVER), b""),
        "seal": (ledger_record.SEAL, b""),
    }
    records = {
        name: ledger_record.encode(kind, LARGE, TOKEN, 92_000_000, 99_000_000, rest)
        for name, (kind, rest) in kinds.items()
    }
    data = b"torn".join(records.values()) + b"CVL1"
    scan = ledger_record.scan(data)
    read = [
        [
            offset,
            length,
            one.kind,
            one.incarnation,
            one.key.hex(),
            one.made_at,
            one.expires_at,
            one.rest.hex(),
        ]
        for offset, length, one in scan.records
    ]
    return {
        "records": {name: made.hex() for name, made in records.items()},
        "read": read,
        "used": scan.used,
        "passed over": scan.passed_over,
    }


def digests() -> Made:
    """Fingerprints of class and body, as they are written to records."""
    bodies = {"read": b"body", "write": b"", "caf\u00e9": bytes(range(256))}
    return {lane: fingerprint(lane, body).hex() for lane, body in bodies.items()}


# --- membership

KEY = b"sixteen-and-more"


def member_messages() -> Made:
    """Every message in its envelope; each must decode to the original."""
    claims = [
        member_table.Claim(5, "n1", "here:1", "10.0.0.4", 7_000, int(member_table.Status.SUSPECT), 3, 9),
        member_table.Claim(LARGE, "n2", "there:2", "10.0.0.5", 7_001, int(member_table.Status.LEFT), 0),
    ]
    infos = [
        member_table.Info(
            5, 3, 8, {"phase": int(member_table.Phase.SERVING), "load": 0.5, "name": "caf\u00e9"}
        )
    ]
    originals: dict[str, messages.Message] = {
        "ping": messages.Ping(1, 5, claims, infos),
        "plain ping": messages.Ping(2, 5),
        "ack": messages.Ack(3, 5, claims, infos),
        "ask": messages.Ask(4, 5, claims, infos),
        "nack": messages.Nack(5, 6),
        "view": messages.View(True, claims, infos),
        "answer": messages.View(False),
    }
    made: Made = {}
    for number, (name, message) in enumerate(originals.items(), 70):
        sealed = messages.seal(KEY, LARGE, number, message)
        assert messages.unseal(KEY, sealed) == (LARGE, number, message)
        made[name] = sealed.hex()
    ranks = [[*claim.rank] for claim in claims]
    return made | {"ranks": ranks, "info rank": [*infos[0].rank]}


CODECS: dict[str, Callable[[], Made]] = {
    "fastcgi": fastcgi_codec,
    "fastcgi connection": fastcgi_connection,
    "wire replies": wire_replies,
    "wire batches": wire_batches,
    "http": http_codec,
    "vault": vault_calls,
    "roster": roster_report,
    "pool": pool_commands,
    "keyed records": keyed_records,
    "ledger records": ledger_records,
    "digests": digests,
    "members": member_messages,
}


def _through_json(made: Made) -> Any:
    return json.loads(json.dumps(made))


def test_all_codecs_are_recorded() -> None:
    assert set(json.loads(GOLDEN.read_text())) == set(CODECS)


@pytest.mark.parametrize("name", CODECS)
def test_bytes_are_as_recorded(name: str) -> None:
    golden = json.loads(GOLDEN.read_text())[name]
    made = _through_json(CODECS[name]())
    assert list(made) == list(golden)
    for part, expected in golden.items():
        assert made[part] == expected, part


def _write_recording() -> None:
    made = {name: make() for name, make in CODECS.items()}
    GOLDEN.write_text(json.dumps(made, indent=1) + "\n")


if __name__ == "__main__":
    _write_recording()
