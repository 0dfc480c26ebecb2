"""Stories over loopback: what a balancer sends, what the peers do, what it reads."""

from __future__ import annotations

import queue
import socket
import threading
import time
from types import SimpleNamespace
from typing import Any

import pytest
from peers import LINK_THREAD_NAME, TOKEN, WAIT_S, WINDOW_US, PoolPeer, reply, world

from cairnvane import clock
from cairnvane.contract.actions import CloseIdleConnections, SetHealth
from cairnvane.contract.events import Outcome
from cairnvane.exchange import Exchange, Response, ResponseStatus
from cairnvane.net import connection, fastcgi, http, server, vault, worker_pool_link
from cairnvane.net.message_writer import MOST_WAITING, MessageWriter

BEGIN = fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1\1\0\0\0\0\0")
KEYED: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}


@pytest.mark.parametrize("result", [b"done", b"", bytes(range(256)) * 16])
def test_a_result_arrives_unchanged_and_so_does_the_body(result: bytes) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(7, body=b"\0\xff\r\n")
        command = w.pool.run(result)
        assert (command["uid"], command["lane"]) == ("0" * 15 + "7", "read")
        assert command["content"] == b"\0\xff\r\n"
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body, answer.protocol) == (7, 200, result, 0)


def test_balancer_number_0_counts_as_any_other() -> None:
    """Guards: 0 was once taken for impossible, and all of that balancer's requests failed."""
    with world() as w:
        balancer = w.balancer()
        w.serve(balancer, 1, HTTP_REQ_FROM="0")


@pytest.mark.parametrize("code", ["fault", "late", "broken_off"])
def test_every_end_of_a_run_is_an_answer(code: str) -> None:
    """Guards: a run that the pool ended by itself, its caller not known to have left, had no answer."""
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(code=code)
        assert balancer.answer()[1].status == 500


def test_a_refusal_never_reaches_the_pool_and_carries_its_advice() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="1900")  # it could never run beside its key
        number, answer = balancer.answer()
        assert (number, answer.status) == (1, 503)
        assert float(answer.headers.get("Srv-Load", "0")) >= 0
        balancer.send(2)
        assert w.pool.run()["uid"].endswith("2")


def test_answers_come_in_any_order_on_one_connection() -> None:
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
def test_impossible_fields_fail_that_request_alone(fields: dict[str, Any]) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, **fields)
        assert balancer.answer()[1].status == 500
        w.serve(balancer, 2)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        fastcgi.record(fastcgi.PARAMS, 1, bytes(fastcgi.MAX_CONTENT + 1)),
        BEGIN + BEGIN,
        fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1"),
        fastcgi.record(99, 1, b""),
        BEGIN + fastcgi.record(fastcgi.STDIN, 1, b"too early"),
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, b"\x7f\x7fshort") + fastcgi.record(fastcgi.PARAMS, 1, b""),
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, bytes(5_000)) * 2,
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, b"") + fastcgi.record(fastcgi.STDIN, 1, bytes(2_049)),
    ],
)
def test_malformed_input_ends_that_connection_alone(data: bytes) -> None:
    with world() as w:
        bad, good = w.balancer(), w.balancer()
        bad.sock.sendall(data)
        assert bad.ended()
        w.serve(good, 1)


