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
    """SIGHUP reloads the configuration; an invalid file is reported and has no effect."""
    pools = PoolPeer(), PoolPeer()
    reported = threading.Event()
    rosters = Listener(lambda sock: None), Listener(lambda sock: reported.set())  # these send no response
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
        valid = json.loads(path.read_text())
        path.write_text(json.dumps(valid | {"vault": "nowhere"}))
        process.send_signal(signal.SIGHUP)
        wait_for_log(process, "the previous one stays in use: vault:")
        path.write_text(json.dumps(valid | dict(zip(("pool", "roster"), addresses[1], strict=True))))
        process.send_signal(signal.SIGHUP)
        assert pools[1].next("bind")["pos"] == 1  # notices continue to be numbered, and runs continue
        pools[1].skip(1)
        pools[1].notice("finished", uid, "fine", b"second")
        assert balancer.answer()[1].body == b"second"
        balancer.send(3)
        assert pools[1].run(b"third")["uid"] != uid  # its first command: what was read is not sent again
        assert balancer.answer()[1].body == b"third"
        assert reported.wait(WAIT_S)


@pytest.mark.parametrize("bound", [False, True], ids=["before the pool is bound", "with a run in flight"])
def test_repeated_or_early_shutdown_signals_have_no_effect(tmp_path: Path, bound: bool) -> None:
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


def test_reload_rejects_a_truncated_file_and_uses_the_next_complete_one(tmp_path: Path) -> None:
    pools = PoolPeer(), PoolPeer()
    path = tmp_path / "config-0.json"
    with program(tmp_path, f"127.0.0.1:{pools[0].address[1]}", NOWHERE) as (process, _):
        pools[0].next("bind")
        complete = json.dumps(json.loads(path.read_text()) | {"pool": f"127.0.0.1:{pools[1].address[1]}"})
        assert process.stderr is not None
        for truncated in (complete[:0], complete[: len(complete) // 2], complete[:-1]):
            path.write_text(truncated)
            process.send_signal(signal.SIGHUP)
            wait_for_log(process, "the previous one stays in use: LB_CONFIG:")
        path.write_text(complete)
        process.send_signal(signal.SIGHUP)
        pools[1].next("bind")


def test_reload_signal_during_the_start_does_not_end_the_program(tmp_path: Path) -> None:
    """Guards against a crash: all servers get SIGHUP for a new configuration, including starting ones."""
    pool = PoolPeer()
    started = tmp_path / "started"
    os.mkfifo(started)
    startup_folder = tmp_path / "slow"
    startup_folder.mkdir()
    # The interpreter loads this module before the program; it waits until the signal has been sent.
    (startup_folder / "sitecustomize.py").write_text(f"open({str(started)!r}, 'w').write('here')\ninput()\n")
    config_path = tmp_path / "config.json"
    config_path.write_text(
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
    command = tomllib.loads((Path(__file__).parents[2] / "deploy/balancer.toml").read_text())["run"]
    process = subprocess.Popen(
        ["/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)],
        text=True,
        stdin=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={
            **os.environ,
            "LB_CONFIG": str(config_path),
            "TMPDIR": str(tmp_path),
            "PYTHONPATH": os.pathsep.join([str(startup_folder), str(Path(__file__).parents[2])]),
        },
    )
    try:
        assert process.stdin is not None and process.stderr is not None
        assert started.read_text() == "here"
        process.send_signal(signal.SIGHUP)
        process.stdin.write("on\n")
        process.stdin.close()
        assert "n3 listens on" in process.stderr.readline()
        process.send_signal(signal.SIGHUP)  # handled from now on
        wait_for_log(process, "cairnvane.server.reload: configuration reloaded: pool")
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_S) == 0
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()
