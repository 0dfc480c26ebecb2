"""The program as it is deployed, its configuration, and the codecs below it."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import PARAMS, WAIT_S, Balancer, Listener, PoolPeer, RosterPeer

from cairnvane import config
from cairnvane.net import fastcgi, http

NOWHERE = "127.0.0.1:1"


@contextlib.contextmanager
def program(
    tmp_path: Path,
    pool: str,
    roster: str,
    operator: Path | None = None,
    **more: Any,
) -> Iterator[tuple[subprocess.Popen[str], int]]:
    """The program, and the port that it listens on; `more` goes into its configuration, and its temporary
    folder is `tmp_path`."""
    told = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "pool": pool,
        "roster": roster,
        "vault": NOWHERE,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 60_000,
        "settings": PARAMS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
    } | more
    path = tmp_path / f"config-{len(list(tmp_path.glob('config-*')))}.json"
    path.write_text(json.dumps(told))
    process = subprocess.Popen(
        [sys.executable, "-m", "cairnvane"],
        stderr=subprocess.PIPE,
        text=True,
        env={
            **os.environ,
            "LB_CONFIG": str(path),
            "CAIRNVANE_OPERATOR": str(operator or ""),
            "TMPDIR": str(tmp_path),
        },
    )
    try:
        assert process.stderr is not None
        line = process.stderr.readline()
        found = re.search(r"n3 listens on 127\.0\.0\.1:([0-9]+)", line)
        assert found is not None, line
        yield process, int(found[1])
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()


def test_it_serves_reports_and_leaves_with_all_answered(tmp_path: Path) -> None:
    pool, roster = PoolPeer(), RosterPeer(b"HTTP/1.1 204 No Content\r\n\r\n")
    at = [f"{host}:{port}" for host, port in (pool.address, roster.address)]
    with program(tmp_path, at[0], at[1]) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        for _ in range(2):  # it goes on reporting
            assert roster.reports.get(timeout=WAIT_S).startswith(b"PUT /roster/n3 HTTP/1.1\r\n")
        balancer.send(1)
        pool.next("bind")
        pool.run(b"done")
        assert balancer.answer()[1].body == b"done"
        balancer.send(2)
        uid = pool.next("spawn")["uid"]
        roster.stopping.set()
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(ConnectionError):  # refused, or reset on the way: nobody new is let in
            while True:
                Balancer(("127.0.0.1", port)).sock.close()  # not waited for: it may never be accepted
        pool.notice("finished", uid, "fine", b"last")
        assert balancer.answer()[1].body == b"last"
        assert balancer.ended()
        assert process.wait(WAIT_S) == 0


def test_it_goes_over_to_new_addresses_under_load(tmp_path: Path) -> None:
    """Guards: SIGHUP ended the process. A faulty file must be named, and change nothing."""
    pools, report = (PoolPeer(), PoolPeer()), threading.Event()
    rosters = Listener(lambda sock: None), Listener(lambda sock: report.set())  # they answer nothing
    at = [
        [f"{host}:{port}" for host, port in (pool.address, roster.address)]
        for pool, roster in zip(pools, rosters, strict=True)
    ]
    path = tmp_path / "config-0.json"
    with program(tmp_path, at[0][0], at[0][1]) as (process, port):
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(1)
        assert pools[0].next("bind")["pos"] == 0
        pools[0].run(b"first")
        assert balancer.answer()[1].body == b"first"
        balancer.send(2)
        uid = pools[0].next("spawn")["uid"]
        assert process.stderr is not None
        good = json.loads(path.read_text())
        path.write_text(json.dumps(good | {"vault": "nowhere"}))
        process.send_signal(signal.SIGHUP)
        while "the previous one stays in use: vault:" not in process.stderr.readline():
            pass
        path.write_text(json.dumps(good | dict(zip(("pool", "roster"), at[1], strict=True))))
        process.send_signal(signal.SIGHUP)
        assert pools[1].next("bind")["pos"] == 1  # the numbers of notices carry on, and so do the runs
        assert pools[1].next("spawn")["uid"] == uid
        pools[1].skip(1)
        pools[1].notice("finished", uid, "fine", b"second")
        assert balancer.answer()[1].body == b"second"
        assert report.wait(WAIT_S)


def test_it_serves_without_a_roster(tmp_path: Path) -> None:
    pool = PoolPeer()
    with program(tmp_path, f"127.0.0.1:{pool.address[1]}", NOWHERE) as (_, port):
        balancer = Balancer(("127.0.0.1", port))
        balancer.send(1)
        pool.next("bind")
        pool.run(b"done")
        assert balancer.answer()[1].status == 200


FILE = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "pool": NOWHERE,
    "roster": NOWHERE,
    "vault": NOWHERE,
    "seed": "1f",
    "settings": PARAMS,
}


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"pool": 7}, "$.pool"),
        ({"pool": "here"}, "pool:"),
        ({"pool": "h:\u00b2"}, "pool:"),
        ({"roster": "a..b:80"}, "roster: 'a..b:80'"),
        ({"vault": "h:99999"}, "vault:"),
        ({"seed": "xyz"}, "seed:"),
        ({"name": ""}, "name:"),
        ({"listen": ""}, "listen:"),
        ({"limits": {"sockets": 3}}, "limits.sockets:"),
        ({"limits": {"sockets": "x"}}, "$.limits.sockets"),
        ({"stop_ms": 0}, "stop_ms:"),
        ({"control": "door"}, "control:"),
        ({"settings": {}}, "settings: key Extra"),
        ({"settings": PARAMS | {"Extra": PARAMS["Extra"] | {"Cores": 0}}}, "Extra.Cores: impossible value 0"),
        ({"settings": None}, "settings"),
        ({"stop_ms": 10**30}, "stop_ms:"),
        ({"pool": 7}, ": 7"),
    ],
)
def test_a_faulty_key_is_named_in_one_line(tmp_path: Path, changes: dict[str, Any], key: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE | changes))
    with pytest.raises(config.ConfigurationError) as error:
        config.load({"LB_CONFIG": str(path)})
    assert key in str(error.value)
    assert "\n" not in str(error.value)


def _places(part: Any, *before: Any) -> Iterator[tuple[Any, ...]]:
    """Each key and each place in a list, from the outermost on."""
    for place in part if isinstance(part, dict) else range(len(part)) if isinstance(part, list) else ():
        yield (*before, place)
        yield from _places(part[place], *before, place)


SETTINGS = PARAMS | {
    "Tenants": [{"Name": "a", "QuotaPerS": 5.0}],
    "PeersTotal": 3,
    "RoundUs": 2_000,
    "Limits": {"MaxRetryAfterUs": 1_000_000, "RetryAfter": True},
    "Extra": PARAMS["Extra"] | {"ClassSkipWorth": [0.0, 0.0], "JustStarted": False},
}


@pytest.mark.parametrize("place", list(_places(SETTINGS)), ids=lambda place: ".".join(map(str, place)))
def test_a_faulty_setting_is_named_with_its_key_and_value(tmp_path: Path, place: tuple[Any, ...]) -> None:
    """Guards: some were named by what they are called inside, some by Python's own words, some not at all."""
    path, refused = tmp_path / "config.json", 0
    bads: tuple[Any, ...] = (None, "no such", -1, [], {}, [7], True, 10**30)
    for bad in bads:
        settings = json.loads(json.dumps(SETTINGS))
        part = settings
        for key in place[:-1]:
            part = part[key]
        part[place[-1]] = bad
        path.write_text(json.dumps(FILE | {"settings": settings}))
        try:
            config.load({"LB_CONFIG": str(path)})
        except config.ConfigurationError as error:
            refused += 1
            words = str(error)
            key = next(key for key in reversed(place) if isinstance(key, str))
            shown = {"[]": "()", "{}": "is missing", "[7]": "7"}.get(repr(bad), repr(bad))
            assert key in words and (repr(bad) in words or shown in words), words
            assert "\n" not in words
    assert refused >= 2


