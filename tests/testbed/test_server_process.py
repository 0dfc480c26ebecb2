"""Server processes exit when the testbed that started them is killed."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from peers import WAIT_S


def is_running(pid: int) -> bool:
    """Whether the process has not exited; a zombie has, even if no parent has reaped it."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


# Loaded by the interpreter at startup: delays the result of `os.getppid` until the file exists.
DELAYED_GETPPID = """
import os, time
from pathlib import Path
getppid, killed = os.getppid, Path({path!r})
def getppid_after_kill():
    while not killed.exists():
        time.sleep(0.01)
    return getppid()
os.getppid = getppid_after_kill
"""

TESTBED_SCRIPT = """
import sys, time
from pathlib import Path
from cairnvane.testbed import server_process
from cairnvane.testbed.cluster.nodes import settings
from cairnvane.testbed.cluster.scenario import Scenario
unused = "127.0.0.1:1"
configuration = server_process.ServerConfiguration(
    Path(sys.argv[1]), unused, unused, unused, settings(Scenario("a"))
)
server = server_process.start(configuration)
assert server.listens()
print(server.process.pid, flush=True)
time.sleep(60)
"""


@pytest.mark.parametrize("getppid_called", ["before", "after"])
def test_a_server_exits_when_its_testbed_is_killed(getppid_called: str, tmp_path: Path) -> None:
    """The server asks for its parent's process id before or after the testbed is killed.

    Guards against a server that asks after the kill, takes the returned id for the testbed's, and never
    exits.
    """
    environment, killed = dict(os.environ), tmp_path / "killed"
    if getppid_called == "after":
        site_folder = tmp_path / "site_folder"
        site_folder.mkdir()
        (site_folder / "sitecustomize.py").write_text(DELAYED_GETPPID.format(path=str(killed)))
        environment["PYTHONPATH"] = os.pathsep.join([str(site_folder), str(Path(__file__).parents[2])])
    testbed = subprocess.Popen(
        [sys.executable, "-c", TESTBED_SCRIPT, str(tmp_path)],
        stdout=subprocess.PIPE,
        text=True,
        env=environment,
    )
    assert testbed.stdout is not None
    with testbed.stdout:
        pid = int(testbed.stdout.readline())
    try:
        testbed.kill()
        testbed.wait()
        killed.touch()
        deadline = time.monotonic() + 4 * WAIT_S
        while is_running(pid) and time.monotonic() < deadline:
            time.sleep(0.05)
        assert not is_running(pid)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