def test_a_33rd_open_request_is_turned_away_as_overload() -> None:
    with world() as w:
        balancer = w.balancer()
        for number in range(1, 34):  # as yet without their bodies
            balancer.sock.sendall(fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0"))
        number, answer = balancer.answer()
        assert (number, answer.protocol) == (33, fastcgi.OVERLOADED)


def test_records_of_no_request_are_answered_by_the_book() -> None:
    with world() as w:
        balancer = w.balancer()
        asked = fastcgi.put_pairs({"FCGI_MPXS_CONNS": "", "FCGI_NEVER": ""})
        balancer.sock.sendall(fastcgi.record(fastcgi.GET_VALUES, 0, asked) + fastcgi.record(50, 0, b""))
        said = fastcgi.record(fastcgi.GET_VALUES_RESULT, 0, fastcgi.put_pairs({"FCGI_MPXS_CONNS": "1"}))
        said += fastcgi.record(fastcgi.UNKNOWN_TYPE, 0, bytes([50]) + bytes(7))
        assert balancer.read(len(said)) == said


def test_a_new_connection_gets_the_place_of_the_one_that_is_least_missed() -> None:
    """Guards: connections that said nothing, or had once asked, took all places, and balancers waited."""
    with world(most=3) as w:
        idle, busy, silent = w.balancer(), w.balancer(), w.balancer()
        w.serve(idle, 1)
        busy.send(2)
        uid = w.pool.next("spawn")["uid"]
        third = w.balancer()
        assert silent.ended()
        w.serve(third, 3)
        fourth = w.balancer()
        assert idle.ended()
        w.serve(fourth, 4)
        w.pool.notice("finished", uid, "fine", b"done")
        assert busy.answer()[1].body == b"done"


def test_with_an_answer_owed_on_all_connections_a_new_one_is_turned_away_at_once() -> None:
    with world(most=1) as w:
        first = w.balancer()
        first.send(1)
        uid = w.pool.next("spawn")["uid"]
        assert w.balancer().ended()
        w.pool.notice("finished", uid, "fine", b"done")
        assert first.answer()[1].body == b"done"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        BEGIN,
        BEGIN[:3],
        BEGIN + fastcgi.record(fastcgi.PARAMS, 1, b"\1\1ab"),
    ],
)
def test_who_says_nothing_whole_is_ended_and_who_did_may_idle(
    data: bytes,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: nothing bounded the time to the first or to the whole request."""
    monkeypatch.setattr(connection, "SAY_WAIT_S", 0.2)
    monkeypatch.setattr(server, "LOOK_S", 0.05)
    with world() as w:
        w.host._control.back = 1.0  # it does not want idle connections closed
        bad, good = w.balancer(), w.balancer()
        w.serve(good, 1)
        bad.sock.sendall(data)
        assert bad.ended()
        w.serve(good, 2)


def test_the_rest_of_a_request_is_waited_for_so_long_and_no_longer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "SAY_WAIT_S", 0.2)
    monkeypatch.setattr(server, "LOOK_S", 0.05)
    with world() as w:
        balancer = w.balancer()
        balancer.send(2)
        uid = w.pool.next("spawn")["uid"]
        balancer.sock.sendall(BEGIN)
        assert balancer.answer()[1].status == 500  # what else is open on the connection goes on
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"


def test_who_sends_on_after_the_end_is_cut_off_once_it_is_answered() -> None:
    """Guards: the last reading of an ended connection went on as long as its peer sent."""
    with world() as w:
        bad, uid = w.running()
        bad.sock.sendall(bytes(65_536))
        w.end(bad, uid)
        with pytest.raises(ConnectionError):
            while True:
                bad.sock.sendall(bytes(65_536))


def test_a_connection_is_closed_when_it_idles_but_not_with_an_open_request() -> None:
    with world() as w:
        busy, idle = w.balancer(), w.balancer()
        w.serve(idle, 1)
        busy.send(2)
        uid = w.pool.next("spawn")["uid"]
        w.host._close_idle(CloseIdleConnections(1))
        assert idle.ended()
        w.pool.notice("finished", uid, "fine", b"done")
        assert busy.answer()[1].body == b"done"


def test_abort_stops_the_run_and_frees_the_number() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        assert balancer.answer()[1].status == 0  # an end and no answer
        w.pool.notice("finished", uid, "broken_off")
        w.serve(balancer, 1, HTTP_REQ_ID="f" * 16)


def test_a_connection_that_breaks_counts_as_its_callers_leaving() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        balancer.sock.close()
        assert w.pool.next("suspend")["uid"] == uid


@pytest.mark.parametrize(
    ("deep", "stored", "code", "status"),
    [
        (False, False, "", 200),
        (True, False, "fine", 200),
        (True, False, "fault", 503),
        (True, True, "", 200),
    ],
)
def test_health(deep: bool, stored: bool, code: str, status: int) -> None:
    with world() as w:
        w.host._health.set(SetHealth(True, stored))
        balancer = w.balancer()
        balancer.send(1, "/status/live", b"", QUERY_STRING="real=1" if deep else "")
        if code:
            w.pool.tell(action="verified", echo=w.pool.next("verify")["echo"], code=code)
        assert balancer.answer()[1].status == status


def test_a_site_without_deep_checks_answers_from_the_setting() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, "/status/live", b"", QUERY_STRING="real=1")
        w.pool.next("verify")
        w.pool.tell(action="unknown", code="verify", uid="")
        assert balancer.answer()[1].status == 200


# --- keys ---


def test_a_repeat_after_the_run_is_served_from_its_result() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, **KEYED)
        w.pool.run(b"once")
        assert balancer.answer()[1].body == b"once"
        balancer.send(2, **KEYED)
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body) == (2, 200, b"once")
        assert w.pool.commands.empty()


@pytest.mark.parametrize("ended", [False, True])
def test_a_token_stands_for_one_body_and_its_stranger_disturbs_no_one(ended: bool) -> None:
    """Guards: a repeat was matched by its token alone, and a stranger served with another's result."""
    with world() as w:
        balancer, stranger = w.balancer(), w.balancer()
        balancer.send(1, **KEYED)
        uid = w.pool.next("spawn")["uid"]
        if ended:
            w.pool.notice("finished", uid, "fine", b"once")
            assert balancer.answer()[1].body == b"once"
        stranger.send(2, body=b"another", **KEYED)
        assert stranger.answer()[1].status == 500
        balancer.send(3, **KEYED)
        if not ended:
            w.pool.notice("finished", uid, "fine", b"once")
            assert balancer.answer()[1].body == b"once"
        assert balancer.answer()[1].body == b"once"
        assert w.pool.commands.empty()


def test_a_token_that_a_stranger_brought_first_is_still_its_owners() -> None:
    """Guards: the key of a request that the pool did not know was kept, and its owner's first try failed."""
    with world() as w:
        stranger, balancer = w.balancer(), w.balancer()
        stranger.send(1, body=b"made up", **KEYED)
        w.pool.tell(action="unknown", code="spawn", uid=w.pool.next("spawn")["uid"])
        assert stranger.answer()[1].status == 500
        w.serve(balancer, 2, **KEYED)


def test_an_id_is_the_same_in_either_case_and_stays_its_owners() -> None:
    with world() as w:
        balancer, stranger = w.balancer(), w.balancer()
        balancer.send(1, HTTP_REQ_ID="ab" * 8)
        uid = w.pool.next("spawn")["uid"]
        stranger.send(2, HTTP_REQ_ID="AB" * 8, body=b"another")
        assert stranger.answer()[1].status == 500
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"


def test_the_next_try_gets_the_result_of_a_run_whose_caller_left() -> None:
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        w.pool.next("supply")
        balancer.abort(1)
        assert balancer.answer()[0] == 1
        balancer.send(2, **KEYED)
        w.pool.notice("finished", uid, "fine", b"once")
        assert balancer.answer()[1].body == b"once"
        assert w.pool.commands.empty()


@pytest.mark.parametrize(("code", "status"), [("fine", 200), ("fault", 500)])
def test_tries_read_together_share_one_run(code: str, status: int) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.sock.sendall(balancer.request(1, **KEYED) + balancer.request(2, **KEYED))
        w.pool.run(b"once", code)
        answers = dict(balancer.answer() for _ in range(2))
        assert {number: answer.status for number, answer in answers.items()} == {1: status, 2: status}
        assert w.pool.commands.empty()


def test_a_try_that_never_ran_leaves_its_key_free() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="1900", **KEYED)
        assert balancer.answer()[1].status == 503
        w.serve(balancer, 2, **KEYED)


