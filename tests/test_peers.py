"""An error in the script of a peer fails the test that started the script."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from peers import WAIT_S

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
