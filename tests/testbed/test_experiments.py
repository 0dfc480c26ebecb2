"""The laboratory's own checks: the real program under kills, and a judge who can fail it."""

from __future__ import annotations

import json
import queue
import socket
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from peers import WAIT_S, Listener

from cairnvane.cli import main
from cairnvane.net import fastcgi
from cairnvane.testbed.stand_ins import balancer
from cairnvane.testbed.stand_ins.balancer import Reply, StandInBalancer


def lab(tmp_path: Path, *words: str) -> tuple[int, dict[str, Any]]:
    path = tmp_path / "report.json"
    done = CliRunner().invoke(main, ["lab", *words, "--json", str(path)])
    return done.exit_code, json.loads(path.read_text())


@pytest.mark.parametrize("durability", ["process", "power"])
def test_no_commit_runs_twice_or_is_answered_otherwise(tmp_path: Path, durability: str) -> None:
    words = ["--commits", "100", "--kills", "5", "--seed", "3", "--durability", durability]
    status, report = lab(tmp_path, "restarts", *words)
    assert (status, report["good"]) == (0, True), report
    verdict = report["verdict"]
    assert verdict["commits"] == 100 and verdict["tries"] > 100 and verdict["runs"] > 50


@pytest.mark.parametrize("mutant", ["no-intents", "no-results"])
def test_the_judge_counts_second_runs_where_records_are_switched_off(tmp_path: Path, mutant: str) -> None:
    """Each run must begin before a kill that the next life survives: with so many there is always one."""
    words = ["--commits", "300", "--kills", "10", "--seed", "3", "--mutant", mutant]
    status, report = lab(tmp_path, "restarts", *words)
    assert status == 1 and report["verdict"]["second_runs"] > 0


@pytest.mark.parametrize("durability", ["memory", "process"])
def test_no_upgrade_runs_a_commit_twice_or_serves_a_forged_one(tmp_path: Path, durability: str) -> None:
    words = ["--rounds", "5", "--commits", "400", "--kill", "--forge", "--seed", "11"]
    _, report = lab(tmp_path, "upgrade", *words, "--durability", durability)
    verdict = report["verdict"]
    wrong = {
        name: verdict[name]
        for name in ("second_runs", "second_calls", "differing", "invented", "unanswered", "lost")
    }
    assert not any(wrong.values()), wrong
    assert (report["forged_served"], report["trouble"]) == (0, [])
    assert report["forged"] > 20 and verdict["runs"] > 300 and sum(report["rounds"].values()) == 5


@pytest.mark.parametrize("mutant, counts", [("no-claims", "second_runs"), ("no-digests", "forged_served")])
def test_the_judge_sees_an_upgrade_without_claims_or_digests(
    tmp_path: Path,
    mutant: str,
    counts: str,
) -> None:
    words = ["--rounds", "3", "--commits", "300", "--forge", "--seed", "3", "--mutant", mutant]
    status, report = lab(tmp_path, "upgrade", *words)
    assert status == 1 and (report | report["verdict"])[counts] > 0


@pytest.mark.parametrize(("closes", "status"), [(1, 200), (2, 0)])
def test_a_stand_in_balancer_sends_a_try_again_that_crossed_a_close(
    closes: int,
    status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: a try in the instant in which a server left an idle connection was judged as lost. Once only:
    whoever closes on it again has lost it."""
    monkeypatch.setattr(balancer, "CROSSING_S", WAIT_S)
    left = iter([True] * closes)
    ends: queue.Queue[Reply] = queue.Queue()

    def serve(sock: socket.socket) -> None:
        data = sock.recv(65_536)
        if not next(left, False):
            number = int.from_bytes(data[2:4], "big")
            sock.sendall(fastcgi.response(number, b"Status: 200 OK\r\n\r\n"))
            sock.recv(1)

    callers = StandInBalancer(Listener(serve).address[1], links=1, renew=True)
    callers.send("0" * 16, "read", b"x", None, ends.put)
    assert ends.get(timeout=WAIT_S).status == status
    callers.close()
