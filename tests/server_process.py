"""Runs the program in a process of its own, as it is deployed, for tests of the whole process."""

from __future__ import annotations

import contextlib
import json
import os
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from peers import PARAMS

# An address where no process listens.
NOWHERE = "127.0.0.1:1"
# A valid configuration file of the platform.
FILE = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "pool": NOWHERE,
    "roster": NOWHERE,
    "vault": NOWHERE,
    "seed": "1f",
    "settings": PARAMS,
}


@contextlib.contextmanager
def program(
    tmp_path: Path,
    pool: str,
    roster: str,
    operator: Path | None = None,
    **overrides: Any,
) -> Iterator[tuple[subprocess.Popen[str], int]]:
    """Run the program; yields its process and the port that it listens on.

    `overrides` are keys of its configuration. Its temporary folder is `tmp_path`.
    """
    configuration = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "pool": pool,
        "roster": roster,
        "vault": NOWHERE,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 60_000,
        "settings": PARAMS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
    } | overrides
    path = tmp_path / f"config-{len(list(tmp_path.glob('config-*')))}.json"
    path.write_text(json.dumps(configuration))
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
        match = re.search(r"n3 listens on 127\.0\.0\.1:([0-9]+)", line)
        assert match is not None, line
        yield process, int(match[1])
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()


def wait_for_log(process: subprocess.Popen[str], text: str) -> None:
    """Read the program's log up to a line with this text; fails if the log ends before that line."""
    assert process.stderr is not None
    for line in process.stderr:
        if text in line:
            return
    pytest.fail(f"the log ended without {text!r}")
