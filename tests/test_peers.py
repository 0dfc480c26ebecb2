"""An error in the script of a peer fails the test that started the script."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from peers import WAIT_S, ConnectionEndedError, ReconnectingBalancer, world
from server_helpers import in_thread

TESTS = Path(__file__).parent
# The script fails at once, or only after the test, when its connection is closed.
TEST_WITH_A_FAILING_SCRIPT = """
import socket, threading
from peers import WAIT_S, Listener

held = []

def test_first():
    came = threading.Event()
    def script(sock):
        came.set()
        assert {condition}, "the script failed"
    held.append(socket.create_connection(Listener(script).address))
    assert came.wait(WAIT_S)

def test_second():
    pass
"""


@pytest.mark.parametrize("condition", ["False", "sock.recv(1)"], ids=["at once", "at the end"])
def test_error_in_a_script_fails_its_own_test(condition: str, tmp_path: Path) -> None:
    """Guards against a failed `assert` in the script's thread that leaves the test passing."""
    path = tmp_path / "test_script.py"
    path.write_text(TEST_WITH_A_FAILING_SCRIPT.format(condition=condition))
    arguments = [
        "-c",
        str(TESTS.parent / "pyproject.toml"),
        "-p",
        "conftest",
        "-p",
        "no:cacheprovider",
        "-rA",
    ]
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", *arguments, str(path)],
        env={**os.environ, "PYTHONPATH": os.pathsep.join([str(TESTS), str(TESTS.parent)])},
        capture_output=True,
        text=True,
        timeout=4 * WAIT_S,
    )
    assert completed.returncode == 1 and "the script failed" in completed.stdout, (
        completed.stdout + completed.stderr
    )
    lines = [line.split(" ")[:2] for line in completed.stdout.splitlines() if "::test_" in line]
    failed = {test.rpartition("::")[2] for outcome, test in lines if outcome in ("FAILED", "ERROR")}
    assert failed == {"test_first"}, completed.stdout


def test_balancer_opens_a_new_connection_after_an_idle_close() -> None:
    """Guards against tests that fail on a busy machine: a connection that rests may be closed."""
    with world() as harness:
        balancer = ReconnectingBalancer(harness.server.address)
        harness.serve(balancer, 1)
        harness.connection.close_if_idle(requested=True)
        harness.serve(balancer, 2)


def test_balancer_sends_a_request_again_that_crossed_an_idle_close() -> None:
    with world() as harness:
        balancer = ReconnectingBalancer(harness.server.address)
        harness.serve(balancer, 1)
        balancer._is_closed = lambda: False  # type: ignore[method-assign]  # the close is still in transit
        harness.connection.close_if_idle(requested=True)
        balancer.send(2)
        in_thread(harness.pool.run)
        assert balancer.answer()[0] == 2


def test_close_with_an_open_request_is_an_error() -> None:
    with world() as harness:
        balancer = ReconnectingBalancer(harness.server.address)
        for number in (1, 2):
            balancer.send(number)
            harness.pool.next("spawn")
        harness.connection.end()
        with pytest.raises(ConnectionEndedError, match="with an open request"):
            balancer.answer()
