"""Requests over FastCGI: a balancer's input, the commands to the worker pool, and the balancer's output."""

from __future__ import annotations

from typing import Any

import pytest
from peers import TOKEN, world

from cairnvane.contract.actions import SetHealth
from cairnvane.exchange import Exchange, Response, ResponseStatus
from cairnvane.net import fastcgi

BEGIN = fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1\1\0\0\0\0\0")


@pytest.mark.parametrize("result", [b"done", b"", bytes(range(256)) * 16], ids=["text", "empty", "binary"])
def test_request_body_and_result_pass_unchanged(result: bytes) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(7, body=b"\0\xff\r\n")
        command = w.pool.run(result)
        assert (command["uid"], command["lane"]) == ("0" * 15 + "7", "read")
        assert command["content"] == b"\0\xff\r\n"
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body, answer.protocol) == (7, 200, result, 0)


def test_client_number_0_is_valid() -> None:
    """Regression: 0 was treated as invalid, and all requests of that balancer failed."""
    with world() as w:
        balancer = w.balancer()
        w.serve(balancer, 1, HTTP_REQ_FROM="0")


@pytest.mark.parametrize("code", ["fault", "late", "broken_off"])
def test_unsuccessful_run_is_answered_as_failed(code: str) -> None:
    """Regression: a run that the pool ended while its client was connected got no response."""
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(code=code)
        assert balancer.answer()[1].status == 500


def test_rejected_request_never_reaches_the_pool() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="1900")  # more memory than remains beside its key
        number, answer = balancer.answer()
        assert (number, answer.status) == (1, 503)
        assert float(answer.headers.get("Srv-Load", "0")) >= 0
        balancer.send(2)
        assert w.pool.run()["uid"].endswith("2")


def test_multiplexed_responses_come_in_any_order() -> None:
    with world() as w:
        balancer = w.balancer()
        for number in (1, 2, 3):
            balancer.send(number)
        uids = [w.pool.next("spawn")["uid"] for _ in range(3)]
        for uid in reversed(uids):
            w.pool.notice("finished", uid, "fine", uid.encode())
        answers = [balancer.answer() for _ in range(3)]
        assert [(number, answer.body.decode()) for number, answer in answers] == [
            (int(uid, 16), uid) for uid in reversed(uids)
        ]


@pytest.mark.parametrize(
    "fields",
    [
        {"HTTP_REQ_ID": "xyz"},
        {"HTTP_REQ_ID": ""},
        {"HTTP_REQ_TIME": "soon"},
        {"HTTP_REQ_KB": "nan"},
        {"HTTP_REQ_KB": "2000"},
        {"HTTP_REQ_KB": "0"},
        {"HTTP_REQ_KB": "1_0"},
        {"HTTP_REQ_KB": "\u0663"},
        {"HTTP_REQ_KB": " 5"},
        {"HTTP_REQ_TIME": "1e3"},
        {"HTTP_REQ_TIME": "9" * 15},
        {"HTTP_REQ_TIME": "-5"},
        {"HTTP_REQ_FROM": "0.5"},
        {"HTTP_REQ_RANK": "1"},
        {"CONTENT_LENGTH": "7"},
        {"HTTP_REQ_TOKEN": "12"},
        {"HTTP_REQ_TOKEN": TOKEN},
        {"path": "/svc/write"},
        {"REQUEST_METHOD": "GET"},
        {"path": "/svc/unheard-of"},
        {"path": "/elsewhere"},
    ],
)
def test_invalid_parameters_fail_that_request_alone(fields: dict[str, Any]) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, **fields)
        assert balancer.answer()[1].status == 500
        w.serve(balancer, 2)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        fastcgi.record(fastcgi.PARAMS, 1, bytes(fastcgi.MAX_CONTENT_BYTES + 1)),
        BEGIN + BEGIN,
        fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1"),
        fastcgi.record(99, 1, b""),
        BEGIN + fastcgi.record(fastcgi.STDIN, 1, b"too early"),
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, b"\x7f\x7fshort") + fastcgi.record(fastcgi.PARAMS, 1, b""),
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, bytes(5_000)) * 2,
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, b"") + fastcgi.record(fastcgi.STDIN, 1, bytes(2_049)),
    ],
    ids=[
        "no FastCGI",
        "oversized record",
        "number in use",
        "short begin record",
        "unknown record type",
        "body before parameters",
        "truncated parameters",
        "oversized parameters",
        "oversized body",
    ],
)
def test_malformed_record_ends_that_connection_alone(data: bytes) -> None:
    with world() as w:
        bad, good = w.balancer(), w.balancer()
        bad.sock.sendall(data)
        assert bad.ended()
        w.serve(good, 1)


def test_33rd_open_request_is_rejected_as_overloaded() -> None:
    with world() as w:
        balancer = w.balancer()
        for number in range(1, 34):  # their parameters and bodies are still missing
            balancer.sock.sendall(fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0"))
        number, answer = balancer.answer()
        assert (number, answer.protocol) == (33, fastcgi.OVERLOADED)


def test_management_records_are_answered() -> None:
    with world() as w:
        balancer = w.balancer()
        query = fastcgi.encode_pairs({"FCGI_MPXS_CONNS": "", "FCGI_NEVER": ""})
        balancer.sock.sendall(fastcgi.record(fastcgi.GET_VALUES, 0, query) + fastcgi.record(50, 0, b""))
        expected = fastcgi.record(
            fastcgi.GET_VALUES_RESULT, 0, fastcgi.encode_pairs({"FCGI_MPXS_CONNS": "1"})
        )
        expected += fastcgi.record(fastcgi.UNKNOWN_TYPE, 0, bytes([50]) + bytes(7))
        assert balancer.read(len(expected)) == expected


def test_abort_cancels_the_run_and_frees_the_request_number() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        assert balancer.answer()[1].status == 0  # an end without a response
        w.pool.notice("finished", uid, "broken_off")
        w.serve(balancer, 1, HTTP_REQ_ID="f" * 16)


@pytest.mark.parametrize(
    ("deep", "stored", "code", "status"),
    [
        (False, False, "", 200),
        (True, False, "fine", 200),
        (True, False, "fault", 503),
        (True, True, "", 200),
    ],
    ids=["plain", "deep, healthy", "deep, faulty", "deep, from the last result"],
)
def test_health_check(deep: bool, stored: bool, code: str, status: int) -> None:
    with world() as w:
        w.host._health.set(SetHealth(True, stored))
        balancer = w.balancer()
        balancer.send(1, "/status/live", b"", QUERY_STRING="real=1" if deep else "")
        if code:
            w.pool.tell(action="verified", echo=w.pool.next("verify")["echo"], code=code)
        assert balancer.answer()[1].status == status


def test_deep_health_check_succeeds_without_support_by_the_pool() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, "/status/live", b"", QUERY_STRING="real=1")
        w.pool.next("verify")
        w.pool.tell(action="unknown", code="verify", uid="")
        assert balancer.answer()[1].status == 200


def test_only_the_first_response_of_an_exchange_is_delivered() -> None:
    sent: list[Response] = []
    exchange = Exchange(sent.append)
    exchange.respond(Response(ResponseStatus.SERVED, b"1"))
    exchange.respond(Response(ResponseStatus.FAILED))
    assert [answer.body for answer in sent] == [b"1"]
    assert not exchange.abandon()
