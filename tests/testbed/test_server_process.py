"""Processes of the real program end with the testbed that started them."""

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
    """Whether it has not ended; nobody may be there to collect it."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


# Loaded by the interpreter before anything of ours: nobody is told its parent before the file is there.
LATE_PARENT = """
import os, time
from pathlib import Path
getppid, killed = os.getppid, Path({path!r})
def getppid_after_the_kill():
    while not killed.exists():
        time.sleep(0.01)
    return getppid()
os.getppid = getppid_after_the_kill
"""

TESTBED = """
import sys, time
from pathlib import Path
from cairnvane.testbed import server_process
from cairnvane.testbed.cluster.nodes import settings
from cairnvane.testbed.cluster.scenario import Scenario
nowhere = "127.0.0.1:1"
site = server_process.Site(Path(sys.argv[1]), nowhere, nowhere, nowhere, settings(Scenario("a")))
life = server_process.start(site)
assert life.listens()
print(life.process.pid, flush=True)
time.sleep(60)
"""


@pytest.mark.parametrize("parent_asked", ["before", "after"])
def test_a_server_ends_when_the_testbed_that_started_it_is_killed(parent_asked: str, tmp_path: Path) -> None:
    """Whether the server asks for its parent's process id before the testbed is killed or after that.

    Guards against a server that takes the id which it gets after that for the testbed's, and so never ends.
    """
    environment, killed = dict(os.environ), tmp_path / "killed"
    if parent_asked == "after":
        late = tmp_path / "late"
        late.mkdir()
        (late / "sitecustomize.py").write_text(LATE_PARENT.format(path=str(killed)))
        environment["PYTHONPATH"] = os.pathsep.join([str(late), str(Path(__file__).parents[2])])
    testbed = subprocess.Popen(
        [sys.executable, "-c", TESTBED, str(tmp_path)], stdout=subprocess.PIPE, text=True, env=environment
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