@pytest.mark.parametrize(("beyond_us", "runs"), [(-1_000_000, 1), (1_000_000, 2)])
def test_the_window_counts_from_the_arrival(
    beyond_us: int,
    runs: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Also of a try that is read long after its arrival, when the window has gone by."""
    with world() as w:
        balancer = w.balancer()
        first = time.time_ns() // 1_000_000
        w.serve(balancer, 1, **KEYED, HTTP_REQ_TIME=str(first))
        real, later = clock.now, WINDOW_US + 2_000_000
        monkeypatch.setattr(clock, "now", lambda: real() + later)
        stamp = first - (later - WINDOW_US - beyond_us) // 1_000
        balancer.send(2, **KEYED, HTTP_REQ_TIME=str(stamp))
        if runs == 2:
            w.pool.run()
        assert balancer.answer()[1].status == 200
        assert w.pool.commands.empty()


# --- calls ---


def test_a_call_passes_on_ticket_body_and_reply() -> None:
    with world(reply(200, b"\0reply")) as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        w.pool.notice("blocked", uid, content=b"\xffcall")
        head, _, body = w.vault.calls.get(timeout=WAIT_S).partition(b"\r\n\r\n")
        assert head.startswith(b"POST /v2/read HTTP/1.1\r\n")
        assert b"X-Ticket: " + uid.encode() in head
        assert body == b"\xffcall"
        assert w.pool.next("supply")["content"] == b"\0reply"
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200


def test_an_empty_reply_is_a_reply_all_the_same() -> None:
    """Guards: after a break, an empty reply was taken for none, and the run was spawned again."""
    with world(reply(200)) as w:
        balancer = w.balancer()
        w.block(balancer)
        w.pool.next("supply")
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("supply")["content"] == b""


@pytest.mark.parametrize(
    ("path", "first", "calls"),
    [
        ("/svc/read", reply(500), 2),
        ("/svc/read", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 2),
        ("/svc/write", reply(503, unseen=True), 2),
        ("/svc/write", reply(409, unseen=True), 2),
        ("/svc/write", reply(503), 1),
        ("/svc/write", reply(504), 1),
        ("/svc/write", b"junk\r\n\r\n", 1),
    ],
)
def test_a_call_with_an_effect_is_made_again_only_if_it_provably_never_ran(
    path: str,
    first: bytes,
    calls: int,
) -> None:
    with world(first, reply(200, b"late")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, path=path, HTTP_REQ_TOKEN=TOKEN if path == KEYED["path"] else "")
        for _ in range(calls):
            w.vault.calls.get(timeout=WAIT_S)
        if calls == 2:
            w.pool.next("supply")
            w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == (200 if calls == 2 else 500)
        assert w.vault.calls.empty()


def test_a_call_for_a_caller_that_left_is_given_up() -> None:
    with world() as w:
        balancer = w.balancer()
        w.block(balancer)
        w.vault.calls.get(timeout=WAIT_S)
        balancer.abort(1)
        assert w.vault.closed.wait(WAIT_S)


@pytest.mark.parametrize("left", [True, False])
def test_a_pool_is_told_that_a_run_at_its_call_is_over(left: bool) -> None:
    """Guards: a pool that does not see by itself that a request is over kept its run, and the memory."""
    with world() as w:  # whose vault answers no call
        balancer = w.balancer()
        uid = w.block(balancer)
        w.vault.calls.get(timeout=WAIT_S)
        if left:
            balancer.abort(1)
        else:
            w.host.drain(500_000)
            assert balancer.answer()[1].status == 500
        assert w.pool.next("suspend")["uid"] == uid
        w.pool.notice("finished", uid, "broken_off")


def test_a_refused_connection_proves_that_no_call_ran() -> None:
    with socket.create_server(("127.0.0.1", 0)) as gone:
        address = gone.getsockname()
    ends: queue.Queue[Outcome] = queue.Queue()
    vault.VaultCall(address, "0" * 16, b"", 1_000_000, lambda how, body, took: ends.put(how))
    assert ends.get(timeout=WAIT_S) is Outcome.UNREACHED


@pytest.mark.parametrize(
    ("status", "unseen", "how"),
    [
        (200, False, Outcome.OK),
        (503, True, Outcome.REJECTED),
        (503, False, Outcome.ERROR),
        (500, False, Outcome.ERROR),
        (504, False, Outcome.TIMEOUT),
        (409, True, Outcome.NEVER_STARTED),
        (409, False, Outcome.ERROR),
        (302, False, Outcome.ERROR),
    ],
)
def test_what_a_reply_proves(status: int, unseen: bool, how: Outcome) -> None:
    headers = {"x-refused-unseen": "1"} if unseen else {}
    assert vault.outcome(http.Reply(status, headers, b"")) is how


# --- the link to the pool ---


def test_nothing_is_said_before_the_pool_is_up() -> None:
    with world(bound=False) as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.bound = True
        w.pool.tell(action="bound", code="starting", wall_ms=1)
        w.pool.run()
        assert balancer.answer()[1].status == 200


@pytest.mark.parametrize(("path", "token", "again"), [("/svc/read", "", True), ("/svc/write", TOKEN, False)])
def test_after_a_break_only_what_may_run_twice_is_said_again(path: str, token: str, again: bool) -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, path, HTTP_REQ_TOKEN=token)
        uid = w.pool.next("spawn")["uid"]
        w.pool.notice("finished", "f" * 16, "fine")  # of no request here; its number counts all the same
        balancer.send(2, "/status/live", b"", QUERY_STRING="real=1")
        w.pool.tell(action="verified", echo=w.pool.next("verify")["echo"], code="fine")
        assert balancer.answer()[1].status == 200  # so the notice before it was read
        w.pool.cut()
        assert w.pool.next("bind")["pos"] == 1
        if again:
            assert w.pool.next("spawn")["uid"] == uid
        w.pool.notice("finished", "f" * 16, "fine", again=True)
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.pool.commands.empty()


def test_a_supply_that_a_break_may_have_lost_is_said_again() -> None:
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        w.block(balancer, **KEYED)
        w.pool.next("supply")
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("supply")["content"] == b"reply"


def test_a_keyed_run_that_has_to_call_is_said_again_after_a_break() -> None:
    """Guards: one lost with the link was left to its due time. It can't have ended without a call to us."""
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        uid = w.block(balancer, **KEYED)
        w.pool.next("supply")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN="0" * 32)
        uid = w.pool.next("spawn")["uid"]
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("spawn")["uid"] == uid
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].status == 200