@pytest.mark.parametrize(
    ("environment", "word"),
    [
        ({}, "LB_CONFIG: missing"),
        ({"LB_CONFIG": "/nowhere"}, "/nowhere"),
    ],
)
def test_a_start_without_a_configuration_ends_with_one_line(environment: dict[str, str], word: str) -> None:
    clean = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    done = subprocess.run(
        [sys.executable, "-m", "cairnvane"], env=clean | environment, capture_output=True, text=True
    )
    assert done.returncode == 2
    assert word in done.stderr
    assert done.stderr.count("\n") == 1


def test_the_environment_goes_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(FILE))
    told = config.load({"LB_CONFIG": str(path), "LB_NAME": "n9", "LB_LISTEN": "127.0.0.2:90"})
    assert (told.name, told.listen, told.seed) == ("n9", ("127.0.0.2", 90), 0x1F)
    assert (told.stop_ms, told.sockets) == (config.DEFAULT_STOP_MS, config.DEFAULT_SOCKETS)


texts = st.text(max_size=200)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.dictionaries(texts, texts, max_size=8))
def test_pairs_come_back_as_they_went(values: dict[str, str]) -> None:
    assert fastcgi.pairs(fastcgi.put_pairs(values)) == values


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 400))
def test_a_record_is_read_only_when_it_is_all_there(content: bytes, cut: int) -> None:
    data = fastcgi.record(fastcgi.STDIN, 7, content)
    found = fastcgi.take(memoryview(data[:cut]), 0, min(cut, len(data)))
    whole = (fastcgi.Record(fastcgi.STDIN, 7, content), len(data))
    assert found == (whole if cut >= len(data) else None)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"SMTP hi\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nbroken\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + bytes(70_000),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"x" * 9_000,
        # Guards: digits that `isdigit` passes and `int` does not ended the call's thread, nobody was told.
        b"HTTP/1.1 \xb200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 99,
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
)
def test_what_is_no_whole_http_reply_is_told_apart(data: bytes) -> None:
    ours, theirs = socket.socketpair()
    with ours:
        theirs.sendall(data)
        theirs.close()
        with pytest.raises(http.InvalidReplyError):
            http.read_reply(ours, time.monotonic() + WAIT_S)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\nA: b\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    ],
)
def test_what_stands_around_a_reply_is_no_part_of_it(data: bytes) -> None:
    """Guards: an interim head was taken for the reply."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data)
        reply = http.read_reply(ours, time.monotonic() + WAIT_S)
        assert (reply.status, reply.body) == (200, b"abc")


def test_a_reply_that_drips_ends_at_the_deadline() -> None:
    """Guards: the bound was one on each read, and whoever dripped outlived it."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(b"HTTP/1.1 200 OK\r\n")  # there is always something to read
        with pytest.raises(TimeoutError):
            http.read_reply(ours, time.monotonic())


def test_a_body_without_a_length_lasts_until_the_end() -> None:
    ours, theirs = socket.socketpair()
    with ours:
        theirs.sendall(b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nabc")
        theirs.close()
        assert http.read_reply(ours, time.monotonic() + WAIT_S) == http.Reply(200, {"x-a": "b"}, b"abc")
