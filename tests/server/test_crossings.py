"""Two events at one instant, each order forced: closings, answers, the notice to leave, reports.

`docs/server.md` has the list of what can cross, with the test or the reason for each.
"""

from __future__ import annotations

import contextlib
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from peers import (
    PARAMS,
    TOKEN,
    WAIT_S,
    WINDOW_US,
    Balancer,
    Held,
    Listener,
    PoolPeer,
    RosterPeer,
    VaultPeer,
    World,
    reply,
    until,
    world,
)
from server.test_program import NOWHERE, program

from cairnvane import clock
from cairnvane.exchange import Response
from cairnvane.idempotency.key_table import KeyTable
from cairnvane.net import connection, fastcgi, http, request_parameters, server, service_registry, vault
from cairnvane.net.connection import State
from cairnvane.net.server import FastCgiServer

# Bytes of a request: half of its first record, and that with a part of the second.
FEW, HALF = 5, 20
BEGIN = fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1\1\0\0\0\0\0")
ABORT = fastcgi.record(fastcgi.ABORT_REQUEST, 1, b"")


def hold(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    meant: Callable[..., bool] = lambda *_: True,
) -> Held:
    held = Held(getattr(owner, name), meant)
    monkeypatch.setattr(owner, name, held)
    return held


def served(answer: Response) -> bool:
    return answer.body == b"done"


def retiring(w: World) -> None:
    """The time for new work is over, as `retire` says before it looks over the connections."""
    w.server.retiring = True