def test_a_run_that_was_lost_with_a_link_frees_its_place_when_it_is_stopped() -> None:
    """Guards: nothing is told of the end of what never began, and the controller counted it as running."""
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, **KEYED)
        uid = w.pool.next("spawn")["uid"]
        w.pool.cut()
        w.pool.next("bind")
        w.serve(balancer, 2)
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        balancer.answer()
        w.serve(balancer, 3)  # its notice comes after the answer to what was asked behind `suspend`
        assert 1 not in w.host._control.running


@pytest.mark.parametrize(
    "line",
    [
        b"{broken\n",
        b"\xff\n",
        b'{"action":"finished","pos":1,"uid":"x","code":"fine","content":"?"}\n',
    ],
)
def test_a_line_that_cannot_be_read_is_asked_for_once_more(line: bytes) -> None:
    """Guards: it ended the link's thread for good, and nothing was run any more."""
    with world() as w:
        w.pool.raw(line)
        assert w.pool.next("bind")["pos"] == 0
        w.pool.raw(line)  # no better: passed over
        w.serve(w.balancer(), 1)


def test_a_message_of_another_form_is_passed_over() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        uid = w.pool.next("spawn")["uid"]
        w.pool.tell(action="unknown", code="spawn", uid=None)
        w.pool.tell(action="chatter", pos=0, code="hm")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.pool.commands.empty()


