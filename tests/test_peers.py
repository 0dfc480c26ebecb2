"""What the peers of other tests rely on: an error in one of their scripts fails the test that it came in."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from peers import WAIT_S

TESTS = Path(__file__).parent
# The connection's script fails at once, or only when the test is over and its connection ends.
FAILS = """
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


@pytest.mark.parametrize("condition", ["False", "sock.recv(1)"])
def test_an_error_in_a_script_fails_its_own_test(condition: str, tmp_path: Path) -> None:
    """Guards: the script's thread ended by its `assert`, and the test passed."""
    path = tmp_path / "test_script.py"
    path.write_text(FAILS.format(condition=condition))
    words = ["-c", str(TESTS.parent / "pyproject.toml"), "-p", "conftest", "-p", "no:cacheprovider", "-rA"]
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *words, str(path)],
        env={**os.environ, "PYTHONPATH": os.pathsep.join([str(TESTS), str(TESTS.parent)])},
        capture_output=True,
        text=True,
        timeout=4 * WAIT_S,
    )
    assert done.returncode == 1 and "the script failed" in done.stdout, done.stdout + done.stderr
    lines = [line.split(" ")[:2] for line in done.stdout.splitlines() if "::test_" in line]
    wrong = {where.rpartition("::")[2] for outcome, where in lines if outcome in ("FAILED", "ERROR")}
    assert wrong == {"test_first"}, done.stdout