def in_thread(work: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


# --- the end of a connection ---


def test_a_request_on_its_way_to_the_host_is_no_reason_to_close(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: whole, it was neither half read nor open for a moment; a close then lost its answer."""
    held = hold(monkeypatch, request_parameters, "service_request")
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        retiring(w)
        assert not w.connection.close_if_idle()
        assert not w.connection.make_room()
        held.go.set()
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


@pytest.mark.parametrize("how", ["retire", "room"])
def test_an_answer_that_is_not_written_yet_keeps_the_connection(
    how: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: a request was closed before its answer was written; an end told in between cut that off."""
    held = hold(monkeypatch, request_parameters, "content", served)
    with world(most=1) as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(b"done")
        assert held.reached.wait(WAIT_S)
        if how == "retire":
            retiring(w)
            assert not w.connection.close_if_idle()
        else:
            assert w.balancer().ended()  # turned away: the only place is taken
        held.go.set()
        assert balancer.answer()[1].body == b"done"


def test_a_connection_with_unread_bytes_is_not_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: a reader kept from its bytes by a busy core; the request had come long before the close."""
    sleep = Held(lambda seconds: None)
    monkeypatch.setattr(connection, "time", SimpleNamespace(monotonic=time.monotonic, sleep=sleep))
    with world() as w:
        balancer = w.balancer()
        balancer.send(1, HTTP_REQ_KB="0")  # can't be right: read on only after a while
        assert balancer.answer()[1].status == 500
        assert sleep.reached.wait(WAIT_S)
        balancer.send(2)
        assert w.connection.sock.recv(1, socket.MSG_PEEK)
        assert not w.connection.close_if_idle(asked=True)
        retiring(w)
        assert not w.connection.close_if_idle()
        sleep.go.set()
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


@pytest.mark.parametrize("said", [FEW, HALF])
def test_half_a_line_at_the_close_is_read_to_its_end_and_answered(said: int) -> None:
    """Guards: half a record counted as nothing, and the rest of it was dropped."""
    with world() as w:
        balancer = w.balancer()
        data = balancer.request(1)
        balancer.sock.sendall(data[:said])
        until(lambda: w.connection._rest_since is not None and not w.connection._in_hand)
        retiring(w)
        assert not w.connection.close_if_idle()
        balancer.sock.sendall(data[said:])
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


def test_bytes_in_the_readers_hands_put_the_end_of_a_silent_peer_off_by_one_look(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: a connection's first request had come in time, and a busy core kept the reader from it."""
    monkeypatch.setattr(server, "LOOK_S", 10 * WAIT_S)
    held = hold(monkeypatch, fastcgi, "take")
    with world() as w:
        balancer, late = w.balancer(), w.connection
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        w.server.clock += connection.SAY_WAIT_S
        late.look()
        assert late._state is State.SERVING
        held.go.set()
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"


def test_nothing_that_is_read_after_the_end_is_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: bytes in the reader's hands as the end was told; their request ran, and had no answer."""
    held = hold(monkeypatch, fastcgi, "take")
    with world() as w:
        balancer, other = w.balancer(), w.balancer()
        balancer.send(1)
        assert held.reached.wait(WAIT_S)
        for each in w.server._all():
            if each._in_hand:
                each.leave()
        held.go.set()
        assert balancer.ended()
        other.send(2)
        assert w.pool.next("spawn")["uid"] == f"{2:016x}"


def test_what_kept_a_connection_from_its_end_ends_it_when_it_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: `retire` asks once; found with bytes in hand that are no request, a connection stayed."""
    monkeypatch.setattr(server, "LOOK_S", 10 * WAIT_S)
    held = hold(monkeypatch, fastcgi, "take")
    with world() as w:
        balancer = w.balancer()
        balancer.sock.sendall(fastcgi.record(50, 0, b""))
        assert held.reached.wait(WAIT_S)
        retiring(w)
        assert not w.connection.close_if_idle()
        held.go.set()
        assert balancer.ended()


def test_a_request_on_a_connection_that_nobody_accepted_is_answered() -> None:
    """Guards: with the listener the kernel resets what it has completed, and the request on it was lost."""
    with world() as w:
        late = FastCgiServer(("127.0.0.1", 0), w.host, 16)  # its listener's thread never comes to it
        balancer = Balancer(late.address)
        balancer.send(1)
        leaving = in_thread(lambda: late.retire(WAIT_S))
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()
        balancer.sock.close()
        leaving.join(WAIT_S)
        assert not leaving.is_alive()


def test_a_connection_that_is_accepted_during_the_last_look_is_told_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: registered after `retire` had looked over the connections, it kept the process to the last."""
    monkeypatch.setattr(server, "LOOK_S", 10 * WAIT_S)
    held = hold(monkeypatch, server, "Connection")
    with world() as w:
        balancer = w.balancer()
        assert held.reached.wait(WAIT_S)
        w.server.retire(0)
        held.go.set()
        assert balancer.ended()


@pytest.mark.parametrize(
    "data",
    [
        b"no record at all",
        BEGIN,
        *(
            each.replace(b"\0\1\0", b"\0\2\0") * (connection.MOST_VOID + 1)
            for each in (
                fastcgi.record(fastcgi.STDIN, 7, b""),
                fastcgi.record(50, 0, b""),
                BEGIN + ABORT,
                ABORT,
                fastcgi.record(fastcgi.PARAMS, 7, bytes(4_000)),
                BEGIN[:6] + b"\0\0\0\7" + BEGIN[10:],
            )
        ),
    ],
)
def test_what_no_balancer_sends_costs_its_connection_and_no_answer(data: bytes) -> None:
    """A record that can't be read, a number begun again while it is open, a flood of records of no request.
    Guards: what was owed on the connection was withdrawn, and a flood had as much of the core as it wrote."""
    with world() as w:
        bad, uid = w.running()
        bad.sock.sendall(data)
        until(lambda: w.connection._state is State.ANSWERING)
        bad.send(3)  # not looked at any more
        w.serve(w.balancer(), 4)
        w.pool.notice("finished", uid, "fine", b"done")
        while (last := bad.answer())[0] != 1:  # among what else it asked for
            pass
        assert last[1].body == b"done"
        assert bad.ended()


def test_half_a_record_that_stays_half_costs_no_answer_that_is_owed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "SAY_WAIT_S", 0.2)
    monkeypatch.setattr(server, "LOOK_S", 0.05)
    with world() as w:
        balancer, uid = w.running()
        balancer.sock.sendall(balancer.request(2)[:4])
        until(lambda: w.connection._state is State.ANSWERING)
        w.end(balancer, uid)
        assert balancer.ended()


def test_a_peer_that_half_closes_is_answered_and_nothing_runs_on_for_it() -> None:
    """Guards: what was open was withdrawn, and a peer that had only ended its own side got no answer."""
    with world() as w:
        balancer, uid = w.running()
        balancer.sock.shutdown(socket.SHUT_WR)
        number, answer = balancer.answer()
        assert (number, answer.status) == (1, 500)
        assert w.pool.next("suspend")["uid"] == uid
        assert balancer.ended()


def test_an_answer_on_its_way_as_the_peer_half_closes_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, request_parameters, "content", served)
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(b"done")
        assert held.reached.wait(WAIT_S)
        closing = w.connection
        balancer.sock.shutdown(socket.SHUT_WR)
        until(lambda: closing._state is not State.SERVING)
        held.go.set()
        assert balancer.answer()[1].body == b"done"
        assert balancer.ended()


