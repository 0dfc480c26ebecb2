"""Signals to the program: shutdown, and reload of the configuration."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import tomllib
from pathlib import Path

import pytest
from peers import PARAMS, WAIT_S, Balancer, Listener, PoolPeer
from server_process import NOWHERE, program, wait_for_log


def test_reload_moves_to_new_addresses_under_load(tmp_path: Path) -> None:
    """SIGHUP reloads; a faulty file is named and changes nothing."""
    pools = PoolPeer(), PoolPeer()
    report = threading.Event()
    rosters = Listener(lambda sock: None), Listener(lambda sock: report.set())  # they send no response
    addresses = [
        [f"{host}:{port}" for host, port in (pool.address, roster.address)]
        for pool, roster in zip(pools, rosters, strict=True)
    ]
    path = tmp_path / "config-0.json"
    with program(tmp_path, addresses[0][0], addresses[0][1]) as (process, port):
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
        wait_for_log(process, "the previous one stays in use: vault:")
        path.write_text(json.dumps(good | dict(zip(("pool", "roster"), addresses[1], strict=True))))
        process.send_signal(signal.SIGHUP)
        assert pools[1].next("bind")["pos"] == 1  # notices are numbered on, and runs go on
        assert pools[1].next("spawn")["uid"] == uid
        pools[1].skip(1)
        pools[1].notice("finished", uid, "fine", b"second")
        assert balancer.answer()[1].body == b"second"
        assert report.wait(WAIT_S)


@pytest.mark.parametrize("bound", [False, True], ids=["before the pool is bound", "with a run in flight"])
def test_repeated_or_early_shutdown_signals_change_nothing(tmp_path: Path, bound: bool) -> None:
    pool = PoolPeer(bound)
    with program(tmp_path, f"127.0.0.1:{pool.address[1]}", NOWHERE) as (process, port):
        pool.next("bind")
        balancer = Balancer(("127.0.0.1", port))
        if bound:
            balancer.send(1)
            uid = pool.next("spawn")["uid"]
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            process.send_signal(number)
        if bound:
            pool.notice("finished", uid, "fine", b"last")
            assert balancer.answer()[1].body == b"last"
        assert balancer.ended()
        assert process.wait(WAIT_S) == 0


def test_reload_rejects_a_torn_file_and_takes_the_next_whole_one(tmp_path: Path) -> None:
    pools = PoolPeer(), PoolPeer()
    path = tmp_path / "config-0.json"
    with program(tmp_path, f"127.0.0.1:{pools[0].address[1]}", NOWHERE) as (process, _):
        pools[0].next("bind")
        whole = json.dumps(json.loads(path.read_text()) | {"pool": f"127.0.0.1:{pools[1].address[1]}"})
        assert process.stderr is not None
        for torn in (whole[:0], whole[: len(whole) // 2], whole[:-1]):
            path.write_text(torn)
            process.send_signal(signal.SIGHUP)
            wait_for_log(process, "the previous one stays in use: LB_CONFIG:")
        path.write_text(whole)
        process.send_signal(signal.SIGHUP)
        pools[1].next("bind")


def test_reload_signal_during_the_start_does_not_end_the_program(tmp_path: Path) -> None:
    """Guards against a crash: all servers get SIGHUP for a new configuration, also those that start."""
    pool = PoolPeer()
    started = tmp_path / "started"
    os.mkfifo(started)
    slow = tmp_path / "slow"
    slow.mkdir()
    # The interpreter loads this before the program, and waits until the signal was sent.
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
        process.send_signal(signal.SIGHUP)  # obeyed from here on
        wait_for_log(process, "cairnvane.server.reload: configuration reloaded: pool")
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()