def test_a_notice_is_acted_on_once() -> None:
    with world(reply(200, b"a"), reply(200, b"b")) as w:
        balancer = w.balancer()
        uid = w.block(balancer)
        w.pool.notice("blocked", uid, content=b"call", again=True)
        w.pool.next("supply")
        w.pool.notice("finished", uid, "fine", b"done")
        assert balancer.answer()[1].body == b"done"
        assert w.vault.calls.qsize() == 1


def test_the_pool_may_move_and_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: two threads served the address it came back to, and cut each other's links without end."""
    back, before = threading.Event(), set(threading.enumerate())
    monkeypatch.setattr(worker_pool_link, "time", SimpleNamespace(sleep=lambda s: back.wait(WAIT_S)))
    with world() as w:
        (first,) = [
            thread for thread in set(threading.enumerate()) - before if thread.name == LINK_THREAD_NAME
        ]
        other = PoolPeer()
        w.host._pool.move(other.address)
        other.next("bind")
        w.host._pool.move(w.pool.address)
        w.pool.next("bind")
        back.set()
        first.join(WAIT_S)
        assert not first.is_alive()
        w.serve(w.balancer(), 1)


def test_a_spawn_that_the_pool_does_not_know_is_answered() -> None:
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.tell(action="unknown", code="spawn", uid=w.pool.next("spawn")["uid"])
        assert balancer.answer()[1].status == 500


# --- single parts ---


def test_only_the_first_of_two_answers_goes_out() -> None:
    sent: list[Response] = []
    exchange = Exchange(sent.append)
    exchange.respond(Response(ResponseStatus.SERVED, b"1"))
    exchange.respond(Response(ResponseStatus.FAILED))
    assert [answer.body for answer in sent] == [b"1"]
    assert not exchange.abandon()


def test_a_peer_that_does_not_read_keeps_no_one_waiting() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        outlet = MessageWriter(ours)
        message = bytes(range(256)) * 64
        count = 0
        while outlet.send(message):  # returns at once each time, until the bound is met
            count += 1
            assert count * len(message) < 64 * MOST_WAITING
        assert count * len(message) > MOST_WAITING


def test_what_waits_for_a_slow_peer_goes_out_whole_and_in_order() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        outlet = MessageWriter(ours)
        messages = [bytes([n]) * 3_000 for n in range(40)]
        assert all(outlet.send(message) for message in messages)
        outlet.end()  # cuts off nothing of it
        assert theirs.recv(120_000, socket.MSG_WAITALL) == b"".join(messages)
        assert theirs.recv(1) == b""