def test_a_half_said_request_of_a_balancer_keeps_its_place(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: what carried nothing for the longest made room, though half of a request had come on it."""
    with world(most=2) as w:
        balancer, dripping = w.balancer(), w.balancer()
        w.serve(balancer, 1)
        data = balancer.request(2)
        balancer.sock.sendall(data[:HALF])
        dripping.sock.sendall(data[:HALF])
        until(lambda: all(each._rest_since is not None for each in w.server._all()))
        third = w.balancer()
        assert dripping.ended()
        w.serve(third, 3)
        third.sock.sendall(third.request(4)[:HALF])
        until(lambda: all(each._rest_since is not None for each in w.server._all()))
        assert w.balancer().ended()
        balancer.sock.sendall(data[HALF:])
        w.pool.run(b"done")
        assert balancer.answer()[1].body == b"done"


def test_an_abort_against_the_answer_leaves_one_end(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, request_parameters, "content", served)
    with world() as w:
        balancer = w.balancer()
        balancer.send(1)
        w.pool.run(b"done")
        assert held.reached.wait(WAIT_S)  # its answer is given, and not written
        balancer.abort(1)
        balancer.sock.sendall(fastcgi.record(50, 0, b""))  # answered when the abort was read
        assert balancer.read(16) == fastcgi.record(fastcgi.UNKNOWN_TYPE, 0, bytes([50]) + bytes(7))
        held.go.set()
        assert balancer.answer()[1].body == b"done"
        w.serve(balancer, 1, HTTP_REQ_ID="f" * 16)  # the next end is the next request's


# --- floods ---


def test_records_of_requests_that_have_ended_meanwhile_cost_a_balancer_nothing() -> None:
    with world() as w:
        balancer = w.balancer()
        for number in range(1, 4):
            balancer.sock.sendall(ABORT * (connection.MOST_VOID - 1))
            w.serve(balancer, number)


def _reader(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(65_536):
            pass


# What no balancer sends, again and again, and whether its client reads; each comes back when it is cut off.
FLOODS = {
    "records of nothing": (fastcgi.record(fastcgi.STDIN, 7, b"") * 1_000, True),
    "management records that are not read": (fastcgi.record(50, 0, b"") * 1_000, False),
    "beginnings and aborts": ((BEGIN + ABORT) * 500, True),
    "requests beyond the most": (
        b"".join(BEGIN[:2] + number.to_bytes(2, "big") + BEGIN[4:] for number in range(1, 600)),
        True,
    ),
    "garbage": (b"GET / HTTP/1.1\r\n\r\n" * 100, True),
    "an oversized record": (fastcgi.record(fastcgi.PARAMS, 1, bytes(60_000)), True),
    "half a record": (BEGIN[:5], True),
}


def test_floods_cost_no_answer_of_another_nor_the_drain_nor_the_limits(tmp_path: Path) -> None:
    """Each flood goes on from three connections while a balancer is served and the program leaves."""
    over = threading.Event()

    def flood(address: tuple[str, int], data: bytes, read: bool) -> None:
        while not over.is_set():
            with contextlib.suppress(OSError), socket.create_connection(address, 1) as sock:
                if read:
                    in_thread(lambda: _reader(sock))
                while not over.wait(0.001):  # so that this process has time for its own balancer
                    sock.sendall(data)

    pool = PoolPeer()
    with program(tmp_path, f"127.0.0.1:{pool.address[1]}", NOWHERE, stop_ms=5_000) as (process, port):
        assert process.stderr is not None
        in_thread(process.stderr.read)  # a full pipe of log lines would keep the server from its exit
        floods = [
            threading.Thread(target=flood, args=(("127.0.0.1", port), *how), daemon=True)
            for how in FLOODS.values()
            for _ in range(3)
        ]
        balancer = Balancer(("127.0.0.1", port))
        pool.next("bind")
        for each in floods:
            each.start()
        for number in range(1, 101):
            balancer.send(number % 32 + 1, HTTP_REQ_ID=f"{number:016x}")
            pool.run(b"done")
            assert balancer.answer()[1].body == b"done"
        status = Path(f"/proc/{process.pid}/status").read_text()
        peak_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        assert peak_kb < 64 * 1_024
        balancer.send(1, HTTP_REQ_ID="a" * 16)
        uid = pool.next("spawn")["uid"]
        process.send_signal(signal.SIGTERM)
        pool.notice("finished", uid, "fine", b"last")
        assert balancer.answer()[1].body == b"last"
        assert process.wait(WAIT_S) == 0
        over.set()
        for each in floods:
            each.join(WAIT_S)


def test_deep_checks_share_the_work_that_is_under_way() -> None:
    """Guards: each had the pool do it anew, and took a thread of ours for its timer: thousands took both."""
    with world() as w:
        balancer = w.balancer()
        for number in range(1, 20):
            balancer.send(number, "/status/live", b"", QUERY_STRING="real=1")
        echo = w.pool.next("verify")["echo"]
        until(lambda: len(w.host._health._waiting) == 19)
        w.pool.tell(action="verified", echo=echo, code="fine")
        assert [balancer.answer()[1].status for _ in range(19)] == [200] * 19
        w.serve(balancer, 21)  # its `spawn` is what the pool hears next
        balancer.send(20, "/status/live", b"", QUERY_STRING="real=1")
        w.pool.tell(action="verified", echo=w.pool.next("verify")["echo"], code="fault")
        assert balancer.answer()[1].status == 503


# --- the pool ---


@pytest.mark.parametrize("said", ["fine", "fault", "broken_off", "late", "blocked", "unknown"])
def test_what_crosses_the_order_to_stop_a_run_changes_nothing(said: str) -> None:
    """Its caller has left, and the pool had said this, or did not know the run any more."""
    with world() as w:
        balancer, uid = w.running()
        balancer.abort(1)
        assert balancer.answer()[1].status == 0
        assert w.pool.next("suspend")["uid"] == uid
        if said == "unknown":
            w.pool.tell(action="unknown", code="suspend", uid=uid)
        elif said == "blocked":
            w.pool.notice("blocked", uid, content=b"call")
        else:
            w.pool.notice("finished", uid, said, b"done" if said == "fine" else b"")
        w.serve(balancer, 1, HTTP_REQ_ID="f" * 16)  # the next command, and the next answer of that number
        assert w.vault.calls.empty()


def test_a_reply_that_the_pool_no_longer_knows_a_call_for_changes_nothing() -> None:
    with world(reply(200, b"reply")) as w:
        balancer = w.balancer()
        uid = w.block(balancer)
        w.pool.next("supply")
        w.pool.tell(action="unknown", code="supply", uid=uid)
        w.end(balancer, uid)


# --- calls and keys ---


def test_a_reply_as_its_call_is_given_up_is_not_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    held = hold(monkeypatch, vault, "outcome")
    threads: list[threading.Thread] = []
    ends: list[Any] = []
    monkeypatch.setattr(vault, "_threads", SimpleNamespace(run=lambda task: threads.append(in_thread(task))))
    call = vault.VaultCall(
        VaultPeer(reply(200)).address, "0" * 16, b"x", 60_000_000, lambda *end: ends.append(end)
    )
    assert held.reached.wait(WAIT_S)
    call.give_up()
    held.go.set()
    threads[0].join(WAIT_S)
    assert ends == []


def test_a_reply_that_was_reported_as_its_caller_left_is_not_supplied() -> None:
    with world(reply(200, b"late")) as w:
        balancer, posted = w.balancer(), threading.Event()
        held = Held(w.host.post)

        def post(task: Callable[[], None]) -> None:
            held(task)
            posted.set()

        w.host.executions._post = post
        uid = w.block(balancer)
        assert held.reached.wait(WAIT_S)
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        held.go.set()
        assert posted.wait(WAIT_S)
        assert balancer.answer()[0] == 1
        w.serve(balancer, 2)  # its `spawn` is what the pool hears next


def test_a_window_ends_at_its_last_microsecond() -> None:
    table = KeyTable(read_delay=1_000_000)
    table.insert("token", 7, 100)
    assert (table.owner("token", 99), table.owner("token", 100)) == (7, None)
    assert table.expire(100) == []  # a try that came in time may be read as much later
    assert table.expire(1_000_100) == [7]


@pytest.mark.parametrize("how", ["left", "late", "unknown"])
def test_a_try_that_waits_for_one_that_never_runs_is_run_itself(how: str) -> None:
    """Guards: it was failed along with the first, though nothing had run for either."""
    with world(Cores=1) as w:
        balancer = w.balancer()
        keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
        if how == "left":  # while it is held, as the core is taken
            balancer.send(9)
            uid = w.pool.next("spawn")["uid"]
        balancer.send(1, **keyed)
        first = w.pool.next("spawn")["uid"] if how != "left" else ""
        balancer.send(2, **keyed)
        until(lambda: any(known.waiting_duplicates for known in w.host._requests.all()))
        if how == "left":
            balancer.abort(1)
            assert balancer.answer()[0] == 1
            w.pool.notice("finished", uid, "fine", b"done")
            assert balancer.answer()[0] == 9
        elif how == "late":
            w.pool.notice("finished", first, "late")
            assert balancer.answer()[1].status == 500
        else:
            w.pool.tell(action="unknown", code="spawn", uid=first)
            assert balancer.answer()[1].status == 500
        assert w.pool.run(b"once")["uid"] == f"{2:016x}"
        number, answer = balancer.answer()
        assert (number, answer.status, answer.body) == (2, 200, b"once")


def test_a_window_counts_from_a_stamp_that_lies_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: the entry ended as if the try had come when it was read, before its window did."""
    with world() as w:
        balancer = w.balancer()
        stamp = str(time.time_ns() // 1_000_000 + 1_500)
        w.serve(balancer, 1, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=stamp)
        until_us = w.host._duplicates._keys._entries[TOKEN].expires_at
        assert until_us >= time.monotonic_ns() // 1_000 + WINDOW_US + 1_000_000


# --- the settings of others ---


def _class(name: str, repeat: str = "free", **more: Any) -> dict[str, Any]:
    return {"Name": name, "OnTimeUs": 3_000_000, "GiveUpUs": 9_000_000, "Repeat": repeat, **more}


@pytest.mark.parametrize(
    ("classes", "more"),
    [
        ([_class("only")], {}),
        ([_class(f"kind-{number}", Worth=float(number)) for number in range(40)], {}),
        ([_class("read"), _class("signal", "single_shot", Worth=2.0)], {}),
        ([_class("all", "guarded", WindowUs=0)], {"Extra": PARAMS["Extra"] | {"Downstream": "silent"}}),
        (
            [_class("short", OnTimeUs=150_000, GiveUpUs=9_000_000, LateWorth=0.5)],
            {
                "Tenants": [{"Name": "a", "QuotaPerS": 0.5}],
                "OverShareWorth": 0.1,
                "Extra": PARAMS["Extra"] | {"Halt": "silent", "Say": "silent", "Meters": []},
            },
        ),
    ],
)
def test_whatever_the_settings_are_all_classes_are_served(
    classes: list[dict[str, Any]],
    more: dict[str, Any],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: nothing may come from anything but the settings, which are another customer's elsewhere."""
    for key, value in ({"Classes": classes} | more).items():
        monkeypatch.setitem(PARAMS, key, value)
    with world() as w:
        balancer = w.balancer()
        for number, cls in enumerate(classes, 1):
            token = {"HTTP_REQ_TOKEN": TOKEN} if cls["Repeat"] == "guarded" else {}
            w.serve(balancer, number, path=f"/svc/{cls['Name']}", **token)
        balancer.send(99, path="/svc/nobody's")
        assert balancer.answer()[1].status == 500  # and costs nothing but itself
        assert w.connection._state is State.SERVING


@pytest.mark.parametrize(("beyond_us", "runs"), [(-1, 1), (1_000_000, 2)])
def test_a_window_that_is_shorter_than_its_run_holds_to_its_end(
    beyond_us: int,
    runs: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """While the first try is still running: within the window it is repeated, after it a try is its own."""
    monkeypatch.setitem(PARAMS, "Classes", [_class("write", "guarded", WindowUs=1_000_000)])
    with world() as w:
        balancer = w.balancer()
        stamp = time.time_ns() // 1_000_000
        balancer.send(1, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=str(stamp))
        first = w.pool.next("spawn")["uid"]
        real, later = clock.now, 3_000_000
        monkeypatch.setattr(clock, "now", lambda: real() + later)
        second = stamp - (later - 1_000_000 - beyond_us) // 1_000
        balancer.send(2, path="/svc/write", HTTP_REQ_TOKEN=TOKEN, HTTP_REQ_TIME=str(second))
        if runs == 2:
            w.pool.run(b"again")
            assert balancer.answer()[1].body == b"again"
        w.pool.notice("finished", first, "fine", b"once")
        assert balancer.answer()[1].body == b"once"
        if runs == 1:
            assert balancer.answer()[1].body == b"once"
        assert w.pool.commands.empty()


# --- the roster, and signals ---


def test_no_report_goes_out_after_the_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: a report that was about to be said kept the entry for 3 s more."""
    said: list[bytes] = []
    ended = threading.Event()

    def listen(sock: socket.socket) -> None:
        said.append(sock.recv(4_096))
        ended.set()

    connected = Held(socket.create_connection)
    of_roster = SimpleNamespace(create_connection=connected, SHUT_RDWR=socket.SHUT_RDWR)
    monkeypatch.setattr(service_registry, "socket", of_roster)
    reports = service_registry.ServiceRegistry(Listener(listen).address, "n1")
    reports.start()
    assert connected.reached.wait(WAIT_S)
    reports.stop()
    connected.go.set()
    assert ended.wait(WAIT_S)
    assert said == [b""]


@pytest.mark.parametrize(
    "said",
    [
        b"",
        b"HTTP/1.1 204 No",
        b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nno",
        b"\xff\xfe\r\n\r\n",
        b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n",
        None,
    ],
)
def test_whatever_the_roster_says_the_next_report_comes(
    said: bytes | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: one that accepts and says nothing, or half of something, for longer than an entry lasts."""
    monkeypatch.setattr(service_registry, "EVERY_S", 0.01)
    monkeypatch.setattr(service_registry, "WAIT_S", 0.05)
    peer = RosterPeer(said)
    reports = service_registry.ServiceRegistry(peer.address, "n1")
    reports.start()
    for _ in range(3):
        assert peer.reports.get(timeout=WAIT_S).startswith(b"PUT /roster/n1 ")
    peer.stopping.set()
    reports.stop()


def test_an_error_that_nobody_expected_costs_one_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: the thread ended, and no balancer found the server any more."""
    monkeypatch.setattr(service_registry, "EVERY_S", 0.01)
    failed = threading.Event()

    def fails(*args: Any) -> http.Reply:
        if not failed.is_set():
            failed.set()
            raise ValueError("of a kind that no one thought of")
        return http.read_reply(*args)

    monkeypatch.setattr(service_registry, "http", SimpleNamespace(request=http.request, read_reply=fails))
    peer = RosterPeer(b"HTTP/1.1 204 No Content\r\n\r\n")
    reports = service_registry.ServiceRegistry(peer.address, "n1")
    reports.start()
    for _ in range(3):
        assert peer.reports.get(timeout=WAIT_S).startswith(b"PUT /roster/n1 ")
    assert failed.is_set()
    peer.stopping.set()
    reports.stop()


def test_a_move_in_the_midst_of_a_report_is_followed_by_one_to_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(service_registry, "EVERY_S", 10 * WAIT_S)
    connected = Held(socket.create_connection)
    of_roster = SimpleNamespace(create_connection=connected, SHUT_RDWR=socket.SHUT_RDWR)
    monkeypatch.setattr(service_registry, "socket", of_roster)
    came: queue.Queue[str] = queue.Queue()
    old, new = Listener(lambda sock: came.put("old")), Listener(lambda sock: came.put("new"))
    reports = service_registry.ServiceRegistry(old.address, "n1")
    reports.start()
    assert connected.reached.wait(WAIT_S)
    reports.move(new.address)
    connected.go.set()
    assert [came.get(timeout=WAIT_S) for _ in range(2)] == ["old", "new"]
    reports.stop()


def test_a_report_on_its_way_is_cut_off_by_the_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service_registry, "WAIT_S", 10 * WAIT_S)
    cut = threading.Event()
    here = threading.Event()

    def listen(sock: socket.socket) -> None:
        assert sock.recv(4_096)
        here.set()
        if not sock.recv(4_096):  # the answer that would make it count is not waited for
            cut.set()

    reports = service_registry.ServiceRegistry(Listener(listen).address, "n1")
    reports.start()
    assert here.wait(WAIT_S)
    reports.stop()
    assert cut.wait(WAIT_S)


@pytest.mark.parametrize("bound", [False, True])
def test_notices_that_come_again_or_before_the_pool_is_up_change_nothing(tmp_path: Path, bound: bool) -> None:
    pool = PoolPeer(bound)
    with program(tmp_path, f"127.0.0.1:{pool.address[1]}", NOWHERE) as (process, port):
        pool.next("bind")
        balancer = Balancer(("127.0.0.1", port))
        if bound:
            balancer.send(1)
            uid = pool.next("spawn")["uid"]
        for one in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            process.send_signal(one)
        if bound:
            pool.notice("finished", uid, "fine", b"last")
            assert balancer.answer()[1].body == b"last"
        assert balancer.ended()
        assert process.wait(WAIT_S) == 0


def test_after_a_kill_it_listens_at_once_at_the_same_address_and_knows_of_nothing(tmp_path: Path) -> None:
    pool = PoolPeer()
    at = f"127.0.0.1:{pool.address[1]}"
    keyed: dict[str, Any] = {"path": "/svc/write", "HTTP_REQ_TOKEN": TOKEN}
    with program(tmp_path, at, NOWHERE) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        resting = Balancer(("127.0.0.1", port))
        pool.next("bind")
        balancer.send(1, **keyed)
        pool.next("spawn")
        process.kill()
        assert balancer.ended() and resting.ended()
    pool.cut()
    pool.restart()  # the platform kills it along
    (tmp_path / "new").mkdir()  # and gives an empty temporary folder
    with program(tmp_path / "new", at, NOWHERE, listen=f"127.0.0.1:{port}") as (process, _):
        assert pool.next("bind")["pos"] == 0
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(2, **keyed)
        assert pool.run(b"done")["uid"] == f"{2:016x}"
        assert balancer.answer()[1].body == b"done"


def test_a_faulty_setting_ends_the_program_with_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    settings = PARAMS | {"Extra": PARAMS["Extra"] | {"Cores": 0}}
    path.write_text(
        json.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:0",
                "pool": NOWHERE,
                "roster": NOWHERE,
                "vault": NOWHERE,
                "settings": settings,
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "cairnvane"],
        env={**os.environ, "LB_CONFIG": str(path)},
        capture_output=True,
        text=True,
    )
    assert (done.returncode, done.stderr) == (
        2,
        "ERROR cairnvane.server.main: settings: Extra.Cores: impossible value 0\n",
    )


def test_a_torn_configuration_is_named_and_the_whole_one_after_it_counts(tmp_path: Path) -> None:
    pools = PoolPeer(), PoolPeer()
    path = tmp_path / "config-0.json"
    with program(tmp_path, f"127.0.0.1:{pools[0].address[1]}", NOWHERE) as (process, _):
        pools[0].next("bind")
        whole = json.dumps(json.loads(path.read_text()) | {"pool": f"127.0.0.1:{pools[1].address[1]}"})
        assert process.stderr is not None
        for torn in (whole[:0], whole[: len(whole) // 2], whole[:-1]):
            path.write_text(torn)
            process.send_signal(signal.SIGHUP)
            while "the previous one stays in use: LB_CONFIG:" not in process.stderr.readline():
                pass
        path.write_text(whole)
        process.send_signal(signal.SIGHUP)
        pools[1].next("bind")


def test_a_reload_before_the_program_can_wait_for_it_does_not_end_it(tmp_path: Path) -> None:
    """Guards: SIGHUP during the start, as a new configuration is told to all, was a crash."""
    pool = PoolPeer()
    started = tmp_path / "started"
    os.mkfifo(started)
    slow = tmp_path / "slow"
    slow.mkdir()
    # The interpreter loads this before anything of ours, and waits until the signal is there.
    (slow / "sitecustomize.py").write_text(f"open({str(started)!r}, 'w').write('here')\ninput()\n")
    config = tmp_path / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n3",
                "listen": "127.0.0.1:0",
                "pool": f"127.0.0.1:{pool.address[1]}",
                "roster": "127.0.0.1:1",
                "vault": "127.0.0.1:1",
                "settings": PARAMS,
            }
        )
    )
    run = tomllib.loads((Path(__file__).parents[2] / "deploy/balancer.toml").read_text())["run"]
    process = subprocess.Popen(
        ["/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)],
        text=True,
        stdin=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={
            **os.environ,
            "LB_CONFIG": str(config),
            "TMPDIR": str(tmp_path),
            "PYTHONPATH": os.pathsep.join([str(slow), str(Path(__file__).parents[2])]),
        },
    )
    try:
        assert process.stdin is not None and process.stderr is not None
        assert started.read_text() == "here"
        process.send_signal(signal.SIGHUP)
        process.stdin.write("on\n")
        process.stdin.close()
        assert "n3 listens on" in process.stderr.readline()
        process.send_signal(signal.SIGHUP)  # and is heard from here on
        while "cairnvane.server.reload: configuration reloaded: pool" not in process.stderr.readline():
            pass
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()
